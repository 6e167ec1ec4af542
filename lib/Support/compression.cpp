#include "jaytrack/Support/compression.h"

#include <zlib.h>

namespace jaytrack {

std::string compressed(std::string_view bytes)
{
    std::string packed(compressBound(bytes.size()), '\0');
    uLongf size = packed.size();
    const int status =
            compress2(reinterpret_cast<Bytef *>(packed.data()), &size,
                      reinterpret_cast<const Bytef *>(bytes.data()), bytes.size(), Z_BEST_SPEED);
    packed.resize(status == Z_OK ? size : 0);
    return packed;
}

std::optional<std::string> decompressed(std::string_view bytes, std::size_t plainSize,
                                        std::size_t maxBytes)
{
    if (plainSize > maxBytes)
        return std::nullopt;
    std::string plain(plainSize, '\0');
    uLongf size = plain.size();
    const int status = uncompress(reinterpret_cast<Bytef *>(plain.data()), &size,
                                  reinterpret_cast<const Bytef *>(bytes.data()), bytes.size());
    if (status != Z_OK || size != plainSize)
        return std::nullopt;
    return plain;
}

} // namespace jaytrack
