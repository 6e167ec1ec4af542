// A clock that counts on while the machine is suspended.
#ifndef JAYTRACK_SUPPORT_BOOTTIMECLOCK_H
#define JAYTRACK_SUPPORT_BOOTTIMECLOCK_H

#include "jaytrack/Support/clock.h"

namespace jaytrack {

// The steady clock stands still while a machine is suspended, so an instance that woke up would
// take what it knew before for fresh and serve keys that were taken away meanwhile. This one counts
// on.
class BoottimeClock final : public Clock
{
public:
    TimePoint now() const override;
};

} // namespace jaytrack

#endif
