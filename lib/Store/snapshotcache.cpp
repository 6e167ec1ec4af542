#include "jaytrack/Store/snapshotcache.h"

namespace jaytrack {

namespace {

// A snapshot is made again if it is older than this and the store has changed, and dropped if none
// has been requested for a while.
constexpr std::chrono::milliseconds maxSnapshotAge{500};
constexpr std::chrono::milliseconds snapshotRetention{2000};

bool isSameHistory(const HeldState &one, const HeldState &other)
{
    return one.era == other.era && one.revision == other.revision;
}

} // namespace

PackedSnapshot SnapshotCache::get(const HeldState &held, const std::function<StoreSnapshot()> &make)
{
    const TimePoint now = this->clock.now();
    if (this->isOutdated(held))
        this->entry =
                Entry{std::make_shared<const std::string>(packSnapshot(make())), held, now, now};
    // It is as recent as what is held as long as that has not changed.
    if (isSameHistory(this->entry->state, held))
        this->entry->state.confirmedAsOf = held.confirmedAsOf;
    this->entry->usedAt = now;
    return {this->entry->bytes, now - this->entry->state.confirmedAsOf};
}

bool SnapshotCache::isOutdated(const HeldState &held) const
{
    if (!this->entry || this->entry->state.era != held.era)
        return true;
    return !isSameHistory(this->entry->state, held) &&
           this->clock.now() - this->entry->madeAt > maxSnapshotAge;
}

void SnapshotCache::dropIfUnused()
{
    if (this->entry && this->clock.now() - this->entry->usedAt > snapshotRetention)
        this->entry.reset();
}

} // namespace jaytrack
