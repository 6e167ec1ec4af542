#include "jaytrack/Routing/admission.h"

#include <algorithm>

namespace jaytrack {

namespace {

Admission deny(ResultCode code, const AdmissionInputs &inputs, const AdmissionBounds &bounds)
{
    const bool current = inputs.age <= bounds.denialFreshness;
    return {current ? code : ResultCode::ConfigurationStale, nullptr, nullptr};
}

// How long the request may take by its route and its caller.
Duration mayTake(const RouteRule &route, const RequestFacts &facts)
{
    Duration longest = Duration::max();
    if (route.timeout.count() > 0)
        longest = route.timeout;
    return facts.timeLeft ? std::min<Duration>(longest, *facts.timeLeft) : longest;
}

// A stream may outlive the grace of a graceful shutdown, which would cut it, and so may any request
// that comes late in it. Its caller is better served by coming back at once to an instance that
// stays.
bool mayOutliveInstance(const AdmissionInputs &inputs, const RouteRule &route)
{
    if (!inputs.endsIn)
        return false;
    return isStream(route.kind) || mayTake(route, *inputs.facts) > *inputs.endsIn;
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
