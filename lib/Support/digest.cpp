#include "jaytrack/Support/digest.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>

#include <algorithm>
#include <array>
#include <cassert>

namespace jaytrack {

namespace {

const unsigned char *bytesOf(std::string_view data)
{
    return reinterpret_cast<const unsigned char *>(data.data());
}

using Sha256 = std::array<unsigned char, SHA256_DIGEST_LENGTH>;

Sha256 sha256(std::string_view data)
{
    Sha256 digest{};
    SHA256(bytesOf(data), data.size(), digest.data());
    return digest;
}

} // namespace

std::string sha256Hex(std::string_view data)
{
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(std::size_t{2} * SHA256_DIGEST_LENGTH);
    for (const unsigned char byte : sha256(data)) {
        text += digits[byte >> 4U];
        text += digits[byte & 15U];
    }
    return text;
}

std::string hmacSha256(std::string_view key, std::string_view data)
{
    Sha256 digest{};
    unsigned int length = 0;
    const unsigned char *made = HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
                                     bytesOf(data), data.size(), digest.data(), &length);
    assert(made && length == digest.size() && "HMAC-SHA-256 always gives 32 bytes");
    return {reinterpret_cast<const char *>(made), length};
}

bool equalInConstantTime(std::string_view left, std::string_view right)
{
    return left.size() == right.size() &&
           CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string encodeBase64Url(std::string_view data)
{
    std::string text(4 * ((data.size() + 2) / 3) + 1, '\0');
    const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                       bytesOf(data), static_cast<int>(data.size()));
    text.resize(static_cast<std::size_t>(length));
    while (!text.empty() && text.back() == '=')
        text.pop_back();
    std::replace(text.begin(), text.end(), '+', '-');
    std::replace(text.begin(), text.end(), '/', '_');
    return text;
}

std::optional<std::string> decodeBase64Url(std::string_view text)
{
    static constexpr std::string_view alphabet =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
    if (text.size() % 4 == 1 || text.find_first_not_of(alphabet) != std::string_view::npos)
        return std::nullopt;
    std::string padded(text);
    std::replace(padded.begin(), padded.end(), '-', '+');
    std::replace(padded.begin(), padded.end(), '_', '/');
    const std::size_t padding = (4 - padded.size() % 4) % 4;
    padded.append(padding, '=');
    std::string data(padded.size() / 4 * 3 + 1, '\0');
    const int length = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(data.data()),
                                       bytesOf(padded), static_cast<int>(padded.size()));
    if (length < 0)
        return std::nullopt;
    data.resize(static_cast<std::size_t>(length) - padding);
    return data;
}

std::uint64_t placementHash(std::string_view data)
{
    static constexpr int hashBytes = 8;
    const Sha256 digest = sha256(data);
    std::uint64_t hash = 0;
    for (int i = 0; i < hashBytes; ++i)
        hash = hash << 8U | digest[static_cast<std::size_t>(i)];
    return hash;
}

} // namespace jaytrack
