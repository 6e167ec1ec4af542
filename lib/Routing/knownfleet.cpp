#include "jaytrack/Routing/knownfleet.h"

namespace jaytrack {

void KnownFleet::setInstances(std::span<const std::string> others)
{
    const TimePoint now = this->clock.now();
    std::map<std::string, TimePoint, std::less<>> fresh;
    for (const std::string &name : others) {
        const auto known = this->upSince.find(name);
        fresh.emplace(name, known == this->upSince.end() ? now : known->second);
    }
    for (const auto &[name, since] : this->upSince) {
        if (fresh.count(name) == 0)
            this->lastUp.insert_or_assign(name, now);
    }
    this->upSince = std::move(fresh);
    const TimePoint oldest = now - this->remembered;
    std::erase_if(this->lastUp, [this, oldest](const auto &entry) {
        return entry.second < oldest || this->upSince.count(entry.first) > 0;
    });
}

std::vector<std::string> KnownFleet::names() const
{
    std::vector<std::string> all;
    all.reserve(this->count());
    for (const auto &[name, since] : this->upSince)
        all.push_back(name);
    for (const auto &[name, seenAt] : this->lastUp)
        all.push_back(name);
    return all;
}

} // namespace jaytrack
