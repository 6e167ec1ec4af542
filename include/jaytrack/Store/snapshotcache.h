// Keeps the packed snapshot of what this instance holds, which is made at most a few times a
// second, however many instances ask for it.
#ifndef JAYTRACK_STORE_SNAPSHOTCACHE_H
#define JAYTRACK_STORE_SNAPSHOTCACHE_H

#include "jaytrack/Store/snapshotserver.h"
#include "jaytrack/Store/storesnapshot.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace jaytrack {

// What an instance knows of the store: all changes up to a revision of an era, and the time as of
// which its configuration is known to be the newest.
struct HeldState
{
    std::uint64_t era = 0;
    std::uint64_t revision = 0;
    TimePoint confirmedAsOf;
};

class SnapshotCache
{
public:
    explicit SnapshotCache(const Clock &time)
        : clock(time)
    {
    }

    // Returns the cached snapshot, or a new one if that one is too old.
    PackedSnapshot get(const HeldState &held, const std::function<StoreSnapshot()> &make);

    // Must be called a few times a second.
    void dropIfUnused();

private:
    struct Entry
    {
        std::shared_ptr<const std::string> bytes;
        HeldState state;
        TimePoint madeAt;
        TimePoint usedAt;
    };

    bool isOutdated(const HeldState &held) const;

    const Clock &clock;
    std::optional<Entry> entry;
};

} // namespace jaytrack

#endif
