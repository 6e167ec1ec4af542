#include "jaytrack/Limits/advertisedlimits.h"

#include <algorithm>
#include <cmath>

namespace jaytrack {

namespace {

// Changes of a limit by at most this fraction are not sent to other instances, because each answer
// may advertise a slightly different limit.
constexpr double reportedChange = 0.05;

// An ended limit is kept for longer than messages of other instances about it may be in transit.
constexpr std::chrono::seconds endedRetention{60};

// A limit that no instance has seen in an answer for this long belongs to a target that has
// terminated or gets no requests.
constexpr std::chrono::minutes limitRetention{10};

} // namespace

void AdvertisedLimits::removeExpired()
{
    const TimePoint now = this->clock.now();
    std::erase_if(this->entries, [now](const auto &entry) {
        return entry.second.isLimited() ? entry.second.namedAt < now - limitRetention
                                        : *entry.second.endedAt < now - endedRetention;
    });
}

bool AdvertisedLimits::recordLimit(std::string_view target, double perSecond, Duration ago)
{
    this->removeExpired();
    const TimePoint at = this->clock.now() - ago;
    const auto [found, isNew] = this->entries.try_emplace(std::string(target));
    Entry &entry = found->second;
    if (!isNew && at < entry.namedAt)
        return false;
    const bool wasLimited = !isNew && entry.isLimited();
    const double before = entry.perSecond;
    entry.perSecond = perSecond;
    entry.namedAt = at;
    if (!entry.isLimited())
        return false;
    return !wasLimited || std::abs(perSecond - before) > before * reportedChange;
}

bool AdvertisedLimits::recordNoLimit(std::string_view target, Duration sentAgo)
{
    const auto found = this->entries.find(target);
    if (found == this->entries.end())
        return false;
    Entry &entry = found->second;
    const bool wasLimited = entry.isLimited();
    const TimePoint at = this->clock.now() - sentAgo;
    entry.endedAt = std::max(entry.endedAt.value_or(at), at);
    return wasLimited && !entry.isLimited();
}

std::optional<double> AdvertisedLimits::find(std::string_view target) const
{
    const auto found = this->entries.find(target);
    if (found == this->entries.end() || !found->second.isLimited())
        return std::nullopt;
    return found->second.perSecond;
}

std::optional<AdvertisedLimits::State> AdvertisedLimits::stateOf(std::string_view target) const
{
    const auto found = this->entries.find(target);
    if (found == this->entries.end())
        return std::nullopt;
    const TimePoint now = this->clock.now();
    const Entry &entry = found->second;
    State state{std::string(target), entry.perSecond, now - entry.namedAt, std::nullopt};
    if (entry.endedAt)
        state.endedAgo = now - *entry.endedAt;
    return state;
}

std::vector<std::string> AdvertisedLimits::limited() const
{
    std::vector<std::string> targets;
    for (const auto &[target, entry] : this->entries) {
        if (entry.isLimited())
            targets.push_back(target);
    }
    return targets;
}

void AdvertisedLimits::forget(std::string_view target)
{
    const auto found = this->entries.find(target);
    if (found != this->entries.end())
        this->entries.erase(found);
}

} // namespace jaytrack
