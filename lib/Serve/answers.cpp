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

std::string errorBody(const Ending &ending, std::string_view requestId)
{
    const ResultCodeInfo &info = describe(ending.code);
    std::string message(info.meaning);
    if (!ending.detail.empty())
        message += ": " + ending.detail;
    const nlohmann::json body = {{"error",
                                  {{"message", message},
                                   {"type", info.name},
                                   {"code", static_cast<int>(ending.code)},
                                   {"outcome", outcomeName(info.outcome)},
                                   {"request", requestId}}}};
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void answerError(ResponseWriter &writer, const Ending &ending, std::string_view requestId)
{
    const ResultCodeInfo &info = describe(ending.code);
    std::vector<HttpHeader> headers = outcomeHeaders(ending.code, requestId);
    headers.push_back({"Content-Type", "application/json"});
    if (ending.retryAfter.count() > 0) {
        // The header counts whole seconds; rounding down would bring callers back too early.
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(ending.retryAfter);
        headers.push_back({"Retry-After", std::to_string(seconds.count())});
    }
    writer.respond(info.httpStatus, headers, errorBody(ending, requestId));
}

} // namespace jaytrack
