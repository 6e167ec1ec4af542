// What one instance tells another about its data from the store.
#ifndef JAYTRACK_PEERS_STOREFRESHNESS_H
#define JAYTRACK_PEERS_STOREFRESHNESS_H

#include "jaytrack/Support/clock.h"

#include <cstdint>
#include <optional>

namespace jaytrack {

struct StoreFreshness
{
    Duration age{0};            // since the data was known to be the newest
    std::uint64_t era = 0;      // the history that the revision belongs to; 0 if none is known
    std::uint64_t revision = 0; // up to which all changes are known; 0 if nothing is held

    // Time since the store was restored from an older copy, as far as that may still matter.
    std::optional<Duration> sinceRestore;
};

} // namespace jaytrack

#endif
