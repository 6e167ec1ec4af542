// Computes a digest that identifies a request which its caller sends repeatedly. Each attempt has
// its own id, so only the content of the request is the same in all of them.
#ifndef JAYTRACK_QUARANTINE_REQUESTDIGEST_H
#define JAYTRACK_QUARANTINE_REQUESTDIGEST_H

#include <span>
#include <string>
#include <string_view>
#include <vector>

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

// What a request is known by: the digest of all of it, which is the same when its caller sends it
// again, and the digests of the parts of its prompt that other requests may share, in order.
struct RequestIdentity
{
    std::string digest;
    std::vector<std::string> parts = {};
};

// Returns 128 bits of SHA-256 as 32 hexadecimal digits. The body cannot be recovered from the
// digest, so it may be written to logs.
std::string requestDigest(const RequestContent &content);

// Identifies a part of a prompt that several requests share. Returns 64 bits of SHA-256 as 16
// hexadecimal digits, so an id of any length that a caller sends takes little memory.
std::string partDigest(std::string_view id);

// Returns the digests of the parts, each once, in the same order.
std::vector<std::string> partDigests(std::span<const std::string> ids);

// Returns the digests as they are written to logs, separated by commas; the first few if there are
// many.
std::string describeParts(std::span<const std::string> digests);

} // namespace jaytrack

#endif
