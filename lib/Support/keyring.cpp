#include "jaytrack/Support/keyring.h"

#include "jaytrack/Support/digest.h"

#include <algorithm>
#include <cassert>

namespace jaytrack {

namespace {

constexpr std::size_t macBytes = 16;

std::string macOf(std::string_view key, std::string_view purpose, std::string_view data)
{
    std::string input(purpose);
    input += '\0'; // no purpose contains it, so the end of the purpose is unambiguous
    input += data;
    return hmacSha256(key, input).substr(0, macBytes);
}

} // namespace

KeyRing::KeyRing(std::vector<std::string> secrets)
    : keys(std::move(secrets))
{
    assert(!this->keys.empty() && "a key ring holds at least one key");
}

std::string KeyRing::sign(std::string_view purpose, std::string_view data) const
{
    return macOf(this->keys.front(), purpose, data);
}

bool KeyRing::verify(std::string_view purpose, std::string_view data, std::string_view mac) const
{
    return std::any_of(this->keys.begin(), this->keys.end(), [&](const std::string &key) {
        return equalInConstantTime(macOf(key, purpose, data), mac);
    });
}

std::string KeyRing::seal(std::string_view purpose, std::string_view data) const
{
    return encodeBase64Url(this->sign(purpose, data) + std::string(data));
}

std::optional<std::string> KeyRing::unseal(std::string_view purpose, std::string_view text) const
{
    const std::optional<std::string> raw = decodeBase64Url(text);
    if (!raw || raw->size() < macBytes)
        return std::nullopt;
    const std::string_view mac = std::string_view(*raw).substr(0, macBytes);
    const std::string_view data = std::string_view(*raw).substr(macBytes);
    if (!this->verify(purpose, data, mac))
        return std::nullopt;
    return std::string(data);
}

} // namespace jaytrack
