#include "jaytrack/Cluster/wakefulness.h"

namespace jaytrack {

Wakefulness::Wakefulness(const Clock &time, Duration longestPause)
    : clock(time)
    , limit(longestPause)
    , lastTick(time.now().time_since_epoch().count())
{
}

bool Wakefulness::jumped(TimePoint now) const
{
    const TimePoint last{Duration(this->lastTick.load())};
    return now - last > this->limit;
}

void Wakefulness::tick()
{
    const TimePoint now = this->clock.now();
    if (this->jumped(now)) {
        this->asleepUntil.store(now.time_since_epoch().count());
        this->wakings.fetch_add(1);
    }
    this->lastTick.store(now.time_since_epoch().count());
}

// An answer to a question from before the waking may be as old as the question, so it does not
// count as fresh.
void Wakefulness::refreshed(TimePoint askedAt)
{
    Duration::rep since = this->asleepUntil.load();
    if (since != 0 && askedAt.time_since_epoch().count() >= since)
        this->asleepUntil.compare_exchange_strong(since, 0);
}

bool Wakefulness::mayAct() const
{
    return this->asleepUntil.load() == 0 && !this->jumped(this->clock.now());
}

} // namespace jaytrack
