// Computes a digest that identifies a request which its caller sends repeatedly. Each attempt has
// its own id, so only the content of the request is the same in all of them.
#ifndef JAYTRACK_QUARANTINE_REQUESTDIGEST_H
#define JAYTRACK_QUARANTINE_REQUESTDIGEST_H

#include <string>
#include <string_view>

namespace jaytrack {

// The parts of a request that are the same in all attempts.
struct RequestContent
{
    std::string_view method;
    std::string_view host;
    std::string_view target;   // path and query
    std::string_view customer; // empty if the route needs no key
    std::string_view body;
};

// Returns 128 bits of SHA-256 as 32 hexadecimal digits. The body cannot be recovered from the
// digest, so it may be written to logs.
std::string requestDigest(const RequestContent &content);

} // namespace jaytrack

#endif
