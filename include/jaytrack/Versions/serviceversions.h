// Which versions of their software the targets of each service have had lately.
#ifndef JAYTRACK_VERSIONS_SERVICEVERSIONS_H
#define JAYTRACK_VERSIONS_SERVICEVERSIONS_H

#include "jaytrack/Support/clock.h"

#include <chrono>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace jaytrack {

// How long ago a target of the service with this version was listed last.
struct ServedVersion
{
    std::string service;
    std::string version;
    Duration ago{0};
};

class ServiceVersions
{
public:
    // The longest time from the first event of a stream to its caller's last attempt to take it up:
    // two attempts of forty seconds each, and pauses between them.
    static constexpr Duration maxStreamLife = std::chrono::seconds(120);

    explicit ServiceVersions(const Clock &time)
        : clock(time)
    {
    }

    // Records that a target with this version is listed, or was so long ago. Returns whether the
    // times of the service's other versions are out of date and have to be recorded too.
    bool recordListed(std::string_view service, std::string_view version, Duration ago = {});

    // Whether the service has had more than one version within the life of a stream, so that a
    // stream may have begun at another version than one that is listed now.
    bool isMixed(std::string_view service) const;

    // Returns the services with more than one version.
    std::vector<std::string> mixedServices() const;

    // Returns the versions of those services.
    std::vector<ServedVersion> mixedVersions() const;

private:
    using Versions = std::map<std::string, TimePoint, std::less<>>; // time of the last listing

    bool isMixed(const Versions &versions) const;

    const Clock &clock;
    std::map<std::string, Versions, std::less<>> services;
};

} // namespace jaytrack

#endif
