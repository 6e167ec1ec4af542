// What the fields of a target's entry may hold. Any writer can leave an entry, and what it holds
// goes into request heads, log lines and connections, so that entries are checked before use.
#ifndef JAYTRACK_ROUTING_TARGETENTRYCHECK_H
#define JAYTRACK_ROUTING_TARGETENTRYCHECK_H

#include "jaytrack/Routing/targetdirectory.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <string_view>

namespace jaytrack {

// Maximum size of an encoded entry. Targets write a few hundred bytes.
inline constexpr std::size_t maxEntryBytes = 16U << 10U;

// The store's limit on the size of a key.
inline constexpr std::size_t maxKeyBytes = 200;

// Maximum size of each text of an entry.
inline constexpr std::size_t maxEntryTextBytes = maxKeyBytes;

inline constexpr int maxTargetSlots = 1'000'000;
inline constexpr std::chrono::milliseconds maxColdTime = std::chrono::hours(24);

// Whether the text may name a target: characters that stand for themselves in the heads and queries
// of requests, and different from all ids that incarnationId() makes for other names.
bool isTargetName(std::string_view text);

// Whether the text may name a service, a data centre or a version of software: of bounded size and
// without control bytes. It may be empty.
bool isEntryText(std::string_view text);

// Returns why the entry names no target; nothing if it names one.
std::optional<std::string_view> findEntryFault(const TargetEntry &entry);

} // namespace jaytrack

#endif
