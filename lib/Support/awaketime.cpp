#include "jaytrack/Support/awaketime.h"

#include <algorithm>

namespace jaytrack {

AwakeTime::AwakeTime(const Clock &clockSource, Duration maxGap)
    : clock(clockSource)
    , limit(maxGap)
    , lastTick(clockSource.now())
{
}

Duration AwakeTime::tick()
{
    const TimePoint now = this->clock.now();
    const TimePoint before = this->lastTick;
    this->lastTick = now;
    if (now - before <= this->limit)
        return Duration(0);
    if (this->pauses.size() == maxPauses)
        this->pauses.pop_front();
    this->pauses.push_back({before, now});
    return now - before;
}

Duration AwakeTime::awakeSince(TimePoint since) const
{
    Duration awake = this->clock.now() - since;
    for (const Pause &pause : this->pauses)
        awake -= std::max(Duration(0), pause.to - std::max(pause.from, since));
    return awake;
}

} // namespace jaytrack
