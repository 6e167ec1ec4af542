// All that an instance holds of the store. An instance that has just started gets it from another
// one instead of listing the store.
#ifndef JAYTRACK_STORE_STORESNAPSHOT_H
#define JAYTRACK_STORE_STORESNAPSHOT_H

#include "jaytrack/Routing/datacentreuse.h"
#include "jaytrack/Routing/targetdirectory.h"
#include "jaytrack/Support/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jaytrack {

struct StoreSnapshot
{
    std::uint64_t era = 0;      // the history that the revision belongs to; 0 if none is known
    std::uint64_t revision = 0; // up to which all changes are contained
    Duration age{0};            // since the configuration was known to be the newest
    StoreItem configuration;    // as the store holds it
    TargetListing targets;
    std::vector<DataCentreRecord> outOfUse;
};

// Returns everything but the age, compressed.
std::string packSnapshot(const StoreSnapshot &snapshot);

// Returns nothing if the bytes are not a snapshot.
std::optional<StoreSnapshot> unpackSnapshot(std::string_view packed);

} // namespace jaytrack

#endif
