// Notices that this process was stopped and has woken late.
#ifndef JAYTRACK_CLUSTER_WAKEFULNESS_H
#define JAYTRACK_CLUSTER_WAKEFULNESS_H

#include "jaytrack/Support/clock.h"

#include <atomic>

namespace jaytrack {

// A process that was paused wakes up believing what it knew before: targets that left meanwhile,
// configuration that was replaced, grants that ran out. The sign is a clock that jumped between
// two ticks. From then on nothing may be sent until fresh knowledge has arrived. The check is made
// at each send, not by the ticking thread, because on waking any thread may run first.
class Wakefulness
{
public:
    Wakefulness(const Clock &time, Duration longestPause);

    // Called at a steady pace, several times within the longest pause.
    void tick();

    // Fresh knowledge has arrived: an answer of the configuration service or of a peer, asked for
    // after the given moment.
    void refreshed(TimePoint askedAt);

    // Whether this process may act on what it knows.
    bool mayAct() const;

    // How often it woke late.
    std::uint64_t lateWakings() const { return this->wakings.load(); }

private:
    bool jumped(TimePoint now) const;

    const Clock &clock;
    Duration limit;
    std::atomic<Duration::rep> lastTick;
    std::atomic<Duration::rep> asleepUntil{0}; // the moment of waking; 0 while awake
    std::atomic<std::uint64_t> wakings{0};
};

} // namespace jaytrack

#endif
