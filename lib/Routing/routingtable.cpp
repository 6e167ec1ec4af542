#include "jaytrack/Routing/routingtable.h"

#include <algorithm>

#include <cassert>

namespace jaytrack {

bool isStream(RequestKind kind)
{
    return kind == RequestKind::OnceStream || kind == RequestKind::ResumableStream;
}

bool mayRunAgain(RequestKind kind)
{
    return kind == RequestKind::Idempotent || kind == RequestKind::ResumableStream;
}

std::string_view kindName(RequestKind kind)
{
    switch (kind) {
    case RequestKind::Idempotent:
        return "idempotent";
    case RequestKind::Once:
        return "once";
    case RequestKind::OnceStream:
        return "once_stream";
    case RequestKind::ResumableStream:
        return "resumable_stream";
    }
    return "unknown";
}

bool allowsRegion(const AllowedRegions &regions, std::string_view region)
{
    return regions.empty() || std::find(regions.begin(), regions.end(), region) != regions.end();
}

const RouteRule *RoutingTable::match(std::string_view host, std::string_view path) const
{
    const RouteRule *best = nullptr;
    for (const RouteRule &route : this->routes) {
        if (route.host != host || !path.starts_with(route.prefix))
            continue;
        if (best == nullptr || route.prefix.size() > best->prefix.size())
            best = &route;
    }
    return best;
}

const KeyHolder *RoutingTable::holderOf(std::string_view key) const
{
    const auto found = this->holders.find(std::string(key));
    return found == this->holders.end() ? nullptr : &found->second;
}

const ServiceRule *RoutingTable::serviceNamed(std::string_view name) const
{
    const auto found = this->services.find(std::string(name));
    return found == this->services.end() ? nullptr : &found->second;
}

const std::string &RoutingTable::pickService(const RouteRule &route, double draw)
{
    assert(!route.services.empty() && "a route names at least one service");
    double total = 0;
    for (const ServiceShare &share : route.services)
        total += share.weight;
    double remaining = draw * total;
    for (const ServiceShare &share : route.services) {
        remaining -= share.weight;
        if (remaining < 0)
            return share.service;
    }
    return route.services.back().service;
}

} // namespace jaytrack
