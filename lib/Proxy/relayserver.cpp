#include "jaytrack/Proxy/relayserver.h"

#include "jaytrack/Net/socket.h"
#include "jaytrack/Proxy/exchange.h"
#include "jaytrack/Support/log.h"
#include "jaytrack/Support/metrics.h"

#include <algorithm>

namespace jaytrack {

namespace {

constexpr int badRequestStatus = 400;
constexpr int unavailableStatus = 503;
constexpr int badGatewayStatus = 502;

// Maximum bytes buffered for an instance that reads slowly before reading from the target is
// paused.
constexpr std::size_t maxUnsentBytes = 128U << 10U;

// Time for the bytes already written to a broken answer to be sent.
constexpr std::chrono::milliseconds abortTimeout{1000};

constexpr std::string_view eventStreamType = "text/event-stream";

// The headers of an order come beside the caller's.
constexpr std::size_t orderHeaderBytes = 2048;

} // namespace

// One request of another instance and the call to the target.
class RelayServer::Relay final : public CallerListener,
                                 public TargetCallListener,
                                 public std::enable_shared_from_this<Relay>
{
public:
    Relay(RelayServer &owner, std::shared_ptr<CallerConnection> connection,
          const TargetEntry &entry, RequestIdentity askedRequest, std::string attempt, bool newWork)
        : server(owner)
        , asker(std::move(connection))
        , target(entry)
        , asked(std::move(askedRequest))
        , attemptId(std::move(attempt))
        , isNewWork(newWork)
    {
    }

    void start(TargetRequest request)
    {
        this->server.open.insert(this->shared_from_this());
        this->asker->attach(this->shared_from_this());
        this->isHead = request.method == "HEAD";
        this->call = TargetCall::start(this->server.calls.loop(), std::move(request),
                                       this->weak_from_this());
    }

    void onCallerGone() override
    {
        this->call->cancel();
        this->finish("caller_left");
    }

    void onCallerWritable() override
    {
        if (this->asker->pendingBytes() < maxUnsentBytes / 2)
            this->call->setPaused(false);
    }

    void onConnected() override
    {
        this->server.calls.recordConnected(this->target.id, this->target.service);
        std::string_view refusal =
                this->server.calls.refusalToSend(this->target.id, this->isNewWork, {});
        if (refusal.empty() && this->isNewWork && this->server.isBarred(this->asked, this->target))
            refusal = relayIsBarred;
        if (refusal.empty())
            return;
        this->call->cancel();
        this->server.refuse(*this->asker, this->target.id, refusal);
        this->finish(refusal);
    }

    void onAnswerHead(MessageHead head) override
    {
        this->server.calls.recordAnswer(this->target.id, this->attemptId, head);
        this->mustHaveBody =
                !head.framed && head.header("Content-Type").starts_with(eventStreamType);
        const std::vector<HttpHeader> headers = markAnswered(answerHeaders(head.headers));
        this->begun = true;
        if (this->isHead)
            this->asker->respond(head.status, headers, {});
        else
            this->asker->begin(head.status, headers);
    }

    void onAnswerBody(std::string_view bytes) override
    {
        this->mustHaveBody = false;
        this->asker->write(bytes);
        if (this->asker->pendingBytes() > maxUnsentBytes)
            this->call->setPaused(true);
    }

    void onCallEnd(const TargetCallEnd &end) override
    {
        if (!this->begun)
            this->reportFailure(end);
        else if (!this->isHead && end.whole && !this->mustHaveBody)
            this->asker->finish();
        else if (!this->isHead)
            this->asker->abort(abortTimeout);
        this->finish(end.reason);
    }

private:
    void reportFailure(const TargetCallEnd &end)
    {
        RelayFailure failure{std::string(end.reason), end.bytesSent, end.lostConnection};
        if (!end.bytesSent)
            failure.reason = relayMissedTarget;
        this->asker->respond(end.bytesSent ? badGatewayStatus : unavailableStatus,
                             encodeFailure(failure), {});
    }

    void finish(std::string_view outcome)
    {
        logEvent(Severity::Info, "call_for_peer_ended",
                 {{"target", this->target.id}, {"outcome", outcome}});
        this->server.metrics.count("jaytrack_calls_for_peers_total{outcome=\"" +
                                   std::string(outcome) + "\"}");
        this->server.open.erase(this->shared_from_this());
    }

    RelayServer &server;
    std::shared_ptr<CallerConnection> asker;
    TargetEntry target;
    RequestIdentity asked; // without the digest, which only the instance that asks knows
    std::string attemptId; // empty for orders and questions, whose answers do not name it
    bool isNewWork;
    std::shared_ptr<TargetCall> call;
    bool isHead = false;
    bool begun = false;
    bool mustHaveBody = false; // an event stream that has no mark of its end and no event yet
};

RelayServer::RelayServer(TargetCalls &targetCalls, const Clock &time, Metrics &counters,
                         const TargetDirectory &targets, CallerHandler &budget,
                         const Dialect &platform, const CrashWatch &crashWatch,
                         SnapshotServer &snapshotServer)
    : calls(targetCalls)
    , metrics(counters)
    , directory(targets)
    , instance(budget)
    , dialect(platform)
    , crashes(crashWatch)
    , snapshots(snapshotServer)
    , server(targetCalls.loop(), time, *this)
{
}

Result<void> RelayServer::listen(const asio::ip::tcp::endpoint &endpoint)
{
    return this->server.listen(endpoint);
}

ConnectionLimits RelayServer::connectionLimits() const
{
    ConnectionLimits limits = this->instance.connectionLimits();
    limits.headerBytes += orderHeaderBytes;
    return limits;
}

void RelayServer::onRejectedRequest(int status, std::string_view reason)
{
    logEvent(Severity::Warning, "call_for_peer_unreadable",
             {{"status", status}, {"reason", reason}});
}

// A target that is no longer listed may still serve what it was given, which orders are about.
const TargetEntry *RelayServer::findTarget(const RelayOrder &order) const
{
    const TargetEntry *listed = this->directory.find(order.target);
    return listed != nullptr || order.isNewWork ? listed
                                                : this->directory.findRemoved(order.target);
}

// Returns why the call cannot be made for the other instance; empty if it can.
std::string_view RelayServer::refusalReason(const RelayOrder &order,
                                            const TargetEntry *target) const
{
    if (this->stopping())
        return relayIsStopping;
    if (target == nullptr)
        return "unknown_target";
    const std::string_view closed = this->calls.gate().refusal(order.target, order.isNewWork);
    if (!closed.empty())
        return closed;
    return this->calls.isLost(order.target, target->service) ? relayHasNoLinks : std::string_view();
}

bool RelayServer::isBarred(const RequestIdentity &request, const TargetEntry &target) const
{
    return !this->crashes.isIdle() &&
           this->crashes.barredAt(request, softwareOf(target)) > Duration(0);
}

void RelayServer::refuse(CallerConnection &connection, std::string_view target,
                         std::string_view reason)
{
    logEvent(Severity::Info, "call_for_peer_refused", {{"target", target}, {"reason", reason}});
    this->metrics.count("jaytrack_calls_for_peers_total{outcome=\"refused\"}");
    connection.respond(unavailableStatus, encodeFailure({std::string(reason), false, false}), {});
}

void RelayServer::onRequest(std::shared_ptr<CallerConnection> connection, CallerRequest request)
{
    if (SnapshotServer::isFor(request.head))
        return this->snapshots.serve(connection, request.head);
    const KeyRing *keys = this->calls.fleetKeys();
    const auto order = keys != nullptr ? decodeOrder(request.head, *keys) : std::nullopt;
    if (!order) {
        this->onRejectedRequest(badRequestStatus, "not_signed");
        return connection->respond(badRequestStatus, {}, {});
    }
    const TargetEntry *target = this->findTarget(*order);
    const std::string_view reason = this->refusalReason(*order, target);
    if (!reason.empty())
        return this->refuse(*connection, order->target, reason);
    const RequestFacts facts = this->dialect.describe(request.head.headers);
    RequestIdentity asked{{}, partDigests(facts.sharedParts)};
    if (order->isNewWork && this->isBarred(asked, *target))
        return this->refuse(*connection, order->target, relayIsBarred);
    const auto endpoint = parseEndpoint(target->address);
    if (!endpoint)
        return this->refuse(*connection, order->target, relayMissedTarget);
    TargetRequest outgoing;
    outgoing.endpoint = endpoint.value();
    outgoing.method = request.head.method;
    outgoing.target = request.head.target;
    outgoing.headers = withoutRelayHeaders(withoutHopByHop(request.head.headers));
    outgoing.body = std::move(request.body);
    outgoing.connectTimeout = order->connectTimeout;
    const auto relay = std::make_shared<Relay>(
            *this, std::move(connection), *target, std::move(asked),
            order->isNewWork ? facts.attemptId : std::string(), order->isNewWork);
    relay->start(std::move(outgoing));
}

} // namespace jaytrack
