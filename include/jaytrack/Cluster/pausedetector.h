// Detects that this process was paused and resumed late.
#ifndef JAYTRACK_CLUSTER_PAUSEDETECTOR_H
#define JAYTRACK_CLUSTER_PAUSEDETECTOR_H

#include "jaytrack/Support/clock.h"

#include <atomic>

namespace jaytrack {

// After a pause a process holds outdated state: targets that left meanwhile, configuration that was
// replaced, grants that expired. A pause shows as a jump of the clock between two ticks. Nothing
// may be sent after it until fresh state has arrived. The check is made at each send rather than
// only by the ticking thread, because any thread may run first after the pause.
class PauseDetector
{
public:
    PauseDetector(const Clock &clockSource, Duration maxPause);

    // Called at regular intervals, several times within the maximum pause.
    void tick();

    // Records fresh state: an answer of the configuration service or of a peer to a request
    // sent at `requestedAt`.
    void refreshed(TimePoint requestedAt);

    // Whether this process may act on its state.
    bool mayAct() const;

    // The number of detected pauses.
    std::uint64_t detectedPauses() const { return this->wakeups.load(); }

private:
    bool clockJumped(TimePoint now) const;

    const Clock &clock;
    Duration limit;
    std::atomic<Duration::rep> lastTick;
    std::atomic<Duration::rep> resumedAt{0}; // time of the resumption; 0 if no pause is pending
    std::atomic<std::uint64_t> wakeups{0};
};

} // namespace jaytrack

#endif
