// Changes of the store that one instance reads and sends to the others.
#ifndef JAYTRACK_PEERS_SHAREDCHANGES_H
#define JAYTRACK_PEERS_SHAREDCHANGES_H

#include "jaytrack/Routing/targetdirectory.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace jaytrack {

namespace wire {
class StoreNotice;
} // namespace wire

// Changes that an instance read from the store, to be shared with the others.
struct SharedChanges
{
    std::uint64_t from = 0;
    std::uint64_t to = 0;
    std::vector<StoreItem> items;
    bool incomplete = false;  // an item was too large to be shared or could not be read
    bool afterOutage = false; // removed entries may have expired while the store was unavailable
    std::uint64_t era = 0;    // the history that the revisions belong to; 0 if none is known
};

// Splits changes into consecutive parts with at most maxBytes of encoded items each. An item that
// is larger by itself is omitted, and its part is marked incomplete.
std::vector<SharedChanges> splitChanges(const SharedChanges &changes, std::size_t maxBytes);

wire::StoreNotice toNotice(const SharedChanges &changes);

// Marks the changes as incomplete if a value cannot be decoded, so that the store is queried.
// Returns nothing if a revision or the era is negative, which no store gives.
std::optional<SharedChanges> fromNotice(const wire::StoreNotice &notice);

} // namespace jaytrack

#endif
