// Targets that turned a request of this instance away and said for how long they want none.
//
// Load that it answers: a target that is crowded spends a part of its time on refusals, and each
// instance that asks again at once adds to it. The target knows best when it is worth to come back.
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
    explicit TargetPauses(const Clock &time)
        : clock(time)
    {
    }

    // The id names the target's life: the next one has said nothing. A shorter wish never ends a
    // longer one, since answers may overtake each other.
    void leaveAlone(std::string_view target, Duration time);

    // How long the target still wants to be left alone; zero if it does not.
    Duration left(std::string_view target) const;

    bool isPaused(std::string_view target) const { return this->left(target) > Duration(0); }

private:
    const Clock &clock;
    std::map<std::string, TimePoint, std::less<>> until;
};

} // namespace jaytrack

#endif
