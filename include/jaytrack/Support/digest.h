// Digests, message authentication and unguessable text, all by OpenSSL.
#ifndef JAYTRACK_SUPPORT_DIGEST_H
#define JAYTRACK_SUPPORT_DIGEST_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jaytrack {

// SHA-256 as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view data);

// HMAC-SHA-256 as 32 raw bytes.
std::string hmacSha256(std::string_view key, std::string_view data);

// Compares in a time that depends only on the lengths, so that a stranger cannot learn a secret
// byte by byte from how long a refusal takes.
bool equalInConstantTime(std::string_view left, std::string_view right);

// Base64 with the alphabet that is safe in URLs, unpadded.
std::string encodeBase64Url(std::string_view data);
std::optional<std::string> decodeBase64Url(std::string_view text);

// A 64-bit hash for placement; stable over versions and machines, since instances must agree on it.
std::uint64_t placementHash(std::string_view data);

} // namespace jaytrack

#endif
