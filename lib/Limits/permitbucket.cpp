#include "jaytrack/Limits/permitbucket.h"

#include <algorithm>

namespace jaytrack {

namespace {

// An instance that still needs a permit requests it again within this time.
constexpr std::chrono::seconds requesterRetention{3};

// Requests that are sent without a permit are charged to at most this many future permits. Without
// this bound, a target that received many of them would get no other request for a long time.
constexpr double maxDebt = 4;

} // namespace

double PermitBucket::permitsAt(TimePoint now, const Rate &rate) const
{
    const double passed = std::chrono::duration<double>(now - this->refilledAt).count();
    return std::min(rate.capacity, this->permits + passed * rate.perSecond);
}

void PermitBucket::refill(TimePoint now, const Rate &rate)
{
    this->permits = this->permitsAt(now, rate);
    this->refilledAt = now;
}

std::optional<Duration> PermitBucket::tryTake(TimePoint now, const Rate &rate, Duration within)
{
    this->refill(now, rate);
    const Duration wait = this->timeToNextPermit(now, rate);
    if (this->permits < 1 && (rate.perSecond <= 0 || wait > within))
        return std::nullopt;
    this->permits -= 1;
    return wait;
}

void PermitBucket::charge(TimePoint now, const Rate &rate)
{
    this->refill(now, rate);
    this->permits = std::max(-maxDebt, this->permits - 1);
}

Duration PermitBucket::timeToNextPermit(TimePoint now, const Rate &rate) const
{
    const double missing = 1 - this->permitsAt(now, rate);
    if (missing <= 0 || rate.perSecond <= 0)
        return Duration(0);
    const std::chrono::duration<double> wait(missing / rate.perSecond);
    return std::chrono::duration_cast<Duration>(wait);
}

std::size_t PermitBucket::recordRequester(TimePoint now, std::string_view instance)
{
    std::erase_if(this->requesters, [now](const auto &requester) {
        return requester.second.at < now - requesterRetention;
    });
    this->requesters.try_emplace(std::string(instance)).first->second.at = now;
    return this->requesters.size();
}

void PermitBucket::recordGrant(std::string_view instance, std::int64_t serial, TimePoint accruesAt)
{
    const auto found = this->requesters.find(instance);
    if (found == this->requesters.end())
        return;
    found->second.grantedSerial = serial;
    found->second.accruesAt = accruesAt;
}

std::optional<TimePoint> PermitBucket::grantOf(std::string_view instance, std::int64_t serial) const
{
    const auto found = this->requesters.find(instance);
    if (found == this->requesters.end() || serial == 0 || found->second.grantedSerial != serial)
        return std::nullopt;
    return found->second.accruesAt;
}

} // namespace jaytrack
