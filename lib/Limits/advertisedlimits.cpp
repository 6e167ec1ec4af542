#include "jaytrack/Limits/advertisedlimits.h"

#include <algorithm>
#include <cmath>

namespace jaytrack {

namespace {

// A limit that moves by less than this part of it is not told to others: each answer may name a
// slightly different one.
constexpr double newsPart = 0.05;

// An ended limit is remembered for longer than what others say of it may be under way.
constexpr std::chrono::seconds endedKept{60};

// A target that nobody has had an answer of for so long is gone, or gets no requests.
constexpr std::chrono::minutes namedKept{10};

} // namespace

void NamedLimits::dropOld()
{
    const TimePoint now = this->clock.now();
    std::erase_if(this->entries, [now](const auto &entry) {
        return entry.second.isLimited() ? entry.second.namedAt < now - namedKept
                                        : *entry.second.endedAt < now - endedKept;
    });
}

bool NamedLimits::recordLimit(std::string_view target, double perSecond, Duration ago)
{
    this->dropOld();
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
    return !wasLimited || std::abs(perSecond - before) > before * newsPart;
}

bool NamedLimits::recordNoLimit(std::string_view target, Duration sentAgo)
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

std::optional<double> NamedLimits::find(std::string_view target) const
{
    const auto found = this->entries.find(target);
    if (found == this->entries.end() || !found->second.isLimited())
        return std::nullopt;
    return found->second.perSecond;
}

std::optional<NamedLimits::Word> NamedLimits::wordOf(std::string_view target) const
{
    const auto found = this->entries.find(target);
    if (found == this->entries.end())
        return std::nullopt;
    const TimePoint now = this->clock.now();
    const Entry &entry = found->second;
    Word word{std::string(target), entry.perSecond, now - entry.namedAt, std::nullopt};
    if (entry.endedAt)
        word.endedAgo = now - *entry.endedAt;
    return word;
}

std::vector<std::string> NamedLimits::limited() const
{
    std::vector<std::string> targets;
    for (const auto &[target, entry] : this->entries) {
        if (entry.isLimited())
            targets.push_back(target);
    }
    return targets;
}

void NamedLimits::forget(std::string_view target)
{
    const auto found = this->entries.find(target);
    if (found != this->entries.end())
        this->entries.erase(found);
}

} // namespace jaytrack
