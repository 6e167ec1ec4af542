// A generation request that this instance serves. Places it on an engine, relays the tokens to the
// caller, recovers when an engine or a connection fails, and ends with a result code.
#ifndef JAYTRACK_SERVE_GENERATIONCALL_H
#define JAYTRACK_SERVE_GENERATIONCALL_H

#include "jaytrack/Http/client.h"
#include "jaytrack/Http/server.h"
#include "jaytrack/Limits/limitgate.h"
#include "jaytrack/Policy/placement.h"
#include "jaytrack/Quarantine/requestdigest.h"
#include "jaytrack/Serve/answers.h"
#include "jaytrack/Serve/context.h"
#include "jaytrack/Serve/requestlog.h"
#include "jaytrack/Stream/handle.h"
#include "jaytrack/Stream/relay.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace jaytrack {

class CallRegistry;
struct SseEvent;

// The parsed generation request of a caller.
struct GenerationSpec
{
    GenerationRequest placementRequest;
    std::string path;               // the OpenAI path, the same at the engine
    std::string body;               // JSON with streaming switched on
    std::vector<std::string> parts; // digests of the messages that other requests may share
    bool wantsStream = true;
    bool chat = true;
    std::optional<StreamHandle> resumed; // set if an existing generation is to be resumed
    std::uint64_t firstIndex = 0;
};

// A generation in service. Functions may be called from any thread.
class GenerationCall final : public std::enable_shared_from_this<GenerationCall>
{
public:
    GenerationCall(ServeContext &context, CallRegistry &registry, RequestLog &log, Caller caller,
                   GenerationSpec spec, std::shared_ptr<ResponseWriter> writer);

    void start();

    // Runs due work: recovery, time-outs, keep-alive comments, cancellation for absent callers.
    void sweep();

    // Ends the call with RequestBarred if the digest is that of the request or of a part of its
    // prompt and no token has been received yet.
    void withdraw(std::string_view barredDigest);

    // Ends the call immediately because the instance stops without waiting for its requests.
    void abort();

    const std::string &id() const { return this->caller.requestId; }

private:
    class Attempt;

    // AwaitingPermit: the attempt waits for a permit because the engine has a rate limit.
    enum class Phase { Placing, AwaitingPermit, Relaying, Waiting, Ended };

    // Identifies the request when its caller sends it again.
    RequestIdentity identity() const;
    bool mayCrashOthers() const;

    // Ends the call if its request is barred from all engines. Returns true if it did.
    bool finishIfBarred();
    void reportUnansweredLoss(const HttpCallEnd &end);
    void reportSafeRun();

    // Effect of an event on the call, apart from a token that it may carry.
    enum class Signal { None, Done, Superseded, Failed, Garbled };

    void place();
    void onPlaced(const Placement &placement);
    void attach(const Engine &engine, bool resume);
    void onPermit(const Permit &permit, bool resume);
    void begin(bool resume);
    std::vector<std::string> rateLimitedEngines() const;
    bool deferForRateLimits();
    HttpCall firstCall(const Engine &engine) const;
    HttpCall resumeCall(const Engine &engine) const;

    void onHeaders(AttemptId attempt, int status, std::span<const HttpHeader> headers);
    bool onData(AttemptId attempt, class SseSplitter &splitter, std::string_view data);
    void onEnd(AttemptId attempt, const HttpCallEnd &end);

    bool pauseIfBufferFull();
    Signal onEvent(AttemptId attempt, const SseEvent &event, std::string &out);
    Signal onToken(AttemptId attempt, const SseEvent &event, std::string &out);
    void handleSignal(Signal signal);
    bool collect(std::string_view data);
    void writeToCaller(std::string text);
    void beginStream();
    void onWritten(std::size_t bytes, bool sent);
    void recordProgress();

    void onAttemptLost(bool maySentBytes, const FinalStatus &why);
    void cancelAttempt();
    void continueAfterWait();
    void sweepCaller(TimePoint now);
    void sweepEngine(TimePoint now);
    void abandon();
    void cancelAtEngine();
    void complete();
    void finish(const FinalStatus &finalStatus);
    void finishStream(const FinalStatus &finalStatus);
    std::string collectedBody() const;
    void releasePlacement(Departure how);

    ServeContext &context;
    CallRegistry &registry;
    RequestLog &log;
    Caller caller;
    GenerationSpec spec;
    const Model *model;
    std::shared_ptr<ResponseWriter> writer;

    std::mutex mutex;
    Phase phase = Phase::Placing;
    StreamRelay relay;
    AttemptId attempt = 0;
    const Engine *engine = nullptr; // within the caller's document
    std::string handle;             // sealed handle of the current generation
    std::string attachEpoch;
    TimePoint attachedAt;
    int unansweredLosses = 0; // connections lost before the first token arrived
    bool generationKnown = false;
    bool headersAccepted = false;
    bool bodyStarted = false;
    bool placed = false; // the placement policy counts this call towards an engine
    int errorStatus = 0;
    int recoveries = 0;
    FinalStatus lastLoss;
    TimePoint resumeAt;
    TimePoint startedAt;
    TimePoint lastEventAt;
    TimePoint lastWriteAt;
    TimePoint callerLostAt;
    bool mayHaveReachedEngine; // bytes of this request may have been sent to an engine
    bool discarding = false;
    RequestRecord record;

    std::string collected; // the text received so far, if the caller does not stream
    std::string finishReason;

    std::atomic<HttpCallId> httpCall{0};
    std::atomic<std::size_t> unsentBytes{0};
    std::atomic<bool> paused{false};
    std::atomic<bool> callerLost{false};
};

// Thread-safe set of the generations in service on an instance.
class CallRegistry
{
public:
    void add(const std::shared_ptr<GenerationCall> &call);
    void remove(const GenerationCall *call);
    std::vector<std::shared_ptr<GenerationCall>> all() const;
    std::size_t size() const;

private:
    mutable std::mutex mutex;
    std::unordered_map<const GenerationCall *, std::shared_ptr<GenerationCall>> calls;
};

} // namespace jaytrack

#endif
