#include "jaytrack/Serve/limitwords.h"

#include "jaytrack/Support/log.h"

namespace jaytrack {

namespace {

constexpr int firstGoodStatus = 200;
constexpr int afterGoodStatus = 300;

} // namespace

void hearTargetLimit(LimitGate &limits, std::string_view target, const AnswerHead &answer)
{
    if (const auto limit = parseRequestRate(findHeader(answer.headers, targetLimitHeader)))
        limits.recordLimit(target, *limit);
}

void hearTargetLimit(LimitGate &limits, std::string_view target, const AnswerHead &answer,
                     Duration sentAgo)
{
    hearTargetLimit(limits, target, answer);
    const bool served = answer.status >= firstGoodStatus && answer.status < afterGoodStatus;
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
