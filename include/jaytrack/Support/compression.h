// Compression of values that are passed between instances, by zlib.
#ifndef JAYTRACK_SUPPORT_COMPRESSION_H
#define JAYTRACK_SUPPORT_COMPRESSION_H

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace jaytrack {

// The bytes compressed; empty if that fails.
std::string compressed(std::string_view bytes);

// What was compressed; nothing if it is not of the size that it is said to have been, or that size
// is above the bound: a few bytes from a stray can claim to hold gigabytes.
std::optional<std::string> decompressed(std::string_view bytes, std::size_t plainSize,
                                        std::size_t mostBytes);

} // namespace jaytrack

#endif
