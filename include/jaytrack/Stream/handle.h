// Resume handles and cursors, which a caller uses to resume its stream at any instance.
#ifndef JAYTRACK_STREAM_HANDLE_H
#define JAYTRACK_STREAM_HANDLE_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jaytrack {

class KeyRing;

// Identifies one generation on one engine for one customer. The sealed text cannot be guessed.
struct StreamHandle
{
    std::string engine;
    std::string generation;
    std::string customer;
    std::string model;

    std::string seal(const KeyRing &keys) const;
    static std::optional<StreamHandle> unseal(const KeyRing &keys, std::string_view text);
};

// The event id in a stream: the sealed handle and the index of the event's token.
struct Cursor
{
    std::string handle;
    std::uint64_t index = 0;

    std::string text() const;
    static std::optional<Cursor> parse(std::string_view text);
};

// Parses an unsigned decimal number. Returns nullopt if the text contains anything else.
std::optional<std::uint64_t> parseIndex(std::string_view text);

} // namespace jaytrack

#endif
