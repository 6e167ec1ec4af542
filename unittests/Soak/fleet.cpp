#include "fleet.h"

#include <algorithm>
#include <iostream>

namespace jaytrack::soak {

namespace {

constexpr Duration nodeTick = std::chrono::milliseconds(100);
constexpr Duration pauseLimit = std::chrono::seconds(2);
constexpr Duration spreadBound = std::chrono::seconds(7);
constexpr Duration settleTime = std::chrono::seconds(90);
constexpr Duration serviceGap = std::chrono::milliseconds(700);

std::string documentFor(std::uint64_t revision)
{
    return R"({"models":[{"name":"m","may_wait":true,"max_wait_ms":1,"priority":0,)"
           R"("repeatable":true,"overflow_bound":0.01,"silence_ms":)" +
           std::to_string(revision) + R"(}],"engines":[],"services":[],"customers":[]})";
}

Member memberAt(const std::string &name, const std::string &address, std::int64_t incarnation)
{
    Member member;
    member.name = name;
    member.dataCentre = "dc";
    member.peerAddress = address;
    member.callerAddress = address;
    member.incarnation = incarnation;
    return member;
}

// Forgets within the time that callers keep asking, so that the runs meet forgotten tickets.
LedgerBounds forgetfulLedger()
{
    LedgerBounds bounds;
    bounds.retention = std::chrono::seconds(8);
    return bounds;
}

} // namespace

Node::Node(Fleet &owner, const std::string &called, std::string place, std::int64_t start)
    : address(std::move(place))
    , incarnation(start)
    , startedAt(owner.schedule.clock.now())
    , cutOffAt(startedAt)
    , membership(memberAt(called, this->address, start), owner.schedule.clock, owner.random(),
                 owner.keys, *this, *this)
    , spread(owner.schedule.clock, owner.random(), *this, *this)
    , wakefulness(owner.schedule.clock, pauseLimit)
    , ledger(called, start, forgetfulLedger())
    , fleet(owner)
    , nextReadAt(this->startedAt)
{
}

bool Node::running() const
{
    return !this->dead && this->fleet.schedule.clock.now() >= this->pausedUntil;
}

void Node::tick()
{
    this->wakefulness.tick();
    this->spread.tick();
    this->membership.setConfig(this->documents.revision(), this->spread.age());
    this->membership.tick();
    if (this->fleet.schedule.clock.now() >= this->nextReadAt)
        this->readService();
}

// Reads the service or, at times, a replica that is behind.
void Node::readService()
{
    this->nextReadAt = this->fleet.schedule.clock.now() + serviceGap;
    if (this->readingService || this->fleet.serviceDown)
        return;
    this->readingService = true;
    const TimePoint askedAt = this->fleet.schedule.clock.now();
    const bool stale = this->fleet.network.chance(0.2);
    const std::uint64_t found = stale ? this->fleet.replicaRevision : this->fleet.serviceRevision;
    this->fleet.schedule.after(std::chrono::milliseconds(5), [this, askedAt, found] {
        this->readingService = false;
        if (!this->running())
            return;
        this->offer(documentFor(found), found, "service");
        this->spread.onService(found, askedAt);
        if (found >= this->documents.revision())
            this->refreshed(askedAt);
    });
}

void Node::receive(const std::string &from, const std::string &datagram)
{
    if (this->dead)
        return;
    const TimePoint now = this->fleet.schedule.clock.now();
    if (now < this->pausedUntil) {
        // What arrives while a process is stopped waits in its socket.
        this->fleet.schedule.after(this->pausedUntil - now,
                                   [this, from, datagram] { this->receive(from, datagram); });
        return;
    }
    this->membership.receive(from, datagram);
}

void Node::send(std::string_view to, std::string datagram)
{
    const std::string target(to);
    this->fleet.network.send(this->address, target, [this, target, datagram] {
        if (Node *node = this->fleet.nodeAt(target))
            node->receive(this->address, datagram);
    });
}

void Node::onPeerRevision(const Member &peer, std::uint64_t revision, Duration age,
                          TimePoint askedAt)
{
    const bool asked = askedAt != TimePoint{};
    this->spread.onPeer(peer.peerAddress, revision, age,
                        asked ? std::optional<TimePoint>(askedAt) : std::nullopt);
    if (asked && revision <= this->documents.revision())
        this->refreshed(askedAt);
}

void Node::refreshed(TimePoint askedAt)
{
    this->refreshedFor = std::max(this->refreshedFor, askedAt);
    this->wakefulness.refreshed(askedAt);
}

void Node::checkMaySend()
{
    if (this->refreshedFor < this->wokeLateAt)
        this->fleet.violate(this->name() + " sent on what it knew before its pause");
}

void Node::offer(std::string_view bytes, std::uint64_t revision, std::string_view source)
{
    if (this->documents.offer(bytes, revision, source) != OfferVerdict::Accepted)
        return;
    if (revision < this->servedRevision)
        this->fleet.violate("configuration reverted at " + this->name());
    this->servedRevision = revision;
    this->fleet.noteAccepted(*this, revision);
    this->membership.setConfig(revision, this->spread.age());
    this->membership.spreadRumour();
}

void Node::fetchDocument(const std::string &peerAddress)
{
    this->fleet.network.send(this->address, peerAddress, [this, peerAddress] {
        Node *peer = this->fleet.nodeAt(peerAddress);
        if (peer == nullptr || !peer->running())
            return;
        const auto [revision, bytes] = peer->documents.bytes();
        this->fleet.network.send(peerAddress, this->address,
                                 [this, peerAddress, r = revision, b = bytes] {
                                     this->acceptFromPeer(peerAddress, r, b);
                                 });
    });
}

void Node::acceptFromPeer(const std::string &peer, std::uint64_t revision, const std::string &bytes)
{
    if (this->running())
        this->spread.onFetched(peer, revision, bytes);
}

Fleet::Fleet(const FleetOptions &chosen)
    : random(chosen.seed)
    , network(this->schedule, this->random)
    , keys({"the key of the simulated fleet"})
    , options(chosen)
{
    this->schedule.clock.advance(std::chrono::hours(1));
    for (std::size_t i = 0; i < chosen.instances; ++i)
        this->addNode("10.0.0." + std::to_string(i) + ":7000");
    for (std::size_t i = 0; i < chosen.instances; ++i)
        this->tickNode(i);
}

Node *Fleet::nodeAt(const std::string &address)
{
    const auto found =
            std::find_if(this->nodes.begin(), this->nodes.end(),
                         [&address](const auto &node) { return node->address == address; });
    return found == this->nodes.end() || (*found)->dead ? nullptr : found->get();
}

void Fleet::violate(const std::string &what)
{
    const auto at = std::chrono::duration_cast<std::chrono::milliseconds>(
                            this->schedule.clock.now().time_since_epoch())
                            .count();
    this->result.violations.push_back("seed=" + std::to_string(this->options.seed) +
                                      " at_ms=" + std::to_string(at) + " " + what);
}

void Fleet::countFault(const std::string &kind)
{
    ++this->result.faults[kind];
    this->trace("fault " + kind);
}

void Fleet::trace(const std::string &what) const
{
    if (!this->options.trace)
        return;
    const auto at = std::chrono::duration_cast<std::chrono::milliseconds>(
            this->schedule.clock.now().time_since_epoch());
    std::clog << "at_ms=" << at.count() << " " << what << "\n";
}

void Fleet::addNode(const std::string &address)
{
    this->nodes.push_back(this->makeNode("node-" + address, address));
}

std::unique_ptr<Node> Fleet::makeNode(const std::string &name, const std::string &address)
{
    auto node = std::make_unique<Node>(*this, name, address, this->nextIncarnation++);
    std::vector<std::string> seeds;
    for (const auto &other : this->nodes) {
        if (other)
            seeds.push_back(other->address);
    }
    node->membership.suggest(seeds);
    return node;
}

// A new process at the same address, with nothing of the old one's memory.
void Fleet::replaceNode(std::size_t index, bool graceful)
{
    Node &old = *this->nodes[index];
    if (graceful)
        old.membership.depart();
    else
        this->diedAt[old.name()] = this->schedule.clock.now();
    old.dead = true;
    const std::string address = old.address;
    const TimePoint touchedUntil = old.cutOffAt;
    // Some platforms name a replacement anew, some keep the name.
    const std::string name = this->network.chance(0.5)
                                     ? old.name()
                                     : "node-" + std::to_string(this->nextIncarnation);
    this->graveyard.push_back(std::move(this->nodes[index]));
    this->nodes[index] = this->makeNode(name, address);
    this->nodes[index]->touch(touchedUntil); // the address is still cut off
}

void Fleet::tickNode(std::size_t index)
{
    if (this->nodes[index]->running())
        this->nodes[index]->tick();
    const Duration jitter(static_cast<Duration::rep>(this->random() % 10'000'000));
    this->schedule.after(nodeTick + jitter, [this, index] { this->tickNode(index); });
}

void Fleet::noteAccepted(Node &node, std::uint64_t revision)
{
    const TimePoint now = this->schedule.clock.now();
    this->trace(node.name() + " accepts " + std::to_string(revision));
    const auto [first, added] = this->accepted.try_emplace(revision, Acceptance{now, &node});
    if (added) {
        this->schedule.after(spreadBound, [this, revision] { this->checkSpread(revision); });
        return;
    }
    // Instances that a fault touched since then are not held to the bound, only to the end state.
    const Acceptance &acceptance = first->second;
    if (node.cutOffAt < acceptance.at && !acceptance.holderTouched())
        this->result.spreadSeconds.push_back(
                std::chrono::duration<double>(now - acceptance.at).count());
}

// A new revision is published; at times the service fails right after one reader got it.
void Fleet::changeConfig()
{
    if (this->quiet)
        return;
    ++this->serviceRevision;
    if (this->network.chance(0.5))
        this->replicaRevision = this->serviceRevision - this->random() % 2;
    if (this->options.faults && !this->quiet && this->network.chance(0.3)) {
        this->countFault("service_down_after_one_read");
        this->anyNode().readService();
        this->schedule.after(std::chrono::milliseconds(1), [this] { this->serviceDown = true; });
        this->schedule.after(std::chrono::seconds(10), [this] { this->serviceDown = false; });
    }
    const auto gap = static_cast<std::uint64_t>(this->options.changeGap.count());
    this->schedule.after(Duration(static_cast<Duration::rep>(gap / 2 + this->random() % gap)),
                         [this] { this->changeConfig(); });
}

// Each running instance that no fault has touched since must hold what was accepted anywhere seven
// seconds ago.
void Fleet::checkSpread(std::uint64_t revision)
{
    const Acceptance &acceptance = this->accepted.at(revision);
    if (acceptance.holderTouched())
        return;
    for (const auto &node : this->nodes) {
        const bool touched = node->cutOffAt >= acceptance.at || node->startedAt >= acceptance.at;
        if (!touched && node->running() && node->documents.revision() < revision)
            this->violate("revision " + std::to_string(revision) + " not in force at " +
                          node->name());
    }
}

void Fleet::pause(std::size_t index, Duration length)
{
    Node &node = *this->nodes[index];
    this->trace("pause " + node.name());
    // A pause may begin within another one; then the process stands still until the later end.
    const TimePoint now = this->schedule.clock.now();
    if (now >= node.pausedUntil)
        node.pausedSince = now;
    node.pausedUntil = std::max(node.pausedUntil, now + length);
    if (node.pausedUntil - node.pausedSince > pauseLimit)
        node.wokeLateAt = node.pausedUntil;
    node.touch(node.pausedUntil + std::chrono::seconds(2));
}

void Fleet::partition()
{
    const bool oneWay = this->network.chance(0.3);
    std::vector<bool> left;
    for (std::size_t i = 0; i < this->nodes.size(); ++i)
        left.push_back(this->network.chance(0.5));
    const Duration length = std::chrono::seconds(5 + this->random() % 60);
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
        for (std::size_t j = 0; j < this->nodes.size(); ++j) {
            if (left[i] == left[j] || (oneWay && left[i]))
                continue;
            this->network.cut(this->nodes[i]->address, this->nodes[j]->address);
        }
    }
    for (const auto &node : this->nodes)
        node->touch(this->schedule.clock.now() + length + std::chrono::seconds(15));
    this->schedule.after(length, [this] { this->network.heal(); });
}

void Fleet::breakSomething()
{
    if (this->quiet)
        return;
    const std::size_t index = this->random() % this->nodes.size();
    switch (this->random() % 7) {
    case 0:
        this->countFault("killed");
        this->replaceNode(index, false);
        break;
    case 1:
        this->countFault("replaced");
        this->replaceNode(index, true);
        break;
    case 2:
        this->countFault("paused");
        this->pause(index, std::chrono::milliseconds(500 + this->random() % 30'000));
        break;
    case 3:
        this->countFault("partitioned");
        this->partition();
        break;
    case 4:
        this->countFault("service_down");
        this->serviceDown = true;
        this->schedule.after(std::chrono::seconds(5 + this->random() % 120),
                             [this] { this->serviceDown = false; });
        break;
    case 5:
        this->countFault("lossy");
        this->network.loss = 0.2;
        this->schedule.after(std::chrono::seconds(10), [this] { this->network.loss = 0.01; });
        for (const auto &node : this->nodes)
            node->touch(this->schedule.clock.now() + std::chrono::seconds(12));
        break;
    default:
        this->countFault("slow_links");
        this->network.longest = std::chrono::milliseconds(400);
        this->schedule.after(std::chrono::seconds(10),
                             [this] { this->network.longest = std::chrono::milliseconds(6); });
        break;
    }
    // Short gaps let two faults overlap.
    this->schedule.after(std::chrono::seconds(1 + this->random() % 25),
                         [this] { this->breakSomething(); });
}

void Fleet::startCaller()
{
    if (this->quiet)
        return;
    ++this->result.requests;
    if (this->network.chance(0.7))
        startPayment(*this);
    else
        startStream(*this);
    this->schedule.after(std::chrono::milliseconds(100 + this->random() % 400),
                         [this] { this->startCaller(); });
}

// After the faults have ended everybody must know everybody, and the newest revision.
void Fleet::checkAgreement()
{
    std::uint64_t newest = 0;
    for (const auto &node : this->nodes)
        newest = std::max(newest, node->documents.revision());
    for (const auto &node : this->nodes) {
        if (node->documents.revision() != newest)
            this->violate(node->name() + " never received revision " + std::to_string(newest));
        const std::vector<Member> seen = node->membership.members();
        if (seen.size() != this->nodes.size())
            this->violate(node->name() + " knows " + std::to_string(seen.size()) + " of " +
                          std::to_string(this->nodes.size()));
        for (const auto &other : this->nodes) {
            const Member *member = node->membership.find(other->name());
            if (member == nullptr || !member->acceptsWork())
                this->violate(node->name() + " does not hold " + other->name() + " for live");
        }
    }
}

FleetResult Fleet::run()
{
    const TimePoint start = this->schedule.clock.now();
    this->schedule.after(std::chrono::seconds(10), [this] { this->changeConfig(); });
    if (this->options.faults)
        this->schedule.after(std::chrono::seconds(15), [this] { this->breakSomething(); });
    if (this->options.callers)
        this->schedule.after(std::chrono::seconds(5), [this] { this->startCaller(); });
    this->schedule.runUntil(start + this->options.length);
    this->quiet = true;
    this->serviceDown = false;
    this->schedule.runUntil(start + this->options.length + settleTime);
    this->checkAgreement();

    const double seconds = std::chrono::duration<double>(this->options.length + settleTime).count();
    double bytes = 0;
    double messages = 0;
    for (const auto &node : this->nodes) {
        const MembershipCounts &counts = node->membership.counts();
        bytes += static_cast<double>(counts.sentBytes);
        messages += static_cast<double>(counts.sent);
        this->result.falseSuspicions += counts.refutations;
    }
    const auto count = static_cast<double>(this->nodes.size());
    this->result.bytesPerSecond = bytes / seconds / count;
    this->result.messagesPerSecond = messages / seconds / count;
    this->result.events = this->schedule.count;
    return this->result;
}

} // namespace jaytrack::soak
