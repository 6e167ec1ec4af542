// Which instances exist: failure detection by probing with suspicion, spread by gossip over
// datagrams, and with it the news of configuration revisions.
//
// The protocol follows SWIM (Das, Gupta, Motivala, 2002): each instance probes one other in each
// period, directly and then through a few others, so the cost of an instance does not depend on
// how many there are, and what is learnt rides on the probes.
#ifndef JAYTRACK_CLUSTER_MEMBERSHIP_H
#define JAYTRACK_CLUSTER_MEMBERSHIP_H

#include "jaytrack/Support/clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jaytrack {

class KeyRing;

namespace wire {
class MemberRecord;
class PeerMessage;
} // namespace wire

// In the order in which one state overrides another of the same version.
enum class MemberState { Joining = 0, Live = 1, Suspect = 2, Leaving = 3, Gone = 4 };

// What is known of one instance.
struct Member
{
    std::string name;
    std::string dataCentre;
    std::string peerAddress;
    std::string callerAddress;
    std::int64_t incarnation = 0;
    std::int32_t version = 0;
    MemberState state = MemberState::Live;
    TimePoint changedAt;

    bool isUp() const { return this->state != MemberState::Gone; }
    bool takesWork() const
    {
        return this->state == MemberState::Live || this->state == MemberState::Suspect;
    }
};

// Carries datagrams. They may be lost, late, doubled and reordered.
class PeerTransport
{
public:
    virtual ~PeerTransport() = default;
    virtual void send(std::string_view address, std::string datagram) = 0;
};

// Hears of what membership learns. Called from within its functions.
class MembershipListener
{
public:
    virtual ~MembershipListener() = default;

    // Who is up, or leaving, has changed. Called once for all that one message or tick brought.
    virtual void onMembersChanged() = 0;

    // A peer answered a question that was asked at the given moment and has this revision in
    // force, confirmed with the service so long ago.
    virtual void onPeerHeard(const Member &peer, std::uint64_t revision, Duration configAge,
                             TimePoint askedAt) = 0;

    // A policy of another instance sent this to ours.
    virtual void onPolicyMessage(std::string_view from, std::string_view message) = 0;
};

struct MembershipOptions
{
    Duration probePeriod = std::chrono::milliseconds(500);
    Duration ackWait = std::chrono::milliseconds(150);
    Duration suspicionBase = std::chrono::seconds(3);
    Duration suspicionPerDoubling = std::chrono::milliseconds(500); // of the number of members
    Duration forgetGone = std::chrono::hours(2);
    Duration reconnectPeriod = std::chrono::seconds(5);
    std::size_t helpers = 3;      // asked to probe where no direct answer came
    std::size_t rumourFanout = 3; // told at once of a new revision
    std::size_t recordsPerMessage = 6;
    int changeRepeats = 4; // times log2 of the members: how often a change is passed on

    // A member that starts asks others for all that they know, after this pause each time, until
    // one knows the same; then at twice the pause each time, up to the longest. Gossip alone brings
    // six records a message, most of them known already: 195 instances that start together took
    // 36 s to know each other.
    Duration firstTablePause = std::chrono::milliseconds(500);
    Duration longestTablePause = std::chrono::seconds(8);

    // Records of some 80 bytes in one message of a table; 4 KB fit into any receiver's buffer.
    std::size_t recordsPerTable = 48;

    // A member that started less than this long ago asks as one that starts, and tells each one
    // that it learns of that it is there. Until they know it, the others drop what it says.
    Duration newcomerTime = std::chrono::seconds(10);
    std::size_t greetingsPerTick = 64;
};

// How much membership has done, for metrics and measurements.
struct MembershipCounts
{
    std::uint64_t sent = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t received = 0;
    std::uint64_t receivedBytes = 0;
    std::uint64_t rejected = 0;
    std::uint64_t suspicions = 0;
    std::uint64_t refutations = 0;
};

// The view that one instance has of all. Not safe for several threads at once.
class Membership
{
public:
    Membership(const Member &own, const Clock &time, std::uint64_t seed, const KeyRing &fleetKeys,
               PeerTransport &datagrams, MembershipListener &target,
               const MembershipOptions &chosen = {});

    // Addresses to try while nobody is known, from settings or from the platform's list. The list
    // lags, so it only ever suggests whom to ask; it neither adds nor removes anybody.
    void suggest(std::span<const std::string> addresses);

    void receive(std::string_view from, std::string_view datagram);
    void tick();

    // This instance has become ready to serve.
    void goLive();

    // This instance takes no new work from now on; spread like any change, a few told at once.
    void leave();

    // This instance is about to end; tells everybody, since it will not be there to repeat it.
    void depart();

    // The revision in force here and how long ago it was known to be the newest.
    void setConfig(std::uint64_t revision, Duration age);

    // Tells a few peers at once, when a newer revision has come into force here.
    void spreadRumour();

    // Sends a message of the placement policy to another instance, or the same to several; lost to
    // those that are not up.
    void sendPolicy(std::string_view name, std::string message);
    void sendPolicy(std::span<const std::string> names, std::string message);

    const Member &self() const { return this->me; }

    // All that are not gone, this instance among them, in order of name.
    std::vector<Member> members() const;

    // The member of that name, gone or not; null if none is known.
    const Member *find(std::string_view name) const;

    const MembershipCounts &counts() const { return this->tally; }

private:
    struct Known
    {
        Member member;
        int repeatsLeft = 0; // how often its latest change is still passed on
    };

    struct Probe
    {
        std::string target;
        std::int64_t sequence = 0;
        TimePoint sentAt;
        bool helped = false;
        bool active = false;
    };

    struct Relay // a probe made for another instance
    {
        std::string askerAddress;
        std::int64_t askerSequence = 0;
    };

    using Members = std::map<std::string, Known, std::less<>>;

    wire::PeerMessage makeMessage(int kind, std::int64_t sequence, const Member *about);
    void addRecords(wire::PeerMessage &message, const Member *about);
    std::string seal(const wire::PeerMessage &message) const;
    void post(std::string_view address, const wire::PeerMessage &message);
    void postSealed(std::string_view address, std::string datagram);
    void onPing(std::string_view from, const wire::PeerMessage &message);
    void onPolicy(const wire::PeerMessage &message);
    void onAck(const wire::PeerMessage &message);
    void onPingRequest(std::string_view from, const wire::PeerMessage &message);

    // How far a record has come already: what a table brings others know, and who starts tells all
    // by itself, so such a record is not passed on as news.
    enum class Spread { News, Known };

    void learn(const wire::MemberRecord &record, Spread spread);
    void learnOfSelf(const wire::MemberRecord &record);
    void adopt(Known &known, const wire::MemberRecord &record, Spread spread);
    void retireSameAddress(const Member &fresh);
    void changed(Known &known);
    void tellChanges();
    void refute(std::int32_t version);

    std::int64_t tableDigest() const;
    void askForTable();
    void onTableAsk(std::string_view from, const wire::PeerMessage &message);
    void onTable(const wire::PeerMessage &message);
    bool isNewcomer() const;
    void greetNewlyKnown();

    void startProbe();
    void checkProbe();
    void askHelpers();
    void suspect(const std::string &name);
    void checkSuspects();
    void forgivePause(TimePoint now);
    void reconnect();
    const Member *memberAt(std::string_view address) const;
    Known *nextTarget();
    std::vector<const Member *> randomPeers(std::size_t count, std::string_view except);
    Duration suspicionTime() const;
    int repeatCount() const;

    Member me;
    const Clock &clock;
    std::mt19937_64 random;
    const KeyRing &keys;
    PeerTransport &transport;
    MembershipListener &listener;
    MembershipOptions options;

    Members others;
    std::vector<std::string> suggestions;
    std::vector<std::string> ungreeted; // names of members learnt of while this one was new
    TimePoint startedAt;
    TimePoint nextTableAskAt;
    Duration tablePause;
    bool tableAgreed = false;  // somebody knew the same since this member started
    bool askSuggestion = true; // next for the table, rather than a member
    bool membersDirty = false; // changed since the listener was told
    std::vector<std::string> probeOrder;
    std::size_t probeTurn = 0;
    Probe probe;
    std::map<std::int64_t, Relay> relays;
    std::map<std::int64_t, TimePoint> asked; // sequence of each ping sent lately
    std::int64_t nextSequence = 1;
    TimePoint lastTickAt;
    TimePoint nextProbeAt;
    TimePoint nextReconnectAt;
    std::uint64_t configRevision = 0;
    Duration configAge{0};
    TimePoint configAgeAt;
    MembershipCounts tally;
};

} // namespace jaytrack

#endif
