#include "jaytrack/Calls/targetcalls.h"

#include "jaytrack/Calls/relaymessage.h"
#include "jaytrack/Net/socket.h"
#include "jaytrack/Support/log.h"
#include "jaytrack/Support/metrics.h"

#include <algorithm>

namespace jaytrack {

namespace {

// Further ways are tried for so many attempts that take all their time. The request names the time
// that its caller had left when it was made, so it must not be sent much later.
constexpr int attemptsInTime = 3;

std::chrono::milliseconds inMillis(Duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time);
}

} // namespace

TargetCalls::TargetCalls(asio::io_context &loop, const Clock &time, Metrics &counters,
                         const SendGate &closedTargets, TargetAnswerListener &answerListener,
                         const std::string &ownDataCentre, std::vector<std::string> fleetKeys,
                         std::uint64_t seed)
    : context(loop)
    , clock(time)
    , metrics(counters)
    , sendGate(closedTargets)
    , answers(answerListener)
    , reach(time)
    , peers(time, ownDataCentre, seed)
{
    if (!fleetKeys.empty())
        this->keys.emplace(std::move(fleetKeys));
}

std::shared_ptr<RoutedCall> TargetCalls::start(TargetRequest request, CallContext about,
                                               std::weak_ptr<TargetCallListener> listener)
{
    auto call = std::make_shared<RoutedCall>(*this, std::move(request), std::move(about),
                                             std::move(listener));
    call->start();
    return call;
}

void TargetCalls::recordConnected(std::string_view target, std::string_view service)
{
    this->count("connected");
    if (!this->reach.recordConnected(target, service))
        return;
    const Duration lost = this->clock.now() - this->cutOffSince[std::string(service)];
    logEvent(Severity::Info, "links_regained",
             {{"service", service}, {"target", target}, {"lost_ms", toMillis(lost)}});
    this->metrics.count("jaytrack_links_regained_total");
}

void TargetCalls::recordReachedByPeer(const CallContext &about, std::string_view peer)
{
    if (!this->reach.recordReachedByPeer(about.target, about.service))
        return;
    this->cutOffSince[about.service] = this->clock.now();
    logEvent(Severity::Warning, "links_lost",
             {{"service", about.service},
              {"target", about.target},
              {"reached_by", peer},
              {"connected_ms_ago", toMillis(this->reach.sinceConnected())}});
    this->metrics.count("jaytrack_links_lost_total");
}

// The time since the last connection to any target tells a target that is down from links of this
// instance that are lost.
void TargetCalls::recordFailure(const CallContext &about, std::string_view reason)
{
    this->count("direct_failed");
    logEvent(Severity::Info, "target_not_reached",
             {{"id", about.attemptId},
              {"target", about.target},
              {"reason", reason},
              {"connected_ms_ago", toMillis(this->reach.sinceConnected())}});
}

std::string_view TargetCalls::refusalToSend(std::string_view target, bool isNewWork,
                                            std::string_view attemptId) const
{
    const std::string_view reason = this->sendGate.refusal(target, isNewWork);
    if (!reason.empty())
        logEvent(Severity::Info, "send_held_back",
                 {{"id", attemptId}, {"target", target}, {"reason", reason}});
    return reason;
}

void TargetCalls::count(std::string_view outcome)
{
    this->metrics.count("jaytrack_target_calls_total{outcome=\"" + std::string(outcome) + "\"}");
}

RoutedCall::RoutedCall(TargetCalls &owner, TargetRequest outgoing, CallContext context,
                       std::weak_ptr<TargetCallListener> to)
    : calls(owner)
    , request(std::move(outgoing))
    , about(std::move(context))
    , listener(std::move(to))
    , connectTimeout(this->request.connectTimeout)
    , lastStart(owner.clock.now() + attemptsInTime * owner.connectPatience())
{
}

void RoutedCall::start()
{
    const CallPath path =
            this->calls.reach.choose(this->about.target, this->about.service, this->about.purpose);
    if (path == CallPath::Direct || !this->callThroughPeer())
        this->callDirectly();
}

// While another instance may be asked, this one does not wait for the whole time-out.
void RoutedCall::callDirectly()
{
    this->directTried = true;
    this->peer.clear();
    this->relayFailure.clear();
    const bool hasOtherWay =
            this->calls.reach.mayAskPeers(this->about.target) &&
            this->calls.peers.choose(this->triedPeers, this->about.mayPass) != nullptr;
    this->request.connectTimeout =
            hasOtherWay ? std::min(this->connectTimeout, inMillis(this->calls.connectPatience()))
                        : this->connectTimeout;
    this->call = TargetCall::start(this->calls.context, std::move(this->request),
                                   this->weak_from_this());
}

bool RoutedCall::callThroughPeer()
{
    const auto keys = this->calls.fleetKeys();
    if (keys == nullptr || !this->calls.reach.mayAskPeers(this->about.target))
        return false;
    const RelayPeer *chosen = this->calls.peers.choose(this->triedPeers, this->about.mayPass);
    if (chosen == nullptr)
        return false;
    const auto endpoint = parseEndpoint(chosen->address);
    if (!endpoint)
        return false;
    this->peer = chosen->name;
    this->triedPeers.insert(chosen->name);
    this->relayFailure.clear();
    this->logRelay(*chosen);
    this->call = TargetCall::start(this->calls.context, this->makeRelayRequest(endpoint.value()),
                                   this->weak_from_this());
    return true;
}

TargetRequest RoutedCall::makeRelayRequest(const asio::ip::tcp::endpoint &peerEndpoint) const
{
    TargetRequest outgoing = this->request;
    outgoing.endpoint = peerEndpoint;
    outgoing.connectTimeout = inMillis(this->calls.connectPatience());
    const RelayOrder order{this->about.target, this->about.isNewWork, outgoing.connectTimeout};
    outgoing.headers = encodeOrder(order, outgoing.method, outgoing.target, outgoing.headers,
                                   *this->calls.fleetKeys());
    return outgoing;
}

void RoutedCall::logRelay(const RelayPeer &chosen) const
{
    this->calls.count("through_peer");
    if (this->about.purpose == CallPurpose::Background)
        return;
    logEvent(Severity::Info, "call_through_peer",
             {{"id", this->about.attemptId},
              {"target", this->about.target},
              {"peer", chosen.name},
              {"peer_data_centre", chosen.dataCentre},
              {"reason", this->directMissed ? std::string_view(this->failure) : "link_lost"},
              {"cut_off", this->calls.reach.isCutOff(this->about.service) ? 1 : 0}});
}

void RoutedCall::cancel()
{
    this->listener.reset();
    if (this->call)
        this->call->cancel();
}

void RoutedCall::setPaused(bool paused)
{
    if (this->call)
        this->call->setPaused(paused);
}

void RoutedCall::onConnected()
{
    if (this->peer.empty())
        this->calls.recordConnected(this->about.target, this->about.service);
    const std::string_view refusal = this->calls.refusalToSend(
            this->about.target, this->about.isNewWork, this->about.attemptId);
    if (refusal.empty())
        return;
    this->call->cancel();
    this->fail(refusal);
}

void RoutedCall::onAnswerHead(MessageHead head)
{
    if (!this->peer.empty()) {
        if (const auto reported = decodeFailure(head)) {
            this->relayFailure = reported->reason;
            this->relaySent = reported->sent;
            this->relayLost = reported->lostConnection;
            return;
        }
        this->calls.peers.recordServed(this->peer);
        if (this->directMissed)
            this->calls.recordReachedByPeer(this->about, this->peer);
        head.headers = withoutRelayHeaders(head.headers);
    }
    // Orders and questions are about an attempt, but their answers do not name it.
    std::string_view answeredAttempt;
    if (this->about.isNewWork)
        answeredAttempt = this->about.attemptId;
    this->calls.recordAnswer(this->about.target, answeredAttempt, head);
    if (const auto to = this->listener.lock())
        to->onAnswerHead(std::move(head));
}

void RoutedCall::onAnswerBody(std::string_view bytes)
{
    const auto to = this->listener.lock();
    if (to && this->relayFailure.empty())
        to->onAnswerBody(bytes);
}

void RoutedCall::onCallEnd(const TargetCallEnd &end)
{
    if (this->peer.empty())
        this->onDirectEnd(end);
    else
        this->onRelayEnd(end);
}

void RoutedCall::onDirectEnd(const TargetCallEnd &end)
{
    if (end.bytesSent)
        return this->forwardEnd(end);
    this->calls.recordFailure(this->about, end.reason);
    this->request = this->call->takeUnsent();
    this->directMissed = true;
    this->failure = end.reason;
    if (this->calls.clock.now() > this->lastStart || !this->callThroughPeer())
        this->fail(this->failure);
}

void RoutedCall::onRelayEnd(const TargetCallEnd &end)
{
    if (!this->relayFailure.empty() && this->relaySent)
        return this->forwardEnd({false, true, this->relayFailure, this->relayLost});
    if (!this->relayFailure.empty() || !end.bytesSent) {
        if (this->relayFailure.empty())
            this->relayFailure = end.reason;
        if (!end.bytesSent || this->relayFailure == relayHasNoLinks ||
            this->relayFailure == relayIsStopping)
            this->calls.peers.recordUnable(this->peer);
        return this->onRelayFailed();
    }
    if (!end.whole)
        this->calls.peers.recordUnable(this->peer);
    // The connection that was lost is the one to the peer, which says nothing of the target.
    this->forwardEnd({end.whole, end.bytesSent, end.reason, false});
}

// Nothing has reached the target, so another way may be tried.
void RoutedCall::onRelayFailed()
{
    this->calls.count("peer_failed");
    if (this->relayFailure == relayMissedTarget && this->calls.peers.recordMissed(this->peer))
        this->calls.reach.recordDown(this->about.target);
    if (this->calls.clock.now() <= this->lastStart && this->callThroughPeer())
        return;
    if (!this->directTried)
        return this->callDirectly();
    this->fail(this->failure);
}

void RoutedCall::fail(std::string_view reason)
{
    this->failed = true;
    this->forwardEnd({false, false, reason, false});
}

void RoutedCall::forwardEnd(const TargetCallEnd &end)
{
    if (const auto to = this->listener.lock())
        to->onCallEnd(end);
}

} // namespace jaytrack
