#include "jaytrack/Net/percentencoding.h"

#include <curl/curl.h>

#include <memory>

namespace jaytrack {

// RESTinio's own function takes bytes beyond ASCII for negative numbers.
std::string percentEncoded(std::string_view bytes)
{
    // A length of zero would make libcurl look for the end of a string.
    if (bytes.empty())
        return {};
    const std::unique_ptr<char, decltype(&curl_free)> encoded(
            curl_easy_escape(nullptr, bytes.data(), static_cast<int>(bytes.size())), &curl_free);
    return encoded ? std::string(encoded.get()) : std::string();
}

} // namespace jaytrack
