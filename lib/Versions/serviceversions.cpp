#include "jaytrack/Versions/serviceversions.h"

#include <algorithm>

namespace jaytrack {

bool ServiceVersions::recordListed(std::string_view service, std::string_view version, Duration ago)
{
    Versions &versions = this->services[std::string(service)];
    const bool mixedBefore = this->isMixed(versions);
    const auto [entry, isNew] = versions.try_emplace(std::string(version));
    entry->second = std::max(entry->second, this->clock.now() - ago);
    // While a service has one version its time is not kept up to date.
    return isNew || (versions.size() > 1 && !mixedBefore);
}

bool ServiceVersions::isMixed(const Versions &versions) const
{
    if (versions.size() < 2)
        return false;
    const TimePoint since = this->clock.now() - maxStreamLife;
    return std::count_if(versions.begin(), versions.end(),
                         [since](const auto &version) { return version.second > since; }) > 1;
}

bool ServiceVersions::isMixed(std::string_view service) const
{
    const auto found = this->services.find(service);
    return found != this->services.end() && this->isMixed(found->second);
}

std::vector<std::string> ServiceVersions::mixedServices() const
{
    std::vector<std::string> mixed;
    for (const auto &[service, versions] : this->services) {
        if (this->isMixed(versions))
            mixed.push_back(service);
    }
    return mixed;
}

std::vector<ServedVersion> ServiceVersions::mixedVersions() const
{
    std::vector<ServedVersion> all;
    const TimePoint now = this->clock.now();
    for (const std::string &service : this->mixedServices()) {
        for (const auto &[version, listedAt] : this->services.find(service)->second)
            all.push_back({service, version, now - listedAt});
    }
    return all;
}

} // namespace jaytrack
