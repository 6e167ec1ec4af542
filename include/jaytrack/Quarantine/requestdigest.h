// Recognises a request that its caller sends again. Each attempt has an id of its own, so what the
// request asks is all that stays the same.
#ifndef JAYTRACK_QUARANTINE_REQUESTDIGEST_H
#define JAYTRACK_QUARANTINE_REQUESTDIGEST_H

#include <string>
#include <string_view>

namespace jaytrack {

// What stays the same when a caller sends its request again.
struct RequestContent
{
    std::string_view method;
    std::string_view host;
    std::string_view target;   // path and query
    std::string_view customer; // empty if the route needs no key
    std::string_view body;
};

// 128 bits of SHA-256 as 32 hexadecimal digits. A secret of the body cannot be read from it, so it
// may stand in logs.
std::string requestDigest(const RequestContent &content);

} // namespace jaytrack

#endif
