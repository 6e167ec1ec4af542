// The shared keys of the fleet. They authenticate messages between instances and the tokens that
// callers carry from one instance to another.
#ifndef JAYTRACK_SUPPORT_KEYRING_H
#define JAYTRACK_SUPPORT_KEYRING_H

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jaytrack {

// Signs with the first key and accepts signatures of any key. Keys can therefore be rotated without
// a time in which instances reject each other's messages: append the new key everywhere, move it to
// the front everywhere, remove the old one everywhere.
class KeyRing
{
public:
    // Requires at least one key.
    explicit KeyRing(std::vector<std::string> secrets);

    // The purpose prevents a message of one kind from being accepted as another kind.
    std::string sign(std::string_view purpose, std::string_view data) const;
    bool verify(std::string_view purpose, std::string_view data, std::string_view mac) const;

    // Creates a token for URLs and headers that only holders of a key can create or modify.
    std::string seal(std::string_view purpose, std::string_view data) const;
    std::optional<std::string> unseal(std::string_view purpose, std::string_view text) const;

private:
    std::vector<std::string> keys;
};

} // namespace jaytrack

#endif
