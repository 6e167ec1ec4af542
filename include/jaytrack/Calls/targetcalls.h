// Calls targets directly or, where this instance has no link to them, through another instance.
#ifndef JAYTRACK_CALLS_TARGETCALLS_H
#define JAYTRACK_CALLS_TARGETCALLS_H

#include "jaytrack/Net/targetcall.h"
#include "jaytrack/Routing/relaypeers.h"
#include "jaytrack/Routing/sendgate.h"
#include "jaytrack/Routing/targetreach.h"
#include "jaytrack/Support/keyring.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace jaytrack {

class Metrics;
class RoutedCall;

// What a call is for, beside the request itself.
struct CallContext
{
    std::string target;    // id
    std::string service;   // of the target
    std::string attemptId; // of the caller's request; empty if there is none
    CallPurpose purpose = CallPurpose::Request;

    // The call gives the target new work. Another instance that knows the target to be leaving
    // passes on only calls that do not.
    bool isNewWork = true;

    RelayPeers::DataCentreFilter mayPass = {}; // empty if any data centre may see the request
};

// Receives the head of each answer of a target, whatever the call was for and for whichever
// instance it was made.
class TargetAnswerListener
{
public:
    virtual ~TargetAnswerListener() = default;

    // The answer is to the caller's attempt with this id, which is empty for all other calls.
    virtual void onTargetAnswer(std::string_view target, std::string_view attemptId,
                                const MessageHead &answer) = 0;
};

class TargetCalls
{
public:
    TargetCalls(asio::io_context &loop, const Clock &time, Metrics &counters,
                const SendGate &closedTargets, TargetAnswerListener &answerListener,
                const std::string &ownDataCentre, std::vector<std::string> fleetKeys,
                std::uint64_t seed);

    // Starts a call. The listener is not called before this returns. The returned object must be
    // kept until the call has ended.
    std::shared_ptr<RoutedCall> start(TargetRequest request, CallContext about,
                                      std::weak_ptr<TargetCallListener> listener);

    void setPeers(std::vector<RelayPeer> others) { this->peers.setPeers(std::move(others)); }

    void forget(std::string_view target) { this->reach.forget(target); }

    // Whether this instance has lost its link to the target.
    bool isLost(std::string_view target, std::string_view service) const
    {
        return this->reach.isLost(target, service);
    }

    // Whether a failure to connect to the target may be told to others as the target's.
    bool isTargetsFault(std::string_view target, std::string_view service) const
    {
        return this->reach.isTargetsFault(target, service);
    }

    // Records that a connection to the target was opened, for a request of this or of another
    // instance.
    void recordConnected(std::string_view target, std::string_view service);

    // Returns why a call must not be sent to the target now, and logs that; empty if it may be. To
    // be asked when the connection is open, immediately before the request is sent.
    std::string_view refusalToSend(std::string_view target, bool isNewWork,
                                   std::string_view attemptId) const;

    void recordAnswer(std::string_view target, std::string_view attemptId,
                      const MessageHead &answer)
    {
        this->answers.onTargetAnswer(target, attemptId, answer);
    }

    asio::io_context &loop() { return this->context; }

    Duration connectPatience() const { return this->reach.limits().connectPatience; }

    const SendGate &gate() const { return this->sendGate; }

    // Null if the instance has no peers.
    const KeyRing *fleetKeys() const { return this->keys ? &*this->keys : nullptr; }

private:
    friend class RoutedCall;

    void recordReachedByPeer(const CallContext &about, std::string_view peer);
    void recordFailure(const CallContext &about, std::string_view reason);
    void count(std::string_view outcome);

    asio::io_context &context;
    const Clock &clock;
    Metrics &metrics;
    const SendGate &sendGate;
    TargetAnswerListener &answers;
    std::optional<KeyRing> keys;
    TargetReach reach;
    RelayPeers peers;
    std::map<std::string, TimePoint, std::less<>> cutOffSince; // by service
};

// One call, on one connection after the other until one of them can send the request. Like
// TargetCall it never sends a request twice.
class RoutedCall final : public TargetCallListener, public std::enable_shared_from_this<RoutedCall>
{
public:
    RoutedCall(TargetCalls &owner, TargetRequest outgoing, CallContext context,
               std::weak_ptr<TargetCallListener> to);

    void start();
    void cancel();
    void setPaused(bool paused);

    // Whether some byte of the request may have reached the target.
    bool bytesSent() const { return !this->failed && this->call && this->call->bytesSent(); }

    void onConnected() override;
    void onAnswerHead(MessageHead head) override;
    void onAnswerBody(std::string_view bytes) override;
    void onCallEnd(const TargetCallEnd &end) override;

private:
    void callDirectly();

    // Returns false if no other instance may be asked.
    bool callThroughPeer();
    void onDirectEnd(const TargetCallEnd &end);
    void onRelayEnd(const TargetCallEnd &end);
    void onRelayFailed();
    void fail(std::string_view reason);
    void forwardEnd(const TargetCallEnd &end);
    TargetRequest makeRelayRequest(const asio::ip::tcp::endpoint &peerEndpoint) const;
    void logRelay(const RelayPeer &peer) const;

    TargetCalls &calls;
    TargetRequest request; // unless a direct call holds it
    CallContext about;
    std::weak_ptr<TargetCallListener> listener;
    std::shared_ptr<TargetCall> call;
    std::set<std::string> triedPeers;
    std::string peer;         // through which the call in progress goes; empty if it is direct
    std::string failure;      // reason of the last attempt that sent nothing
    std::string relayFailure; // why the peer did not reach the target, from its answer
    bool relaySent = false;   // the peer reports that it had sent the request
    bool relayLost = false;   // the peer reports that the target closed the connection
    bool failed = false;      // no way was found, so nothing reached the target
    bool directTried = false;
    bool directMissed = false; // this instance failed to connect in this call
    std::chrono::milliseconds connectTimeout;
    TimePoint lastStart; // no further way is tried after this
};

} // namespace jaytrack

#endif
