// Reads whole numbers from parsed JSON. The library's own conversions wrap numbers that do not fit,
// and are undefined for floating-point numbers out of range.
#ifndef JAYTRACK_SUPPORT_JSONNUMBER_H
#define JAYTRACK_SUPPORT_JSONNUMBER_H

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>

namespace jaytrack {

// Returns the value if it is a whole number within the inclusive bounds; nothing otherwise.
inline std::optional<std::int64_t> wholeNumber(const nlohmann::json &value, std::int64_t least,
                                               std::int64_t most)
{
    if (!value.is_number_integer())
        return std::nullopt;
    if (value.is_number_unsigned() &&
        value.get<std::uint64_t>() > static_cast<std::uint64_t>(INT64_MAX))
        return std::nullopt;
    const auto number = value.get<std::int64_t>();
    return number >= least && number <= most ? std::optional(number) : std::nullopt;
}

} // namespace jaytrack

#endif
