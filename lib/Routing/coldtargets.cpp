#include "jaytrack/Routing/coldtargets.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace jaytrack {

namespace {

// A cold period that grows by less than this is not reported as new, because each heartbeat of a
// cold target reports the remaining time again.
constexpr std::chrono::milliseconds minExtension{200};

} // namespace

ColdTargets::ColdTargets(const Clock &time, std::string ownName, ColdBound coldBound,
                         bool expectsOthers, ColdTargetOptions initialOptions)
    : clock(time)
    , bound(coldBound)
    , othersExpected(expectsOthers)
    , options(initialOptions)
    , startedAt(time.now())
    , fleet(time)
    , ranking(std::move(ownName))
{
}

void ColdTargets::setInstances(std::span<const std::string> others)
{
    this->fleet.setInstances(others);
    this->ranking.setOthers(this->fleet.names());
}

void ColdTargets::dropWarm()
{
    const TimePoint oldest = this->clock.now() - this->options.window;
    std::erase_if(this->accounts,
                  [oldest](const auto &entry) { return entry.second.coldUntil < oldest; });
}

bool ColdTargets::recordCold(std::string_view target, Duration remaining)
{
    if (remaining <= Duration(0))
        return false;
    this->dropWarm();
    Account &account = this->accounts[std::string(target)];
    const TimePoint until = this->clock.now() + remaining;
    const bool isExtended = until > account.coldUntil + minExtension;
    account.coldUntil = std::max(account.coldUntil, until);
    return isExtended;
}

Duration ColdTargets::coldFor(std::string_view target) const
{
    const auto found = this->accounts.find(target);
    if (found == this->accounts.end())
        return Duration(0);
    return std::max(Duration(0), found->second.coldUntil - this->clock.now());
}

bool ColdTargets::knowsFleet() const
{
    const bool alone = this->othersExpected && this->ranking.count() == 1;
    return !alone && this->clock.now() - this->startedAt >= this->options.settleTime;
}

std::size_t ColdTargets::allowance(std::string_view target, double ownRate) const
{
    const double maxRate = ownRate * this->bound.overage + this->bound.extra;
    const double usableRate = std::min(ownRate, maxRate * this->options.usablePart);
    const auto total = static_cast<std::size_t>(std::max(1.0, std::floor(usableRate)));
    const std::size_t senders = std::min(total, this->ranking.count());
    return this->ranking.ownRank(target) < senders ? total / senders : 0;
}

Duration ColdTargets::wait(std::string_view target, double ownRate) const
{
    const Duration cold = this->coldFor(target);
    if (cold == Duration(0) || ownRate <= 0)
        return Duration(0);
    if (!this->knowsFleet())
        return std::min(cold, this->options.recheckInterval);
    const std::size_t allowed = this->allowance(target, ownRate);
    if (allowed == 0)
        return cold;
    const TimePoint now = this->clock.now();
    const std::deque<TimePoint> &sends = this->accounts.find(target)->second.sends;
    const TimePoint oldest = now - this->options.window;
    const auto first = std::upper_bound(sends.begin(), sends.end(), oldest);
    if (static_cast<std::size_t>(sends.end() - first) < allowed)
        return Duration(0);
    const TimePoint blocking = *(sends.end() - static_cast<std::ptrdiff_t>(allowed));
    return std::min(cold, blocking - oldest);
}

void ColdTargets::recordSend(std::string_view target)
{
    const auto found = this->accounts.find(target);
    if (found == this->accounts.end())
        return;
    const TimePoint now = this->clock.now();
    std::deque<TimePoint> &sends = found->second.sends;
    while (!sends.empty() && sends.front() <= now - this->options.window)
        sends.pop_front();
    sends.push_back(now);
}

} // namespace jaytrack
