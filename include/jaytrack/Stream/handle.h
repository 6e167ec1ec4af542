// Resume handles and cursors: what a caller holds so that any instance can go on with its stream.
#ifndef JAYTRACK_STREAM_HANDLE_H
#define JAYTRACK_STREAM_HANDLE_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jaytrack {

class KeyRing;

// Names one generation on one engine, for one customer. Sealed, it is unguessable.
struct StreamHandle
{
    std::string engine;
    std::string generation;
    std::string customer;
    std::string model;

    std::string seal(const KeyRing &keys) const;
    static std::optional<StreamHandle> unseal(const KeyRing &keys, std::string_view text);
};

// The event id of a stream: its sealed handle and the index of the token that it came with.
struct Cursor
{
    std::string handle;
    std::uint64_t index = 0;

    std::string text() const;
    static std::optional<Cursor> parse(std::string_view text);
};

// Parses an unsigned decimal number that fills the whole text.
std::optional<std::uint64_t> parseIndex(std::string_view text);

} // namespace jaytrack

#endif
