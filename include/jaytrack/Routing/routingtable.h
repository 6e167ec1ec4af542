// The operators' rules as an instance applies them: which requests are accepted, to which customer
// they belong, in which regions they may run and which of them may be repeated. A table is
// immutable once built, so that a request is handled under one version from arrival to completion.
#ifndef JAYTRACK_ROUTING_ROUTINGTABLE_H
#define JAYTRACK_ROUTING_ROUTINGTABLE_H

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace jaytrack {

// Whether a request may be repeated. Only Idempotent and ResumableStream requests may run twice.
enum class RequestKind { Idempotent, Once, OnceStream, ResumableStream };

bool isStream(RequestKind kind);
bool mayRunAgain(RequestKind kind);

// Returns the name of a kind in logs and metrics.
std::string_view kindName(RequestKind kind);

// Regions to which requests may go; empty for all. If several rules restrict the regions, all of
// the restrictions apply.
using AllowedRegions = std::vector<std::string>;

// Returns whether the region is allowed. An unknown region is allowed only by an unrestricted list.
bool allowsRegion(const AllowedRegions &regions, std::string_view region);

// A service that receives a share of a route's requests.
struct ServiceShare
{
    std::string service;
    std::uint32_t weight = 1;
};

// A rule that admits requests.
struct RouteRule
{
    std::string name;
    std::string host;
    std::string prefix;
    RequestKind kind = RequestKind::Once;
    std::chrono::milliseconds timeout{0};      // maximum time that a caller waits; 0 is unbounded
    std::chrono::milliseconds objective{0};    // an answer within it has its full value
    std::chrono::milliseconds longestPause{0}; // maximum time between two events of a stream
    int priority = 0;                          // 0 is the most urgent
    int maxAttempts = 1;
    bool needsKey = true;
    std::vector<ServiceShare> services;
    AllowedRegions regions;
};

// Properties that a model engine has in addition to those of a plain service.
struct EngineTraits
{
    int slots = 0;
    std::uint32_t memoryTokens = 0;
    std::uint32_t bytesPerToken = 0;
    double linkMbps = 0;
    std::uint32_t tokensPerEvent = 1;
    bool movesRuns = false;
    bool keepsBackups = false;
    std::chrono::milliseconds handleLifetime{0}; // how long the destination keeps an unused copy
};

// The load that a target accepts after it has started or has become cold again.
struct ColdTraits
{
    double requestsPerSecond = 0; // summed over all instances; 0 is unbounded
    std::chrono::milliseconds duration{0};
};

// A service: a group of targets that do the same work.
struct ServiceRule
{
    std::string name;
    std::string healthPath;
    int maxConnections = 0; // at each target, summed over all callers; 0 is unbounded
    ColdTraits cold;
    std::optional<EngineTraits> engine;
};

// Limits on the requests of a caller.
struct CallerLimits
{
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 4U << 20U;
    std::chrono::milliseconds headerTimeout{3000};
    std::chrono::milliseconds idleTimeout{15000};
};

// A customer as the holder of a key.
struct KeyHolder
{
    std::string customer;
    std::optional<int> priority; // overrides the priority of the route
    AllowedRegions regions = {};
};

class RoutingTable
{
public:
    std::uint64_t version = 0;
    std::vector<RouteRule> routes;
    std::unordered_map<std::string, ServiceRule> services;
    CallerLimits limits;
    bool hasCustomers = false;
    std::unordered_map<std::string, KeyHolder> holders; // by key

    // Returns the rule of the host with the longest prefix that matches the path; null if there is
    // none.
    const RouteRule *match(std::string_view host, std::string_view path) const;

    // Returns the customer that holds the key; null if there is none.
    const KeyHolder *holderOf(std::string_view key) const;

    const ServiceRule *serviceNamed(std::string_view name) const;

    // Selects the service for a request by weight; draw is a random number in [0, 1).
    static const std::string &pickService(const RouteRule &route, double draw);
};

} // namespace jaytrack

#endif
