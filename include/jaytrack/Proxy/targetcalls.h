// Calls targets and records whether this instance still reaches any of them.
#ifndef JAYTRACK_PROXY_TARGETCALLS_H
#define JAYTRACK_PROXY_TARGETCALLS_H

#include "jaytrack/Net/targetcall.h"
#include "jaytrack/Support/clock.h"

#include <memory>
#include <string>

namespace jaytrack {

class Metrics;
class RoutedCall;

// What a call is for, beside the request itself.
struct CallContext
{
    std::string target;    // id
    std::string attemptId; // of the caller's request; empty if there is none
};

class TargetCalls
{
public:
    TargetCalls(asio::io_context &loop, const Clock &time, Metrics &counters);

    // Starts a call. The listener is not called before this returns. The returned object must be
    // kept until the call has ended.
    std::shared_ptr<RoutedCall> start(TargetRequest request, CallContext about,
                                      std::weak_ptr<TargetCallListener> listener);

private:
    friend class RoutedCall;

    void recordConnected();
    void recordFailure(const CallContext &about, std::string_view reason);

    asio::io_context &context;
    const Clock &clock;
    Metrics &metrics;
    TimePoint connectedAt; // when a connection to any target was last opened
};

class RoutedCall final : public TargetCallListener, public std::enable_shared_from_this<RoutedCall>
{
public:
    RoutedCall(TargetCalls &owner, CallContext context, std::weak_ptr<TargetCallListener> to);

    void start(TargetRequest request);
    void cancel() { this->call->cancel(); }
    void setPaused(bool paused) { this->call->setPaused(paused); }

    // Whether some byte of the request may have reached the target.
    bool bytesSent() const { return this->call->bytesSent(); }

    void onConnected() override { this->calls.recordConnected(); }
    void onAnswerHead(MessageHead head) override;
    void onAnswerBody(std::string_view bytes) override;
    void onCallEnd(const TargetCallEnd &end) override;

private:
    TargetCalls &calls;
    CallContext about;
    std::weak_ptr<TargetCallListener> listener;
    std::shared_ptr<TargetCall> call;
};

} // namespace jaytrack

#endif
