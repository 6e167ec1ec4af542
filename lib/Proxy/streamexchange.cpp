#include "streamexchange.h"

#include "jaytrack/Net/socket.h"
#include "jaytrack/Quarantine/requestdigest.h"
#include "jaytrack/Support/metrics.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <iterator>

namespace jaytrack {

namespace {

// Maximum body size of an answer that is not a stream, such as an error from the engine. The engine
// counts as failing if it sends more.
constexpr std::size_t maxNonStreamBodyBytes = 256U << 10U;

// A run is not blamed for a crash of its engine once the engine has worked for this long after the
// first event of the run.
constexpr std::chrono::milliseconds minProvenRunTime{1000};

// Interval at which a waiting generation retries to find an engine with free capacity.
constexpr std::chrono::milliseconds capacityRetryInterval{30};

// A request with a suspected part is sent after this time even if there is no verdict.
constexpr std::chrono::milliseconds maxVerdictWait = 2 * verdictDelay;

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

std::int64_t toPercent(double part)
{
    static constexpr double whole = 100;
    return std::lround(part * whole);
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
        if (appendWithin(this->plainBody, bytes, maxNonStreamBodyBytes))
            return;
        this->call->cancel();
        return exchange->legEnded(*this, {false, true, tooLargeReason});
    }
    const bool good = this->events.feed(bytes, [this, &exchange](const SseEvent &event) {
        exchange->legEvent(*this, event);
        return true;
    });
    if (!good) {
        this->call->cancel();
        exchange->legEnded(*this, {false, true, garbledReason});
    }
}

void StreamLeg::onCallEnd(const TargetCallEnd &end)
{
    if (const auto exchange = this->owner.lock())
        exchange->legEnded(*this, end);
}

std::shared_ptr<StreamLeg> StreamExchange::open(const TargetEntry &target,
                                                std::optional<ResumePoint> resume)
{
    const auto endpoint = parseEndpoint(target.address);
    if (!endpoint)
        return nullptr;
    ForwardOptions orders;
    orders.resume = std::move(resume);
    if (this->lastEvent > 0 || orders.resume)
        orders.lastEventId = this->lastEvent;
    const KeyHolder *holder = this->admitted.admission.holder;
    orders.priority =
            holder != nullptr && holder->priority ? *holder->priority : this->route().priority;
    auto leg = std::make_shared<StreamLeg>(this->self(), target, orders.resume);
    const EngineChoice::Forecast forecast = this->context.engines.forecast(target.id);
    this->logDecision(orders.resume ? "run_resumed" : "run_placed",
                      {{"target", target.id},
                       {"address", target.address},
                       {"version", target.softwareVersion},
                       {"digest", this->digest()},
                       {"parts", describeParts(this->parts())},
                       {"resumes", this->facts().resumedAttempt},
                       {"after_event", static_cast<std::int64_t>(this->lastEvent)},
                       {"prompt_tokens", this->need.promptTokens},
                       {"expected_tokens", this->need.outputTokens},
                       {"forecast_tokens", static_cast<std::int64_t>(forecast.memoryTokens)},
                       {"report_age_ms", toMillis(forecast.reportAge)},
                       {"forecast_delay_ms", toMillis(forecast.delay)},
                       {"event_interval_ms", toMillis(forecast.eventInterval)},
                       {"pause_risk_percent", toPercent(forecast.pauseRisk)},
                       {"left_ms", static_cast<std::int64_t>(this->timeLeft().count())}});
    // Memory for a copy was reserved when the copy was started.
    if (!orders.resume)
        this->reservations.reserveForPrompt(target.id, this->need);
    if (!this->streamName.empty())
        this->context.streamVersions.recordBegun(this->streamName, this->serviceName,
                                                 target.softwareVersion);
    leg->openedAt = this->context.clock.now();
    std::erase_if(this->abandoned,
                  [&target](const TargetEntry &engine) { return engine.id == target.id; });
    this->context.runStops.withdraw(this->facts().attemptId, target.id);
    this->context.cold.recordSend(target.id);
    leg->call = this->context.calls.start(this->makeRequest(target, orders, endpoint.value()),
                                          this->callContext(target, true), leg);
    return leg;
}

// Returns the engines that are assigned to this instance. If none of them is left, returns all:
// their load is unknown here, but the caller has no alternative.
std::vector<const TargetEntry *>
StreamExchange::assignedEngines(std::vector<const TargetEntry *> engines) const
{
    std::vector<const TargetEntry *> own;
    std::copy_if(engines.begin(), engines.end(), std::back_inserter(own),
                 [this](const TargetEntry *engine) {
                     return this->context.shares.isAssigned(engine->id);
                 });
    return own.empty() ? engines : own;
}

void StreamExchange::attempt()
{
    if (this->finishIfBarred() || this->waitsForVerdict())
        return;
    if (!this->versionSettled)
        return this->findVersion();
    std::vector<const TargetEntry *> untried = this->untriedTargets();
    this->eraseEnginesBeingStopped(untried);
    const std::vector<const TargetEntry *> engines = this->assignedEngines(std::move(untried));
    const std::optional<Duration> rest = this->shortestPause();
    if (engines.empty() && rest)
        return *rest > this->maxCapacityWait() ? this->refuseAllPaused() : this->waitForCapacity();
    this->need.maxDelay = this->maxEngineDelay();
    const TargetEntry *chosen =
            this->context.engines.choose(engines, this->traits, this->need, this->tried);
    this->shortage = this->context.engines.lastShortage();
    if (chosen == nullptr)
        return engines.empty() ? this->answerWithResult(this->uncertain ? ResultCode::TargetLost
                                                                        : ResultCode::NoTarget,
                                                        this->missingEngineReason())
                               : this->waitForCapacity();
    this->sendWhenPermitted(*chosen,
                            [this](const TargetEntry &engine) { this->beginAtListed(engine); });
}

// A stream of which the caller has events goes on only at the incarnation that is listed, because
// another one may have another version.
void StreamExchange::beginAtListed(const TargetEntry &engine)
{
    const bool isBegun = this->streamVersion || this->takesUpStream();
    if (!isBegun || engine.startedAt == unknownStart)
        return this->begin(engine);
    const auto checked = [weak = this->weak_from_this(), this, engine](IncarnationVerdict verdict,
                                                                       StartTime startedAt) {
        const auto alive = weak.lock();
        if (alive && !this->isFinished())
            this->onIncarnationChecked(engine, verdict, startedAt);
    };
    IncarnationCheck::start(this->context, engine, this->callContext(engine, false), checked);
}

void StreamExchange::onIncarnationChecked(const TargetEntry &engine, IncarnationVerdict verdict,
                                          StartTime startedAt)
{
    if (verdict == IncarnationVerdict::Listed)
        return this->isAllowed(engine) ? this->begin(engine) : this->attempt();
    const bool isAnother = verdict == IncarnationVerdict::Another;
    this->logDecision("engine_not_resumed",
                      {{"target", engine.id},
                       {"version", engine.softwareVersion},
                       {"reason", isAnother ? "another_incarnation" : "no_report"},
                       {"started_at", static_cast<std::int64_t>(startedAt.count())}});
    this->tried.insert(engine.id);
    if (isAnother)
        this->context.directory.updateStartTime(engine.id, startedAt);
    this->attempt();
}

void StreamExchange::begin(const TargetEntry &engine)
{
    this->tried.insert(engine.id);
    this->current = this->open(engine, std::nullopt);
    if (!this->current)
        return this->attempt();
    this->onLegStarted(*this->current);
}

// Returns how long a prompt may wait at an engine so that its first token still meets the
// objective. A run that was lost on another engine and starts again is late already; it is served
// late rather than refused.
Duration StreamExchange::maxEngineDelay() const
{
    const Duration waited = this->context.clock.now() - this->request().arrived;
    if (this->uncertain || this->route().objective.count() == 0)
        return Duration::max();
    const auto usable = std::chrono::duration<double, std::nano>(this->route().objective - waited) *
                        this->context.streams.usableObjectiveFraction;
    return std::max(Duration(0), std::chrono::duration_cast<Duration>(usable));
}

// Returns how long the request waits for an engine with free capacity.
Duration StreamExchange::maxCapacityWait() const
{
    if (this->uncertain)
        return this->route().objective;
    const auto part = std::chrono::duration<double, std::nano>(this->route().objective) *
                      this->context.streams.maxWaitFraction;
    return std::chrono::duration_cast<Duration>(part);
}

// Called when every candidate engine is full. Capacity becomes free within tenths of a second as
// other generations end, so the request waits briefly. If that fails, the caller is refused early
// enough to retry within its objective.
void StreamExchange::waitForCapacity()
{
    const TimePoint since = this->uncertain ? this->lostAt : this->request().arrived;
    if (this->context.clock.now() - since > this->maxCapacityWait())
        return this->answerWithResult(
                this->uncertain ? ResultCode::TargetLost : ResultCode::WaitExpired, "engines_full");
    this->attemptAfter(capacityRetryInterval);
}

// Many requests with the same crashing part may arrive between the second end and the verdict. They
// are let go one after the other, so that the first one decides for the rest.
bool StreamExchange::waitsForVerdict()
{
    const Duration waited = this->context.clock.now() - this->request().arrived;
    const Duration due = this->suspectedFor();
    if (due <= Duration(0) || waited > maxVerdictWait)
        return false;
    std::uniform_int_distribution<std::int64_t> stagger(0, Duration(verdictDelay).count());
    this->logDecision("part_suspected",
                      {{"parts", describeParts(this->parts())}, {"wait_ms", toMillis(due)}});
    this->attemptAfter(due + Duration(stagger(this->context.random)));
    return true;
}

void StreamExchange::attemptAfter(Duration pause)
{
    this->capacityTimer.expires_after(pause);
    this->capacityTimer.async_wait([self = this->self()](const asio::error_code &failure) {
        if (!failure && !self->isFinished())
            self->attempt();
    });
}

void StreamExchange::onLegStarted(const StreamLeg &leg)
{
    this->eventsBeforeLeg = this->lastEvent;
    this->beginsAnew = false;
    this->plan.placed(leg.target.id);
    this->updateCopyReservation();
    this->stopAbandonedRuns(leg);
    // The engine may have announced its shutdown while the run was being sent to it.
    const TargetEntry *listed = this->context.directory.find(leg.target.id);
    if (listed != nullptr && !listed->leaving)
        return;
    this->plan.engineLeaving(leg.target.id);
    this->schedulePlanCheck();
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
    this->context.selfReports.recordServedAnswer(leg.target.id, leg.head,
                                                 this->context.clock.now() - leg.openedAt);
    if (this->isFinished())
        return;
    const AnswerFacts answerFacts =
            this->context.dialect.describeAnswer(leg.head.status, leg.head.headers);
    if (!answerFacts.attemptId.empty() && answerFacts.attemptId != this->facts().attemptId) {
        leg.call->cancel();
        return this->legEnded(leg, {false, true, "answer_to_another_request"});
    }
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
    if (!end.whole || leg.endsEarly())
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
