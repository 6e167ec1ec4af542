// Whether a request may be served at all: decided once, on arrival, under one configuration and the
// age of its last confirmation.
//
// Load that it answers: instances cut off from the store go on serving for minutes. What they may
// do meanwhile differs: serving a route that everybody knew is right, serving a key that may have
// been taken away is not, and neither is denying what a newer configuration may allow.
#ifndef JAYTRACK_ROUTING_ADMISSION_H
#define JAYTRACK_ROUTING_ADMISSION_H

#include "jaytrack/Routing/dialect.h"

#include <optional>

namespace jaytrack {

// How old a confirmation may be, counted on a clock that runs on while the machine is suspended.
struct AdmissionBounds
{
    // A key taken away stops working everywhere within the operators' bound, so a keyed request is
    // refused once the last confirmation is older than that bound less a margin for a machine that
    // is held up between this decision and the request's leaving.
    Duration keyFreshness = std::chrono::milliseconds(4500);

    // Within this time a change is in force everywhere; a denial on an older view might deny what
    // is allowed by now.
    Duration denialFreshness = std::chrono::milliseconds(2000);
};

struct AdmissionInputs
{
    const RoutingTable *table = nullptr; // null while none is known
    Duration age{0};                     // since the table was confirmed
    // Set while this instance is stopping: the time after which it ends in any case.
    std::optional<Duration> endsIn;
    std::string_view host;
    std::string_view path;
    const RequestFacts *facts = nullptr;
};

struct Admission
{
    ResultCode code = ResultCode::Ok;
    const RouteRule *route = nullptr;
    const KeyHolder *holder = nullptr; // null on a route that needs no key
};

Admission admit(const AdmissionInputs &inputs, const AdmissionBounds &bounds);

// The host of a request without its port.
std::string_view hostWithoutPort(std::string_view host);

} // namespace jaytrack

#endif
