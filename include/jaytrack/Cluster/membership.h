// Tracks which instances are up. Failures are detected by probes with suspicion; the results,
// together with the configuration revision, are spread by gossip in datagrams.
//
// The protocol follows SWIM (Das, Gupta, Motivala, 2002): in each period an instance probes one
// other instance, directly and then through a few others. The cost per instance therefore does not
// depend on the number of instances, and updates are piggybacked on the probes.
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

// A later state overrides an earlier one of the same version.
enum class MemberState { Joining = 0, Live = 1, Suspect = 2, Leaving = 3, Gone = 4 };

// The known state of one instance.
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
    bool acceptsWork() const
    {
        return this->state == MemberState::Live || this->state == MemberState::Suspect;
    }
};

// Carries datagrams. They may be lost, delayed, duplicated or reordered.
class PeerTransport
{
public:
    virtual ~PeerTransport() = default;
    virtual void send(std::string_view address, std::string datagram) = 0;
};

// Receives membership events. Called from within the functions of Membership.
class MembershipListener
{
public:
    virtual ~MembershipListener() = default;

    // The set of members that are up or leaving has changed. Called once for all changes of one
    // message or tick.
    virtual void onMembersChanged() = 0;

    // A peer answered a request sent at `requestedAt` and has this revision in force, which was
    // confirmed with the service `configAge` ago.
    virtual void onPeerRevision(const Member &peer, std::uint64_t revision, Duration configAge,
                                TimePoint requestedAt) = 0;

    // The placement policy of another instance sent this message.
    virtual void onPolicyMessage(std::string_view from, std::string_view message) = 0;
};

struct MembershipOptions
{
    Duration probePeriod = std::chrono::milliseconds(500);
    Duration ackTimeout = std::chrono::milliseconds(150);
    Duration suspicionBase = std::chrono::seconds(3);
    // For each doubling of the number of members.
    Duration suspicionPerDoubling = std::chrono::milliseconds(500);
    Duration goneRetention = std::chrono::hours(2);
    Duration reconnectPeriod = std::chrono::seconds(5);
    // Peers that are requested to probe a member that did not answer directly.
    std::size_t indirectProbes = 3;
    std::size_t rumourFanout = 3; // peers that are notified of a new revision at once
    std::size_t recordsPerMessage = 6;
    int changeRepeats = 4; // a change is passed on this many times log2 of the number of members

    // A starting member requests the full table of other members at this interval until one has
    // the same table; after that the interval doubles up to the maximum. Gossip alone carries
    // six records per message, most of them already known: 195 instances that started together
    // took 36 s to discover each other.
    Duration minTableInterval = std::chrono::milliseconds(300);
    Duration maxTableInterval = std::chrono::seconds(8);

    // Maximum number of records in one table message. At about 80 bytes each they take 4 KB,
    // which fits into the receive buffer of any receiver.
    std::size_t recordsPerTable = 48;

    // Maximum number of table messages that an instance sends in a second, which take a fifth of a
    // link of 20 Mbit/s. After a simultaneous start every instance requests tables of all
    // members, at first from one of three addresses.
    std::size_t tablesPerSecond = 125;

    // A member that started less than this long ago requests tables at the start interval and
    // announces itself to each member that it discovers. Members that do not know it yet drop
    // its messages.
    Duration startupPeriod = std::chrono::seconds(10);
    std::size_t announcementsPerTick = 64;
};

// Counters for metrics and measurements.
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

// The membership view of one instance. Not thread-safe.
class Membership
{
public:
    Membership(const Member &own, const Clock &clockSource, std::uint64_t seed,
               const KeyRing &fleetKeys, PeerTransport &peerTransport,
               MembershipListener &membershipListener,
               const MembershipOptions &initialOptions = {});

    // Sets addresses to contact while no member is known, from settings or from the platform's
    // list. The list may be outdated, so it is only used to choose whom to contact; it neither
    // adds nor removes members.
    void suggest(std::span<const std::string> addresses);

    void receive(std::string_view from, std::string_view datagram);
    void tick();

    // Marks this instance as ready to serve.
    void goLive();

    // Marks this instance as accepting no new work. The change is gossiped like any other, and
    // a few peers are notified at once.
    void leave();

    // Notifies all members that this instance is about to end, since it will not be there to
    // repeat the change.
    void depart();

    // Sets the revision in force and how long ago it was known to be the newest.
    void setConfig(std::uint64_t revision, Duration age);

    // Notifies a few peers at once when a newer revision has come into force here.
    void spreadRumour();

    // Sends a message of the placement policy to one or several instances. It is dropped for
    // those that are not up.
    void sendPolicy(std::string_view name, std::string message);
    void sendPolicy(std::span<const std::string> names, std::string message);

    const Member &self() const { return this->ownMember; }

    // Returns all members that are not gone, including this instance, ordered by name.
    std::vector<Member> members() const;

    // Returns the member of that name, gone or not; null if it is unknown.
    const Member *find(std::string_view name) const;

    const MembershipCounts &counts() const { return this->tally; }

private:
    struct Known
    {
        Member member;
        int remainingRepeats = 0; // how many more times its latest change is passed on
    };

    struct Probe
    {
        std::string target;
        std::int64_t sequence = 0;
        TimePoint sentAt;
        bool indirect = false;
        bool active = false;
    };

    struct Relay // a probe on behalf of another instance
    {
        std::string requesterAddress;
        std::int64_t requesterSequence = 0;
    };

    using Members = std::map<std::string, Known, std::less<>>;

    wire::PeerMessage makeMessage(int kind, std::int64_t sequence, const Member *receiver);
    void addRecords(wire::PeerMessage &message, const Member *receiver);
    std::string seal(const wire::PeerMessage &message) const;
    void sendMessage(std::string_view address, const wire::PeerMessage &message);
    void sendSealed(std::string_view address, std::string datagram);
    void onPing(std::string_view from, const wire::PeerMessage &message);
    void onPolicy(const wire::PeerMessage &message);
    void onAck(const wire::PeerMessage &message);
    void onPingRequest(std::string_view from, const wire::PeerMessage &message);

    // Whether an applied record is passed on by gossip. Records from a table are not: the
    // others already know them, and a starting member announces itself to all.
    enum class Propagation { Gossip, None };

    void learn(const wire::MemberRecord &record, Propagation propagation);
    void applyOwnRecord(const wire::MemberRecord &record);
    void adopt(Known &known, const wire::MemberRecord &record, Propagation propagation);
    void retireSameAddress(const Member &replacement);
    void markChanged(Known &known);
    void notifyListener();
    void refute(std::int32_t version);

    std::int64_t tableDigest() const;
    void requestTable();
    void onTableRequest(std::string_view from, const wire::PeerMessage &message);
    std::vector<const Member *> tableFor(std::string_view requester) const;
    std::size_t takeTables(std::size_t wanted);
    void onTable(const wire::PeerMessage &message);
    bool isStarting() const;
    void announceToNewMembers();

    void startProbe();
    void checkProbe();
    void sendPingRequests();
    void suspect(const std::string &name);
    void checkSuspects();
    void resetTimeoutsAfterPause(TimePoint now);
    void reconnect();
    const Member *memberAt(std::string_view address) const;
    Known *nextProbeTarget();
    std::vector<const Member *> randomPeers(std::size_t count, std::string_view except);
    Duration suspicionTime() const;
    int repeatCount() const;

    Member ownMember;
    const Clock &clock;
    std::mt19937_64 random;
    const KeyRing &keys;
    PeerTransport &transport;
    MembershipListener &listener;
    MembershipOptions options;

    Members others;
    std::vector<std::string> suggestions;
    // Discovered members to which this starting member has yet to announce itself.
    std::vector<std::string> unannounced;
    TimePoint startedAt;
    TimePoint nextTableRequestAt;
    TimePoint tableSpanStart;
    std::size_t tablesLeft = 0; // that may be sent in this span
    Duration tableInterval;
    bool tableConfirmed = false; // a member had the same table since this member started
    // Send the next table request to a suggested address rather than to a member.
    std::size_t tableRequests = 0;
    bool membersDirty = false; // changed since the last call of the listener
    std::vector<std::string> probeOrder;
    std::size_t probeTurn = 0;
    Probe probe;
    std::map<std::int64_t, Relay> relays;
    std::map<std::int64_t, TimePoint> sentPings; // time of each recent ping by sequence number
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
