// Keeps instances that do not read the store up to date. Instances that read send changes to the
// others; every other instance queries one of them a few times a second for the age of its data, to
// confirm that its own data is still current. ReadDuty decides which instances read.
//
// An instance that has just started, or learns that the store was restored from an older copy, gets
// what another one holds as a whole. ListingTurn decides which instances list the store themselves
// where none has done so yet.
#ifndef JAYTRACK_STORE_STORESHARING_H
#define JAYTRACK_STORE_STORESHARING_H

#include "jaytrack/Peers/sharedchanges.h"
#include "jaytrack/Peers/storefreshness.h"
#include "jaytrack/Store/listingturn.h"
#include "jaytrack/Store/readduty.h"
#include "jaytrack/Store/snapshotcache.h"
#include "jaytrack/Store/snapshotserver.h"
#include "jaytrack/Store/storefeeds.h"
#include "jaytrack/Store/storefollower.h"
#include "jaytrack/Support/awaketime.h"

#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace jaytrack {

// Carries the messages of StoreSharing to other instances. They may be lost, and are dropped for
// instances that are not known.
class StoreTransport
{
public:
    virtual ~StoreTransport() = default;

    // Sends what this instance read from the store to all others.
    virtual void shareStoreChanges(const SharedChanges &changes) = 0;
    virtual void sendFreshnessQuery(std::string_view instance, std::int64_t requestedAt) = 0;
    virtual void sendFreshnessAnswer(std::string_view instance, std::int64_t requestedAt,
                                     const StoreFreshness &freshness) = 0;

    // Returns the name of another instance, mostly of the own data centre; empty if none is known.
    virtual std::string randomInstance() = 0;

    // Requests a snapshot; StoreSharing::onSnapshot() gets it, or nothing.
    virtual void requestSnapshot(std::string_view instance) = 0;
};

class StoreSharing final : public StoreReadListener, public SnapshotSource
{
public:
    // Interval at which an instance without data looks for one that has some. With each, the number
    // of those that have some may double.
    static constexpr std::chrono::milliseconds searchInterval{200};

    StoreSharing(const Clock &time, std::string ownName, ReadDutyOptions dutyOptions,
                 std::mt19937_64 &source, ConfigurationFeed &configurationFeed,
                 TargetFeed &targetFeed, StoreTransport &storeTransport);

    // Sets the follower; called once, before the first tick.
    void attach(std::shared_ptr<StoreFollower> storeFollower);

    void tick();

    void onStoreRead(std::uint64_t from, std::uint64_t to,
                     const std::vector<StoreItem> &items) override;
    void onPeersChanged(const std::vector<std::string> &names);
    void onStoreFromPeer(const SharedChanges &changes);
    void onFreshnessQuery(std::string_view peer, std::int64_t requestedAt);
    void onFreshnessAnswer(std::string_view peer, std::int64_t requestedAt,
                           const StoreFreshness &freshness);
    void onSnapshot(const std::optional<StoreSnapshot> &snapshot);
    std::optional<PackedSnapshot> packedSnapshot() override;

private:
    struct SnapshotRequest
    {
        TimePoint at;
        bool replacesListing; // which may be of a copy that lacks changes
    };

    void noticePause();
    Duration timeWithoutContact();
    StoreFreshness freshness() const;
    std::optional<Duration> sinceRestore() const;
    void noteRestore(const StoreFreshness &reported);
    bool lacksChangesOf(const StoreFreshness &other, TimePoint asOf) const;
    void noticeRestoredStore();
    bool shouldRead(Duration age);
    void logListingCause(ListingCause cause);
    void queryFreshness(Duration age);
    void searchSnapshot();
    void requestSnapshot(std::string_view peer, bool replacesListing);
    void adopt(const StoreSnapshot &snapshot);
    std::string_view reasonToIgnore(const std::optional<StoreSnapshot> &snapshot,
                                    const SnapshotRequest &request);
    StoreSnapshot makeSnapshot() const;

    const Clock &clock;
    ReadDuty duty;
    ListingTurn turn;
    ConfigurationFeed &configuration;
    TargetFeed &targets;
    StoreTransport &transport;
    std::shared_ptr<StoreFollower> follower;
    bool reading = true;
    bool hadListing = false; // at the last tick
    TimePoint nextQuery;
    std::size_t peerCount = 0;
    std::optional<TimePoint> restoredAt; // the store, as another instance has told
    TimePoint neededSince;               // a listing: since the start, or the store's return
    ListingCause loggedCause = ListingCause::None;
    std::optional<SnapshotRequest> snapshotRequest; // while one is on its way
    SnapshotCache snapshots;
    AwakeTime pauses;
};

} // namespace jaytrack

#endif
