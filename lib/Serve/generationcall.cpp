#include "jaytrack/Serve/generationcall.h"

#include "jaytrack/Cluster/pausedetector.h"
#include "jaytrack/Config/settings.h"
#include "jaytrack/Net/percentencoding.h"
#include "jaytrack/Quarantine/crashwatch.h"
#include "jaytrack/Quarantine/requestdigest.h"
#include "jaytrack/Serve/sharedplacementpolicy.h"
#include "jaytrack/Serve/targetlimits.h"
#include "jaytrack/Serve/targetmessages.h"
#include "jaytrack/Stream/sse.h"
#include "jaytrack/Support/log.h"
#include "jaytrack/Support/metrics.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cassert>

namespace jaytrack {

namespace {

constexpr std::chrono::milliseconds resumeBackoff{150};
constexpr std::chrono::seconds keepAliveInterval{5};
constexpr std::chrono::milliseconds engineConnectTimeout{500};
// Cancel requests to an engine with a rate limit wait for a permit for at most this time.
constexpr std::chrono::seconds cancelPermitTimeout{5};
constexpr std::string_view doneMarker = "[DONE]";
constexpr std::string_view generationHeader = "Engine-Generation";
constexpr std::string_view attachHeader = "Engine-Attach";
constexpr std::string_view refusedHeader = "Engine-Refused";
constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int statusUnavailable = 503;

// The name is part of the handle that each event of a stream carries.
constexpr std::size_t maxGenerationNameBytes = 256;

// Whether the name can be a segment of a path. An engine that can't resume gives none.
bool isGenerationName(std::string_view name)
{
    return name.size() <= maxGenerationNameBytes && name != "." && name != "..";
}

std::string generationUrl(const Engine &engine, std::string_view name)
{
    return "http://" + engine.address + "/v1/generations/" + percentEncoded(name);
}

} // namespace

// Forwards the response of one attempt to the call together with the attempt's ID. The call uses
// the ID to ignore late data of an abandoned attempt.
class GenerationCall::Attempt final : public HttpCallListener
{
public:
    Attempt(std::shared_ptr<GenerationCall> owner, AttemptId number)
        : call(std::move(owner))
        , id(number)
    {
    }

    void onHeaders(int status, std::span<const HttpHeader> headers) override
    {
        this->call->onHeaders(this->id, status, headers);
    }

    bool onData(std::string_view data) override
    {
        return this->call->onData(this->id, this->splitter, data);
    }

    void onEnd(const HttpCallEnd &end) override { this->call->onEnd(this->id, end); }

private:
    std::shared_ptr<GenerationCall> call;
    AttemptId id;
    SseSplitter splitter;
};

GenerationCall::GenerationCall(ServeContext &ctx, CallRegistry &calls, RequestLog &requestLog,
                               Caller requester, GenerationSpec parsedSpec,
                               std::shared_ptr<ResponseWriter> answer)
    : context(ctx)
    , registry(calls)
    , log(requestLog)
    , caller(std::move(requester))
    , spec(std::move(parsedSpec))
    , model(this->caller.document->findModel(this->spec.placementRequest.model))
    , writer(std::move(answer))
    , relay(this->spec.firstIndex)
    , startedAt(ctx.clock.now())
    , lastEventAt(this->startedAt)
    , lastWriteAt(this->startedAt)
    , mayHaveReachedEngine(this->spec.resumed.has_value())
{
    assert(this->model && "the gateway rejects unknown models");
    this->record.id = this->caller.requestId;
    this->record.customer = this->caller.customer->name;
    this->record.subject = this->spec.placementRequest.model;
    this->record.levelSubject = this->spec.placementRequest.model;
    this->record.level = {this->model->firstTokenObjective, this->model->stallObjective,
                          this->model->objectiveShare};
    this->record.revision = this->caller.document->revision;
}

void GenerationCall::start()
{
    this->registry.add(this->shared_from_this());
    if (!this->spec.resumed && this->finishIfBarred())
        return;
    const std::lock_guard lock(this->mutex);
    if (!this->spec.resumed) {
        this->place();
        return;
    }
    this->record.reason = "resumed at the engine that runs it";
    const Engine *generationEngine = this->caller.document->findEngine(this->spec.resumed->engine);
    if (generationEngine == nullptr) {
        this->finish({ResultCode::GenerationGone,
                      "the engine of the generation is no longer listed",
                      {}});
        return;
    }
    this->generationKnown = true;
    this->attach(*generationEngine, true);
}

RequestIdentity GenerationCall::identity() const
{
    return {requestDigest(
                    {"POST", {}, this->spec.path, this->caller.customer->name, this->spec.body}),
            this->spec.parts};
}

bool GenerationCall::finishIfBarred()
{
    if (this->spec.resumed || this->context.crashes.isIdle())
        return false;
    const Duration remaining = this->context.crashes.barredFor(this->identity());
    if (remaining <= Duration(0))
        return false;
    const std::lock_guard lock(this->mutex);
    if (this->phase != Phase::Ended)
        this->finish({ResultCode::RequestBarred, "engines crashed while they ran this request",
                      std::chrono::duration_cast<std::chrono::milliseconds>(remaining)});
    return true;
}

void GenerationCall::withdraw(std::string_view barredDigest)
{
    const RequestIdentity own = this->identity();
    const bool concerned =
            own.digest == barredDigest ||
            std::find(own.parts.begin(), own.parts.end(), barredDigest) != own.parts.end();
    if (this->spec.resumed || !concerned)
        return;
    const std::lock_guard lock(this->mutex);
    if (this->phase == Phase::Ended || this->relay.nextIndex() > this->spec.firstIndex)
        return;
    this->mayHaveReachedEngine = this->mayHaveReachedEngine || this->phase == Phase::Relaying;
    this->cancelAttempt();
    this->releasePlacement(Departure::Cancelled);
    this->finish({ResultCode::RequestBarred, "engines crashed while they ran this request",
                  std::chrono::duration_cast<std::chrono::milliseconds>(
                          this->context.crashes.barredFor(own))});
}

// Returns the model's engines whose rate limit is exhausted at the moment.
std::vector<std::string> GenerationCall::rateLimitedEngines() const
{
    std::vector<std::string> names;
    for (const Engine &candidate : this->caller.document->engines) {
        const bool isCandidate =
                candidate.model == this->spec.placementRequest.model && !candidate.leaving;
        if (isCandidate && this->context.limits.remainingBackoff(candidate.name) > Duration(0))
            names.push_back(candidate.name);
    }
    return names;
}

// If the rate limits of all remaining engines are exhausted, the call waits for the first engine to
// become available, or is refused immediately if that exceeds its maximum wait. Returns true in
// both cases.
bool GenerationCall::deferForRateLimits()
{
    const auto &avoid = this->spec.placementRequest.avoid;
    std::optional<Duration> shortest;
    for (const Engine &candidate : this->caller.document->engines) {
        const bool isCandidate =
                candidate.model == this->spec.placementRequest.model && !candidate.leaving &&
                std::find(avoid.begin(), avoid.end(), candidate.name) == avoid.end();
        if (!isCandidate)
            continue;
        const Duration backoff = this->context.limits.remainingBackoff(candidate.name);
        if (backoff == Duration(0))
            return false;
        shortest = std::min(shortest.value_or(backoff), backoff);
    }
    if (!shortest)
        return false;
    const TimePoint now = this->context.clock.now();
    const GenerationRequest &placementRequest = this->spec.placementRequest;
    const Duration maxWaitTime = placementRequest.mayWait ? placementRequest.maxWait : Duration(0);
    if (now + *shortest > this->startedAt + maxWaitTime) {
        this->finish({ResultCode::Overloaded, "the rate limits of all engines are exhausted",
                      std::chrono::duration_cast<std::chrono::milliseconds>(*shortest)});
        return true;
    }
    this->engine = nullptr;
    this->phase = Phase::Waiting;
    this->resumeAt = now + *shortest;
    return true;
}

void GenerationCall::place()
{
    if (this->deferForRateLimits())
        return;
    this->phase = Phase::Placing;
    GenerationRequest placementRequest = this->spec.placementRequest;
    for (std::string &name : this->rateLimitedEngines())
        placementRequest.avoid.push_back(std::move(name));
    const std::weak_ptr<GenerationCall> self = this->weak_from_this();
    this->context.placement.submit(placementRequest, [self](const Placement &placement) {
        if (const auto call = self.lock())
            call->onPlaced(placement);
    });
}

void GenerationCall::onPlaced(const Placement &placement)
{
    const std::lock_guard lock(this->mutex);
    if (this->phase != Phase::Placing) {
        if (placement.code == ResultCode::Ok) {
            this->context.placement.with([this](PlacementPolicy &policy) {
                policy.departed(this->spec.placementRequest.id, Departure::Cancelled, 0);
            });
        }
        return;
    }
    this->record.reason = placement.reason;
    if (placement.code != ResultCode::Ok) {
        const auto retry =
                std::chrono::duration_cast<std::chrono::milliseconds>(placement.retryAfter);
        const FinalStatus refusal{placement.code, placement.reason, retry};
        this->finish(this->lastLoss.code == ResultCode::Ok ? refusal : this->lastLoss);
        return;
    }
    this->placed = true;
    const Engine *chosen = this->caller.document->findEngine(placement.engine);
    // The policy uses the newest document, whereas the request keeps the document it started with.
    // An engine that was added since is missing there and cannot be used for this request.
    if (chosen == nullptr) {
        this->onAttemptLost(false, {ResultCode::NoTarget,
                                    "the chosen engine is missing from the document of the request",
                                    {}});
        return;
    }
    this->attach(*chosen, false);
}

HttpCall GenerationCall::firstCall(const Engine &chosen) const
{
    HttpCall call;
    call.method = "POST";
    call.url = "http://" + chosen.address + this->spec.path;
    call.headers = {{"Content-Type", "application/json"}, {"X-Request-Id", this->caller.requestId}};
    call.body = this->spec.body;
    call.connectTimeout = engineConnectTimeout;
    return call;
}

HttpCall GenerationCall::resumeCall(const Engine &generationEngine) const
{
    const std::string name =
            this->spec.resumed ? this->spec.resumed->generation : this->relay.generation();
    HttpCall call;
    call.url = generationUrl(generationEngine, name) +
               "/events?from=" + std::to_string(this->relay.nextIndex());
    call.connectTimeout = engineConnectTimeout;
    call.mayRepeat = true;
    return call;
}

void GenerationCall::attach(const Engine &chosen, bool resume)
{
    // If the process was paused just before this check, the choice of engine may be outdated.
    // Sending the request would put work on a target that may have left meanwhile.
    if (!this->context.pauseDetector.mayAct()) {
        this->engine = &chosen;
        this->onAttemptLost(false, {ResultCode::AsleepTooLong, "", std::chrono::seconds(1)});
        return;
    }
    this->engine = &chosen;
    this->phase = Phase::AwaitingPermit;
    const std::weak_ptr<GenerationCall> self = this->weak_from_this();
    const auto later = [self, resume](const Permit &permit) {
        const auto call = self.lock();
        if (!call)
            return;
        const std::lock_guard lock(call->mutex);
        if (call->phase == Phase::AwaitingPermit)
            call->onPermit(permit, resume);
    };
    if (const auto permit = this->context.limits.request(chosen.name, later))
        this->onPermit(*permit, resume);
}

void GenerationCall::onPermit(const Permit &permit, bool resume)
{
    if (permit.granted) {
        this->begin(resume);
        return;
    }
    logPermitDenied(this->caller.requestId, this->engine->name, permit);
    if (resume) {
        // The generation exists on this engine only.
        this->phase = Phase::Waiting;
        this->resumeAt = this->context.clock.now() + permit.wait;
        return;
    }
    this->releasePlacement(Departure::Cancelled);
    this->engine = nullptr;
    this->place();
}

void GenerationCall::begin(bool resume)
{
    this->record.target = this->engine->name;
    this->phase = Phase::Relaying;
    this->headersAccepted = false;
    this->errorStatus = 0;
    this->attempt = this->relay.beginAttempt();
    this->lastEventAt = this->context.clock.now();
    this->attachedAt = this->lastEventAt;
    this->paused.store(false);
    const auto listener = std::make_shared<Attempt>(this->shared_from_this(), this->attempt);
    this->httpCall.store(this->context.targets.start(
            resume ? this->resumeCall(*this->engine) : this->firstCall(*this->engine), listener));
}

void GenerationCall::onHeaders(AttemptId from, int status, std::span<const HttpHeader> headers)
{
    const std::lock_guard lock(this->mutex);
    if (this->phase != Phase::Relaying || !this->relay.isCurrent(from))
        return;
    this->lastEventAt = this->context.clock.now();
    updateTargetLimit(this->context.limits, this->engine->name, {status, headers},
                      this->lastEventAt - this->attachedAt);
    if (status != statusOk) {
        const bool refused = !findHeader(headers, refusedHeader).empty();
        this->errorStatus = status == statusUnavailable && !refused ? statusOk + 300 : status;
        return;
    }
    const std::string name(findHeader(headers, generationHeader));
    if (!isGenerationName(name)) {
        this->onAttemptLost(true, {ResultCode::TargetGarbled,
                                   "the engine named its generation in an unusable way",
                                   {}});
        return;
    }
    if (this->relay.onGeneration(from, name) != FrameVerdict::Pass) {
        this->onAttemptLost(true, {ResultCode::TargetGarbled,
                                   "the engine returned a different generation than before",
                                   {}});
        return;
    }
    this->headersAccepted = true;
    this->generationKnown = !name.empty();
    this->attachEpoch = findHeader(headers, attachHeader);
    const StreamHandle body{this->engine->name, name, this->caller.customer->name,
                            this->spec.placementRequest.model};
    this->handle = body.seal(this->context.keys);
}

// Limits the memory that a slow caller's stream uses in this process. Declining data stops reading
// from the engine's connection until enough has been sent to the caller.
bool GenerationCall::pauseIfBufferFull()
{
    const std::size_t maxUnsentBytes = this->context.settings.streamBufferBytes;
    if (this->discarding || this->unsentBytes.load() <= maxUnsentBytes)
        return false;
    this->paused.store(true);
    // The last bytes may have been sent between the two lines above. In that case onWritten() would
    // not be called again to resume the stream.
    if (this->unsentBytes.load() <= maxUnsentBytes / 2 && this->paused.exchange(false))
        return false;
    return true;
}

bool GenerationCall::onData(AttemptId from, SseSplitter &splitter, std::string_view data)
{
    const std::lock_guard lock(this->mutex);
    if (this->phase != Phase::Relaying || !this->relay.isCurrent(from) || !this->headersAccepted)
        return true;
    if (this->callerLost.load() && !this->discarding) {
        this->discarding = true;
        this->callerLostAt = this->context.clock.now();
    }
    if (this->pauseIfBufferFull())
        return false;
    std::string out;
    Signal signal = Signal::None;
    const bool good = splitter.feed(data, [&](const SseEvent &event) {
        signal = this->onEvent(from, event, out);
        return signal == Signal::None;
    });
    // Tokens before the signal are complete and in order, so they are written first.
    if (!out.empty() && !this->discarding)
        this->writeToCaller(std::move(out));
    if (!good && signal == Signal::None)
        signal = Signal::Garbled;
    this->handleSignal(signal);
    return true;
}

void GenerationCall::handleSignal(Signal signal)
{
    switch (signal) {
    case Signal::None:
        return;
    case Signal::Done:
        this->complete();
        return;
    case Signal::Superseded:
        // The caller has resumed this stream at another instance.
        this->discarding = true;
        this->releasePlacement(Departure::Cancelled);
        this->cancelAttempt();
        this->finish({ResultCode::ResumedElsewhere, "", {}});
        return;
    case Signal::Failed:
        this->generationKnown = false;
        this->onAttemptLost(true, {ResultCode::TargetLost, "the engine ended the generation", {}});
        return;
    case Signal::Garbled:
        this->onAttemptLost(
                true, {ResultCode::TargetGarbled, "the engine sent a malformed event stream", {}});
        return;
    }
}

// Only new tokens count as progress. An engine that sends nothing but comments or tokens that were
// received before is as useless to the caller as a silent one.
void GenerationCall::recordProgress()
{
    const TimePoint now = this->context.clock.now();
    this->record.longestStall = std::max(this->record.longestStall, now - this->lastEventAt);
    if (this->record.tokens == 0) {
        this->record.firstByte = now - this->startedAt;
        this->context.crashes.recordAnswerBegun(this->spec.placementRequest.model);
    }
    this->lastEventAt = now;
}

GenerationCall::Signal GenerationCall::onEvent(AttemptId from, const SseEvent &event,
                                               std::string &out)
{
    if (event.data == doneMarker)
        return Signal::Done;
    if (event.name == "superseded")
        return Signal::Superseded;
    if (event.name == "error")
        return Signal::Failed;
    return this->onToken(from, event, out);
}

GenerationCall::Signal GenerationCall::onToken(AttemptId from, const SseEvent &event,
                                               std::string &out)
{
    const std::optional<std::uint64_t> parsedIndex = parseIndex(event.id);
    const std::uint64_t index = parsedIndex ? *parsedIndex : this->relay.nextIndex();
    switch (this->relay.onToken(from, index)) {
    case FrameVerdict::Drop:
        this->context.metrics.count("jaytrack_frames_dropped_total");
        return Signal::None;
    case FrameVerdict::Broken:
        return Signal::Garbled;
    case FrameVerdict::Pass:
        break;
    }
    this->recordProgress();
    ++this->record.tokens;
    if (!this->spec.wantsStream)
        return this->collect(event.data) ? Signal::None : Signal::Garbled;
    const std::string cursor = Cursor{this->handle, index}.text();
    out += formatSseEvent({cursor, {}, event.data});
    return Signal::None;
}

bool GenerationCall::collect(std::string_view data)
{
    const std::optional<GeneratedPiece> piece = decodePiece(data, this->spec.chat);
    if (!piece)
        return false;
    this->collected += piece->text;
    if (!piece->finishReason.empty())
        this->finishReason = piece->finishReason;
    return this->collected.size() <= this->context.settings.maxAnswerBytes;
}

void GenerationCall::beginStream()
{
    this->bodyStarted = true;
    const std::vector<HttpHeader> headers = {
            {"Content-Type", "text/event-stream"},
            {"Cache-Control", "no-cache"},
            {std::string(requestHeader), this->caller.requestId},
            {std::string(outcomeHeader), "streaming"},
            {"Jaytrack-Stream", "/v1/streams/" + this->handle},
    };
    this->writer->begin(statusOk, headers);
}

void GenerationCall::writeToCaller(std::string text)
{
    if (!this->bodyStarted)
        this->beginStream();
    this->lastWriteAt = this->context.clock.now();
    const std::size_t bytes = text.size();
    this->unsentBytes.fetch_add(bytes);
    const std::weak_ptr<GenerationCall> self = this->weak_from_this();
    this->writer->write(std::move(text), [self, bytes](bool sent) {
        if (const auto call = self.lock())
            call->onWritten(bytes, sent);
    });
}

// Called from the server's threads, possibly while another thread holds the lock. Uses atomics
// only.
void GenerationCall::onWritten(std::size_t bytes, bool sent)
{
    const std::size_t remaining = this->unsentBytes.fetch_sub(bytes) - bytes;
    if (!sent)
        this->callerLost.store(true);
    const bool canResume = !sent || remaining <= this->context.settings.streamBufferBytes / 2;
    if (canResume && this->paused.exchange(false))
        this->context.targets.resume(this->httpCall.load());
}

void GenerationCall::onEnd(AttemptId from, const HttpCallEnd &end)
{
    const std::lock_guard lock(this->mutex);
    if (this->phase != Phase::Relaying || !this->relay.isCurrent(from))
        return;
    if (this->errorStatus == statusUnavailable) {
        // The engine itself reports that it did not accept the request.
        this->onAttemptLost(false, {ResultCode::NoTarget, "the engine refused the request",
                                    std::chrono::seconds(1)});
        return;
    }
    if (this->errorStatus == statusNotFound && this->generationKnown) {
        this->generationKnown = false;
        this->onAttemptLost(true, {ResultCode::GenerationGone, "", {}});
        return;
    }
    if (this->errorStatus >= 400 && this->errorStatus < 500) {
        this->releasePlacement(Departure::Refused);
        this->finish({ResultCode::TargetRefused,
                      "the engine responded with status " + std::to_string(this->errorStatus),
                      {}});
        return;
    }
    this->reportUnansweredLoss(end);
    const FinalStatus why{end.maySentBytes ? ResultCode::TargetLost : ResultCode::TargetUnreachable,
                          end.whole ? "the engine closed the stream before its end" : end.error,
                          std::chrono::seconds(1)};
    this->onAttemptLost(end.maySentBytes, why);
}

// Reports a connection that was lost before the first token. CrashWatch determines whether the
// engine crashed; if it did, a request without any token may have caused the crash.
void GenerationCall::reportUnansweredLoss(const HttpCallEnd &end)
{
    const bool unanswered = this->relay.nextIndex() == this->spec.firstIndex;
    if (end.whole || !end.maySentBytes || !unanswered || this->spec.resumed ||
        this->engine->leaving)
        return;
    ++this->unansweredLosses;
    this->context.crashes.recordUnansweredLoss({this->engine->name, this->engine->address,
                                                this->engine->model, this->identity(),
                                                this->attachedAt});
}

// Whether the engine that was lost without an answer may have crashed because of a part of the
// prompt, so that the next one may crash too.
bool GenerationCall::mayCrashOthers() const
{
    return this->unansweredLosses > 0 &&
           this->context.crashes.hasUnknownPart({{}, this->spec.parts},
                                                this->spec.placementRequest.model);
}

void GenerationCall::onAttemptLost(bool maySentBytes, const FinalStatus &why)
{
    LostAttempt attemptLost;
    attemptLost.maySentBytes = maySentBytes;
    attemptLost.engineResumes = this->engine != nullptr && this->engine->can.resume;
    attemptLost.generationKnown = this->generationKnown;
    // A newer revision that has not reached this instance may declare the model not repeatable.
    attemptLost.repeatable =
            this->model->repeatable && !this->spec.resumed && !this->context.configMayBeStale();
    attemptLost.recoveries = this->recoveries;
    RecoveryStep step = this->relay.recover(attemptLost);
    if (step == RecoveryStep::OtherEngine && this->spec.resumed)
        step = RecoveryStep::Resume;
    ++this->recoveries;
    this->lastLoss = why;
    const bool sent = maySentBytes || this->generationKnown;
    this->mayHaveReachedEngine |= sent;
    this->cancelAttempt();
    switch (step) {
    case RecoveryStep::Resume:
        this->phase = Phase::Waiting;
        this->resumeAt = this->context.clock.now() + this->recoveries * resumeBackoff;
        return;
    case RecoveryStep::OtherEngine:
    case RecoveryStep::Restart:
        if (sent)
            this->cancelAtEngine();
        this->releasePlacement(sent ? Departure::Lost : Departure::Refused);
        this->relay = StreamRelay(0);
        this->generationKnown = false;
        this->collected.clear();
        if (this->engine != nullptr)
            this->spec.placementRequest.avoid.push_back(this->engine->name);
        this->phase = Phase::Waiting;
        this->resumeAt = this->context.clock.now();
        if (this->unansweredLosses >= lossesBeforePause || this->mayCrashOthers())
            this->resumeAt += verdictDelay;
        this->engine = nullptr;
        return;
    case RecoveryStep::GiveUp:
        this->releasePlacement(Departure::Lost);
        this->finish(why);
        return;
    }
}

// Cancels the current attempt. Its late data is ignored because the attempt ID has changed.
void GenerationCall::cancelAttempt()
{
    const HttpCallId call = this->httpCall.exchange(0);
    if (call != 0)
        this->context.targets.cancel(call);
    this->attempt = this->relay.beginAttempt();
}

// The epoch makes the engine ignore this request if another instance has attached since. In that
// case the caller has resumed its stream there, and this instance must not cancel it.
void GenerationCall::cancelAtEngine()
{
    if (this->engine == nullptr || !this->engine->can.cancel || this->relay.generation().empty())
        return;
    if (!this->context.pauseDetector.mayAct())
        return;
    HttpCall call;
    call.method = "DELETE";
    call.url = generationUrl(*this->engine, this->relay.generation());
    call.headers = {{std::string(attachHeader), this->attachEpoch}};
    call.totalTimeout = std::chrono::seconds(5);
    call.mayRepeat = true;
    ServeContext *serveContext = &this->context;
    const auto send = [serveContext, call = std::move(call), id = this->caller.requestId,
                       name = this->engine->name](bool permitted) {
        static constexpr std::size_t answerBound = 4096;
        if (permitted)
            fetchLater(serveContext->targets, call, answerBound, [](const FetchedAnswer &) {});
        else
            logEvent(Severity::Warning, "cancel_dropped", {{"id", id}, {"target", name}});
    };
    this->context.limits.requestWithin(this->engine->name, cancelPermitTimeout, send);
}

void GenerationCall::releasePlacement(Departure how)
{
    if (!this->placed)
        return;
    this->placed = false;
    const auto produced = static_cast<std::uint32_t>(this->relay.nextIndex());
    this->context.placement.with([this, how, produced](PlacementPolicy &policy) {
        policy.departed(this->spec.placementRequest.id, how, produced);
    });
    // Each placement gets a new ID, so that late updates of the old one cannot affect the new one.
    this->spec.placementRequest.id = this->context.nextRequest.fetch_add(1);
}

void GenerationCall::sweep()
{
    const std::lock_guard lock(this->mutex);
    const TimePoint now = this->context.clock.now();
    if (this->phase == Phase::Waiting && now >= this->resumeAt)
        this->continueAfterWait();
    this->sweepCaller(now);
    this->sweepEngine(now);
}

void GenerationCall::continueAfterWait()
{
    if (this->engine != nullptr) {
        this->attach(*this->engine, true);
        return;
    }
    this->place();
}

void GenerationCall::sweepCaller(TimePoint now)
{
    if (this->phase == Phase::Ended)
        return;
    if (this->callerLost.load() && !this->discarding) {
        this->discarding = true;
        this->callerLostAt = now;
    }
    if (this->discarding && now - this->callerLostAt > this->context.settings.abandonGrace) {
        this->abandon();
        return;
    }
    const bool idle =
            this->bodyStarted && !this->discarding && now - this->lastWriteAt > keepAliveInterval;
    if (idle && this->unsentBytes.load() == 0)
        this->writeToCaller(": waiting\n\n");
}

void GenerationCall::abandon()
{
    this->cancelAttempt();
    this->cancelAtEngine();
    this->releasePlacement(Departure::Cancelled);
    this->finish({ResultCode::CallerLeft, "", {}});
}

void GenerationCall::sweepEngine(TimePoint now)
{
    if (this->phase != Phase::Relaying)
        return;
    // While the stream is paused for a slow caller, this instance reads nothing from the engine, so
    // the engine must not be timed out.
    if (this->paused.load())
        this->lastEventAt = now;
    if (now - this->lastEventAt > this->model->silenceTimeout) {
        this->onAttemptLost(true, {ResultCode::TargetTimeout,
                                   "the engine sent no new token within the silence time-out",
                                   {}});
        return;
    }
    if (!this->placed)
        return;
    const auto produced = static_cast<std::uint32_t>(this->relay.nextIndex());
    this->context.placement.with([this, produced](PlacementPolicy &policy) {
        policy.progress(this->spec.placementRequest.id, produced);
    });
}

void GenerationCall::abort()
{
    const std::lock_guard lock(this->mutex);
    if (this->phase == Phase::Ended)
        return;
    logEvent(Severity::Warning, "request_cut", {{"id", this->caller.requestId}});
    this->cancelAttempt();
    this->finish(
            {ResultCode::TargetLost, "the instance stopped without waiting for the request", {}});
}

// The digest of the whole request is needed only while some request is suspected.
void GenerationCall::reportSafeRun()
{
    const RequestIdentity withoutDigest{{}, this->spec.parts};
    const TimePoint firstToken = this->startedAt + this->record.firstByte;
    this->context.crashes.recordSafeRun(
            {this->context.crashes.isIdle() ? withoutDigest : this->identity(), this->engine->model,
             std::max(this->attachedAt, firstToken)});
}

void GenerationCall::complete()
{
    if (!this->spec.resumed && this->engine != nullptr)
        this->reportSafeRun();
    this->releasePlacement(Departure::Finished);
    this->cancelAttempt();
    this->finish({ResultCode::Ok, "", {}});
}

void GenerationCall::finish(const FinalStatus &requestedStatus)
{
    assert(this->phase != Phase::Ended && "finish() must be called only once");
    FinalStatus finalStatus = requestedStatus;
    // If an earlier attempt may have reached an engine, a refusal of the last attempt must not be
    // reported as "not run".
    if (this->mayHaveReachedEngine && describe(finalStatus.code).outcome == Outcome::NotRun)
        finalStatus.code = ResultCode::TargetLost;
    this->phase = Phase::Ended;
    this->record.code = finalStatus.code;
    this->record.recoveries = this->recoveries;
    this->record.total = this->context.clock.now() - this->startedAt;
    if (!finalStatus.detail.empty())
        this->record.reason +=
                this->record.reason.empty() ? finalStatus.detail : "; " + finalStatus.detail;
    if (this->spec.wantsStream && (this->bodyStarted || finalStatus.code == ResultCode::Ok)) {
        this->finishStream(finalStatus);
    } else if (finalStatus.code == ResultCode::Ok) {
        std::vector<HttpHeader> headers = outcomeHeaders(finalStatus.code, this->caller.requestId);
        headers.push_back({"Content-Type", "application/json"});
        this->writer->respond(statusOk, headers, this->collectedBody());
    } else {
        answerError(*this->writer, finalStatus, this->caller.requestId);
    }
    this->caller.admission.reset();
    this->log.add(this->record);
    this->registry.remove(this);
}

// Clients must be able to tell a broken stream from a complete one, so only a complete stream ends
// with the marker that clients wait for.
void GenerationCall::finishStream(const FinalStatus &finalStatus)
{
    if (!this->bodyStarted)
        this->beginStream();
    const ResultCodeInfo &info = describe(finalStatus.code);
    std::string last = ": outcome=" + std::string(outcomeName(info.outcome)) +
                       " code=" + std::to_string(static_cast<int>(finalStatus.code)) + "\n\n";
    if (finalStatus.code == ResultCode::Ok)
        last += formatSseEvent({{}, {}, doneMarker});
    else
        last += formatSseEvent({{}, "error", errorBody(finalStatus, this->caller.requestId)});
    this->writer->write(std::move(last), nullptr);
    this->writer->finish();
}

std::string GenerationCall::collectedBody() const
{
    nlohmann::json choice = {{"index", 0}, {"finish_reason", this->finishReason}};
    if (this->spec.chat)
        choice["message"] = {{"role", "assistant"}, {"content", this->collected}};
    else
        choice["text"] = this->collected;
    const nlohmann::json body = {
            {"id", this->caller.requestId},
            {"object", this->spec.chat ? "chat.completion" : "text_completion"},
            {"model", this->spec.placementRequest.model},
            {"choices", nlohmann::json::array({choice})},
            {"usage",
             {{"prompt_tokens", this->spec.placementRequest.promptTokens},
              {"completion_tokens", this->record.tokens},
              {"total_tokens", this->spec.placementRequest.promptTokens + this->record.tokens}}}};
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void CallRegistry::add(const std::shared_ptr<GenerationCall> &call)
{
    const std::lock_guard lock(this->mutex);
    this->calls.emplace(call.get(), call);
}

void CallRegistry::remove(const GenerationCall *call)
{
    const std::lock_guard lock(this->mutex);
    this->calls.erase(call);
}

std::vector<std::shared_ptr<GenerationCall>> CallRegistry::all() const
{
    const std::lock_guard lock(this->mutex);
    std::vector<std::shared_ptr<GenerationCall>> list;
    list.reserve(this->calls.size());
    for (const auto &[key, call] : this->calls)
        list.push_back(call);
    return list;
}

std::size_t CallRegistry::size() const
{
    const std::lock_guard lock(this->mutex);
    return this->calls.size();
}

} // namespace jaytrack
