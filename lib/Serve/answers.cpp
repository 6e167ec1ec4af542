#include "jaytrack/Serve/answers.h"

#include <nlohmann/json.hpp>

namespace jaytrack {

std::vector<HttpHeader> outcomeHeaders(ResultCode code, std::string_view requestId)
{
    const ResultCodeInfo &info = describe(code);
    return {{std::string(outcomeHeader), std::string(outcomeName(info.outcome))},
            {std::string(codeHeader), std::to_string(static_cast<int>(code))},
            {std::string(requestHeader), std::string(requestId)}};
}

std::string errorBody(const FinalStatus &finalStatus, std::string_view requestId)
{
    const ResultCodeInfo &info = describe(finalStatus.code);
    std::string message(info.meaning);
    if (!finalStatus.detail.empty())
        message += ": " + finalStatus.detail;
    const nlohmann::json body = {{"error",
                                  {{"message", message},
                                   {"type", info.name},
                                   {"code", static_cast<int>(finalStatus.code)},
                                   {"outcome", outcomeName(info.outcome)},
                                   {"request", requestId}}}};
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void answerError(ResponseWriter &writer, const FinalStatus &finalStatus, std::string_view requestId)
{
    const ResultCodeInfo &info = describe(finalStatus.code);
    std::vector<HttpHeader> headers = outcomeHeaders(finalStatus.code, requestId);
    headers.push_back({"Content-Type", "application/json"});
    if (finalStatus.retryAfter.count() > 0) {
        // The header is in whole seconds. Rounding down would make callers retry too early.
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(finalStatus.retryAfter);
        headers.push_back({"Retry-After", std::to_string(seconds.count())});
    }
    writer.respond(info.httpStatus, headers, errorBody(finalStatus, requestId));
}

} // namespace jaytrack
