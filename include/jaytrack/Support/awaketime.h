// Measures time without the pauses of this process.
#ifndef JAYTRACK_SUPPORT_AWAKETIME_H
#define JAYTRACK_SUPPORT_AWAKETIME_H

#include "jaytrack/Support/clock.h"

#include <deque>

namespace jaytrack {

// A process that was paused has missed what happened meanwhile, so the time since it last heard of
// something says nothing about the other side. A pause shows as a gap between two ticks.
class AwakeTime
{
public:
    // Gaps longer than maxGap are pauses.
    AwakeTime(const Clock &clockSource, Duration maxGap);

    // Called at regular intervals, several times within maxGap. Returns the length of the pause
    // that has just ended; zero if there was none.
    Duration tick();

    // Returns the time since then without the pauses that have ended since. Exact for as many of
    // the latest pauses as are kept; older ones count as awake.
    Duration awakeSince(TimePoint since) const;

private:
    struct Pause
    {
        TimePoint from;
        TimePoint to;
    };

    static constexpr std::size_t maxPauses = 64;

    const Clock &clock;
    Duration limit;
    TimePoint lastTick;
    std::deque<Pause> pauses; // oldest first
};

} // namespace jaytrack

#endif
