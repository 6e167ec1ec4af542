#include "jaytrack/Limits/targetlimits.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace jaytrack {

namespace {

// Owners that are tried for one request: the first one, and a second one if the first does not
// answer.
constexpr int maxOwnerAttempts = 2;

// Limits in one message, so that it fits into a datagram. One instance hardly ever owns the limits
// of more targets.
constexpr std::size_t maxStatesPerMessage = 64;

} // namespace

TargetLimits::TargetLimits(const Clock &time, std::string ownName, std::size_t expected,
                           std::uint64_t seed, LimitTransport &peerTransport,
                           TargetLimitOptions tuning)
    : clock(time)
    , transport(peerTransport)
    , options(tuning)
    , random(seed)
    , self(ownName)
    , expectedOthers(expected)
    , settlingSince(time.now())
    , lastActiveAt(time.now())
    , announcedAt(time.now())
    , limits(time)
    , fleet(time)
    , ranking(std::move(ownName))
{
}

// Ownership of limits

void TargetLimits::setInstances(std::span<const std::string> others)
{
    std::vector<std::string> newInstances;
    std::copy_if(others.begin(), others.end(), std::back_inserter(newInstances),
                 [this](const std::string &name) { return !this->fleet.isUp(name); });
    this->fleet.setInstances(others);
    this->updateRanking();
    if (newInstances.empty() || !this->isSettled())
        return;
    const LimitMessage owned = this->ownedLimits();
    for (const std::string &name : newInstances) {
        if (!owned.isEmpty())
            this->transport.sendLimits(name, owned);
    }
}

void TargetLimits::detectStall()
{
    const TimePoint now = this->clock.now();
    if (now - this->lastActiveAt >= this->options.stallThreshold) {
        this->settlingSince = now;
        this->nextRankingAt = now;
    }
    this->lastActiveAt = now;
}

bool TargetLimits::isSettled() const
{
    return this->clock.now() - this->settlingSince >= this->options.settleTime;
}

// Ranks the instances that may own limits. An instance that the others discovered less than
// settleTime ago is excluded by all of them, as it excludes itself, because it does not know all of
// them yet. Instances that this one discovered while it was settling itself may be as old as the
// fleet and are included. An instance that has just disappeared keeps its rank for a while, because
// others may still send permit requests to it.
void TargetLimits::updateRanking()
{
    const TimePoint now = this->clock.now();
    const TimePoint settledAt = this->settlingSince + this->options.settleTime;
    std::vector<std::string> names;
    this->nextRankingAt = TimePoint::max();
    for (const auto &[name, instance] : this->fleet.instances()) {
        const TimePoint since = instance.upSince;
        const TimePoint from = since <= settledAt ? since : since + this->options.settleTime;
        const TimePoint until = this->fleet.absenceDeadline(instance);
        if (from <= now && now < until)
            names.push_back(name);
        if (now < until)
            this->nextRankingAt = std::min(this->nextRankingAt, from > now ? from : until);
    }
    this->ranking.setOthers(names);
}

// Returns the first instance in the target's ranking that is settled and answers.
std::optional<std::string> TargetLimits::ownerOf(std::string_view target)
{
    const TimePoint now = this->clock.now();
    if (now >= this->nextRankingAt)
        this->updateRanking();
    const std::size_t gone = this->fleet.instances().size() - this->fleet.countUp();
    // One candidate more than the instances that have disappeared or are skipped, and this one.
    const std::size_t candidates = this->peers.size() + gone + 2;
    for (std::string &name : this->ranking.first(target, candidates)) {
        const auto peer = this->peers.find(name);
        const bool isSkipped = peer != this->peers.end() && peer->second.skippedUntil > now;
        const bool isReady = name == this->self ? this->isSettled() : this->fleet.isUp(name);
        if (!isSkipped && isReady)
            return std::move(name);
    }
    return std::nullopt;
}

std::size_t TargetLimits::rankOf(std::string_view target)
{
    if (this->clock.now() >= this->nextRankingAt)
        this->updateRanking();
    return this->ranking.ownRank(target);
}

// Returns the share of a target's limit for the instances that are up. In a partitioned fleet, the
// majority side grants the whole limit and the other sides grant their shares, together less than
// half the limit in addition.
double TargetLimits::fleetShare() const
{
    const std::size_t up = this->fleet.countUp() + 1;
    const std::size_t known = std::max(this->fleet.instances().size(), this->expectedOthers) + 1;
    if (2 * up > known)
        return 1;
    return static_cast<double>(up) / static_cast<double>(known);
}

// Permits

PermitBucket::Rate TargetLimits::rateOf(std::string_view target, double perSecond)
{
    const auto rank = static_cast<double>(this->rankOf(target));
    const double share = this->fleetShare() * std::pow(this->options.nextOwnerShare, rank);
    PermitBucket::Rate rate;
    rate.perSecond = std::max(this->options.minPerSecond, perSecond * share);
    if (share == 1)
        rate.capacity = this->options.burstPermits + perSecond * this->options.burstSeconds;
    return rate;
}

PermitBucket &TargetLimits::bucketOf(std::string_view target)
{
    return this->buckets.try_emplace(std::string(target), this->clock.now()).first->second;
}

Permit TargetLimits::decide(std::string_view requester, std::string_view target, double perSecond,
                            std::int64_t serial)
{
    const TimePoint now = this->clock.now();
    const PermitBucket::Rate rate = this->rateOf(target, perSecond);
    PermitBucket &bucket = this->bucketOf(target);
    const std::size_t requesters = bucket.recordRequester(now, requester);
    if (const auto accruesAt = bucket.grantOf(requester, serial))
        return {true, std::max(Duration(0), *accruesAt - now), this->self};
    if (const auto wait = bucket.tryTake(now, rate, this->options.maxReservation)) {
        if (this->options.resendTimeout != Duration::max())
            bucket.recordGrant(requester, serial, now + *wait);
        return {true, *wait, this->self};
    }
    return {false, this->backoffFor(bucket, rate, requesters), this->self};
}

// Returns the back-off of an instance whose request was denied. It includes a random delay whose
// mean grows with the number of requesters, so that their retries are spread out.
Duration TargetLimits::backoffFor(const PermitBucket &bucket, const PermitBucket::Rate &rate,
                                  std::size_t requesters)
{
    const double others = static_cast<double>(requesters) - 1;
    const double mean = others / (this->options.requestsPerPermit * rate.perSecond);
    const double maxDelay = std::chrono::duration<double>(this->options.maxBackoff).count();
    std::uniform_real_distribution<double> jitter(0, std::min(2 * mean, maxDelay));
    const std::chrono::duration<double> delay(jitter(this->random));
    const Duration backoff = bucket.timeToNextPermit(this->clock.now(), rate) -
                             this->options.maxReservation +
                             std::chrono::duration_cast<Duration>(delay);
    return std::clamp(backoff, this->options.minBackoff, this->options.maxBackoff);
}

// Limits advertised by targets

bool TargetLimits::recordLimit(std::string_view target, double perSecond)
{
    if (!this->limits.recordLimit(target, perSecond))
        return false;
    this->transport.broadcastLimits({{*this->limits.stateOf(target)}, {}, {}});
    return true;
}

bool TargetLimits::recordNoLimit(std::string_view target, Duration sentAgo)
{
    if (!this->limits.recordNoLimit(target, sentAgo))
        return false;
    this->transport.broadcastLimits({{*this->limits.stateOf(target)}, {}, {}});
    return true;
}

void TargetLimits::imposeLimit(std::string_view target, double perSecond)
{
    const std::optional<double> before = this->limits.find(target);
    this->limits.recordLimit(target, perSecond);
    this->chargeDecrease(target, before);
    this->transport.broadcastLimits({{*this->limits.stateOf(target)}, {}, {}});
}

// A target whose limit was lowered is full. Without a pause, the next permits are granted while its
// queue drains, and each of the refusals that follow lowers the limit again.
void TargetLimits::chargeDecrease(std::string_view target, std::optional<double> before)
{
    const std::optional<double> after = this->limits.find(target);
    const std::optional<double> now = this->limitOf(target);
    if (!after || !now || (before && *after >= *before))
        return;
    for (int i = 0; i < this->options.permitsPerDecrease; ++i)
        this->bucketOf(target).charge(this->clock.now(), this->rateOf(target, *now));
}

std::optional<Duration> TargetLimits::sinceNamed(std::string_view target) const
{
    const auto state = this->limits.stateOf(target);
    if (!state || !state->isLimited() || state->namedAgo > this->options.lifetime)
        return std::nullopt;
    return state->namedAgo;
}

std::optional<double> TargetLimits::limitOf(std::string_view target) const
{
    const std::optional<double> named = this->limits.find(target);
    if (!named || this->options.lifetime == Duration::max())
        return named;
    const std::optional<Duration> age = this->sinceNamed(target);
    if (!age)
        return std::nullopt;
    const double seconds = std::chrono::duration<double>(*age).count();
    return *named * std::pow(this->options.growthPerSecond, seconds);
}

void TargetLimits::forget(std::string_view target)
{
    const std::string name(target);
    this->limits.forget(target);
    this->buckets.erase(name);
    this->backoffUntil.erase(name);
}

// Permit requests

Duration TargetLimits::remainingBackoff(std::string_view target) const
{
    const auto found = this->backoffUntil.find(target);
    if (found == this->backoffUntil.end() || !this->limitOf(target))
        return Duration(0);
    return std::max(Duration(0), found->second - this->clock.now());
}

std::optional<Permit> TargetLimits::request(std::string_view target, const PermitCallback &callback)
{
    this->detectStall();
    const Duration backoff = this->remainingBackoff(target);
    if (backoff > Duration(0))
        return Permit{false, backoff, {}};
    return this->requestFromOwner(std::string(target), callback, 1);
}

std::optional<Permit> TargetLimits::requestFromOwner(const std::string &target,
                                                     const PermitCallback &callback, int attempts)
{
    const std::optional<double> perSecond = this->limitOf(target);
    if (!perSecond)
        return Permit{true, Duration(0), {}};
    const std::optional<std::string> owner = this->ownerOf(target);
    if (!owner)
        return this->recordDecision(target, {false, this->options.noOwnerBackoff, {}});
    if (*owner == this->self)
        return this->recordDecision(target, this->decide(this->self, target, *perSecond));
    const std::int64_t serial = this->nextSerial++;
    this->pending.emplace(serial,
                          PendingRequest{target, *owner, callback, this->clock.now(), attempts});
    this->transport.sendLimits(*owner, {{}, {{serial, *this->limits.stateOf(target), false}}, {}});
    return std::nullopt;
}

Permit TargetLimits::recordDecision(const std::string &target, const Permit &permit)
{
    if (permit.granted)
        return permit;
    const Duration backoff = std::max(permit.wait, this->options.minBackoff);
    this->backoffUntil.insert_or_assign(target, this->clock.now() + backoff);
    return permit;
}

void TargetLimits::countSent(std::string_view target)
{
    const std::optional<double> perSecond = this->limitOf(target);
    if (!perSecond)
        return;
    const std::optional<std::string> owner = this->ownerOf(target);
    if (!owner)
        return;
    if (*owner == this->self)
        return this->bucketOf(target).charge(this->clock.now(), this->rateOf(target, *perSecond));
    this->transport.sendLimits(*owner, {{}, {{0, *this->limits.stateOf(target), true}}, {}});
}

// Returns whether the owner is to be skipped. One that has answered since the request was sent is
// reachable: a message was lost.
bool TargetLimits::countMiss(const PendingRequest &pendingRequest)
{
    const auto answered = this->answeredAt.find(pendingRequest.owner);
    if (answered != this->answeredAt.end() && answered->second > pendingRequest.sentAt)
        return false;
    return ++this->peers[pendingRequest.owner].misses >= this->options.missesToSkip;
}

void TargetLimits::skipOwner(const std::string &owner)
{
    Peer &peer = this->peers[owner];
    peer.misses = 0;
    peer.skippedUntil = this->clock.now() + this->options.skipTime;
}

// Messages of other instances

bool TargetLimits::applyState(const AdvertisedLimits::State &state)
{
    if (state.target.empty())
        return false;
    const bool wasLimited = this->limitOf(state.target).has_value();
    const std::optional<double> before = this->limits.find(state.target);
    const bool limitChanged =
            this->limits.recordLimit(state.target, state.perSecond, state.namedAgo);
    this->chargeDecrease(state.target, before);
    if (state.endedAgo)
        this->limits.recordNoLimit(state.target, *state.endedAgo);
    const bool isLimited = this->limitOf(state.target).has_value();
    return wasLimited != isLimited || (isLimited && limitChanged);
}

std::vector<std::string> TargetLimits::onMessage(std::string_view from, const LimitMessage &message)
{
    this->detectStall();
    std::vector<std::string> changed;
    for (const AdvertisedLimits::State &state : message.states) {
        if (this->applyState(state))
            changed.push_back(state.target);
    }
    for (const PermitRequest &permitRequest : message.requests)
        this->onPermitRequest(from, permitRequest);
    for (const PermitAnswer &answer : message.answers)
        this->onPermitAnswer(from, answer);
    return changed;
}

void TargetLimits::onPermitRequest(std::string_view from, const PermitRequest &permitRequest)
{
    const std::string &target = permitRequest.state.target;
    this->applyState(permitRequest.state);
    const std::optional<double> perSecond = this->limitOf(target);
    if (permitRequest.counted) {
        if (perSecond)
            this->bucketOf(target).charge(this->clock.now(), this->rateOf(target, *perSecond));
        return;
    }
    PermitAnswer answer;
    answer.serial = permitRequest.serial;
    answer.isOwnerReady = this->isSettled();
    if (answer.isOwnerReady) {
        const Permit permit = perSecond
                                      ? this->decide(from, target, *perSecond, permitRequest.serial)
                                      : Permit{true, Duration(0), this->self};
        answer.granted = permit.granted;
        answer.wait = permit.wait;
    }
    answer.state = this->limits.stateOf(target).value_or(permitRequest.state);
    this->transport.sendLimits(from, {{}, {}, {std::move(answer)}});
}

// Returns how long ago the owner decided, as far as its answer took as long as the request.
Duration TargetLimits::ageOfAnswer(const PendingRequest &pendingRequest) const
{
    return (this->clock.now() - pendingRequest.resentAt.value_or(pendingRequest.sentAt)) / 2;
}

void TargetLimits::onPermitAnswer(std::string_view from, const PermitAnswer &answer)
{
    const auto found = this->pending.find(answer.serial);
    if (found == this->pending.end() || found->second.owner != from)
        return;
    const PendingRequest pendingRequest = std::move(found->second);
    this->pending.erase(found);
    this->applyState(answer.state);
    this->peers.erase(pendingRequest.owner);
    this->answeredAt.insert_or_assign(pendingRequest.owner, this->clock.now());
    if (answer.isOwnerReady) {
        Permit permit{answer.granted, answer.wait, pendingRequest.owner};
        if (permit.granted)
            permit.wait = std::max(Duration(0), permit.wait - this->ageOfAnswer(pendingRequest));
        return pendingRequest.callback(this->recordDecision(pendingRequest.target, permit));
    }
    this->skipOwner(pendingRequest.owner);
    this->onMissingAnswer(pendingRequest);
}

void TargetLimits::onMissingAnswer(const PendingRequest &pendingRequest)
{
    const auto peer = this->peers.find(pendingRequest.owner);
    const bool isSkipped =
            peer != this->peers.end() && peer->second.skippedUntil > this->clock.now();
    std::optional<Permit> permit = Permit{false, this->options.answerTimeout, pendingRequest.owner};
    if (isSkipped && pendingRequest.attempts < maxOwnerAttempts)
        permit = this->requestFromOwner(pendingRequest.target, pendingRequest.callback,
                                        pendingRequest.attempts + 1);
    if (permit)
        pendingRequest.callback(this->recordDecision(pendingRequest.target, *permit));
}

// Periodic work

std::optional<TimePoint> TargetLimits::nextDeadline() const
{
    if (this->pending.empty())
        return std::nullopt;
    return this->pending.begin()->second.sentAt + this->options.answerTimeout;
}

void TargetLimits::resendPending()
{
    if (this->options.resendTimeout == Duration::max())
        return;
    const TimePoint now = this->clock.now();
    for (auto &[serial, pendingRequest] : this->pending) {
        if (now - pendingRequest.sentAt < this->options.resendTimeout)
            return;
        const auto state = this->limits.stateOf(pendingRequest.target);
        if (pendingRequest.resentAt || !state)
            continue;
        pendingRequest.resentAt = now;
        this->transport.sendLimits(pendingRequest.owner, {{}, {{serial, *state, false}}, {}});
    }
}

void TargetLimits::expirePending()
{
    const TimePoint now = this->clock.now();
    while (!this->pending.empty() &&
           this->pending.begin()->second.sentAt + this->options.answerTimeout <= now) {
        const PendingRequest pendingRequest = std::move(this->pending.begin()->second);
        this->pending.erase(this->pending.begin());
        if (this->countMiss(pendingRequest))
            this->skipOwner(pendingRequest.owner);
        this->onMissingAnswer(pendingRequest);
    }
}

void TargetLimits::removeIdle()
{
    const TimePoint now = this->clock.now();
    std::erase_if(this->backoffUntil, [now](const auto &entry) { return entry.second <= now; });
    std::erase_if(this->buckets, [this](const auto &entry) { return !this->limitOf(entry.first); });
    std::erase_if(this->answeredAt, [now, this](const auto &entry) {
        return now - entry.second > this->options.answerTimeout;
    });
    std::erase_if(this->peers, [now, this](const auto &entry) {
        return !this->fleet.isUp(entry.first) && entry.second.skippedUntil <= now;
    });
}

// Returns the limits that this instance owns, for instances that start or missed a message.
LimitMessage TargetLimits::ownedLimits()
{
    LimitMessage message;
    for (const std::string &target : this->limits.limited()) {
        if (message.states.size() < maxStatesPerMessage && this->limitOf(target) &&
            this->rankOf(target) == 0)
            message.states.push_back(*this->limits.stateOf(target));
    }
    return message;
}

void TargetLimits::tick()
{
    this->detectStall();
    this->expirePending();
    this->resendPending();
    const TimePoint now = this->clock.now();
    if (now - this->announcedAt < this->options.announceInterval)
        return;
    this->announcedAt = now;
    this->removeIdle();
    if (!this->isSettled())
        return;
    const LimitMessage owned = this->ownedLimits();
    if (!owned.isEmpty())
        this->transport.sendLimitsToSample(owned);
}

} // namespace jaytrack
