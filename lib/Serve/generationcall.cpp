#include "jaytrack/Serve/generationcall.h"

#include "jaytrack/Cluster/pausedetector.h"
#include "jaytrack/Config/settings.h"
#include "jaytrack/Quarantine/crashwatch.h"
#include "jaytrack/Quarantine/requestdigest.h"
#include "jaytrack/Serve/limitwords.h"
#include "jaytrack/Serve/placementdesk.h"
#include "jaytrack/Stream/sse.h"
#include "jaytrack/Support/log.h"
#include "jaytrack/Support/metrics.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cassert>

namespace jaytrack {

namespace {

constexpr std::chrono::milliseconds resumeBackoff{150};
constexpr std::chrono::seconds keepAliveGap{5};
constexpr std::chrono::milliseconds connectBound{500};
// An engine that names a limit takes the order to cancel in its turn, but not for ever.
constexpr std::chrono::seconds cancelPatience{5};
constexpr std::string_view doneMark = "[DONE]";
constexpr std::string_view generationHeader = "Engine-Generation";
constexpr std::string_view attachHeader = "Engine-Attach";
constexpr std::string_view refusedHeader = "Engine-Refused";
constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int statusUnavailable = 503;

} // namespace

// Receives one attempt's answer and hands it to the call with the attempt's number, by which the
// call recognises what comes late from an attempt that it has given up.
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
                               Caller who, GenerationOrder what,
                               std::shared_ptr<ResponseWriter> answer)
    : context(ctx)
    , registry(calls)
    , log(requestLog)
    , caller(std::move(who))
    , order(std::move(what))
    , model(this->caller.document->findModel(this->order.ask.model))
    , writer(std::move(answer))
    , relay(this->order.firstIndex)
    , startedAt(ctx.clock.now())
    , lastEventAt(this->startedAt)
    , lastWriteAt(this->startedAt)
    , everSent(this->order.resumed.has_value())
{
    assert(this->model && "the gateway checked the model");
    this->record.id = this->caller.requestId;
    this->record.customer = this->caller.customer->name;
    this->record.subject = this->order.ask.model;
    this->record.levelSubject = this->order.ask.model;
    this->record.level = {this->model->firstTokenObjective, this->model->stallObjective,
                          this->model->objectiveShare};
    this->record.revision = this->caller.document->revision;
}

void GenerationCall::start()
{
    this->registry.add(this->shared_from_this());
    if (!this->order.resumed && this->refusedAsBarred())
        return;
    const std::lock_guard lock(this->mutex);
    if (!this->order.resumed) {
        this->place();
        return;
    }
    this->record.reason = "resumed at its engine";
    const Engine *holder = this->caller.document->findEngine(this->order.resumed->engine);
    if (holder == nullptr) {
        this->finish({ResultCode::GenerationGone, "its engine is no longer listed", {}});
        return;
    }
    this->generationKnown = true;
    this->attach(*holder, true);
}

std::string GenerationCall::digest() const
{
    return requestDigest(
            {"POST", {}, this->order.path, this->caller.customer->name, this->order.body});
}

bool GenerationCall::refusedAsBarred()
{
    if (this->order.resumed || this->context.crashes.isIdle())
        return false;
    const Duration left = this->context.crashes.barredFor(this->digest());
    if (left <= Duration(0))
        return false;
    const std::lock_guard lock(this->mutex);
    if (this->phase != Phase::Ended)
        this->finish({ResultCode::RequestBarred, "engines ended under it",
                      std::chrono::duration_cast<std::chrono::milliseconds>(left)});
    return true;
}

void GenerationCall::withdraw(std::string_view barredDigest)
{
    if (this->order.resumed || this->digest() != barredDigest)
        return;
    const std::lock_guard lock(this->mutex);
    if (this->phase == Phase::Ended || this->relay.nextIndex() > this->order.firstIndex)
        return;
    this->everSent = this->everSent || this->phase == Phase::Relaying;
    this->dropAttempt();
    this->leaveEngine(Departure::Cancelled);
    this->finish({ResultCode::RequestBarred, "engines ended under it",
                  std::chrono::duration_cast<std::chrono::milliseconds>(
                          this->context.crashes.barredFor(barredDigest))});
}

// Engines of the model that name limits which are used up for now.
std::vector<std::string> GenerationCall::restingEngines() const
{
    std::vector<std::string> names;
    for (const Engine &one : this->caller.document->engines) {
        const bool fits = one.model == this->order.ask.model && !one.leaving;
        if (fits && this->context.limits.rest(one.name) > Duration(0))
            names.push_back(one.name);
    }
    return names;
}

// Where all engines that are left name limits, the call waits for the first of them if it may, or
// is refused at once.
bool GenerationCall::waitsForLimits()
{
    const auto &avoid = this->order.ask.avoid;
    std::optional<Duration> shortest;
    for (const Engine &one : this->caller.document->engines) {
        const bool fits = one.model == this->order.ask.model && !one.leaving &&
                          std::find(avoid.begin(), avoid.end(), one.name) == avoid.end();
        if (!fits)
            continue;
        const Duration rest = this->context.limits.rest(one.name);
        if (rest == Duration(0))
            return false;
        shortest = std::min(shortest.value_or(rest), rest);
    }
    if (!shortest)
        return false;
    const TimePoint now = this->context.clock.now();
    const GenerationRequest &ask = this->order.ask;
    const Duration patience = ask.mayWait ? ask.maxWait : Duration(0);
    if (now + *shortest > this->startedAt + patience) {
        this->finish({ResultCode::Overloaded, "the engines name limits",
                      std::chrono::duration_cast<std::chrono::milliseconds>(*shortest)});
        return true;
    }
    this->engine = nullptr;
    this->phase = Phase::Pausing;
    this->resumeAt = now + *shortest;
    return true;
}

void GenerationCall::place()
{
    if (this->waitsForLimits())
        return;
    this->phase = Phase::Placing;
    GenerationRequest ask = this->order.ask;
    for (std::string &name : this->restingEngines())
        ask.avoid.push_back(std::move(name));
    const std::weak_ptr<GenerationCall> self = this->weak_from_this();
    this->context.placement.submit(ask, [self](const Placement &placement) {
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
                policy.departed(this->order.ask.id, Departure::Cancelled, 0);
            });
        }
        return;
    }
    this->record.reason = placement.reason;
    if (placement.code != ResultCode::Ok) {
        const auto retry =
                std::chrono::duration_cast<std::chrono::milliseconds>(placement.retryAfter);
        const Ending refusal{placement.code, placement.reason, retry};
        this->finish(this->lastLoss.code == ResultCode::Ok ? refusal : this->lastLoss);
        return;
    }
    this->placed = true;
    const Engine *chosen = this->caller.document->findEngine(placement.engine);
    // The policy follows the newest document, this request stays under its own; an engine that is
    // new since then is not known here and cannot be used for it.
    if (chosen == nullptr) {
        this->lost(false, {ResultCode::NoTarget, "the engine is newer than the request", {}});
        return;
    }
    this->attach(*chosen, false);
}

HttpCall GenerationCall::firstCall(const Engine &chosen) const
{
    HttpCall call;
    call.method = "POST";
    call.url = "http://" + chosen.address + this->order.path;
    call.headers = {{"Content-Type", "application/json"}, {"X-Request-Id", this->caller.requestId}};
    call.body = this->order.body;
    call.connectTimeout = connectBound;
    return call;
}

HttpCall GenerationCall::resumeCall(const Engine &holder) const
{
    const std::string name =
            this->order.resumed ? this->order.resumed->generation : this->relay.generation();
    HttpCall call;
    call.url = "http://" + holder.address + "/v1/generations/" + name +
               "/events?from=" + std::to_string(this->relay.nextIndex());
    call.connectTimeout = connectBound;
    call.mayRepeat = true;
    return call;
}

void GenerationCall::attach(const Engine &chosen, bool resume)
{
    // A process that was stopped just before this line wakes up with an old choice of engine in
    // its hands. Sending it would put work on a target that may have left meanwhile.
    if (!this->context.wakefulness.mayAct()) {
        this->engine = &chosen;
        this->lost(false, {ResultCode::AsleepTooLong, "", std::chrono::seconds(1)});
        return;
    }
    this->engine = &chosen;
    this->phase = Phase::Asking;
    const std::weak_ptr<GenerationCall> self = this->weak_from_this();
    const auto later = [self, resume](const Permit &permit) {
        const auto call = self.lock();
        if (!call)
            return;
        const std::lock_guard lock(call->mutex);
        if (call->phase == Phase::Asking)
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
        // Only this engine has the generation.
        this->phase = Phase::Pausing;
        this->resumeAt = this->context.clock.now() + permit.wait;
        return;
    }
    this->leaveEngine(Departure::Cancelled);
    this->engine = nullptr;
    this->place();
}

void GenerationCall::begin(bool resume)
{
    this->record.target = this->engine->name;
    this->phase = Phase::Relaying;
    this->headersGood = false;
    this->refusedStatus = 0;
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
    hearTargetLimit(this->context.limits, this->engine->name, {status, headers},
                    this->lastEventAt - this->attachedAt);
    if (status != statusOk) {
        const bool refused = !findHeader(headers, refusedHeader).empty();
        this->refusedStatus = status == statusUnavailable && !refused ? statusOk + 300 : status;
        return;
    }
    const std::string name(findHeader(headers, generationHeader));
    if (this->relay.onGeneration(from, name) != FrameVerdict::Pass) {
        this->lost(true, {ResultCode::TargetGarbled, "another generation under one name", {}});
        return;
    }
    this->headersGood = true;
    this->generationKnown = !name.empty();
    this->attachEpoch = findHeader(headers, attachHeader);
    const StreamHandle body{this->engine->name, name, this->caller.customer->name,
                            this->order.ask.model};
    this->handle = body.seal(this->context.keys);
}

// A slow caller must not make this process hold its whole stream. Declining data stops reading
// from the engine's connection until enough has left for the caller.
bool GenerationCall::mustPause()
{
    const std::size_t high = this->context.settings.streamBufferBytes;
    if (this->discarding || this->unsentBytes.load() <= high)
        return false;
    this->paused.store(true);
    // The last bytes may have left between the two lines above; nobody would resume then.
    if (this->unsentBytes.load() <= high / 2 && this->paused.exchange(false))
        return false;
    return true;
}

bool GenerationCall::onData(AttemptId from, SseSplitter &splitter, std::string_view data)
{
    const std::lock_guard lock(this->mutex);
    if (this->phase != Phase::Relaying || !this->relay.isCurrent(from) || !this->headersGood)
        return true;
    if (this->callerLost.load() && !this->discarding) {
        this->discarding = true;
        this->lostAt = this->context.clock.now();
    }
    if (this->mustPause())
        return false;
    this->noteProgress();
    std::string out;
    Signal signal = Signal::None;
    const bool good = splitter.feed(data, [&](const SseEvent &event) {
        signal = this->onEvent(from, event, out);
        return signal == Signal::None;
    });
    // What came before the signal is passed on first: it is whole and in order.
    if (!out.empty() && !this->discarding)
        this->passOn(std::move(out));
    if (!good && signal == Signal::None)
        signal = Signal::Garbled;
    this->act(signal);
    return true;
}

void GenerationCall::act(Signal signal)
{
    switch (signal) {
    case Signal::None:
        return;
    case Signal::Done:
        this->complete();
        return;
    case Signal::Superseded:
        // Another instance goes on with this stream for the caller, who has left this one.
        this->discarding = true;
        this->leaveEngine(Departure::Cancelled);
        this->dropAttempt();
        this->finish({ResultCode::ResumedElsewhere, "", {}});
        return;
    case Signal::Failed:
        this->generationKnown = false;
        this->lost(true, {ResultCode::TargetLost, "the engine ended the generation", {}});
        return;
    case Signal::Garbled:
        this->lost(true, {ResultCode::TargetGarbled, "the event stream breaks its format", {}});
        return;
    }
}

void GenerationCall::noteProgress()
{
    const TimePoint now = this->context.clock.now();
    this->record.longestStall = std::max(this->record.longestStall, now - this->lastEventAt);
    if (this->record.tokens == 0)
        this->record.firstByte = now - this->startedAt;
    this->lastEventAt = now;
}

GenerationCall::Signal GenerationCall::onEvent(AttemptId from, const SseEvent &event,
                                               std::string &out)
{
    if (event.data == doneMark)
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
    const std::optional<std::uint64_t> told = parseIndex(event.id);
    const std::uint64_t index = told ? *told : this->relay.nextIndex();
    switch (this->relay.onToken(from, index)) {
    case FrameVerdict::Drop:
        this->context.metrics.count("jaytrack_frames_dropped_total");
        return Signal::None;
    case FrameVerdict::Broken:
        return Signal::Garbled;
    case FrameVerdict::Pass:
        break;
    }
    ++this->record.tokens;
    if (!this->order.wantsStream)
        return this->collect(event.data) ? Signal::None : Signal::Garbled;
    const std::string cursor = Cursor{this->handle, index}.text();
    out += formatSseEvent({cursor, {}, event.data});
    return Signal::None;
}

bool GenerationCall::collect(std::string_view data)
{
    const auto chunk = nlohmann::json::parse(data, nullptr, false);
    if (!chunk.is_object() || !chunk.contains("choices") || chunk["choices"].empty())
        return false;
    const auto &choice = chunk["choices"][0];
    if (this->order.chat) {
        const auto delta = choice.value("delta", nlohmann::json::object());
        this->collected += delta.value("content", std::string());
    } else {
        this->collected += choice.value("text", std::string());
    }
    if (choice.contains("finish_reason") && choice["finish_reason"].is_string())
        this->finishReason = choice["finish_reason"].get<std::string>();
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

void GenerationCall::passOn(std::string text)
{
    if (!this->bodyStarted)
        this->beginStream();
    this->lastWriteAt = this->context.clock.now();
    const std::size_t bytes = text.size();
    this->unsentBytes.fetch_add(bytes);
    const std::weak_ptr<GenerationCall> self = this->weak_from_this();
    this->writer->write(std::move(text), [self, bytes](bool sent) {
        if (const auto call = self.lock())
            call->written(bytes, sent);
    });
}

// Called from the server's threads, perhaps while another thread holds the lock; uses atomics only.
void GenerationCall::written(std::size_t bytes, bool sent)
{
    const std::size_t left = this->unsentBytes.fetch_sub(bytes) - bytes;
    if (!sent)
        this->callerLost.store(true);
    const bool roomAgain = !sent || left <= this->context.settings.streamBufferBytes / 2;
    if (roomAgain && this->paused.exchange(false))
        this->context.targets.resume(this->httpCall.load());
}

void GenerationCall::onEnd(AttemptId from, const HttpCallEnd &end)
{
    const std::lock_guard lock(this->mutex);
    if (this->phase != Phase::Relaying || !this->relay.isCurrent(from))
        return;
    if (this->refusedStatus == statusUnavailable) {
        // The engine's own word that it took nothing on.
        this->lost(false, {ResultCode::NoTarget, "the engine refused", std::chrono::seconds(1)});
        return;
    }
    if (this->refusedStatus == statusNotFound && this->generationKnown) {
        this->generationKnown = false;
        this->lost(true, {ResultCode::GenerationGone, "", {}});
        return;
    }
    if (this->refusedStatus >= 400 && this->refusedStatus < 500) {
        this->leaveEngine(Departure::Refused);
        this->finish({ResultCode::TargetRefused,
                      "the engine answered " + std::to_string(this->refusedStatus),
                      {}});
        return;
    }
    this->noteLostUnanswered(end);
    const Ending why{end.maySentBytes ? ResultCode::TargetLost : ResultCode::TargetUnreachable,
                     end.whole ? "the stream ended early" : end.error, std::chrono::seconds(1)};
    this->lost(end.maySentBytes, why);
}

// Whether the engine ended is found out elsewhere; if it did, a request of which no token had come
// may be what ended it.
void GenerationCall::noteLostUnanswered(const HttpCallEnd &end)
{
    const bool unanswered = this->relay.nextIndex() == this->order.firstIndex;
    if (end.whole || !end.maySentBytes || !unanswered || this->order.resumed ||
        this->engine->leaving)
        return;
    ++this->unansweredLosses;
    this->context.crashes.lostUnanswered(this->engine->name, this->engine->address, this->digest(),
                                         this->attachedAt);
}

void GenerationCall::lost(bool maySentBytes, const Ending &why)
{
    LostAttempt attemptLost;
    attemptLost.maySentBytes = maySentBytes;
    attemptLost.engineResumes = this->engine != nullptr && this->engine->can.resume;
    attemptLost.generationKnown = this->generationKnown;
    // The model may have been declared not repeatable since the last revision that reached us.
    attemptLost.repeatable =
            this->model->repeatable && !this->order.resumed && !this->context.cautious();
    attemptLost.recoveries = this->recoveries;
    RecoveryStep step = this->relay.recover(attemptLost);
    if (step == RecoveryStep::Elsewhere && this->order.resumed)
        step = RecoveryStep::Resume;
    ++this->recoveries;
    this->lastLoss = why;
    const bool sent = maySentBytes || this->generationKnown;
    this->everSent |= sent;
    this->dropAttempt();
    switch (step) {
    case RecoveryStep::Resume:
        this->phase = Phase::Pausing;
        this->resumeAt = this->context.clock.now() + this->recoveries * resumeBackoff;
        return;
    case RecoveryStep::Elsewhere:
    case RecoveryStep::Restart:
        if (sent)
            this->cancelAtEngine();
        this->leaveEngine(sent ? Departure::Lost : Departure::Refused);
        this->relay = StreamRelay(0);
        this->generationKnown = false;
        this->collected.clear();
        if (this->engine != nullptr)
            this->order.ask.avoid.push_back(this->engine->name);
        this->phase = Phase::Pausing;
        this->resumeAt = this->context.clock.now();
        if (this->unansweredLosses >= lossesBeforePause)
            this->resumeAt += verdictTime;
        this->engine = nullptr;
        return;
    case RecoveryStep::GiveUp:
        this->leaveEngine(Departure::Lost);
        this->finish(why);
        return;
    }
}

// Stops listening to the current attempt; whatever still comes of it is recognised by its number.
void GenerationCall::dropAttempt()
{
    const HttpCallId call = this->httpCall.exchange(0);
    if (call != 0)
        this->context.targets.cancel(call);
    this->attempt = this->relay.beginAttempt();
}

// The epoch makes the engine ignore this order if another instance has attached since: the caller
// came back there, and its stream must not be cut from here.
void GenerationCall::cancelAtEngine()
{
    if (this->engine == nullptr || !this->engine->can.cancel || this->relay.generation().empty())
        return;
    if (!this->context.wakefulness.mayAct())
        return;
    HttpCall call;
    call.method = "DELETE";
    call.url = "http://" + this->engine->address + "/v1/generations/" + this->relay.generation();
    call.headers = {{std::string(attachHeader), this->attachEpoch}};
    call.totalTimeout = std::chrono::seconds(5);
    call.mayRepeat = true;
    ServeContext *serve = &this->context;
    const auto send = [serve, call = std::move(call), id = this->caller.requestId,
                       name = this->engine->name](bool permitted) {
        static constexpr std::size_t answerBound = 4096;
        if (permitted)
            fetchLater(serve->targets, call, answerBound, [](const FetchedAnswer &) {});
        else
            logEvent(Severity::Warning, "cancel_dropped", {{"id", id}, {"target", name}});
    };
    this->context.limits.requestWithin(this->engine->name, cancelPatience, send);
}

void GenerationCall::leaveEngine(Departure how)
{
    if (!this->placed)
        return;
    this->placed = false;
    const auto produced = static_cast<std::uint32_t>(this->relay.nextIndex());
    this->context.placement.with([this, how, produced](PlacementPolicy &policy) {
        policy.departed(this->order.ask.id, how, produced);
    });
    // Each placement is an ask of its own, so that a late word on the old one cannot touch the new.
    this->order.ask.id = this->context.nextRequest.fetch_add(1);
}

void GenerationCall::sweep()
{
    const std::lock_guard lock(this->mutex);
    const TimePoint now = this->context.clock.now();
    if (this->phase == Phase::Pausing && now >= this->resumeAt)
        this->goOn();
    this->sweepCaller(now);
    this->sweepEngine(now);
}

void GenerationCall::goOn()
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
        this->lostAt = now;
    }
    if (this->discarding && now - this->lostAt > this->context.settings.abandonGrace) {
        this->abandon();
        return;
    }
    const bool quiet =
            this->bodyStarted && !this->discarding && now - this->lastWriteAt > keepAliveGap;
    if (quiet && this->unsentBytes.load() == 0)
        this->passOn(": waiting\n\n");
}

void GenerationCall::abandon()
{
    this->dropAttempt();
    this->cancelAtEngine();
    this->leaveEngine(Departure::Cancelled);
    this->finish({ResultCode::CallerLeft, "", {}});
}

void GenerationCall::sweepEngine(TimePoint now)
{
    if (this->phase != Phase::Relaying)
        return;
    // While a slow caller holds the stream back, the engine's silence is of our own making.
    if (this->paused.load())
        this->lastEventAt = now;
    if (now - this->lastEventAt > this->model->silenceTimeout) {
        this->lost(true, {ResultCode::TargetTimeout, "the engine fell silent", {}});
        return;
    }
    if (!this->placed)
        return;
    const auto produced = static_cast<std::uint32_t>(this->relay.nextIndex());
    this->context.placement.with([this, produced](PlacementPolicy &policy) {
        policy.progress(this->order.ask.id, produced);
    });
}

void GenerationCall::cut()
{
    const std::lock_guard lock(this->mutex);
    if (this->phase == Phase::Ended)
        return;
    logEvent(Severity::Warning, "request_cut", {{"id", this->caller.requestId}});
    this->dropAttempt();
    this->finish({ResultCode::TargetLost, "the instance was stopped at once", {}});
}

void GenerationCall::complete()
{
    if (!this->order.resumed && !this->context.crashes.isIdle())
        this->context.crashes.ranWell(this->digest());
    this->leaveEngine(Departure::Finished);
    this->dropAttempt();
    this->finish({ResultCode::Ok, "", {}});
}

void GenerationCall::finish(const Ending &wanted)
{
    assert(this->phase != Phase::Ended && "a request ends once");
    Ending ending = wanted;
    // An earlier attempt reached an engine, so the last one's refusal must not say "not run".
    if (this->everSent && describe(ending.code).outcome == Outcome::NotRun)
        ending.code = ResultCode::TargetLost;
    this->phase = Phase::Ended;
    this->record.code = ending.code;
    this->record.recoveries = this->recoveries;
    this->record.total = this->context.clock.now() - this->startedAt;
    if (!ending.detail.empty())
        this->record.reason += this->record.reason.empty() ? ending.detail : "; " + ending.detail;
    if (this->order.wantsStream && (this->bodyStarted || ending.code == ResultCode::Ok)) {
        this->finishStream(ending);
    } else if (ending.code == ResultCode::Ok) {
        std::vector<HttpHeader> headers = outcomeHeaders(ending.code, this->caller.requestId);
        headers.push_back({"Content-Type", "application/json"});
        this->writer->respond(statusOk, headers, this->collectedBody());
    } else {
        answerError(*this->writer, ending, this->caller.requestId);
    }
    this->caller.admission.reset();
    this->log.add(this->record);
    this->registry.remove(this);
}

// A stream that broke must not look like one that ended: only a whole one closes with the mark
// that clients wait for.
void GenerationCall::finishStream(const Ending &ending)
{
    if (!this->bodyStarted)
        this->beginStream();
    const ResultCodeInfo &info = describe(ending.code);
    std::string last = ": outcome=" + std::string(outcomeName(info.outcome)) +
                       " code=" + std::to_string(static_cast<int>(ending.code)) + "\n\n";
    if (ending.code == ResultCode::Ok)
        last += formatSseEvent({{}, {}, doneMark});
    else
        last += formatSseEvent({{}, "error", errorBody(ending, this->caller.requestId)});
    this->writer->write(std::move(last), nullptr);
    this->writer->finish();
}

std::string GenerationCall::collectedBody() const
{
    nlohmann::json choice = {{"index", 0}, {"finish_reason", this->finishReason}};
    if (this->order.chat)
        choice["message"] = {{"role", "assistant"}, {"content", this->collected}};
    else
        choice["text"] = this->collected;
    const nlohmann::json body = {
            {"id", this->caller.requestId},
            {"object", this->order.chat ? "chat.completion" : "text_completion"},
            {"model", this->order.ask.model},
            {"choices", nlohmann::json::array({choice})},
            {"usage",
             {{"prompt_tokens", this->order.ask.promptTokens},
              {"completion_tokens", this->record.tokens},
              {"total_tokens", this->order.ask.promptTokens + this->record.tokens}}}};
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
