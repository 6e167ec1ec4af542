// How targets of the daemon's own interface name limits, and what the log says of permits.
#ifndef JAYTRACK_SERVE_LIMITWORDS_H
#define JAYTRACK_SERVE_LIMITWORDS_H

#include "jaytrack/Limits/limitgate.h"
#include "jaytrack/Net/message.h"

#include <span>
#include <string_view>

namespace jaytrack {

// The header by which a target names its limit, in requests a second over all instances.
inline constexpr std::string_view targetLimitHeader = "Target-Limit";

struct AnswerHead
{
    int status = 0;
    std::span<const HttpHeader> headers;
};

// Takes what a target says in the answer to a caller's request, which was sent so long ago. Only
// one that was served ends a limit by naming none.
void hearTargetLimit(LimitGate &limits, std::string_view target, const AnswerHead &answer,
                     Duration sentAgo);

// The same of an answer to the instance's own question, which ends none.
void hearTargetLimit(LimitGate &limits, std::string_view target, const AnswerHead &answer);

void logPermitDenied(std::string_view requestId, std::string_view target, const Permit &permit);

} // namespace jaytrack

#endif
