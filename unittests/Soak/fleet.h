// A fleet of instances made of the production parts, on the stage of simulation.h, with targets,
// callers and faults around them and the promises checked as it runs.
#ifndef JAYTRACK_UNITTESTS_SOAK_FLEET_H
#define JAYTRACK_UNITTESTS_SOAK_FLEET_H

#include "simulation.h"

#include "jaytrack/Cluster/configpropagation.h"
#include "jaytrack/Cluster/membership.h"
#include "jaytrack/Cluster/pausedetector.h"
#include "jaytrack/Config/documentstore.h"
#include "jaytrack/Once/ledger.h"
#include "jaytrack/Stream/relay.h"
#include "jaytrack/Support/keyring.h"

#include <algorithm>
#include <memory>
#include <optional>

namespace jaytrack::soak {

struct FleetOptions
{
    std::size_t instances = 7;
    std::uint64_t seed = 1;
    Duration length = std::chrono::minutes(10);
    bool faults = true;
    bool callers = true;
    bool trace = false;                            // prints faults and acceptances as they come
    Duration changeGap = std::chrono::seconds(20); // between configuration changes
};

// What a run found.
struct FleetResult
{
    std::uint64_t events = 0;
    std::uint64_t requests = 0;
    std::uint64_t unknown = 0;
    std::uint64_t streams = 0;
    std::uint64_t resumes = 0;
    std::map<std::string, std::uint64_t> faults;
    std::vector<std::string> violations;
    std::vector<double> spreadSeconds;    // from first acceptance to each connected instance
    std::vector<double> detectionSeconds; // from death to each instance's knowing
    std::uint64_t falseSuspicions = 0;    // that ended with a living instance called gone
    double bytesPerSecond = 0;            // sent by each instance, on average
    double messagesPerSecond = 0;
};

class Fleet;

// One instance: the production parts, wired as the daemon wires them.
class Node final : private PeerTransport,
                   private MembershipListener,
                   private DocumentSink,
                   private DocumentFetcher
{
public:
    Node(Fleet &owner, const std::string &called, std::string place, std::int64_t start);

    const std::string address; // where it can be reached; a replacement may take it over
    const std::int64_t incarnation;
    bool dead = false;
    TimePoint pausedSince;
    TimePoint pausedUntil;
    TimePoint wokeLateAt;   // the last time it woke from a pause beyond its limit
    TimePoint refreshedFor; // the newest question whose answer has refreshed it
    TimePoint startedAt;
    TimePoint cutOffAt;               // the last time a fault touched it
    std::uint64_t servedRevision = 0; // the newest it has ever shown

    Membership membership;
    ConfigPropagation spread;
    PauseDetector wakefulness;
    DocumentStore documents;
    TicketLedger ledger;

    void tick();
    void receive(const std::string &from, const std::string &datagram);
    void readService();
    void refreshed(TimePoint askedAt);

    // Complains if it sends to a target on what it knew before a long pause.
    void checkMaySend();

    bool running() const;

    // A fault touches this instance until the given moment; faults overlap.
    void touch(TimePoint until) { this->cutOffAt = std::max(this->cutOffAt, until); }
    bool serves() const { return this->running() && this->spread.mayServe(); }
    const std::string &name() const { return this->membership.self().name; }
    std::uint64_t revision() const override { return this->documents.revision(); }
    void acceptFromPeer(const std::string &peer, std::uint64_t revision, const std::string &bytes);

private:
    void send(std::string_view to, std::string datagram) override;
    void onMembersChanged() override {}
    void onPeerRevision(const Member &peer, std::uint64_t revision, Duration age,
                        TimePoint askedAt) override;
    void onPolicyMessage(std::string_view, std::string_view) override {}
    void offer(std::string_view bytes, std::uint64_t revision, std::string_view source) override;
    void fetchDocument(const std::string &peerAddress) override;

    Fleet &fleet;
    bool readingService = false;
    TimePoint nextReadAt;
};

// The fleet and all around it.
class Fleet
{
public:
    explicit Fleet(const FleetOptions &chosen);
    FleetResult run();

    Schedule schedule;
    std::mt19937_64 random;
    Network network;
    KeyRing keys;

    // The configuration service: what it holds, and a replica that may be behind.
    std::uint64_t serviceRevision = 1;
    std::uint64_t replicaRevision = 1;
    bool serviceDown = false;

    Node *nodeAt(const std::string &address);
    void violate(const std::string &what);
    void noteAccepted(Node &node, std::uint64_t revision);
    void noteGone(const std::string &observer, const std::string &name);

private:
    friend class PaymentCaller;
    friend class StreamCaller;

    void addNode(const std::string &address);
    std::unique_ptr<Node> makeNode(const std::string &name, const std::string &address);
    void replaceNode(std::size_t index, bool graceful);
    void tickNode(std::size_t index);
    void changeConfig();
    void breakSomething();
    void pause(std::size_t index, Duration length);
    void partition();
    void startCaller();
    void checkSpread(std::uint64_t revision);
    void checkAgreement();
    Node &anyNode() { return *this->nodes[this->random() % this->nodes.size()]; }
    void countFault(const std::string &kind);
    void trace(const std::string &what) const;

    FleetOptions options;
    std::vector<std::unique_ptr<Node>> nodes;
    std::vector<std::unique_ptr<Node>> graveyard; // events may still refer to the dead
    // The first acceptance of a revision. If a fault then touched the one who had it, while the
    // service was down, nobody else could have learnt of it.
    struct Acceptance
    {
        TimePoint at;
        const Node *holder = nullptr;

        bool holderTouched() const
        {
            return this->holder->dead || this->holder->cutOffAt >= this->at;
        }
    };

    std::map<std::uint64_t, Acceptance> accepted;
    std::map<std::string, TimePoint> diedAt;
    std::map<std::int64_t, int> runs; // of each payment, by its number
    std::int64_t nextIncarnation = 1;
    std::int64_t nextPayment = 1;
    std::uint64_t nextGeneration = 1;
    bool quiet = false; // faults have ended
    FleetResult result;
};

// Starts callers; they live by themselves and report to the fleet.
void startPayment(Fleet &fleet);
void startStream(Fleet &fleet);

} // namespace jaytrack::soak

#endif
