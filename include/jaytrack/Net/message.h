// HTTP messages as plain values, shared by the server and the client side.
#ifndef JAYTRACK_NET_MESSAGE_H
#define JAYTRACK_NET_MESSAGE_H

#include <chrono>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jaytrack {

struct HttpHeader
{
    std::string name;
    std::string value;
};

// The value of the first header with that name, compared without regard to case; empty if absent.
std::string_view findHeader(std::span<const HttpHeader> headers, std::string_view name);

// Whether two header names are the same; HTTP disregards their case.
bool sameHeaderName(std::string_view left, std::string_view right);

// What a Retry-After header says in seconds, which may have a fraction; at most ten minutes.
// Nothing for a date, or for what is no positive number.
std::optional<std::chrono::milliseconds> parseRetryAfter(std::string_view value);

// A number of requests a second; nothing for what is no such number.
std::optional<double> parseRequestRate(std::string_view value);

// A request as a server received it, whole.
struct HttpRequest
{
    std::string method;
    std::string path;
    std::string query;
    std::vector<HttpHeader> headers;
    std::string body;

    std::string_view header(std::string_view name) const { return findHeader(this->headers, name); }

    // The decoded value of a query parameter; empty if absent or malformed.
    std::string queryValue(std::string_view name) const;
};

} // namespace jaytrack

#endif
