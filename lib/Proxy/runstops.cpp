#include "jaytrack/Proxy/runstops.h"

#include "jaytrack/Limits/limitgate.h"
#include "jaytrack/Net/socket.h"
#include "jaytrack/Support/log.h"
#include "jaytrack/Support/metrics.h"

#include <asio/steady_timer.hpp>

#include <algorithm>

namespace jaytrack {

namespace {

constexpr int okStatus = 200;
constexpr int notFoundStatus = 404;
constexpr int noRoomStatus = 503;

// Maximum size of an answer, which consists of a handle.
constexpr std::size_t maxAnswerBytes = 64U << 10U;

// Time limit of one order. The engine stops the run at once but answers when the rest is copied.
constexpr std::chrono::milliseconds answerTimeout{2500};

constexpr std::chrono::milliseconds connectTimeout{250};

// Delay before the first repetition; it doubles with each one.
constexpr std::chrono::milliseconds firstRepeatDelay{50};

// An engine that makes an earlier copy of the run refuses until that is done.
constexpr int maxOrders = 7;

// An engine to which no connection can be made has ended or is cut off.
constexpr int maxUnreached = 3;

std::string_view outcomeName(StopOutcome outcome)
{
    switch (outcome) {
    case StopOutcome::NotThere:
        return "not_there";
    case StopOutcome::Stopped:
        return "stopped";
    case StopOutcome::Unknown:
        break;
    }
    return "unknown";
}

CallContext callContext(const RunStop &stop)
{
    CallContext about;
    about.target = stop.engine.id;
    about.service = stop.engine.service;
    about.attemptId = stop.run;
    about.isNewWork = false;
    return about;
}

} // namespace

StopOutcome evaluateStopAnswer(int status, std::string_view handle)
{
    if (status == notFoundStatus)
        return StopOutcome::NotThere;
    if (status == okStatus || (status == noRoomStatus && !handle.empty()))
        return StopOutcome::Stopped;
    return StopOutcome::Unknown;
}

// One order, sent until the engine confirms that the run does not go on there.
class RunStops::Order final : public TargetCallListener, public std::enable_shared_from_this<Order>
{
public:
    Order(RunStops &orderOwner, RunStop runStop)
        : owner(orderOwner)
        , stop(std::move(runStop))
        , timer(orderOwner.context)
        , orderedAt(orderOwner.clock.now())
    {
    }

    void sendAfter(Duration delay)
    {
        this->timer.expires_after(delay);
        this->timer.async_wait([weak = this->weak_from_this()](const asio::error_code &failure) {
            const auto self = weak.lock();
            if (!failure && self)
                self->send();
        });
    }

    void cancel()
    {
        this->timer.cancel();
        if (this->call)
            this->call->cancel();
    }

    bool isSent() const { return this->sends > 0; }

    void onAnswerHead(MessageHead head) override { this->status = head.status; }

    void onAnswerBody(std::string_view bytes) override
    {
        if (appendWithin(this->body, bytes, maxAnswerBytes))
            return;
        this->call->cancel();
        this->onCallEnd({false, true, tooLargeReason});
    }

    void onCallEnd(const TargetCallEnd &end) override
    {
        this->timer.cancel();
        if (this->drops)
            return this->owner.remove({this->stop.run, this->stop.engine.id});
        this->unreached += end.bytesSent ? 0 : 1;
        const Result<MoveAnswer> answer = this->owner.dialect.decodeMove(this->body);
        const std::string handle = answer ? answer.value().handle : std::string();
        const StopOutcome outcome =
                end.whole ? evaluateStopAnswer(this->status, handle) : StopOutcome::Unknown;
        const bool mayRepeat = this->sends < maxOrders && this->unreached < maxUnreached;
        if (outcome == StopOutcome::Unknown && mayRepeat) {
            this->sendAfter(this->repeatDelay);
            this->repeatDelay *= 2;
            return;
        }
        this->finish(outcome, end.reason, handle);
    }

private:
    void send()
    {
        Result<std::string> text =
                this->owner.dialect.encodeMove(this->stop.run, this->stop.destination, true);
        if (!text)
            return this->finish(StopOutcome::Unknown, "unnameable_run", {});
        TargetRequest request;
        request.method = "POST";
        request.target = this->owner.dialect.movePath();
        request.headers.push_back({"Content-Type", "application/json"});
        request.body = std::move(text.value());
        ++this->sends;
        this->call = this->start(std::move(request));
        if (!this->call)
            this->finish(StopOutcome::Unknown, "address_unreadable", {});
    }

    // Has the copy dropped that came of stopping the run. It would occupy memory at the engine
    // where the run goes on. Returns false if there is none.
    bool dropCopy(std::string_view handle)
    {
        const std::string path = this->owner.dialect.copyPath(handle);
        if (handle == this->stop.usedHandle || path.empty())
            return false;
        TargetRequest request;
        request.method = "DELETE";
        request.target = path;
        this->drops = true;
        this->call = this->start(std::move(request));
        return this->call != nullptr;
    }

    std::shared_ptr<RoutedCall> start(TargetRequest request)
    {
        const auto endpoint = parseEndpoint(this->stop.engine.address);
        if (!endpoint)
            return nullptr;
        request.endpoint = endpoint.value();
        request.headers.push_back({"Host", this->stop.engine.address});
        request.connectTimeout = connectTimeout;
        this->status = 0;
        this->body.clear();
        // An order cannot wait for a permit, because the run goes on meanwhile.
        this->owner.limits.countSent(this->stop.engine.id);
        this->timer.expires_after(answerTimeout);
        this->timer.async_wait([weak = this->weak_from_this()](const asio::error_code &failure) {
            const auto self = weak.lock();
            if (!failure && self)
                self->onTimeout();
        });
        return this->owner.calls.start(std::move(request), callContext(this->stop),
                                       this->weak_from_this());
    }

    void onTimeout()
    {
        const bool sent = this->call->bytesSent();
        this->call->cancel();
        this->onCallEnd({false, sent, "timeout"});
    }

    void finish(StopOutcome outcome, std::string_view reason, std::string_view handle)
    {
        const auto keepAlive = this->shared_from_this();
        const bool isKnown = outcome != StopOutcome::Unknown;
        logEvent(isKnown ? Severity::Info : Severity::Warning, "run_stop_ordered",
                 {{"id", this->stop.run},
                  {"target", this->stop.engine.id},
                  {"outcome", outcomeName(outcome)},
                  {"status", this->status},
                  {"reason", reason},
                  {"orders", this->sends},
                  {"took_ms", toMillis(this->owner.clock.now() - this->orderedAt)}});
        this->owner.metrics.count("jaytrack_run_stops_total{outcome=\"" +
                                  std::string(outcomeName(outcome)) + "\"}");
        if (outcome != StopOutcome::Stopped || !this->dropCopy(handle))
            this->owner.remove({this->stop.run, this->stop.engine.id});
    }

    RunStops &owner;
    RunStop stop;
    asio::steady_timer timer;
    std::shared_ptr<RoutedCall> call;
    TimePoint orderedAt;
    Duration repeatDelay = firstRepeatDelay;
    int sends = 0;
    int unreached = 0;  // orders for which no connection was made
    bool drops = false; // the run has been stopped and its copy is being dropped
    int status = 0;
    std::string body;
};

RunStops::RunStops(asio::io_context &loop, TargetCalls &targetCalls, const Clock &time,
                   const Dialect &platform, LimitGate &limitGate, Metrics &counters)
    : context(loop)
    , calls(targetCalls)
    , clock(time)
    , dialect(platform)
    , limits(limitGate)
    , metrics(counters)
{
}

RunStops::~RunStops()
{
    for (const auto &[key, order] : this->orders)
        order->cancel();
}

void RunStops::order(RunStop stop)
{
    const Key key{stop.run, stop.engine.id};
    if (this->orders.count(key) > 0)
        return;
    const auto created = std::make_shared<Order>(*this, std::move(stop));
    this->orders.emplace(key, created);
    created->sendAfter(closeGrace);
}

void RunStops::withdraw(std::string_view run, std::string_view engine)
{
    const auto found = this->orders.find({std::string(run), std::string(engine)});
    if (found == this->orders.end() || found->second->isSent())
        return;
    found->second->cancel();
    this->orders.erase(found);
}

bool RunStops::isPending(std::string_view run, std::string_view engine) const
{
    return !this->orders.empty() && this->orders.count({std::string(run), std::string(engine)}) > 0;
}

} // namespace jaytrack
