// Keeps instances that do not read the store up to date. Instances that read send changes to the
// others; every other instance queries one of them a few times a second for the age of its data, to
// confirm that its own data is still current. ReadDuty decides which instances read.
#ifndef JAYTRACK_STORE_STORESHARING_H
#define JAYTRACK_STORE_STORESHARING_H

#include "jaytrack/Peers/sharedchanges.h"
#include "jaytrack/Store/readduty.h"
#include "jaytrack/Store/storefeeds.h"
#include "jaytrack/Store/storefollower.h"

#include <memory>
#include <random>
#include <string>
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
                                     Duration age, std::uint64_t era, std::uint64_t revision) = 0;
};

class StoreSharing final : public StoreReadListener
{
public:
    // Interval at which an instance that does not read queries one that does.
    static constexpr std::chrono::milliseconds queryInterval{300};

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
    void onFreshnessAnswer(std::string_view peer, std::int64_t requestedAt, Duration age,
                           std::uint64_t era, std::uint64_t revision);

private:
    void queryFreshness(Duration age);

    const Clock &clock;
    ReadDuty duty;
    ConfigurationFeed &configuration;
    TargetFeed &targets;
    StoreTransport &transport;
    std::shared_ptr<StoreFollower> follower;
    bool reading = true;
    TimePoint nextQuery;
};

} // namespace jaytrack

#endif
