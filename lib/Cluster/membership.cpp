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
constexpr std::size_t askedKept = 256;
constexpr std::size_t relaysKept = 256;
constexpr std::int32_t longestAgeMs = 24 * 3600 * 1000;
constexpr std::size_t largestDatagram = 60'000;

bool wellFormed(const wire::MemberRecord &record)
{
    return !record.name.empty() && !record.peerAddress.empty() && record.state >= 0 &&
           record.state <= wire::MemberState::Gone;
}

// Whether a record says something newer than what is known. A later incarnation is another
// process and always newer; within one, only the member itself raises the version, and others may
// only move its state onward.
bool supersedes(const wire::MemberRecord &record, const Member &known)
{
    if (record.incarnation != known.incarnation)
        return record.incarnation > known.incarnation;
    if (record.version != known.version)
        return record.version > known.version;
    return static_cast<int>(record.state) > static_cast<int>(known.state);
}

} // namespace

Membership::Membership(const Member &own, const Clock &time, std::uint64_t seed,
                       const KeyRing &fleetKeys, PeerTransport &datagrams,
                       MembershipListener &target, const MembershipOptions &chosen)
    : me(own)
    , clock(time)
    , random(seed)
    , keys(fleetKeys)
    , transport(datagrams)
    , listener(target)
    , options(chosen)
    , startedAt(time.now())
    , nextTableAskAt(time.now())
    , tablePause(chosen.firstTablePause)
    , lastTickAt(time.now())
    , nextProbeAt(time.now())
    , nextReconnectAt(time.now())
    , configAgeAt(time.now())
{
    this->me.changedAt = time.now();
}

void Membership::suggest(std::span<const std::string> addresses)
{
    this->suggestions.clear();
    for (const std::string &address : addresses) {
        if (!address.empty() && address != this->me.peerAddress)
            this->suggestions.push_back(address);
    }
}

std::vector<Member> Membership::members() const
{
    std::vector<Member> list;
    list.push_back(this->me);
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
    if (name == this->me.name)
        return &this->me;
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

wire::PeerMessage Membership::makeMessage(int kind, std::int64_t sequence, const Member *about)
{
    wire::PeerMessage message;
    message.kind = static_cast<wire::PeerKind::type>(kind);
    message.sequence = sequence;
    message.sender = toRecord(this->me);
    message.revision = static_cast<std::int64_t>(this->configRevision);
    const Duration age = this->configAge + (this->clock.now() - this->configAgeAt);
    const auto ageMs = std::chrono::duration_cast<std::chrono::milliseconds>(age).count();
    message.configAgeMs = static_cast<std::int32_t>(std::min<std::int64_t>(ageMs, longestAgeMs));
    this->addRecords(message, about);
    return message;
}

// Fresh changes go first; the rest of the room repairs, at random, what got lost. What is thought
// of the receiver always goes along unless it is good: only so does a member that was wrongly
// suspected, or comes back after a partition, hear of it and can object.
void Membership::addRecords(wire::PeerMessage &message, const Member *about)
{
    if (about != nullptr && about->state != MemberState::Live)
        message.records.push_back(toRecord(*about));
    std::vector<Known *> fresh;
    std::vector<const Known *> settled;
    for (auto &[name, known] : this->others) {
        if (known.repeatsLeft > 0)
            fresh.push_back(&known);
        else
            settled.push_back(&known);
    }
    std::sort(fresh.begin(), fresh.end(),
              [](const Known *a, const Known *b) { return a->repeatsLeft > b->repeatsLeft; });
    for (Known *known : fresh) {
        if (message.records.size() >= this->options.recordsPerMessage)
            return;
        --known->repeatsLeft;
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

void Membership::post(std::string_view address, const wire::PeerMessage &message)
{
    this->postSealed(address, this->seal(message));
}

void Membership::postSealed(std::string_view address, std::string datagram)
{
    ++this->tally.sent;
    this->tally.sentBytes += datagram.size();
    this->transport.send(address, std::move(datagram));
}

void Membership::goLive()
{
    if (this->me.state != MemberState::Joining)
        return;
    this->me.state = MemberState::Live;
    ++this->me.version;
    this->spreadRumour();
}

void Membership::leave()
{
    if (this->me.state == MemberState::Leaving)
        return;
    this->me.state = MemberState::Leaving;
    ++this->me.version;
    this->spreadRumour();
}

void Membership::depart()
{
    this->me.state = MemberState::Gone;
    for (const Member *peer : this->randomPeers(this->others.size(), "")) {
        this->post(peer->peerAddress,
                   this->makeMessage(wire::PeerKind::Rumour, this->nextSequence++, peer));
    }
}

void Membership::spreadRumour()
{
    for (const Member *peer : this->randomPeers(this->options.rumourFanout, "")) {
        this->post(peer->peerAddress,
                   this->makeMessage(wire::PeerKind::Rumour, this->nextSequence++, peer));
    }
}

void Membership::sendPolicy(std::string_view name, std::string message)
{
    const std::string only(name);
    this->sendPolicy(std::span(&only, 1), std::move(message));
}

// Encoded and signed once: a notice goes to dozens.
void Membership::sendPolicy(std::span<const std::string> names, std::string message)
{
    wire::PeerMessage carrier;
    carrier.kind = wire::PeerKind::Policy;
    // The receiver knows the rest, or does not know this instance yet and has no use for it.
    carrier.sender.name = this->me.name;
    carrier.sender.incarnation = this->me.incarnation;
    carrier.policy = std::move(message);
    const std::string datagram = this->seal(carrier);
    for (const std::string &name : names) {
        const auto found = this->others.find(name);
        if (found != this->others.end() && found->second.member.isUp())
            this->postSealed(found->second.member.peerAddress, datagram);
    }
}

// ---- Receiving ----

void Membership::receive(std::string_view from, std::string_view datagram)
{
    ++this->tally.received;
    this->tally.receivedBytes += datagram.size();
    const auto sealed = datagram.size() <= largestDatagram
                                ? decodeMessage<wire::SealedMessage>(datagram)
                                : std::nullopt;
    // Whoever does not hold a key of the fleet could otherwise declare any instance gone.
    if (!sealed || !this->keys.verify(peerPurpose, sealed->body, sealed->mac)) {
        ++this->tally.rejected;
        return;
    }
    const auto message = decodeMessage<wire::PeerMessage>(sealed->body);
    if (message && message->kind == wire::PeerKind::Policy) {
        this->onPolicy(*message);
        return;
    }
    if (!message || !wellFormed(message->sender)) {
        ++this->tally.rejected;
        return;
    }
    if (message->sender.name == this->me.name &&
        message->sender.incarnation == this->me.incarnation)
        return;
    // Were the tables of a common start passed on as news, 195 records 31 times each, suspicions
    // and objections would wait behind them for minutes and the living be called gone.
    const Spread spread = message->kind == wire::PeerKind::Table ? Spread::Known : Spread::News;
    this->learn(message->sender, spread);
    for (const wire::MemberRecord &record : message->records) {
        if (wellFormed(record))
            this->learn(record, spread);
    }
    this->tellChanges();
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
        // Unasked, so it proves nothing about freshness; it may still bring a newer revision.
        if (const Member *sender = this->find(message->sender.name))
            this->listener.onPeerHeard(*sender, static_cast<std::uint64_t>(message->revision),
                                       std::chrono::milliseconds(longestAgeMs), TimePoint{});
        return;
    case wire::PeerKind::TableAsk:
        this->onTableAsk(from, *message);
        return;
    case wire::PeerKind::Table:
        this->onTable(*message);
        return;
    case wire::PeerKind::Policy:
        return; // taken above
    }
}

// A message of a former process under the same name would release or ask for what is not its own.
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
    const Member *about = known == this->others.end() ? nullptr : &known->second.member;
    this->post(from, this->makeMessage(wire::PeerKind::Ack, message.sequence, about));
    if (about != nullptr && message.revision > static_cast<std::int64_t>(this->configRevision))
        this->listener.onPeerHeard(*about, static_cast<std::uint64_t>(message.revision),
                                   std::chrono::milliseconds(longestAgeMs), TimePoint{});
}

void Membership::onAck(const wire::PeerMessage &message)
{
    const auto relayed = this->relays.find(message.sequence);
    if (relayed != this->relays.end()) {
        const Relay relay = relayed->second;
        this->relays.erase(relayed);
        const auto known = this->others.find(message.sender.name);
        wire::PeerMessage onward = message;
        onward.sequence = relay.askerSequence;
        if (known != this->others.end())
            this->post(relay.askerAddress, onward);
    }
    const auto sent = this->asked.find(message.sequence);
    if (sent == this->asked.end())
        return;
    const TimePoint askedAt = sent->second;
    this->asked.erase(sent);
    if (this->probe.active && this->probe.sequence == message.sequence)
        this->probe.active = false;
    if (const Member *sender = this->find(message.sender.name))
        this->listener.onPeerHeard(*sender, static_cast<std::uint64_t>(message.revision),
                                   std::chrono::milliseconds(message.configAgeMs), askedAt);
}

void Membership::onPingRequest(std::string_view from, const wire::PeerMessage &message)
{
    const auto target = this->others.find(message.probeTarget);
    if (target == this->others.end())
        return;
    const std::int64_t sequence = this->nextSequence++;
    this->relays[sequence] = {std::string(from), message.sequence};
    if (this->relays.size() > relaysKept)
        this->relays.erase(this->relays.begin());
    this->post(target->second.member.peerAddress,
               this->makeMessage(wire::PeerKind::Ping, sequence, &target->second.member));
}

// ---- Learning ----

void Membership::learn(const wire::MemberRecord &record, Spread spread)
{
    if (record.name == this->me.name) {
        this->learnOfSelf(record);
        return;
    }
    const auto found = this->others.find(record.name);
    if (found == this->others.end()) {
        // News of somebody's end is of no use to those who never knew it.
        if (record.state == wire::MemberState::Gone)
            return;
        Known &known = this->others[record.name];
        known.member.name = record.name;
        if (this->isNewcomer())
            this->ungreeted.push_back(record.name);
        this->adopt(known, record, spread);
        return;
    }
    if (supersedes(record, found->second.member))
        this->adopt(found->second, record, spread);
}

void Membership::learnOfSelf(const wire::MemberRecord &record)
{
    if (record.incarnation != this->me.incarnation)
        return;
    const bool wrong = static_cast<int>(record.state) > static_cast<int>(this->me.state);
    if (record.version >= this->me.version && wrong)
        this->refute(record.version);
}

// Only the member itself may raise its version, and so overrule what others say of it.
void Membership::refute(std::int32_t version)
{
    this->me.version = version + 1;
    ++this->tally.refutations;
    this->spreadRumour();
}

void Membership::adopt(Known &known, const wire::MemberRecord &record, Spread spread)
{
    Member &member = known.member;
    member.dataCentre = record.dataCentre;
    member.peerAddress = record.peerAddress;
    member.callerAddress = record.callerAddress;
    member.incarnation = record.incarnation;
    member.version = record.version;
    member.state = static_cast<MemberState>(record.state);
    this->changed(known);
    if (spread == Spread::Known)
        known.repeatsLeft = 0;
    if (member.isUp())
        this->retireSameAddress(member);
}

// A replacement may take over the address of an instance that vanished under another name. Pings
// to the old one would be answered by the new one and keep the dead alive.
void Membership::retireSameAddress(const Member &fresh)
{
    for (auto &[name, known] : this->others) {
        Member &other = known.member;
        const bool replaced = other.isUp() && other.name != fresh.name &&
                              other.peerAddress == fresh.peerAddress &&
                              other.incarnation < fresh.incarnation;
        if (!replaced)
            continue;
        other.state = MemberState::Gone;
        this->changed(known);
    }
}

void Membership::changed(Known &known)
{
    known.member.changedAt = this->clock.now();
    known.repeatsLeft = this->repeatCount();
    this->membersDirty = true;
}

// A table brings dozens of changes, and the listener goes through all members at each call.
void Membership::tellChanges()
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
    this->forgivePause(now);
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
    if (now >= this->nextTableAskAt) {
        this->nextTableAskAt = now + this->tablePause;
        if (this->tableAgreed || !this->isNewcomer())
            this->tablePause = std::min(2 * this->tablePause, this->options.longestTablePause);
        this->askForTable();
    }
    this->greetNewlyKnown();
    this->tellChanges();
}

// A process that was paused wakes to probes without answers and suspicions that seem to have run
// out, because its clock went on and its ears did not. Without this it would declare the whole
// fleet gone at one stroke.
void Membership::forgivePause(TimePoint now)
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

// Goes through all members in a random order, drawn anew after each round, so that everybody is
// probed once a round and nobody is starved.
Membership::Known *Membership::nextTarget()
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
    Known *target = this->nextTarget();
    if (target == nullptr)
        return;
    const TimePoint now = this->clock.now();
    this->probe = {target->member.name, this->nextSequence++, now, false, true};
    this->asked[this->probe.sequence] = now;
    if (this->asked.size() > askedKept)
        this->asked.erase(this->asked.begin());
    this->post(target->member.peerAddress,
               this->makeMessage(wire::PeerKind::Ping, this->probe.sequence, &target->member));
}

void Membership::checkProbe()
{
    if (!this->probe.active || this->probe.helped)
        return;
    if (this->clock.now() - this->probe.sentAt < this->options.ackWait)
        return;
    this->probe.helped = true;
    this->askHelpers();
}

// A link between two may be broken while both are well; others can still reach the target.
void Membership::askHelpers()
{
    for (const Member *helper : this->randomPeers(this->options.helpers, this->probe.target)) {
        wire::PeerMessage message =
                this->makeMessage(wire::PeerKind::PingRequest, this->probe.sequence, helper);
        message.probeTarget = this->probe.target;
        this->post(helper->peerAddress, message);
    }
}

void Membership::suspect(const std::string &name)
{
    const auto found = this->others.find(name);
    if (found == this->others.end())
        return;
    Member &member = found->second.member;
    // A leaving member keeps its state, or its leaving would be forgotten by a lost datagram; if
    // it answers no more it is gone, which is where it was going.
    if (member.state == MemberState::Leaving) {
        member.state = MemberState::Gone;
        this->changed(found->second);
        return;
    }
    if (member.state != MemberState::Live && member.state != MemberState::Joining)
        return;
    member.state = MemberState::Suspect;
    ++this->tally.suspicions;
    this->changed(found->second);
}

void Membership::checkSuspects()
{
    const TimePoint now = this->clock.now();
    for (auto it = this->others.begin(); it != this->others.end();) {
        Known &known = it->second;
        const Duration since = now - known.member.changedAt;
        if (known.member.state == MemberState::Suspect && since > this->suspicionTime()) {
            known.member.state = MemberState::Gone;
            this->changed(known);
        }
        const bool forgotten =
                known.member.state == MemberState::Gone && since > this->options.forgetGone;
        it = forgotten ? this->others.erase(it) : std::next(it);
    }
}

// Two sides of a healed partition hold each other for gone and would never speak again. So one of
// the gone, and one of the addresses that the platform lists, is tried now and then.
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
    const std::size_t tries = alone ? this->options.helpers : 1;
    for (std::size_t i = 0; i < tries; ++i) {
        const std::string &address = candidates[this->random() % candidates.size()];
        const std::int64_t sequence = this->nextSequence++;
        this->asked[sequence] = this->clock.now();
        this->post(address,
                   this->makeMessage(wire::PeerKind::Ping, sequence, this->memberAt(address)));
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

// Longer in a larger fleet, since an objection takes more steps to reach everybody.
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
