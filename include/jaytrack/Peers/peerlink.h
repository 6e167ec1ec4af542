// Exchanges messages between entry instances: membership, placements of generations, and updates
// about targets, limits and the store.
//
// An engine's own load report is half a second old when it arrives and is requested once a second.
// Meanwhile all other instances would send prompts to the engine that looked idle, and each prompt
// of three thousand tokens delays the first token of the next by half a second. A placement notice
// takes two milliseconds. Correctness does not depend on notices: if one is lost, the instance has
// only the load reports.
#ifndef JAYTRACK_PEERS_PEERLINK_H
#define JAYTRACK_PEERS_PEERLINK_H

#include "jaytrack/Cluster/membership.h"
#include "jaytrack/Cluster/noticefanout.h"
#include "jaytrack/Limits/limitmessage.h"
#include "jaytrack/Peers/datagrampacer.h"
#include "jaytrack/Peers/noticefragments.h"
#include "jaytrack/Peers/sharedchanges.h"
#include "jaytrack/Peers/storefreshness.h"
#include "jaytrack/Quarantine/quarantinemessage.h"
#include "jaytrack/Routing/enginechoice.h"
#include "jaytrack/Routing/engineshares.h"
#include "jaytrack/Routing/relaypeers.h"
#include "jaytrack/Support/keyring.h"
#include "jaytrack/Support/logallowance.h"
#include "jaytrack/Versions/streamversionmessage.h"

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace jaytrack {

namespace wire {
class EntryNotices;
} // namespace wire

struct PeerLinkSettings
{
    std::string name;
    std::string dataCentre;
    std::string listen;             // IP:PORT for datagrams
    std::vector<std::string> seeds; // IP:PORT of the instances to contact first
    std::vector<std::string> keys;  // the first key signs, all verify
};

// Receives the messages of other instances.
class PeerLinkListener
{
public:
    virtual ~PeerLinkListener() = default;
    virtual void onPlacedByPeer(std::string_view engine, const GenerationNeed &need,
                                bool copied) = 0;
    virtual void onReleasedByPeer(std::string_view engine, std::uint32_t tokens) = 0;

    // A run of another instance ended at the engine; pausedTooLong tells whether two of its events
    // were further apart than its route allows.
    virtual void onPausesFromPeer(std::string_view engine, bool pausedTooLong) = 0;
    virtual void onFailedForPeer(std::string_view engine, std::string_view peer) = 0;
    virtual void onLoadFromPeer(std::string_view engine, const EngineLoad &load) = 0;
    virtual void onStoreFromPeer(const SharedChanges &changes) = 0;
    virtual void onFreshnessQuery(std::string_view peer, std::int64_t requestedAt) = 0;
    virtual void onFreshnessAnswer(std::string_view peer, std::int64_t requestedAt,
                                   const StoreFreshness &freshness) = 0;
    virtual void onLeavingFromPeer(std::string_view target) = 0;
    virtual void onColdFromPeer(std::string_view target, Duration left) = 0;
    virtual void onQuarantineNews(const QuarantineMessage &news) = 0;
    virtual void onLimitNews(std::string_view peer, LimitKind kind, const LimitMessage &news) = 0;
    virtual void onRetryPermits(std::string_view peer, const LimitMessage &message) = 0;
    virtual void onStreamVersions(std::string_view peer, const StreamVersionMessage &message) = 0;
    virtual void onPeersChanged(const std::vector<std::string> &names) = 0;

    // The instances that may call targets for this one, which listen at their peer addresses.
    virtual void onRelayPeersChanged(std::vector<RelayPeer> others) = 0;
};

class PeerLink final : public PeerTransport, public MembershipListener
{
public:
    PeerLink(asio::io_context &loop, const Clock &time, PeerLinkSettings linkSettings,
             std::uint64_t seed, EngineShares &engineShares, PeerLinkListener &linkListener);

    // Fails if the address cannot be bound.
    Result<void> open();

    // Announces a generation placed on an engine to the other instances that place work there.
    void announce(std::string_view engine, const GenerationNeed &need, bool copied);

    // Announces that a generation of this instance released memory at an engine. These notices are
    // batched and sent a few times a second.
    void announceReleased(std::string_view engine, std::uint32_t tokens);

    // Announces whether a generation of this instance paused for too long at an engine. These
    // notices are sent with the releases.
    void announcePauses(std::string_view engine, bool pausedTooLong);

    // Announces that an engine failed a generation or a load probe of this instance.
    void announceFailed(std::string_view engine);

    // Announces the load that an engine reported.
    void announce(std::string_view engine, const EngineLoad &load);

    // Announces that a target reported in an answer that it is shutting down.
    void announceLeaving(std::string_view target);

    // Announces that a target reported in an answer that it is cold.
    void announceCold(std::string_view target, Duration left);

    // Sends the state of requests that crash targets to all other instances, or to a random sample.
    void broadcastQuarantine(const QuarantineMessage &news);
    void sendQuarantineToSample(const QuarantineMessage &news);

    // Sends the state of targets with rate limits to one other instance, all, or a random sample.
    void sendLimits(std::string_view peer, LimitKind kind, const LimitMessage &news);
    void broadcastLimits(LimitKind kind, const LimitMessage &news);
    void sendLimitsToSample(LimitKind kind, const LimitMessage &news);

    // Sends permit requests and answers for retries to one other instance.
    void sendRetryPermits(std::string_view peer, const LimitMessage &content);

    // Sends what this instance knows or asks of the versions at which streams began.
    void sendStreamVersions(std::string_view peer, const StreamVersionMessage &content);

    // Sends what this instance read from the store to all others. This includes the readers, since
    // each pauses after a change.
    void shareStoreChanges(const SharedChanges &changes);
    void sendFreshnessQuery(std::string_view peer, std::int64_t requestedAt);
    void sendFreshnessAnswer(std::string_view peer, std::int64_t requestedAt,
                             const StoreFreshness &freshness);

    // Returns the name of another instance at random, mostly of the own data centre; empty if none
    // is known.
    std::string randomInstance();

    // Returns the address of an instance, IP:PORT; empty if it is not known.
    std::string addressOf(std::string_view instance) const;

    // Announces that this instance is about to exit.
    void depart();

private:
    void send(std::string_view address, std::string datagram) override;
    void onMembersChanged() override;
    void updatePeers();
    void sendNow(std::string_view address, const std::string &datagram);
    void sendPaced();
    void onPeerRevision(const Member &, std::uint64_t, Duration, TimePoint) override {}
    void onPolicyMessage(std::string_view from, std::string_view message) override;
    void broadcast(wire::EntryNotices &message);
    void sendToSample(const wire::EntryNotices &message);
    void sendToAssignees(std::string_view engine, wire::EntryNotices &message);
    void relayMessage(std::string_view from, wire::EntryNotices &message);
    void sendSpread(const std::vector<SpreadTarget> &targets, wire::EntryNotices &message);
    void passOn(std::string_view from, wire::EntryNotices &message);
    void onFragments(std::string_view origin, const wire::EntryNotices &message);
    void onStores(const wire::EntryNotices &message);
    void logDroppedNotices();
    void receiveNext();
    void tick();
    void sendReleases();
    void takePauses(std::string_view engine, wire::EntryNotices &message);

    PeerLinkSettings settings;
    KeyRing keys;
    PeerLinkListener &listener;
    asio::ip::udp::socket socket;
    asio::ip::udp::endpoint sender;
    asio::steady_timer timer;
    DatagramPacer pacer;
    asio::steady_timer paceTimer;
    std::deque<std::pair<std::string, std::string>> paced; // addresses and datagrams in the queue
    std::size_t droppedNotices = 0; // large ones that found the queue full, not logged yet
    LogAllowance dropLogAllowance;
    FragmentJoiner joiner;
    std::int64_t nextBatch;
    std::array<char, 8192> buffer{};
    Membership membership;
    bool membersChanged = false; // since the last update of peers
    NoticeFanout spread;
    std::mt19937_64 random;
    std::vector<std::string> peers; // names of the other live instances
    EngineShares &shares;
    std::map<std::string, std::uint32_t, std::less<>>
            releases; // tokens by engine, not announced yet
    std::map<std::string, std::vector<bool>, std::less<>> pauses; // by engine, not announced yet
};

} // namespace jaytrack

#endif
