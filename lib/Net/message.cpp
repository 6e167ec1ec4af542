#include "jaytrack/Net/message.h"

#include <restinio/uri_helpers.hpp>

#include <algorithm>
#include <charconv>
#include <cstdint>

namespace jaytrack {

namespace {

// Longer Retry-After values are reduced to this limit: a target that asks for more is unavailable
// rather than busy.
constexpr double maxRetryAfterSeconds = 600;

char toLower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

} // namespace

bool sameHeaderName(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](char a, char b) { return toLower(a) == toLower(b); });
}

std::string_view findHeader(std::span<const HttpHeader> headers, std::string_view name)
{
    const auto found = std::find_if(headers.begin(), headers.end(), [name](const HttpHeader &h) {
        return sameHeaderName(h.name, name);
    });
    return found == headers.end() ? std::string_view{} : std::string_view(found->value);
}

bool isHttpStatus(int status)
{
    static constexpr int first = 100;
    static constexpr int last = 599;
    return status >= first && status <= last;
}

bool isHeaderName(std::string_view text)
{
    static constexpr std::string_view allowed = "!#$%&'*+-.^_`|~"
                                                "0123456789"
                                                "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                                "abcdefghijklmnopqrstuvwxyz";
    return !text.empty() && text.find_first_not_of(allowed) == std::string_view::npos;
}

bool isHeaderValue(std::string_view text)
{
    static constexpr unsigned char firstPrintable = 0x20;
    static constexpr unsigned char deleteByte = 0x7f;
    return std::none_of(text.begin(), text.end(), [](char c) {
        const auto byte = static_cast<unsigned char>(c);
        return (byte < firstPrintable && c != '\t') || byte == deleteByte;
    });
}

bool isExactHeaderValue(std::string_view text)
{
    static constexpr std::string_view blanks = " \t";
    return isHeaderValue(text) && !text.empty() && blanks.find(text.front()) == blanks.npos &&
           blanks.find(text.back()) == blanks.npos;
}

std::optional<std::chrono::milliseconds> parseRetryAfter(std::string_view value)
{
    double seconds = 0;
    const auto [end, failure] = std::from_chars(value.data(), value.data() + value.size(), seconds);
    const bool number = failure == std::errc() && end == value.data() + value.size();
    if (!number || !(seconds > 0))
        return std::nullopt;
    return std::chrono::milliseconds(
            static_cast<std::int64_t>(std::min(seconds, maxRetryAfterSeconds) * 1000));
}

std::optional<double> parseRequestRate(std::string_view value)
{
    double rate = 0;
    const auto [end, failure] = std::from_chars(value.data(), value.data() + value.size(), rate);
    const bool number = failure == std::errc() && end == value.data() + value.size();
    if (!number || !std::isfinite(rate) || rate < 0)
        return std::nullopt;
    return rate;
}

std::string HttpRequest::queryValue(std::string_view name) const
{
    const auto parsed =
            restinio::try_parse_query<restinio::parse_query_traits::javascript_compatible>(
                    restinio::string_view_t(this->query));
    if (!parsed)
        return {};
    const auto value = parsed->get_param(restinio::string_view_t(name.data(), name.size()));
    return value ? std::string(value->data(), value->size()) : std::string();
}

} // namespace jaytrack
