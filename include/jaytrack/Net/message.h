// Value types for HTTP messages, shared by the server and the client.
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

// Returns the value of the first header with the given name, compared case-insensitively; empty if
// absent.
std::string_view findHeader(std::span<const HttpHeader> headers, std::string_view name);

// Whether two header names are equal; HTTP header names are case-insensitive.
bool sameHeaderName(std::string_view left, std::string_view right);

// Whether the number is a status that an HTTP answer may have.
bool isHttpStatus(int status);

// Whether the text may be the name of a header: not empty, and without blanks and control bytes.
bool isHeaderName(std::string_view text);

// Whether the text may be the value of a header: without control bytes other than tabs.
bool isHeaderValue(std::string_view text);

// Whether each recipient of a header with this value reads the text as it is: a header value that
// is not empty, without blanks at its ends, which recipients leave out.
bool isExactHeaderValue(std::string_view text);

// Parses a Retry-After header given in seconds, which may have a fraction. The result is at most
// ten minutes. Returns nothing for a date or for anything but a positive number.
std::optional<std::chrono::milliseconds> parseRetryAfter(std::string_view value);

// Parses a number of requests per second; returns nothing if the value is not a valid rate.
std::optional<double> parseRequestRate(std::string_view value);

// A completely received request, as a server sees it.
struct HttpRequest
{
    std::string method;
    std::string path;
    std::string query;
    std::vector<HttpHeader> headers;
    std::string body;

    std::string_view header(std::string_view name) const { return findHeader(this->headers, name); }

    // Returns the decoded value of a query parameter; empty if absent or malformed.
    std::string queryValue(std::string_view name) const;
};

} // namespace jaytrack

#endif
