// The shape of what callers receive: outcome headers, OpenAI-style errors, request numbers.
#ifndef JAYTRACK_SERVE_ANSWERS_H
#define JAYTRACK_SERVE_ANSWERS_H

#include "jaytrack/Http/server.h"
#include "jaytrack/Support/result.h"

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace jaytrack {

// What is said when a request ends.
struct Ending
{
    ResultCode code = ResultCode::Ok;
    std::string detail;
    std::chrono::milliseconds retryAfter{0}; // 0 says nothing about coming back
};

// Names of the headers that jaytrack adds to every answer.
inline constexpr std::string_view outcomeHeader = "Jaytrack-Outcome";
inline constexpr std::string_view codeHeader = "Jaytrack-Code";
inline constexpr std::string_view requestHeader = "Jaytrack-Request";
inline constexpr std::string_view ticketHeader = "Jaytrack-Ticket";
inline constexpr std::string_view forwardedHeader = "Jaytrack-Forwarded";

// The headers that state the outcome, for a code and a request number.
std::vector<HttpHeader> outcomeHeaders(ResultCode code, std::string_view requestId);

// The error in the shape that OpenAI clients expect.
std::string errorBody(const Ending &ending, std::string_view requestId);

// Answers with an error whole.
void answerError(ResponseWriter &writer, const Ending &ending, std::string_view requestId);

} // namespace jaytrack

#endif
