// Formats responses to callers: outcome headers, errors in the OpenAI format and request IDs.
#ifndef JAYTRACK_SERVE_ANSWERS_H
#define JAYTRACK_SERVE_ANSWERS_H

#include "jaytrack/Http/server.h"
#include "jaytrack/Support/result.h"

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace jaytrack {

// The result that is reported to the caller when a request ends.
struct FinalStatus
{
    ResultCode code = ResultCode::Ok;
    std::string detail;
    std::chrono::milliseconds retryAfter{0}; // 0: no Retry-After header is sent
};

// Headers that jaytrack adds to its responses, and the request headers that it reads.
inline constexpr std::string_view outcomeHeader = "Jaytrack-Outcome";
inline constexpr std::string_view codeHeader = "Jaytrack-Code";
inline constexpr std::string_view requestHeader = "Jaytrack-Request";
inline constexpr std::string_view ticketHeader = "Jaytrack-Ticket";
inline constexpr std::string_view forwardedHeader = "Jaytrack-Forwarded";

// Returns the headers that carry the outcome, the result code and the request ID.
std::vector<HttpHeader> outcomeHeaders(ResultCode code, std::string_view requestId);

// Returns the JSON error body in the format that OpenAI clients expect.
std::string errorBody(const FinalStatus &finalStatus, std::string_view requestId);

// Sends a complete error response.
void answerError(ResponseWriter &writer, const FinalStatus &finalStatus,
                 std::string_view requestId);

} // namespace jaytrack

#endif
