#include "jaytrack/Cluster/membership.h"

#include "jaytrack/Support/keyring.h"
#include "jaytrack/Wire/codec.h"

#include "memberrecord.h"

#include "peer_types.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace jaytrack {

namespace {

constexpr std::string_view peerPurpose = "peer";
constexpr std::size_t maxSentPings = 256;
constexpr std::size_t maxRelays = 256;
constexpr std::int32_t maxAgeMs = 24 * 3600 * 1000;
constexpr std::size_t maxDatagramBytes = 60'000;

bool isWellFormed(const wire::MemberRecord &record)
{
    return !record.name.empty() && !record.peerAddress.empty() && record.state >= 0 &&
           record.state <= wire::MemberState::Gone;
}

// Returns whether a record is newer than the known state. A later incarnation is another process
// and always newer. Within one incarnation only the member itself raises the version; others may
// only advance its state.
bool supersedes(const wire::MemberRecord &record, const Member &known)
{
    if (record.incarnation != known.incarnation)
        return record.incarnation > known.incarnation;
    if (record.version != known.version)
        return record.version > known.version;
    return static_cast<int>(record.state) > static_cast<int>(known.state);
}

} // namespace

Membership::Membership(const Member &own, const Clock &clockSource, std::uint64_t seed,
                       const KeyRing &fleetKeys, PeerTransport &peerTransport,
                       MembershipListener &membershipListener,
                       const MembershipOptions &initialOptions)
    : ownMember(own)
    , clock(clockSource)
    , random(seed)
    , keys(fleetKeys)
    , transport(peerTransport)
    , listener(membershipListener)
    , options(initialOptions)
    , startedAt(clockSource.now())
    , nextTableRequestAt(clockSource.now())
    , tableInterval(initialOptions.minTableInterval)
    , lastTickAt(clockSource.now())
    , nextProbeAt(clockSource.now())
    , nextReconnectAt(clockSource.now())
    , configAgeAt(clockSource.now())
{
    this->ownMember.changedAt = clockSource.now();
}

void Membership::suggest(std::span<const std::string> addresses)
{
    this->suggestions.clear();
    for (const std::string &address : addresses) {
        if (!address.empty() && address != this->ownMember.peerAddress)
            this->suggestions.push_back(address);
    }
}

std::vector<Member> Membership::members() const
{
    std::vector<Member> list;
    list.push_back(this->ownMember);
    for (const auto &[name, known] : this->others) {
        if (known.member.isUp())
            list.push_back(known.member);
    }
    std::sort(list.begin(), list.end(),
              [](const Member &a, const Member &b) { return a.name < b.name; });
    return list;
}

const Member *Membership::find(std::string_view name) const
{
    if (name == this->ownMember.name)
        return &this->ownMember;
    const auto found = this->others.find(name);
    return found == this->others.end() ? nullptr : &found->second.member;
}

void Membership::setConfig(std::uint64_t revision, Duration age)
{
    this->configRevision = revision;
    this->configAge = age;
    this->configAgeAt = this->clock.now();
}

// ---- Sending ----

wire::PeerMessage Membership::makeMessage(int kind, std::int64_t sequence, const Member *receiver)
{
    wire::PeerMessage message;
    message.kind = static_cast<wire::PeerKind::type>(kind);
    message.sequence = sequence;
    message.sender = toRecord(this->ownMember);
    message.revision = static_cast<std::int64_t>(this->configRevision);
    const Duration age = this->configAge + (this->clock.now() - this->configAgeAt);
    const auto ageMs = std::chrono::duration_cast<std::chrono::milliseconds>(age).count();
    message.configAgeMs = static_cast<std::int32_t>(std::min<std::int64_t>(ageMs, maxAgeMs));
    this->addRecords(message, receiver);
    return message;
}

// Adds recent changes first and fills the remaining room with random records, to repair lost
// updates. The receiver's own record is always included unless it is live: this is how a member
// that was wrongly suspected, or returns after a partition, learns of it and can refute it.
void Membership::addRecords(wire::PeerMessage &message, const Member *receiver)
{
    if (receiver != nullptr && receiver->state != MemberState::Live)
        message.records.push_back(toRecord(*receiver));
    std::vector<Known *> fresh;
    std::vector<const Known *> settled;
    for (auto &[name, known] : this->others) {
        if (known.remainingRepeats > 0)
            fresh.push_back(&known);
        else
            settled.push_back(&known);
    }
    std::sort(fresh.begin(), fresh.end(), [](const Known *a, const Known *b) {
        return a->remainingRepeats > b->remainingRepeats;
    });
    for (Known *known : fresh) {
        if (message.records.size() >= this->options.recordsPerMessage)
            return;
        --known->remainingRepeats;
        message.records.push_back(toRecord(known->member));
    }
    while (!settled.empty() && message.records.size() < this->options.recordsPerMessage) {
        const std::size_t pick = this->random() % settled.size();
        message.records.push_back(toRecord(settled[pick]->member));
        settled[pick] = settled.back();
        settled.pop_back();
    }
}

std::string Membership::seal(const wire::PeerMessage &message) const
{
    wire::SealedMessage sealed;
    sealed.body = encodeMessage(message);
    sealed.mac = this->keys.sign(peerPurpose, sealed.body);
    return encodeMessage(sealed);
}

void Membership::sendMessage(std::string_view address, const wire::PeerMessage &message)
{
    this->sendSealed(address, this->seal(message));
}

void Membership::sendSealed(std::string_view address, std::string datagram)
{
    ++this->tally.sent;
    this->tally.sentBytes += datagram.size();
    this->transport.send(address, std::move(datagram));
}

void Membership::goLive()
{
    if (this->ownMember.state != MemberState::Joining)
        return;
    this->ownMember.state = MemberState::Live;
    ++this->ownMember.version;
    this->spreadRumour();
}

void Membership::leave()
{
    if (this->ownMember.state == MemberState::Leaving)
        return;
    this->ownMember.state = MemberState::Leaving;
    ++this->ownMember.version;
    this->spreadRumour();
}

void Membership::depart()
{
    this->ownMember.state = MemberState::Gone;
    for (const Member *peer : this->randomPeers(this->others.size(), "")) {
        this->sendMessage(peer->peerAddress,
                          this->makeMessage(wire::PeerKind::Rumour, this->nextSequence++, peer));
    }
}

void Membership::spreadRumour()
{
    for (const Member *peer : this->randomPeers(this->options.rumourFanout, "")) {
        this->sendMessage(peer->peerAddress,
                          this->makeMessage(wire::PeerKind::Rumour, this->nextSequence++, peer));
    }
}

void Membership::sendPolicy(std::string_view name, std::string message)
{
    const std::string only(name);
    this->sendPolicy(std::span(&only, 1), std::move(message));
}

// Encodes and signs the message once, since a notice is sent to dozens of members.
void Membership::sendPolicy(std::span<const std::string> names, std::string message)
{
    wire::PeerMessage carrier;
    carrier.kind = wire::PeerKind::Policy;
    // The receiver already knows the other fields, or doesn't know this instance yet and drops
    // the message.
    carrier.sender.name = this->ownMember.name;
    carrier.sender.incarnation = this->ownMember.incarnation;
    carrier.policy = std::move(message);
    const std::string datagram = this->seal(carrier);
    for (const std::string &name : names) {
        const auto found = this->others.find(name);
        if (found != this->others.end() && found->second.member.isUp())
            this->sendSealed(found->second.member.peerAddress, datagram);
    }
}

// ---- Receiving ----

void Membership::receive(std::string_view from, std::string_view datagram)
{
    ++this->tally.received;
    this->tally.receivedBytes += datagram.size();
    const auto sealed = datagram.size() <= maxDatagramBytes
                                ? decodeMessage<wire::SealedMessage>(datagram)
                                : std::nullopt;
    // Without authentication any sender could declare any instance gone.
    if (!sealed || !this->keys.verify(peerPurpose, sealed->body, sealed->mac)) {
        ++this->tally.rejected;
        return;
    }
    const auto message = decodeMessage<wire::PeerMessage>(sealed->body);
    if (message && message->kind == wire::PeerKind::Policy) {
        this->onPolicy(*message);
        return;
    }
    if (!message || !isWellFormed(message->sender)) {
        ++this->tally.rejected;
        return;
    }
    if (message->sender.name == this->ownMember.name &&
        message->sender.incarnation == this->ownMember.incarnation)
        return;
    // Records of tables are not passed on. After a simultaneous start of 195 instances each of
    // the 195 records would be repeated 31 times; suspicions and refutations would queue behind
    // them for minutes, and live members would be declared gone.
    const Propagation propagation =
            message->kind == wire::PeerKind::Table ? Propagation::None : Propagation::Gossip;
    this->learn(message->sender, propagation);
    for (const wire::MemberRecord &record : message->records) {
        if (isWellFormed(record))
            this->learn(record, propagation);
    }
    this->notifyListener();
    switch (message->kind) {
    case wire::PeerKind::Ping:
        this->onPing(from, *message);
        return;
    case wire::PeerKind::Ack:
        this->onAck(*message);
        return;
    case wire::PeerKind::PingRequest:
        this->onPingRequest(from, *message);
        return;
    case wire::PeerKind::Rumour:
        // An unsolicited message proves nothing about freshness, but it may announce a
        // newer revision.
        if (const Member *sender = this->find(message->sender.name))
            this->listener.onPeerRevision(*sender, static_cast<std::uint64_t>(message->revision),
                                          std::chrono::milliseconds(maxAgeMs), TimePoint{});
        return;
    case wire::PeerKind::TableAsk:
        this->onTableRequest(from, *message);
        return;
    case wire::PeerKind::Table:
        this->onTable(*message);
        return;
    case wire::PeerKind::Policy:
        return; // handled above
    }
}

// Drops messages of a previous process of the same name, which would release or request what
// belongs to the current one.
void Membership::onPolicy(const wire::PeerMessage &message)
{
    const auto known = this->others.find(message.sender.name);
    const bool current = known != this->others.end() &&
                         known->second.member.incarnation == message.sender.incarnation;
    if (current)
        this->listener.onPolicyMessage(message.sender.name, message.policy);
}

void Membership::onPing(std::string_view from, const wire::PeerMessage &message)
{
    const auto known = this->others.find(message.sender.name);
    const Member *receiver = known == this->others.end() ? nullptr : &known->second.member;
    this->sendMessage(from, this->makeMessage(wire::PeerKind::Ack, message.sequence, receiver));
    if (receiver != nullptr && message.revision > static_cast<std::int64_t>(this->configRevision))
        this->listener.onPeerRevision(*receiver, static_cast<std::uint64_t>(message.revision),
                                      std::chrono::milliseconds(maxAgeMs), TimePoint{});
}

void Membership::onAck(const wire::PeerMessage &message)
{
    const auto relayed = this->relays.find(message.sequence);
    if (relayed != this->relays.end()) {
        const Relay relay = relayed->second;
        this->relays.erase(relayed);
        const auto known = this->others.find(message.sender.name);
        wire::PeerMessage onward = message;
        onward.sequence = relay.requesterSequence;
        if (known != this->others.end())
            this->sendMessage(relay.requesterAddress, onward);
    }
    const auto sent = this->sentPings.find(message.sequence);
    if (sent == this->sentPings.end())
        return;
    const TimePoint requestedAt = sent->second;
    this->sentPings.erase(sent);
    if (this->probe.active && this->probe.sequence == message.sequence)
        this->probe.active = false;
    if (const Member *sender = this->find(message.sender.name))
        this->listener.onPeerRevision(*sender, static_cast<std::uint64_t>(message.revision),
                                      std::chrono::milliseconds(message.configAgeMs), requestedAt);
}

void Membership::onPingRequest(std::string_view from, const wire::PeerMessage &message)
{
    const auto target = this->others.find(message.probeTarget);
    if (target == this->others.end())
        return;
    const std::int64_t sequence = this->nextSequence++;
    this->relays[sequence] = {std::string(from), message.sequence};
    if (this->relays.size() > maxRelays)
        this->relays.erase(this->relays.begin());
    this->sendMessage(target->second.member.peerAddress,
                      this->makeMessage(wire::PeerKind::Ping, sequence, &target->second.member));
}

// ---- Learning ----

void Membership::learn(const wire::MemberRecord &record, Propagation propagation)
{
    if (record.name == this->ownMember.name) {
        this->applyOwnRecord(record);
        return;
    }
    const auto found = this->others.find(record.name);
    if (found == this->others.end()) {
        // A member that was never known and is gone is of no interest.
        if (record.state == wire::MemberState::Gone)
            return;
        Known &known = this->others[record.name];
        known.member.name = record.name;
        if (this->isStarting())
            this->unannounced.push_back(record.name);
        this->adopt(known, record, propagation);
        return;
    }
    if (supersedes(record, found->second.member))
        this->adopt(found->second, record, propagation);
}

void Membership::applyOwnRecord(const wire::MemberRecord &record)
{
    if (record.incarnation != this->ownMember.incarnation)
        return;
    const bool wrong = static_cast<int>(record.state) > static_cast<int>(this->ownMember.state);
    if (record.version >= this->ownMember.version && wrong)
        this->refute(record.version);
}

// Overrides what others report of this member; only the member itself may raise its version.
void Membership::refute(std::int32_t version)
{
    this->ownMember.version = version + 1;
    ++this->tally.refutations;
    this->spreadRumour();
}

void Membership::adopt(Known &known, const wire::MemberRecord &record, Propagation propagation)
{
    Member &member = known.member;
    member.dataCentre = record.dataCentre;
    member.peerAddress = record.peerAddress;
    member.callerAddress = record.callerAddress;
    member.incarnation = record.incarnation;
    member.version = record.version;
    member.state = static_cast<MemberState>(record.state);
    this->markChanged(known);
    if (propagation == Propagation::None)
        known.remainingRepeats = 0;
    if (member.isUp())
        this->retireSameAddress(member);
}

// Marks older members at the same address as gone. A replacement may take over the address of a
// failed instance under another name; it would answer the pings to the old member and keep it
// alive.
void Membership::retireSameAddress(const Member &replacement)
{
    for (auto &[name, known] : this->others) {
        Member &other = known.member;
        const bool replaced = other.isUp() && other.name != replacement.name &&
                              other.peerAddress == replacement.peerAddress &&
                              other.incarnation < replacement.incarnation;
        if (!replaced)
            continue;
        other.state = MemberState::Gone;
        this->markChanged(known);
    }
}

void Membership::markChanged(Known &known)
{
    known.member.changedAt = this->clock.now();
    known.remainingRepeats = this->repeatCount();
    this->membersDirty = true;
}

// Calls the listener once for all changes: a table contains dozens, and the listener iterates over
// all members at each call.
void Membership::notifyListener()
{
    if (!this->membersDirty)
        return;
    this->membersDirty = false;
    this->listener.onMembersChanged();
}

// ---- Probing ----

void Membership::tick()
{
    const TimePoint now = this->clock.now();
    this->resetTimeoutsAfterPause(now);
    this->checkProbe();
    this->checkSuspects();
    if (now >= this->nextProbeAt) {
        this->nextProbeAt = now + this->options.probePeriod;
        this->startProbe();
    }
    if (now >= this->nextReconnectAt) {
        this->nextReconnectAt = now + this->options.reconnectPeriod;
        this->reconnect();
    }
    if (now >= this->nextTableRequestAt) {
        this->nextTableRequestAt = now + this->tableInterval;
        if (this->tableConfirmed || !this->isStarting())
            this->tableInterval = std::min(2 * this->tableInterval, this->options.maxTableInterval);
        this->requestTable();
    }
    this->announceToNewMembers();
    this->notifyListener();
}

// After a pause of the process probes seem unanswered and suspicions seem to have timed out,
// because the clock advanced while nothing was received. Without this reset the process would
// declare the whole fleet gone at once.
void Membership::resetTimeoutsAfterPause(TimePoint now)
{
    const bool paused = now - this->lastTickAt > 2 * this->options.probePeriod;
    this->lastTickAt = now;
    if (!paused)
        return;
    this->probe.active = false;
    for (auto &[name, known] : this->others) {
        if (known.member.state == MemberState::Suspect)
            known.member.changedAt = now;
    }
}

// Iterates over all members in a random order that is reshuffled after each round, so that every
// member is probed once per round.
Membership::Known *Membership::nextProbeTarget()
{
    for (std::size_t tries = 0; tries <= this->others.size() + 1; ++tries) {
        if (this->probeTurn >= this->probeOrder.size()) {
            this->probeOrder.clear();
            for (const auto &[name, known] : this->others) {
                if (known.member.isUp())
                    this->probeOrder.push_back(name);
            }
            std::shuffle(this->probeOrder.begin(), this->probeOrder.end(), this->random);
            this->probeTurn = 0;
            if (this->probeOrder.empty())
                return nullptr;
        }
        const auto found = this->others.find(this->probeOrder[this->probeTurn++]);
        if (found != this->others.end() && found->second.member.isUp())
            return &found->second;
    }
    return nullptr;
}

void Membership::startProbe()
{
    if (this->probe.active)
        this->suspect(this->probe.target);
    this->probe.active = false;
    Known *target = this->nextProbeTarget();
    if (target == nullptr)
        return;
    const TimePoint now = this->clock.now();
    this->probe = {target->member.name, this->nextSequence++, now, false, true};
    this->sentPings[this->probe.sequence] = now;
    if (this->sentPings.size() > maxSentPings)
        this->sentPings.erase(this->sentPings.begin());
    this->sendMessage(
            target->member.peerAddress,
            this->makeMessage(wire::PeerKind::Ping, this->probe.sequence, &target->member));
}

void Membership::checkProbe()
{
    if (!this->probe.active || this->probe.indirect)
        return;
    if (this->clock.now() - this->probe.sentAt < this->options.ackTimeout)
        return;
    this->probe.indirect = true;
    this->sendPingRequests();
}

// The link to the target may be broken while both ends work; other members may still reach it.
void Membership::sendPingRequests()
{
    for (const Member *helper :
         this->randomPeers(this->options.indirectProbes, this->probe.target)) {
        wire::PeerMessage message =
                this->makeMessage(wire::PeerKind::PingRequest, this->probe.sequence, helper);
        message.probeTarget = this->probe.target;
        this->sendMessage(helper->peerAddress, message);
    }
}

void Membership::suspect(const std::string &name)
{
    const auto found = this->others.find(name);
    if (found == this->others.end())
        return;
    Member &member = found->second.member;
    // A leaving member is not suspected: a suspect counts as accepting work, so one lost
    // datagram would undo its leaving. If it does not answer, it has ended.
    if (member.state == MemberState::Leaving) {
        member.state = MemberState::Gone;
        this->markChanged(found->second);
        return;
    }
    if (member.state != MemberState::Live && member.state != MemberState::Joining)
        return;
    member.state = MemberState::Suspect;
    ++this->tally.suspicions;
    this->markChanged(found->second);
}

void Membership::checkSuspects()
{
    const TimePoint now = this->clock.now();
    for (auto it = this->others.begin(); it != this->others.end();) {
        Known &known = it->second;
        const Duration since = now - known.member.changedAt;
        if (known.member.state == MemberState::Suspect && since > this->suspicionTime()) {
            known.member.state = MemberState::Gone;
            this->markChanged(known);
        }
        const bool forgotten =
                known.member.state == MemberState::Gone && since > this->options.goneRetention;
        it = forgotten ? this->others.erase(it) : std::next(it);
    }
}

// After a partition each side considers the other gone and would never contact it again. Therefore
// a random address out of the gone members and the platform's list is probed periodically.
void Membership::reconnect()
{
    std::vector<std::string> candidates = this->suggestions;
    for (const auto &[name, known] : this->others) {
        if (!known.member.isUp())
            candidates.push_back(known.member.peerAddress);
    }
    if (candidates.empty())
        return;
    const bool alone = std::none_of(this->others.begin(), this->others.end(),
                                    [](const auto &entry) { return entry.second.member.isUp(); });
    const std::size_t tries = alone ? this->options.indirectProbes : 1;
    for (std::size_t i = 0; i < tries; ++i) {
        const std::string &address = candidates[this->random() % candidates.size()];
        const std::int64_t sequence = this->nextSequence++;
        this->sentPings[sequence] = this->clock.now();
        this->sendMessage(address, this->makeMessage(wire::PeerKind::Ping, sequence,
                                                     this->memberAt(address)));
    }
    if (alone)
        this->nextReconnectAt = this->clock.now() + this->options.probePeriod;
}

const Member *Membership::memberAt(std::string_view address) const
{
    const Member *latest = nullptr;
    for (const auto &[name, known] : this->others) {
        const bool there = known.member.peerAddress == address;
        if (there && (latest == nullptr || known.member.incarnation > latest->incarnation))
            latest = &known.member;
    }
    return latest;
}

std::vector<const Member *> Membership::randomPeers(std::size_t count, std::string_view except)
{
    std::vector<const Member *> peers;
    for (const auto &[name, known] : this->others) {
        if (known.member.isUp() && name != except)
            peers.push_back(&known.member);
    }
    std::shuffle(peers.begin(), peers.end(), this->random);
    if (peers.size() > count)
        peers.resize(count);
    return peers;
}

// The time grows with the fleet, since a refutation takes more hops to reach every member.
Duration Membership::suspicionTime() const
{
    const double doublings = std::log2(static_cast<double>(this->others.size() + 1));
    return this->options.suspicionBase +
           std::chrono::duration_cast<Duration>(this->options.suspicionPerDoubling * doublings);
}

int Membership::repeatCount() const
{
    const double doublings = std::log2(static_cast<double>(this->others.size() + 2));
    return std::max(1, static_cast<int>(this->options.changeRepeats * doublings));
}

} // namespace jaytrack
