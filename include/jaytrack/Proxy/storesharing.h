// How the instances that do not read the store know that what they were told is still the
// newest. Those that read pass on what changes; every other instance asks one of them, some times a
// second, how old its knowledge is. ReadDuty decides who reads.
#ifndef JAYTRACK_PROXY_STORESHARING_H
#define JAYTRACK_PROXY_STORESHARING_H

#include "jaytrack/Proxy/peerlink.h"
#include "jaytrack/Proxy/readduty.h"
#include "jaytrack/Proxy/storefeeds.h"
#include "jaytrack/Proxy/storefollower.h"

#include <memory>
#include <random>
#include <string>
#include <vector>

namespace jaytrack {

class StoreSharing final : public StoreReadListener
{
public:
    // How often an instance that does not read asks one that does.
    static constexpr std::chrono::milliseconds askGap{300};

    StoreSharing(const Clock &time, std::string ownName, ReadDutyOptions given,
                 std::mt19937_64 &source, ConfigurationFeed &confirmed, TargetFeed &listed);

    // Both are set once, before the first tick.
    void attach(PeerLink &others, std::shared_ptr<StoreFollower> follows);

    void tick();

    void onStoreRead(std::uint64_t from, std::uint64_t to,
                     const std::vector<StoreItem> &items) override;
    void onPeersChanged(const std::vector<std::string> &names);
    void onStoreFromPeer(const SharedChanges &changes);
    void onFreshnessAsked(std::string_view peer, std::int64_t askedAt);
    void onFreshness(std::string_view peer, std::int64_t askedAt, Duration age, std::uint64_t era,
                     std::uint64_t revision);

private:
    void askForFreshness(Duration age);

    const Clock &clock;
    ReadDuty duty;
    ConfigurationFeed &configuration;
    TargetFeed &targets;
    PeerLink *peers = nullptr;
    std::shared_ptr<StoreFollower> follower;
    bool reading = true;
    TimePoint nextAsk;
};

} // namespace jaytrack

#endif
