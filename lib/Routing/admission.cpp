#include "jaytrack/Routing/admission.h"

#include <algorithm>

namespace jaytrack {

namespace {

Admission deny(ResultCode code, const AdmissionInputs &inputs, const AdmissionBounds &bounds)
{
    const bool current = inputs.age <= bounds.denialFreshness;
    return {current ? code : ResultCode::ConfigurationStale, nullptr, nullptr};
}

// Returns how long the request may take according to its route and its caller.
Duration maxRequestTime(const RouteRule &route, const RequestFacts &facts)
{
    Duration limit = Duration::max();
    if (route.timeout.count() > 0)
        limit = route.timeout;
    return facts.timeLeft ? std::min<Duration>(limit, *facts.timeLeft) : limit;
}

// A stream may last longer than the grace period of a graceful shutdown, which would cut it, and so
// may any request that arrives late in that period. Its caller is better served by retrying at once
// at an instance that is not stopping.
bool mayOutliveInstance(const AdmissionInputs &inputs, const RouteRule &route)
{
    if (!inputs.endsIn)
        return false;
    return isStream(route.kind) || maxRequestTime(route, *inputs.facts) > *inputs.endsIn;
}

} // namespace

std::string_view hostWithoutPort(std::string_view host)
{
    return host.substr(0, host.rfind(':'));
}

Admission admit(const AdmissionInputs &inputs, const AdmissionBounds &bounds)
{
    if (inputs.host.empty() || inputs.facts->attemptId.empty())
        return {ResultCode::BadRequest, nullptr, nullptr};
    if (inputs.table == nullptr)
        return {ResultCode::NotReady, nullptr, nullptr};
    const RouteRule *route = inputs.table->match(hostWithoutPort(inputs.host), inputs.path);
    if (route == nullptr)
        return deny(ResultCode::NotFound, inputs, bounds);
    const KeyHolder *holder = nullptr;
    if (inputs.table->hasCustomers && route->needsKey) {
        if (inputs.age > bounds.keyFreshness)
            return {ResultCode::ConfigurationStale, route, nullptr};
        holder = inputs.table->holderOf(inputs.facts->key);
        if (holder == nullptr)
            return deny(ResultCode::UnknownKey, inputs, bounds);
    }
    if (mayOutliveInstance(inputs, *route))
        return {ResultCode::Draining, route, holder};
    return {ResultCode::Ok, route, holder};
}

} // namespace jaytrack
