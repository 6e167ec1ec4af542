// What entry instances tell each other: who is there, and which engine each generation went to.
//
// Load that it answers: an engine's own report is half a second old when it comes and is asked for
// once a second. Meanwhile every other instance sends prompts to the engine that looked idle, and
// each prompt of three thousand tokens delays the first token of the next by half a second. A
// notice takes two milliseconds. Nothing depends on it: one that is lost leaves an instance with
// the reports alone.
#ifndef JAYTRACK_PROXY_PEERLINK_H
#define JAYTRACK_PROXY_PEERLINK_H

#include "jaytrack/Cluster/membership.h"
#include "jaytrack/Cluster/noticefanout.h"
#include "jaytrack/Limits/limitnews.h"
#include "jaytrack/Proxy/datagrampacer.h"
#include "jaytrack/Quarantine/quarantinenews.h"
#include "jaytrack/Routing/enginechoice.h"
#include "jaytrack/Routing/engineshares.h"
#include "jaytrack/Support/keyring.h"

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
    std::vector<std::string> seeds; // IP:PORT of other instances to ask first
    std::vector<std::string> keys;  // the first signs, all verify
};

// What an instance read of the store, for others.
struct SharedChanges
{
    std::uint64_t from = 0;
    std::uint64_t to = 0;
    std::vector<StoreItem> items;
    bool incomplete = false;  // some item was too large to be passed on
    bool afterOutage = false; // removals may be of entries that lapsed while the store was away
    std::uint64_t era = 0;    // the history that the revisions belong to; 0 if none is known
};

// The same changes in parts of at most so many bytes of items, as they are sent, each going on
// where the one before ends. An item that alone is larger is left out, and its part marked
// incomplete.
std::vector<SharedChanges> splitChanges(const SharedChanges &changes, std::size_t mostBytes);

// Told what other instances say.
class PeerLinkListener
{
public:
    virtual ~PeerLinkListener() = default;
    virtual void onPlacedByPeer(std::string_view engine, const GenerationNeed &need,
                                bool copied) = 0;
    virtual void onReleasedByPeer(std::string_view engine, std::uint32_t tokens) = 0;
    virtual void onFailedForPeer(std::string_view engine, std::string_view peer) = 0;
    virtual void onLoadFromPeer(std::string_view engine, const EngineLoad &load) = 0;
    virtual void onStoreFromPeer(const SharedChanges &changes) = 0;
    virtual void onFreshnessAsked(std::string_view peer, std::int64_t askedAt) = 0;
    virtual void onFreshness(std::string_view peer, std::int64_t askedAt, Duration age,
                             std::uint64_t era, std::uint64_t revision) = 0;
    virtual void onLeavingFromPeer(std::string_view target) = 0;
    virtual void onColdFromPeer(std::string_view target, Duration left) = 0;
    virtual void onQuarantineNews(const QuarantineNews &news) = 0;
    virtual void onLimitNews(std::string_view peer, const LimitNews &news) = 0;
    virtual void onPeersChanged(const std::vector<std::string> &names) = 0;
};

class PeerLink final : public PeerTransport, public MembershipListener
{
public:
    PeerLink(asio::io_context &loop, const Clock &time, PeerLinkSettings given, std::uint64_t seed,
             EngineShares &shared, PeerLinkListener &told);

    // Fails if the address cannot be bound.
    Result<void> open();

    // Tells the other instances that give work to an engine of a generation that this one gave it.
    void announce(std::string_view engine, const GenerationNeed &need, bool copied);

    // Tells them that a generation of this instance gave back memory. Such notices are sent
    // together, some times a second.
    void announceReleased(std::string_view engine, std::uint32_t tokens);

    // Tells them that an engine failed a generation or a question of this instance.
    void announceFailed(std::string_view engine);

    // Tells them what an engine reported.
    void announce(std::string_view engine, const EngineLoad &load);

    // Tells them that a target has said in an answer that it leaves.
    void announceLeaving(std::string_view target);

    // Tells them that a target has said in an answer that it is cold.
    void announceCold(std::string_view target, Duration left);

    // Tells all others, or some drawn by chance, of requests that end targets.
    void tellAll(const QuarantineNews &news);
    void tellSome(const QuarantineNews &news);

    // Tells one other, all, or some drawn by chance, of targets that name limits.
    void tellLimits(std::string_view peer, const LimitNews &news);
    void tellAllLimits(const LimitNews &news);
    void tellSomeLimits(const LimitNews &news);

    // Passes on what this instance read of the store, to readers too: each pauses after a change.
    void shareStore(const SharedChanges &changes);
    void askFreshness(std::string_view peer, std::int64_t askedAt);
    void answerFreshness(std::string_view peer, std::int64_t askedAt, Duration age,
                         std::uint64_t era, std::uint64_t revision);

    // Tells the others that this instance is about to end.
    void depart();

private:
    void send(std::string_view address, std::string datagram) override;
    void onMembersChanged() override;
    void takeMembers();
    void sendNow(std::string_view address, const std::string &datagram);
    void sendPaced();
    void onPeerRevision(const Member &, std::uint64_t, Duration, TimePoint) override {}
    void onPolicyMessage(std::string_view from, std::string_view message) override;
    void tellPeers(wire::EntryNotices &message);
    void tellDrawn(const wire::EntryNotices &message);
    void tellSharers(std::string_view engine, wire::EntryNotices &message);
    void passOn(std::string_view from, wire::EntryNotices &message);
    void receiveNext();
    void tick();
    void sendReleases();

    PeerLinkSettings settings;
    KeyRing keys;
    PeerLinkListener &listener;
    asio::ip::udp::socket socket;
    asio::ip::udp::endpoint sender;
    asio::steady_timer timer;
    DatagramPacer pacer;
    asio::steady_timer paceTimer;
    std::deque<std::pair<std::string, std::string>> paced; // addresses and datagrams that wait
    std::array<char, 8192> buffer{};
    Membership membership;
    bool membersChanged = false; // since they were taken
    NoticeFanout spread;
    std::mt19937_64 random;
    std::vector<std::string> peers; // names of the others that are up
    EngineShares &shares;
    std::map<std::string, std::uint32_t, std::less<>> releases; // tokens, not told yet
};

} // namespace jaytrack

#endif
