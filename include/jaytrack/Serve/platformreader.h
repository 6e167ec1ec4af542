// Reads what the platform publishes: the configuration document, by one waiting watch, and the
// lagging list of instances.
#ifndef JAYTRACK_SERVE_PLATFORMREADER_H
#define JAYTRACK_SERVE_PLATFORMREADER_H

#include "jaytrack/Support/clock.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

namespace jaytrack {

class HttpClient;
struct FetchedAnswer;

// One entry of the platform's list of instances.
struct ListedInstance
{
    std::string name;
    std::string peerAddress;
    bool leaving = false;
};

// Hears what the platform says.
class PlatformListener
{
public:
    virtual ~PlatformListener() = default;
    virtual void onDocument(std::string bytes, std::uint64_t revision, TimePoint askedAt) = 0;

    // The service answered that nothing is newer than the revision asked about.
    virtual void onUnchanged(TimePoint askedAt) = 0;
    virtual void onInstances(std::vector<ListedInstance> instances, TimePoint askedAt) = 0;
    virtual std::uint64_t revisionInForce() = 0;
};

// The platform as an instance sees it.
class Platform
{
public:
    virtual ~Platform() = default;

    // Does what is due; called about ten times a second from one thread.
    virtual void tick() = 0;
};

// Reads both over HTTP. At most one read of the document waits at any time; after a failure the
// next comes after a jittered, doubling pause, so that a fleet does not return in step.
std::unique_ptr<Platform> makeHttpPlatform(HttpClient &client, const Clock &clock,
                                           std::uint64_t seed, std::string configUrl,
                                           std::string instancesUrl, PlatformListener &listener);

} // namespace jaytrack

#endif
