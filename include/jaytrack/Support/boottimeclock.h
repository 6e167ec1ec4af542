// A monotonic clock that keeps running while the machine is suspended.
#ifndef JAYTRACK_SUPPORT_BOOTTIMECLOCK_H
#define JAYTRACK_SUPPORT_BOOTTIMECLOCK_H

#include "jaytrack/Support/clock.h"

namespace jaytrack {

// The steady clock stops while a machine is suspended, so an instance would treat its old state as
// fresh after resuming and accept keys that were revoked meanwhile. This clock includes the time of
// suspension.
class BoottimeClock final : public Clock
{
public:
    TimePoint now() const override;
};

} // namespace jaytrack

#endif
