#include "jaytrack/Limits/refusalcontrol.h"

#include <algorithm>
#include <cmath>

namespace jaytrack {

namespace {

constexpr double smoothing = 0.2;

// Estimates for a service that has not served a request of this instance yet.
constexpr int unknownSlots = 4;
constexpr double unknownSeconds = 0.1;

constexpr double minSeconds = 0.001;

} // namespace

RefusalControl::RefusalControl(const Clock &time, RefusalControlOptions initialOptions)
    : clock(time)
    , options(initialOptions)
{
}

bool RefusalControl::recordBrittle(std::string_view target, double toleratedRefusals)
{
    const bool known = this->isBrittle(target);
    this->announcements.insert_or_assign(std::string(target),
                                         Announcement{toleratedRefusals, this->clock.now()});
    return !known;
}

bool RefusalControl::recordSound(std::string_view target, Duration sentAgo)
{
    const auto found = this->announcements.find(target);
    if (found == this->announcements.end() || this->clock.now() - sentAgo <= found->second.at)
        return false;
    const bool known = this->isBrittle(target);
    this->announcements.erase(found);
    return known;
}

bool RefusalControl::isBrittle(std::string_view target) const
{
    const auto found = this->announcements.find(target);
    return found != this->announcements.end() &&
           this->clock.now() - found->second.at < this->options.memory;
}

std::vector<std::string> RefusalControl::recordServed(std::string_view service, int slots,
                                                      Duration took)
{
    const double seconds = std::max(minSeconds, std::chrono::duration<double>(took).count());
    const auto [found, isNew] = this->services.try_emplace(std::string(service));
    Performance &seen = found->second;
    seen.slots = slots;
    seen.secondsPerRequest =
            isNew ? seconds
                  : seen.secondsPerRequest + smoothing * (seconds - seen.secondsPerRequest);
    std::vector<std::string> targets;
    std::erase_if(this->estimatedTargets, [&targets, service](const auto &entry) {
        if (entry.second != service)
            return false;
        targets.push_back(entry.first);
        return true;
    });
    return targets;
}

double RefusalControl::estimatedRate(std::string_view service) const
{
    const auto found = this->services.find(service);
    if (found == this->services.end() || found->second.slots <= 0)
        return unknownSlots / unknownSeconds;
    return found->second.slots / found->second.secondsPerRequest;
}

double RefusalControl::decreaseFor(std::string_view target) const
{
    const auto found = this->announcements.find(target);
    const double tolerated = found != this->announcements.end() ? found->second.tolerated : 1;
    const double refusals = std::max(1.0, tolerated) * this->options.plannedRefusals;
    return std::pow(this->options.growth, -1 / refusals);
}

double RefusalControl::rateAfterRefusal(std::string_view target, std::string_view service,
                                        std::optional<double> inForce)
{
    if (inForce)
        return *inForce * this->decreaseFor(target);
    if (!this->services.contains(service))
        this->estimatedTargets.insert_or_assign(std::string(target), std::string(service));
    return this->options.firstShare * this->estimatedRate(service);
}

// The rate may have been lowered since by refusals, so it is scaled. It has grown too, and several
// instances may correct it, so it does not exceed the first rate of a service that is known.
std::optional<double> RefusalControl::correctedRate(std::string_view service,
                                                    std::optional<double> inForce) const
{
    if (!inForce)
        return std::nullopt;
    const double estimated = this->estimatedRate(service);
    const double scaled = *inForce * estimated / (unknownSlots / unknownSeconds);
    const double rate = std::min(scaled, this->options.firstShare * estimated);
    return rate > *inForce ? std::optional(rate) : std::nullopt;
}

// Requests arrive evenly spaced, since a brittle target has hardly any queue.
TargetLimitOptions RefusalControl::permitOptions(const RefusalControlOptions &options)
{
    TargetLimitOptions permits;
    permits.burstPermits = 1;
    permits.permitsPerDecrease = 3;
    permits.burstSeconds = 0;
    permits.requestsPerPermit = 8;
    permits.maxReservation = std::chrono::milliseconds(25);
    // Two consecutive round trips are often lost where a fifth of the messages are. An instance
    // that skips the owner then gets permits from another, which are not spaced with those of the
    // first.
    permits.missesToSkip = 4;
    permits.resendTimeout = std::chrono::milliseconds(15);
    permits.growthPerSecond = options.growth;
    permits.lifetime = std::chrono::seconds(20);
    return permits;
}

void RefusalControl::forget(std::string_view target)
{
    const auto found = this->announcements.find(target);
    if (found != this->announcements.end())
        this->announcements.erase(found);
    const auto rate = this->estimatedTargets.find(target);
    if (rate != this->estimatedTargets.end())
        this->estimatedTargets.erase(rate);
}

} // namespace jaytrack
