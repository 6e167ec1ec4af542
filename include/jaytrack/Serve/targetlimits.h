// Reads the rate limits that targets announce in response headers, and logs denied permits.
#ifndef JAYTRACK_SERVE_TARGETLIMITS_H
#define JAYTRACK_SERVE_TARGETLIMITS_H

#include "jaytrack/Limits/limitgate.h"
#include "jaytrack/Net/message.h"

#include <span>
#include <string_view>

namespace jaytrack {

// Response header with a target's rate limit, in requests per second over all instances.
inline constexpr std::string_view targetLimitHeader = "Target-Limit";

struct ResponseHead
{
    int status = 0;
    std::span<const HttpHeader> headers;
};

// Updates the target's limit from the response to a caller's request that was sent the given time
// ago. A response without the header removes the limit only if its status is 2xx.
void updateTargetLimit(LimitGate &limits, std::string_view target, const ResponseHead &answer,
                       Duration sentAgo);

// Updates the target's limit from the response to the instance's own poll. Such a response never
// removes a limit.
void updateTargetLimit(LimitGate &limits, std::string_view target, const ResponseHead &answer);

void logPermitDenied(std::string_view requestId, std::string_view target, const Permit &permit);

} // namespace jaytrack

#endif
