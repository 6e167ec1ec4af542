#include "jaytrack/Proxy/targetcalls.h"

#include "jaytrack/Support/log.h"
#include "jaytrack/Support/metrics.h"

namespace jaytrack {

TargetCalls::TargetCalls(asio::io_context &loop, const Clock &time, Metrics &counters)
    : context(loop)
    , clock(time)
    , metrics(counters)
    , connectedAt(time.now())
{
}

std::shared_ptr<RoutedCall> TargetCalls::start(TargetRequest request, CallContext about,
                                               std::weak_ptr<TargetCallListener> listener)
{
    auto call = std::make_shared<RoutedCall>(*this, std::move(about), std::move(listener));
    call->start(std::move(request));
    return call;
}

void TargetCalls::recordConnected()
{
    this->connectedAt = this->clock.now();
    this->metrics.count("jaytrack_target_calls_total{outcome=\"connected\"}");
}

// The time since the last connection to any target tells a target that is down from links of this
// instance that are lost.
void TargetCalls::recordFailure(const CallContext &about, std::string_view reason)
{
    this->metrics.count("jaytrack_target_calls_total{outcome=\"direct_failed\"}");
    logEvent(Severity::Info, "target_not_reached",
             {{"id", about.attemptId},
              {"target", about.target},
              {"reason", reason},
              {"connected_ms_ago", toMillis(this->clock.now() - this->connectedAt)}});
}

RoutedCall::RoutedCall(TargetCalls &owner, CallContext context,
                       std::weak_ptr<TargetCallListener> to)
    : calls(owner)
    , about(std::move(context))
    , listener(std::move(to))
{
}

void RoutedCall::start(TargetRequest request)
{
    this->call = TargetCall::start(this->calls.context, std::move(request), this->weak_from_this());
}

void RoutedCall::onAnswerHead(MessageHead head)
{
    if (const auto to = this->listener.lock())
        to->onAnswerHead(std::move(head));
}

void RoutedCall::onAnswerBody(std::string_view bytes)
{
    if (const auto to = this->listener.lock())
        to->onAnswerBody(bytes);
}

void RoutedCall::onCallEnd(const TargetCallEnd &end)
{
    if (!end.bytesSent)
        this->calls.recordFailure(this->about, end.reason);
    if (const auto to = this->listener.lock())
        to->onCallEnd(end);
}

} // namespace jaytrack
