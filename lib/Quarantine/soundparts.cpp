#include "jaytrack/Quarantine/soundparts.h"

#include <algorithm>

namespace jaytrack {

void SoundParts::record(std::string_view software, std::string_view part, TimePoint beganAt)
{
    auto &byAge = this->parts.get<1>();
    const auto found = this->parts.find(std::make_tuple(part, software));
    if (found != this->parts.end()) {
        this->parts.modify(found, [beganAt](Entry &entry) {
            entry.beganAt = std::max(entry.beganAt, beganAt);
        });
        byAge.relocate(byAge.end(), this->parts.project<1>(found));
        return;
    }
    if (this->parts.size() >= this->options.maxParts)
        byAge.pop_front();
    this->parts.insert({std::string(part), std::string(software), beganAt});
}

void SoundParts::recordRun(std::string_view software, TimePoint beganAt)
{
    const auto found = this->runs.find(software);
    if (found != this->runs.end()) {
        found->second = std::max(found->second, beganAt);
        return;
    }
    if (this->runs.size() >= this->options.maxSoftware) {
        this->runs.erase(std::min_element(
                this->runs.begin(), this->runs.end(),
                [](const auto &left, const auto &right) { return left.second < right.second; }));
    }
    this->runs.emplace(software, beganAt);
}

std::optional<TimePoint> SoundParts::lastRun(std::string_view software, std::string_view part) const
{
    const auto found = this->parts.find(std::make_tuple(part, software));
    if (found == this->parts.end() || !this->isCurrent(found->beganAt))
        return std::nullopt;
    return found->beganAt;
}

std::optional<TimePoint> SoundParts::lastRunOfAny(std::string_view software) const
{
    const auto found = this->runs.find(software);
    if (found == this->runs.end() || !this->isCurrent(found->second))
        return std::nullopt;
    return found->second;
}

bool SoundParts::runsElsewhere(std::string_view software, std::string_view part) const
{
    const auto [first, last] = this->parts.equal_range(std::make_tuple(part));
    return std::any_of(first, last, [this, software](const Entry &entry) {
        return entry.software != software && this->isCurrent(entry.beganAt);
    });
}

} // namespace jaytrack
