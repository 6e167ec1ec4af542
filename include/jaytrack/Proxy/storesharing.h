// Which instances read the store, and how the others know that what they were told is still the
// newest.
//
// Load that it answers: calls to the store are priced and limited for all instances together, and
// each instance that follows it makes three a second. A few readers do it for all. They pass on
// what changes; every other instance asks one of them, some times a second, how old its knowledge
// is, and reads for itself as soon as the answers show it to be too old or stop coming.
#ifndef JAYTRACK_PROXY_STORESHARING_H
#define JAYTRACK_PROXY_STORESHARING_H

#include "jaytrack/Proxy/peerlink.h"
#include "jaytrack/Proxy/storefeeds.h"
#include "jaytrack/Proxy/storefollower.h"

#include <memory>
#include <random>
#include <string>
#include <vector>

namespace jaytrack {

struct StoreSharingOptions
{
    // Readers in the whole fleet. After a change each pauses before it asks again; five rarely
    // pause all at once, and any four may be cut off.
    std::size_t readers = 3;

    // An instance whose knowledge was not confirmed for this long reads for itself. A reader whose
    // questions nothing answers is confirmed every 1.2 s at most, as of the question's start, and
    // asked every 0.3 s, so ages up to 2.7 s are no sign of trouble.
    Duration mostAge = std::chrono::milliseconds(2800);

    // And goes on doing so for this long at least, so that it does not change its mind at each loss
    // of a datagram.
    Duration readAtLeast = std::chrono::milliseconds(3000);

    // An instance that finds that others are readers reads on for this long: two questions of 0.3 s
    // to one of them.
    Duration handOverTime = std::chrono::milliseconds(600);
};

class StoreSharing final : public StoreReadListener
{
public:
    // How often an instance that does not read asks one that does.
    static constexpr std::chrono::milliseconds askGap{300};

    StoreSharing(const Clock &time, std::string ownName, StoreSharingOptions given,
                 std::mt19937_64 &source, ConfigurationFeed &confirmed);

    // Both are set once, before the first tick.
    void attach(PeerLink &others, std::shared_ptr<StoreFollower> follows);

    void tick();

    void onStoreRead(std::uint64_t from, std::uint64_t to,
                     const std::vector<StoreItem> &items) override;
    void onPeersChanged(const std::vector<std::string> &names);
    void onStoreFromPeer(const SharedChanges &changes);
    void onFreshnessAsked(std::string_view peer, std::int64_t askedAt);
    void onFreshness(std::int64_t askedAt, Duration age, std::uint64_t revision);

private:
    const Clock &clock;
    std::string name;
    StoreSharingOptions options;
    std::mt19937_64 &random;
    ConfigurationFeed &configuration;
    PeerLink *peers = nullptr;
    std::shared_ptr<StoreFollower> follower;
    std::vector<std::string> readers; // without this instance
    bool reader = true;
    bool reading = true;
    TimePoint readUntil;
    TimePoint nextAsk;
};

} // namespace jaytrack

#endif
