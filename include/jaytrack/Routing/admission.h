// Decides on arrival whether a request may be served, under one configuration and the age of that
// configuration's last confirmation.
//
// An instance that is cut off from the store keeps serving for minutes. During that time it may
// continue to serve routes that were valid, but it must not accept a key that may have been
// revoked, and it must not deny what a newer configuration may allow.
#ifndef JAYTRACK_ROUTING_ADMISSION_H
#define JAYTRACK_ROUTING_ADMISSION_H

#include "jaytrack/Routing/dialect.h"

#include <optional>

namespace jaytrack {

// Maximum ages of a confirmation, measured on a clock that keeps running while the machine is
// suspended.
struct AdmissionBounds
{
    // A revoked key must stop working everywhere within the operators' bound. A request with a key
    // is therefore refused once the last confirmation is older than that bound minus a margin,
    // which covers a machine that stalls between this decision and the sending of the request.
    Duration keyFreshness = std::chrono::milliseconds(4500);

    // A change is in force everywhere within this time. A denial based on an older configuration
    // might deny what is allowed by now.
    Duration denialFreshness = std::chrono::milliseconds(2000);
};

struct AdmissionInputs
{
    const RoutingTable *table = nullptr; // null until a configuration has been received
    Duration age{0};                     // time since the table was last confirmed
    // Set during a graceful shutdown: the time until the instance exits in any case.
    std::optional<Duration> endsIn;
    std::string_view host;
    std::string_view path;
    const RequestFacts *facts = nullptr;
};

struct Admission
{
    ResultCode code = ResultCode::Ok;
    const RouteRule *route = nullptr;
    const KeyHolder *holder = nullptr; // null if the route requires no key
};

Admission admit(const AdmissionInputs &inputs, const AdmissionBounds &bounds);

// Returns the host of a request without its port.
std::string_view hostWithoutPort(std::string_view host);

} // namespace jaytrack

#endif
