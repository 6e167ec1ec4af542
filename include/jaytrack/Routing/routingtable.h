// The operators' rules as an entry instance applies them: which requests exist, whom they belong
// to, where they may run and what may be repeated. Immutable once built, so that a request is
// decided under one version from its arrival to its end.
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

// What may be done again with a request. Only Idempotent and ResumableStream may run twice.
enum class RequestKind { Idempotent, Once, OnceStream, ResumableStream };

bool isStream(RequestKind kind);
bool mayRunAgain(RequestKind kind);

// The word for a kind in logs and metrics.
std::string_view kindName(RequestKind kind);

// Regions to which requests may go; empty for all. Where several rules name some, all of them bind.
using AllowedRegions = std::vector<std::string>;

// A region that is not known is in none of those that are named.
bool allowsRegion(const AllowedRegions &regions, std::string_view region);

// A share of a route's requests that goes to one service.
struct ServiceShare
{
    std::string service;
    std::uint32_t weight = 1;
};

// One rule that admits requests.
struct RouteRule
{
    std::string name;
    std::string host;
    std::string prefix;
    RequestKind kind = RequestKind::Once;
    std::chrono::milliseconds timeout{0};   // longest time to keep a caller waiting; 0 is unbounded
    std::chrono::milliseconds objective{0}; // an answer within it earns its full worth
    std::chrono::milliseconds longestPause{0}; // between two events of a stream
    int priority = 0;                          // 0 is the most urgent
    int maxAttempts = 1;
    bool needsKey = true;
    std::vector<ServiceShare> services;
    AllowedRegions regions;
};

// What a model engine offers beyond a plain service.
struct EngineTraits
{
    int slots = 0;
    std::uint32_t memoryTokens = 0;
    std::uint32_t bytesPerToken = 0;
    double linkMbps = 0;
    std::uint32_t tokensPerEvent = 1;
    bool movesRuns = false;
    bool keepsBackups = false;
    std::chrono::milliseconds handleLife{0}; // how long a copy waits at its destination
};

// What a target that has just started, or fell back to that, bears.
struct ColdTraits
{
    double requestsPerSecond = 0; // from all instances together; 0 is unbounded
    std::chrono::milliseconds lasts{0};
};

// The targets that do one kind of work.
struct ServiceRule
{
    std::string name;
    std::string healthPath;
    int maxConnections = 0; // at each target, from all callers together; 0 is unbounded
    ColdTraits cold;
    std::optional<EngineTraits> engine;
};

// Bounds on what a caller may send.
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
    std::optional<int> priority; // goes before the route's
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

    // The rule with the longest prefix that begins the path, among those of the host; null if none.
    const RouteRule *match(std::string_view host, std::string_view path) const;

    // The holder of a key; null if no customer holds it.
    const KeyHolder *holderOf(std::string_view key) const;

    const ServiceRule *serviceNamed(std::string_view name) const;

    // The service for a request, drawn by weight with a number in [0, 1).
    static const std::string &pickService(const RouteRule &route, double draw);
};

} // namespace jaytrack

#endif
