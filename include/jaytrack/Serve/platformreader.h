// Reads the configuration document from the platform by long polling, and the platform's list of
// instances, which may be out of date.
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

// Receives the results of the reads.
class PlatformListener
{
public:
    virtual ~PlatformListener() = default;
    virtual void onDocument(std::string bytes, std::uint64_t revision, TimePoint requestedAt) = 0;

    // The configuration service has no newer revision than the requested one.
    virtual void onUnchanged(TimePoint requestedAt) = 0;
    virtual void onInstances(std::vector<ListedInstance> instances, TimePoint requestedAt) = 0;
    virtual std::uint64_t revisionInForce() = 0;
};

class Platform
{
public:
    virtual ~Platform() = default;

    // Starts the reads that are due. Called about 50 times a second from one thread.
    virtual void tick() = 0;
};

// Reads both over HTTP. At most one read of the document is in flight at a time. After a failure
// the next read is delayed by an exponential back-off with jitter, so that the instances of a fleet
// do not retry at the same time.
std::unique_ptr<Platform> makeHttpPlatform(HttpClient &client, const Clock &clock,
                                           std::uint64_t seed, std::string configUrl,
                                           std::string instancesUrl, PlatformListener &listener);

} // namespace jaytrack

#endif
