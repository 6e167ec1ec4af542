// Records the targets that refused a request of this instance and for how long they want no further
// requests.
//
// An overloaded target spends part of its time on refusals, and each instance that retries at once
// adds to that load. The target itself knows best when retrying is useful.
#ifndef JAYTRACK_POLICY_TARGETPAUSES_H
#define JAYTRACK_POLICY_TARGETPAUSES_H

#include "jaytrack/Support/clock.h"

#include <map>
#include <string>
#include <string_view>

namespace jaytrack {

class TargetPauses
{
public:
    explicit TargetPauses(const Clock &clockSource)
        : clock(clockSource)
    {
    }

    // Pauses requests to a target for the given time. The name identifies one life of the
    // target; after a restart no pause applies. A shorter pause never ends a longer one, since
    // answers may arrive out of order.
    void pause(std::string_view target, Duration time);

    // Returns the remaining time of the pause; zero if the target is not paused.
    Duration remaining(std::string_view target) const;

    bool isPaused(std::string_view target) const { return this->remaining(target) > Duration(0); }

private:
    const Clock &clock;
    std::map<std::string, TimePoint, std::less<>> until;
};

} // namespace jaytrack

#endif
