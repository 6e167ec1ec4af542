// zlib compression of values that are passed between instances.
#ifndef JAYTRACK_SUPPORT_COMPRESSION_H
#define JAYTRACK_SUPPORT_COMPRESSION_H

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace jaytrack {

// Returns the compressed bytes; empty on failure.
std::string compressed(std::string_view bytes);

// Returns the decompressed bytes. Returns nothing if their size is not plainSize, or if plainSize
// is above the limit: a malformed message of a few bytes can claim to hold gigabytes.
std::optional<std::string> decompressed(std::string_view bytes, std::size_t plainSize,
                                        std::size_t maxBytes);

} // namespace jaytrack

#endif
