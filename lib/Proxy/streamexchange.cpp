#include "streamexchange.h"

#include "jaytrack/Support/metrics.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace jaytrack {

namespace {

// Maximum body size of an answer that is not a stream, such as an error from the engine. The engine
// counts as failing if it sends more.
constexpr std::size_t maxNonStreamBodyBytes = 256U << 10U;

// A run is not blamed for a crash of its engine once the engine has worked for this long after the
// first event of the run.
constexpr std::chrono::milliseconds minProvenRunTime{1000};

constexpr int okStatus = 200;

// The version told to others of a stream that must not go on; no engine has it.
constexpr std::string_view unclearVersion = "\x01unclear";

std::optional<std::uint64_t> parseEventId(std::string_view text)
{
    std::uint64_t number = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (failure != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

EngineTraits engineTraits(const ServiceRule *service)
{
    return service != nullptr && service->engine ? *service->engine : EngineTraits();
}

RunPlanOptions planOptions(const EngineTraits &traits, bool isNameable, RequestKind kind,
                           const StreamOptions &streams, std::mt19937_64 &random)
{
    RunPlanOptions options;
    std::uniform_int_distribution<std::int64_t> pause(0, streams.maxFirstCopyDelay.count());
    options.firstCopyDelay = std::chrono::milliseconds(pause(random));
    options.movesRuns = traits.movesRuns && isNameable;
    options.mayRunAgain = mayRunAgain(kind);
    if (traits.handleLifetime.count() > 0)
        options.copyLifetime = traits.handleLifetime;
    return options;
}

// Whether orders can name the run. One that they cannot stays at its engine.
bool isNameable(const Dialect &dialect, std::string_view attemptId)
{
    return dialect.encodeMove(attemptId, {}, false).has_value();
}

} // namespace

std::int64_t toPercent(double part)
{
    static constexpr double whole = 100;
    return std::lround(part * whole);
}

StreamExchange::StreamExchange(ExchangeContext &shared,
                               std::shared_ptr<CallerConnection> connection,
                               AdmittedRequest admittedRequest)
    : Exchange(shared, std::move(connection), std::move(admittedRequest))
    , traits(engineTraits(this->service()))
    , reservations(shared, this->facts().attemptId)
    , plan(shared.clock,
           planOptions(this->traits, isNameable(shared.dialect, this->facts().attemptId),
                       this->route().kind, shared.streams, shared.random))
    , overlapTimer(shared.loop)
    , moveTimer(shared.loop)
    , planTimer(shared.loop)
    , capacityTimer(shared.loop)
    , silenceTimer(shared.loop)
{
    if (this->facts().generation) {
        this->need.promptTokens = this->facts().generation->promptTokens;
        this->need.outputTokens = this->expectedOutput();
    }
    this->lastEvent = this->facts().lastEventId.value_or(0);
    this->streamName = this->ownStreamName();
}

std::uint32_t StreamExchange::expectedOutput() const
{
    const GenerationFacts &generation = *this->facts().generation;
    return std::min(generation.expectedOutputTokens.value_or(generation.maxOutputTokens),
                    generation.maxOutputTokens);
}

void StreamExchange::describeEnd(std::vector<LogField> &fields) const
{
    fields.emplace_back("prompt_tokens", static_cast<std::int64_t>(this->need.promptTokens));
    fields.emplace_back("expected_tokens", static_cast<std::int64_t>(this->need.outputTokens));
    if (this->shortage.full + this->shortage.slow > 0) {
        fields.emplace_back("engines_full", this->shortage.full);
        fields.emplace_back("engines_slow", this->shortage.slow);
        fields.emplace_back("memory_reserve_percent", toPercent(this->shortage.reserve));
    }
    fields.emplace_back("events", static_cast<std::int64_t>(this->lastEvent));
    fields.emplace_back("first_event_ms", toMillis(this->firstEventAfter));
    fields.emplace_back("longest_pause_ms", toMillis(this->longestPause));
    fields.emplace_back("paused_before", static_cast<std::int64_t>(this->eventAfterLongestPause));
    fields.emplace_back("hand_overs", this->handovers);
}

void StreamLeg::onAnswerHead(MessageHead answer)
{
    this->head = std::move(answer);
    this->streaming = this->head.status == okStatus;
    if (const auto exchange = this->owner.lock())
        exchange->legHead(*this);
}

void StreamLeg::onAnswerBody(std::string_view bytes)
{
    const auto exchange = this->owner.lock();
    if (!exchange)
        return;
    if (!this->streaming) {
        const bool fits = appendWithin(this->plainBody, bytes, maxNonStreamBodyBytes) &&
                          this->memory.resize(this->plainBody.size());
        if (!fits)
            this->abandon(*exchange, tooLargeReason);
        return;
    }
    const bool good = this->events.feed(bytes, [this, &exchange](const SseEvent &event) {
        exchange->legEvent(*this, event);
        return true;
    });
    if (!good)
        return this->abandon(*exchange, garbledReason);
    if (!this->memory.resize(this->events.pendingBytes()))
        this->abandon(*exchange, tooLargeReason);
}

// Ends the call, because what the engine sends cannot be given to the caller.
void StreamLeg::abandon(StreamExchange &exchange, std::string_view reason)
{
    this->call->cancel();
    exchange.legEnded(*this, {false, true, reason});
}

void StreamLeg::onCallEnd(const TargetCallEnd &end)
{
    if (const auto exchange = this->owner.lock())
        exchange->legEnded(*this, end);
}

// Returns the number of tokens that the run has generated since the event.
std::uint32_t StreamExchange::tokensSince(std::uint64_t event) const
{
    const auto events = static_cast<std::uint32_t>(this->lastEvent - event);
    return events * std::max<std::uint32_t>(1, this->traits.tokensPerEvent);
}

// Reports to all instances whether the run paused for too long at its engine. Runs of few events
// are left out, and so are those whose caller read too slowly, because neither shows the engine's
// speed.
void StreamExchange::reportPauses(const StreamLeg &leg) const
{
    static constexpr std::uint64_t minEvents = 16;
    const bool hasLimit = this->route().longestPause.count() > 0;
    const bool isLong = this->lastEvent - this->eventsBeforeLeg >= minEvents;
    if (!hasLimit || !isLong || leg.waitedForCaller)
        return;
    if (leg.pausedTooLong)
        this->context.metrics.count("jaytrack_generations_paused_too_long_total");
    this->context.engines.recordPauses(leg.target.id, leg.pausedTooLong);
    this->context.notices.announcePauses(leg.target.id, leg.pausedTooLong);
}

void StreamExchange::closeLeg(std::shared_ptr<StreamLeg> &leg)
{
    if (!leg)
        return;
    leg->call->cancel();
    const bool running = leg == this->current;
    if (running)
        this->reportPauses(*leg);
    this->reservations.release(leg->target.id,
                               running ? this->tokensSince(this->eventsBeforeLeg) : 0);
    leg.reset();
}

void StreamExchange::cancelCalls()
{
    this->overlapTimer.cancel();
    this->moveTimer.cancel();
    this->closeLeg(this->current);
    this->closeLeg(this->next);
    this->cancelMove();
    this->planTimer.cancel();
    this->capacityTimer.cancel();
    this->silenceTimer.cancel();
    this->reservations.releaseAll();
}

void StreamExchange::legHead(StreamLeg &leg)
{
    const AnswerJudgement judgement = this->judge(leg.head);
    if (judgement.meaning == AnswerMeaning::Unusable) {
        leg.call->cancel();
        return this->legEnded(leg, {false, true, judgement.reason});
    }
    this->context.selfReports.recordServedAnswer(leg.target.id, leg.head,
                                                 this->context.clock.now() - leg.openedAt);
    if (this->isFinished())
        return;
    if (leg.streaming && this->next.get() == &leg)
        this->switchToNext();
}

void StreamExchange::beginAnswer(const MessageHead &head)
{
    if (this->answerBegun)
        return;
    this->answerBegun = true;
    const auto waited = this->context.clock.now() - this->request().arrived;
    this->context.metrics.observe("jaytrack_first_event_seconds",
                                  std::chrono::duration<double>(waited).count());
    this->caller->begin(head.status, answerHeaders(head.headers));
}

void StreamExchange::legEvent(StreamLeg &leg, const SseEvent &event)
{
    if (this->isFinished() || (this->current.get() != &leg && this->next.get() != &leg))
        return;
    const std::optional<std::uint64_t> id = parseEventId(event.id);
    if (id && *id <= this->lastEvent)
        return; // already forwarded, from the previous engine
    if (id && this->lastEvent > 0 && *id != this->lastEvent + 1) {
        leg.call->cancel();
        return this->legEnded(leg, {false, true, "event_missing"});
    }
    if (this->next.get() == &leg)
        this->switchToNext();
    if (id)
        this->lastEvent = *id;
    this->recordVersionOf(leg);
    this->recordEventGap(leg);
    this->beginAnswer(leg.head);
    this->caller->write(event.text);
    this->recordProgress(leg);
    this->context.engines.firstToken(leg.target.id, this->facts().attemptId);
    this->context.engines.recordSuccess(leg.target.id);
    if (this->caller->pendingBytes() > maxPendingBytes) {
        leg.call->setPaused(true);
        leg.waitedForCaller = true;
    }
    this->plan.eventProduced();
    if (this->plan.isLeaving())
        this->executeNextStep();
}

// If the engine has restarted since the run was sent to it, the event may be of either incarnation.
// Unless both have the same version, the stream cannot go on elsewhere.
void StreamExchange::recordVersionOf(const StreamLeg &leg)
{
    this->streamVersion = leg.target.softwareVersion;
    if (!leg.restarted || this->versionUnclear)
        return;
    const TargetEntry *listed = this->context.directory.findByName(leg.target.name);
    if (listed != nullptr && listed->softwareVersion == leg.target.softwareVersion)
        return;
    this->versionUnclear = true;
    if (!this->streamName.empty())
        this->context.streamVersions.recordBegun(this->streamName, this->serviceName,
                                                 unclearVersion);
}

// Reports the run as safe once the engine has worked on it for long enough, so that a later crash
// of the engine is not attributed to the run.
void StreamExchange::recordProgress(StreamLeg &leg) const
{
    const TimePoint now = this->context.clock.now();
    if (!leg.firstEventAt) {
        leg.firstEventAt = now;
        this->context.crashes.recordAnswerBegun(softwareOf(leg.target));
    }
    if (leg.proven || now - *leg.firstEventAt < minProvenRunTime)
        return;
    leg.proven = true;
    this->reportSafeRun(leg.target, *leg.firstEventAt);
}

void StreamExchange::recordEventGap(StreamLeg &leg)
{
    const TimePoint now = this->context.clock.now();
    const Duration allowed = this->route().longestPause;
    if (leg.firstEventAt && allowed > Duration(0) && now - this->lastEventAt > allowed)
        leg.pausedTooLong = true;
    if (!this->answerBegun) {
        this->firstEventAfter = now - this->request().arrived;
    } else if (now - this->lastEventAt > this->longestPause) {
        this->longestPause = now - this->lastEventAt;
        this->eventAfterLongestPause = this->lastEvent;
    }
    this->lastEventAt = now;
}

// Records engines that fail requests and announces them to the other instances. Runs that end early
// at an engine that is shutting down as announced do not count as failures.
void StreamExchange::recordOutcome(const StreamLeg &leg, const TargetCallEnd &end)
{
    const bool refused = end.whole && !leg.streaming;
    const TargetEntry *listed = this->context.directory.find(leg.target.id);
    if ((end.whole && !refused) || listed == nullptr || listed->leaving)
        return;
    // Links that this instance has lost must not take the engine from the other instances.
    const TargetCalls &calls = this->context.calls;
    if (!end.bytesSent && this->context.directory.isOutOfUse(leg.target.dataCentre))
        return;
    if (!end.bytesSent && calls.isLost(leg.target.id, leg.target.service))
        return;
    this->context.engines.recordFailure(leg.target.id);
    if (end.bytesSent || calls.isTargetsFault(leg.target.id, leg.target.service))
        this->context.notices.announceFailed(leg.target.id);
}

bool StreamExchange::reportedNotRun(const StreamLeg &leg, const TargetCallEnd &end) const
{
    return end.whole && !leg.streaming &&
           this->context.dialect.describeAnswer(leg.head.status, leg.head.headers).notExecuted;
}

void StreamExchange::legEnded(StreamLeg &leg, const TargetCallEnd &end)
{
    if (this->isFinished())
        return;
    this->sends += end.bytesSent ? 1 : 0;
    this->runs += end.bytesSent && !this->reportedNotRun(leg, end) ? 1 : 0;
    this->recordOutcome(leg, end);
    if (end.lostConnection && end.bytesSent && !leg.proven)
        this->reportLostUnanswered(leg.target, leg.openedAt);
    if (this->next.get() == &leg)
        return this->onNextLost(end.whole ? "refused_by_engine" : end.reason,
                                end.bytesSent && !end.whole);
    if (this->current.get() != &leg)
        return;
    const bool isEmpty = leg.streaming && !this->answerBegun && this->lastEvent == 0;
    if (!end.whole || leg.endsEarly() || isEmpty)
        return this->onCurrentLost(end.whole ? "event_cut" : end.reason);
    if (!leg.streaming)
        return this->forwardNonStreamAnswer(leg);
    if (leg.firstEventAt)
        this->reportSafeRun(leg.target, *leg.firstEventAt);
    this->context.brittle.recordServed(leg.target.service, leg.target.slots,
                                       this->context.clock.now() - leg.openedAt);
    this->context.streamVersions.recordCompleted(this->streamName);
    this->beginAnswer(leg.head);
    this->caller->finish();
    this->finish(ResultCode::Ok, okStatus, leg.target.id);
}

// Handles an engine answer that is not a stream.
void StreamExchange::forwardNonStreamAnswer(StreamLeg &leg)
{
    const AnswerFacts answerFacts =
            this->context.dialect.describeAnswer(leg.head.status, leg.head.headers);
    if (this->answerBegun || leg.resumed)
        return this->answerWithResult(ResultCode::TargetLost, "resume_refused");
    if (!answerFacts.notExecuted) {
        const MessageHead head = leg.head;
        const std::string body = leg.plainBody;
        const std::string target = leg.target.id;
        return this->forwardAnswer(head, body, target);
    }
    this->closeLeg(this->current);
    const bool mayTry = this->runs < this->route().maxAttempts && !this->untriedTargets().empty();
    if (!mayTry)
        return this->refuseAfterEngine();
    this->requestRetry([this](bool granted) {
        if (!granted)
            return this->refuseAfterEngine();
        this->logDecision("request_retried", {{"reason", "refused_by_engine"}});
        this->attempt();
    });
}

void StreamExchange::refuseAfterEngine()
{
    this->answerWithResult(this->uncertain ? ResultCode::TargetLost : ResultCode::TargetFull,
                           "refused_by_engine");
}

std::shared_ptr<Exchange> makeStreamExchange(ExchangeContext &context,
                                             std::shared_ptr<CallerConnection> caller,
                                             AdmittedRequest admitted)
{
    return std::make_shared<StreamExchange>(context, std::move(caller), std::move(admitted));
}

} // namespace jaytrack
