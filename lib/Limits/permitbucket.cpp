#include "jaytrack/Limits/permitbucket.h"

#include <algorithm>

namespace jaytrack {

namespace {

// Whoever wants a permit asks again within this.
constexpr std::chrono::seconds askerKept{3};

// Requests that could not be held back cost no more than this many permits that are yet to accrue,
// or a target that got many of them would get nothing else for long.
constexpr double mostOwed = 4;

} // namespace

double LimitAccount::permitsAt(TimePoint now, const Rate &rate) const
{
    const double passed = std::chrono::duration<double>(now - this->accruedAt).count();
    return std::min(rate.saved, this->permits + passed * rate.perSecond);
}

void LimitAccount::accrue(TimePoint now, const Rate &rate)
{
    this->permits = this->permitsAt(now, rate);
    this->accruedAt = now;
}

bool LimitAccount::take(TimePoint now, const Rate &rate)
{
    this->accrue(now, rate);
    if (this->permits < 1)
        return false;
    this->permits -= 1;
    return true;
}

void LimitAccount::spend(TimePoint now, const Rate &rate)
{
    this->accrue(now, rate);
    this->permits = std::max(-mostOwed, this->permits - 1);
}

Duration LimitAccount::untilNext(TimePoint now, const Rate &rate) const
{
    const double missing = 1 - this->permitsAt(now, rate);
    if (missing <= 0 || rate.perSecond <= 0)
        return Duration(0);
    const std::chrono::duration<double> wait(missing / rate.perSecond);
    return std::chrono::duration_cast<Duration>(wait);
}

std::size_t LimitAccount::noteAsker(TimePoint now, std::string_view instance)
{
    std::erase_if(this->askers,
                  [now](const auto &asker) { return asker.second < now - askerKept; });
    this->askers.insert_or_assign(std::string(instance), now);
    return this->askers.size();
}

} // namespace jaytrack
