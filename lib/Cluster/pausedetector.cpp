#include "jaytrack/Cluster/pausedetector.h"

namespace jaytrack {

PauseDetector::PauseDetector(const Clock &clockSource, Duration maxPause)
    : clock(clockSource)
    , limit(maxPause)
    , lastTick(clockSource.now().time_since_epoch().count())
{
}

bool PauseDetector::clockJumped(TimePoint now) const
{
    const TimePoint last{Duration(this->lastTick.load())};
    return now - last > this->limit;
}

void PauseDetector::tick()
{
    const TimePoint now = this->clock.now();
    if (this->clockJumped(now)) {
        this->resumedAt.store(now.time_since_epoch().count());
        this->wakeups.fetch_add(1);
    }
    this->lastTick.store(now.time_since_epoch().count());
}

// An answer to a request from before the resumption may be as old as the request, so it does not
// count as fresh.
void PauseDetector::refreshed(TimePoint requestedAt)
{
    Duration::rep since = this->resumedAt.load();
    if (since != 0 && requestedAt.time_since_epoch().count() >= since)
        this->resumedAt.compare_exchange_strong(since, 0);
}

bool PauseDetector::mayAct() const
{
    return this->resumedAt.load() == 0 && !this->clockJumped(this->clock.now());
}

} // namespace jaytrack
