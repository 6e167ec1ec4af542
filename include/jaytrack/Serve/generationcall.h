// One caller's generation while this instance serves it: placed, relayed token by token, recovered
// when an engine or a link fails, and ended with a code.
#ifndef JAYTRACK_SERVE_GENERATIONCALL_H
#define JAYTRACK_SERVE_GENERATIONCALL_H

#include "jaytrack/Http/client.h"
#include "jaytrack/Http/server.h"
#include "jaytrack/Limits/limitgate.h"
#include "jaytrack/Policy/placement.h"
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

// What a caller asked for.
struct GenerationOrder
{
    GenerationRequest ask;
    std::string path; // the OpenAI path, the same at the engine
    std::string body; // JSON with streaming switched on
    bool wantsStream = true;
    bool chat = true;
    std::optional<StreamHandle> resumed; // set if an existing generation is to be gone on with
    std::uint64_t firstIndex = 0;
};

// A generation in service. Functions may be called from any thread.
class GenerationCall final : public std::enable_shared_from_this<GenerationCall>
{
public:
    GenerationCall(ServeContext &context, CallRegistry &registry, RequestLog &log, Caller caller,
                   GenerationOrder order, std::shared_ptr<ResponseWriter> writer);

    void start();

    // Does what has come due: recovery, time-outs, keep-alive comments, abandonment.
    void sweep();

    // Ends the call if it is this request and no token has come yet: no engine may be given it.
    void withdraw(std::string_view barredDigest);

    // Ends the call at once because the instance was told to stop without waiting.
    void cut();

    const std::string &id() const { return this->caller.requestId; }

private:
    class Attempt;

    // Asking: the engine names a limit, and a permit for the attempt is awaited.
    enum class Phase { Placing, Asking, Relaying, Pausing, Ended };

    // By which the request is recognised when its caller sends it again.
    std::string digest() const;

    // Ends the call if no engine may be given it; tells whether it did.
    bool refusedAsBarred();
    void noteLostUnanswered(const HttpCallEnd &end);

    // What an event means beyond the token that it may carry.
    enum class Signal { None, Done, Superseded, Failed, Garbled };

    void place();
    void onPlaced(const Placement &placement);
    void attach(const Engine &engine, bool resume);
    void onPermit(const Permit &permit, bool resume);
    void begin(bool resume);
    std::vector<std::string> restingEngines() const;
    bool waitsForLimits();
    HttpCall firstCall(const Engine &engine) const;
    HttpCall resumeCall(const Engine &engine) const;

    void onHeaders(AttemptId attempt, int status, std::span<const HttpHeader> headers);
    bool onData(AttemptId attempt, class SseSplitter &splitter, std::string_view data);
    void onEnd(AttemptId attempt, const HttpCallEnd &end);

    bool mustPause();
    Signal onEvent(AttemptId attempt, const SseEvent &event, std::string &out);
    Signal onToken(AttemptId attempt, const SseEvent &event, std::string &out);
    void act(Signal signal);
    bool collect(std::string_view data);
    void passOn(std::string text);
    void beginStream();
    void written(std::size_t bytes, bool sent);
    void noteProgress();

    void lost(bool maySentBytes, const Ending &why);
    void dropAttempt();
    void goOn();
    void sweepCaller(TimePoint now);
    void sweepEngine(TimePoint now);
    void abandon();
    void cancelAtEngine();
    void complete();
    void finish(const Ending &ending);
    void finishStream(const Ending &ending);
    std::string collectedBody() const;
    void leaveEngine(Departure how);

    ServeContext &context;
    CallRegistry &registry;
    RequestLog &log;
    Caller caller;
    GenerationOrder order;
    const Model *model;
    std::shared_ptr<ResponseWriter> writer;

    std::mutex mutex;
    Phase phase = Phase::Placing;
    StreamRelay relay;
    AttemptId attempt = 0;
    const Engine *engine = nullptr; // within the caller's document
    std::string handle;             // sealed, of the current generation
    std::string attachEpoch;
    TimePoint attachedAt;
    int unansweredLosses = 0; // connections that were lost before a token came
    bool generationKnown = false;
    bool headersGood = false;
    bool bodyStarted = false;
    bool placed = false; // the policy counts this call on an engine
    int refusedStatus = 0;
    int recoveries = 0;
    Ending lastLoss;
    TimePoint resumeAt;
    TimePoint startedAt;
    TimePoint lastEventAt;
    TimePoint lastWriteAt;
    TimePoint lostAt;
    bool everSent; // bytes of this request may have reached an engine
    bool discarding = false;
    RequestRecord record;

    std::string collected; // the text so far, if the caller does not stream
    std::string finishReason;

    std::atomic<HttpCallId> httpCall{0};
    std::atomic<std::size_t> unsentBytes{0};
    std::atomic<bool> paused{false};
    std::atomic<bool> callerLost{false};
};

// All generations in service on one instance.
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
