#include "jaytrack/Serve/targetlimits.h"

#include "jaytrack/Support/log.h"

namespace jaytrack {

namespace {

constexpr int firstSuccessStatus = 200;
constexpr int firstNonSuccessStatus = 300;

} // namespace

void updateTargetLimit(LimitGate &limits, std::string_view target, const ResponseHead &answer)
{
    if (const auto limit = parseRequestRate(findHeader(answer.headers, targetLimitHeader)))
        limits.recordLimit(target, *limit);
}

void updateTargetLimit(LimitGate &limits, std::string_view target, const ResponseHead &answer,
                       Duration sentAgo)
{
    updateTargetLimit(limits, target, answer);
    const bool served =
            answer.status >= firstSuccessStatus && answer.status < firstNonSuccessStatus;
    if (served && findHeader(answer.headers, targetLimitHeader).empty())
        limits.recordNoLimit(target, sentAgo);
}

void logPermitDenied(std::string_view requestId, std::string_view target, const Permit &permit)
{
    logEvent(Severity::Info, "permit_denied",
             {{"id", requestId},
              {"target", target},
              {"keeper", permit.owner},
              {"wait_ms", toMillis(permit.wait)}});
}

} // namespace jaytrack
