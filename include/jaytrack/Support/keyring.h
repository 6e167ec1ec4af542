// The fleet's shared keys: authenticates messages between instances and the texts that callers
// carry from one instance to another.
#ifndef JAYTRACK_SUPPORT_KEYRING_H
#define JAYTRACK_SUPPORT_KEYRING_H

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jaytrack {

// Signs with the first key and accepts what any key signed, so that keys rotate without a moment
// in which instances reject each other: append the new key everywhere, move it to the front
// everywhere, remove the old one everywhere.
class KeyRing
{
public:
    // At least one key must be given.
    explicit KeyRing(std::vector<std::string> secrets);

    // The purpose keeps a message of one kind from passing for another.
    std::string sign(std::string_view purpose, std::string_view data) const;
    bool verify(std::string_view purpose, std::string_view data, std::string_view mac) const;

    // A text for URLs and headers that only holders of a key can make or change.
    std::string seal(std::string_view purpose, std::string_view data) const;
    std::optional<std::string> unseal(std::string_view purpose, std::string_view text) const;

private:
    std::vector<std::string> keys;
};

} // namespace jaytrack

#endif
