// Digests, message authentication codes and Base64, based on OpenSSL.
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

// Compares in a time that depends only on the lengths, so that an attacker cannot learn a secret
// byte by byte from the time that a rejection takes.
bool equalInConstantTime(std::string_view left, std::string_view right);

// Base64 with the URL-safe alphabet, without padding.
std::string encodeBase64Url(std::string_view data);
std::optional<std::string> decodeBase64Url(std::string_view text);

// A 64-bit hash for placement. It is the same for all versions and machines because instances must
// agree on it.
std::uint64_t placementHash(std::string_view data);

} // namespace jaytrack

#endif
