#include "jaytrack/Routing/knownfleet.h"

#include <algorithm>
#include <set>

namespace jaytrack {

void KnownFleet::setInstances(std::span<const std::string> others)
{
    const TimePoint now = this->clock.now();
    const std::set<std::string_view> up(others.begin(), others.end());
    for (auto &[name, instance] : this->known) {
        if (!instance.goneSince && up.count(name) == 0)
            instance.goneSince = now;
    }
    for (const std::string &name : others) {
        const auto [found, isNew] = this->known.try_emplace(name, Instance{now, {}});
        Instance &instance = found->second;
        if (!isNew && instance.goneSince && now >= this->absenceDeadline(instance))
            instance.upSince = now;
        instance.goneSince.reset();
    }
    const TimePoint oldest = now - this->options.retention;
    std::erase_if(this->known, [oldest](const auto &entry) {
        return entry.second.goneSince && *entry.second.goneSince < oldest;
    });
}

std::vector<std::string> KnownFleet::names() const
{
    std::vector<std::string> all;
    all.reserve(this->known.size());
    for (const auto &[name, instance] : this->known)
        all.push_back(name);
    return all;
}

std::size_t KnownFleet::countUp() const
{
    return static_cast<std::size_t>(
            std::count_if(this->known.begin(), this->known.end(),
                          [](const auto &entry) { return !entry.second.goneSince; }));
}

bool KnownFleet::isUp(std::string_view name) const
{
    const auto found = this->known.find(name);
    return found != this->known.end() && !found->second.goneSince;
}

} // namespace jaytrack
