#include "streamexchange.h"

#include "jaytrack/Net/socket.h"
#include "jaytrack/Support/metrics.h"

#include <algorithm>
#include <charconv>
#include <iterator>

namespace jaytrack {

namespace {

// Longest answer that is no stream, such as an engine's own failure.
constexpr std::size_t mostPlainBytes = 256U << 10U;

// An engine that has gone on for this long after the first event of a run is not ended by it.
constexpr std::chrono::milliseconds provenAfter{1000};

// How often a generation that waits looks for room.
constexpr std::chrono::milliseconds roomGap{30};

constexpr int okStatus = 200;

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

RunPlanOptions planOptions(const EngineTraits &traits, RequestKind kind,
                           const StreamOptions &streams, std::mt19937_64 &random)
{
    RunPlanOptions options;
    std::uniform_int_distribution<std::int64_t> pause(0, streams.mostFirstPause.count());
    options.firstPause = std::chrono::milliseconds(pause(random));
    options.movesRuns = traits.movesRuns;
    options.mayRunAgain = mayRunAgain(kind);
    if (traits.handleLife.count() > 0)
        options.copyLife = traits.handleLife;
    return options;
}

} // namespace

StreamExchange::StreamExchange(ExchangeContext &shared, std::shared_ptr<CallerConnection> from,
                               AdmittedRequest given)
    : Exchange(shared, std::move(from), std::move(given))
    , traits(engineTraits(this->service()))
    , room(shared, this->facts().attemptId)
    , plan(shared.clock,
           planOptions(this->traits, this->route().kind, shared.streams, shared.random))
    , overlapTimer(shared.loop)
    , moveTimer(shared.loop)
    , planTimer(shared.loop)
    , roomTimer(shared.loop)
    , silenceTimer(shared.loop)
{
    if (this->facts().generation) {
        this->need.promptTokens = this->facts().generation->promptTokens;
        this->need.outputTokens = this->expectedOutput();
    }
    this->lastEvent = this->facts().lastEventId.value_or(0);
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
    }
    fields.emplace_back("events", static_cast<std::int64_t>(this->lastEvent));
    fields.emplace_back("first_event_ms", toMillis(this->firstEventAfter));
    fields.emplace_back("longest_pause_ms", toMillis(this->longestPause));
    fields.emplace_back("paused_before", static_cast<std::int64_t>(this->pausedBefore));
    fields.emplace_back("hand_overs", this->handOvers);
}

void StreamLeg::onAnswerHead(MessageHead answer)
{
    this->head = std::move(answer);
    this->streaming = this->head.status == okStatus;
    if (const auto to = this->owner.lock())
        to->legHead(*this);
}

void StreamLeg::onAnswerBody(std::string_view bytes)
{
    const auto to = this->owner.lock();
    if (!to)
        return;
    if (!this->streaming) {
        if (this->plainBody.size() + bytes.size() <= mostPlainBytes)
            this->plainBody += bytes;
        return;
    }
    const bool good = this->events.feed(bytes, [this, &to](const SseEvent &event) {
        to->legEvent(*this, event);
        return true;
    });
    if (!good) {
        this->call->cancel();
        to->legEnded(*this, {false, true, "garbled"});
    }
}

void StreamLeg::onCallEnd(const TargetCallEnd &end)
{
    if (const auto to = this->owner.lock())
        to->legEnded(*this, end);
}

std::shared_ptr<StreamLeg> StreamExchange::open(const TargetEntry &target,
                                                std::optional<ResumePoint> resume)
{
    const auto endpoint = parseEndpoint(target.address);
    if (!endpoint)
        return nullptr;
    ForwardOrders orders;
    orders.resume = std::move(resume);
    if (this->lastEvent > 0 || orders.resume)
        orders.lastEventId = this->lastEvent;
    const KeyHolder *holder = this->admitted.admission.holder;
    orders.priority =
            holder != nullptr && holder->priority ? *holder->priority : this->route().priority;
    auto leg = std::make_shared<StreamLeg>(this->self(), target, orders.resume.has_value());
    this->logDecision(
            orders.resume ? "run_resumed" : "run_placed",
            {{"target", target.id},
             {"address", target.address},
             {"digest", this->digest()},
             {"after_event", static_cast<std::int64_t>(this->lastEvent)},
             {"prompt_tokens", this->need.promptTokens},
             {"expected_tokens", this->need.outputTokens},
             {"forecast_tokens",
              static_cast<std::int64_t>(this->context.engines.forecast(target.id).memoryTokens)},
             {"report_age_ms", toMillis(this->context.engines.forecast(target.id).reportAge)},
             {"forecast_delay_ms", toMillis(this->context.engines.forecast(target.id).delay)},
             {"left_ms", static_cast<std::int64_t>(this->timeLeft().count())}});
    // A copy was accounted for when it was ordered.
    if (!orders.resume)
        this->room.takeForPrompt(target.id, this->need);
    leg->openedAt = this->context.clock.now();
    this->context.cold.sent(target.id);
    leg->call = TargetCall::start(this->context.loop,
                                  this->makeRequest(target, orders, endpoint.value()), leg);
    return leg;
}

// The engines to which this instance gives work. If none of them is left it takes any: it knows
// nothing of their load, but its caller has nobody else.
std::vector<const TargetEntry *>
StreamExchange::ownShare(std::vector<const TargetEntry *> engines) const
{
    std::vector<const TargetEntry *> own;
    std::copy_if(
            engines.begin(), engines.end(), std::back_inserter(own),
            [this](const TargetEntry *engine) { return this->context.shares.isMine(engine->id); });
    return own.empty() ? engines : own;
}

void StreamExchange::attempt()
{
    const std::vector<const TargetEntry *> engines = this->ownShare(this->untried());
    const std::optional<Duration> rest = this->shortestRest();
    if (engines.empty() && rest)
        return *rest > this->patience() ? this->refuseUntilRested() : this->waitForRoom();
    this->need.mostDelay = this->usableDelay();
    const TargetEntry *chosen =
            this->context.engines.choose(engines, this->traits, this->need, this->tried);
    this->shortage = this->context.engines.lastShortage();
    if (chosen == nullptr)
        return engines.empty() ? this->answerOwn(this->uncertain ? ResultCode::TargetLost
                                                                 : ResultCode::NoTarget,
                                                 this->lackOfTargets())
                               : this->waitForRoom();
    this->whenPermitted(*chosen, [this](const TargetEntry &engine) { this->begin(engine); });
}

void StreamExchange::begin(const TargetEntry &engine)
{
    this->tried.insert(engine.id);
    this->current = this->open(engine, std::nullopt);
    if (!this->current)
        return this->attempt();
    this->beginLeg(*this->current);
}

// How long a prompt may wait at an engine so that its first token is still in time. A run that was
// lost elsewhere and starts anew is late already; it is served late rather than not at all.
Duration StreamExchange::usableDelay() const
{
    const Duration waited = this->context.clock.now() - this->request().arrived;
    if (this->uncertain || this->route().objective.count() == 0)
        return Duration::max();
    const auto usable = std::chrono::duration<double, std::nano>(this->route().objective - waited) *
                        this->context.streams.usablePartOfObjective;
    return std::max(Duration(0), std::chrono::duration_cast<Duration>(usable));
}

// How long the request waits for room.
Duration StreamExchange::patience() const
{
    if (this->uncertain)
        return this->route().objective;
    const auto part = std::chrono::duration<double, std::nano>(this->route().objective) *
                      this->context.streams.partOfObjectiveToWait;
    return std::chrono::duration_cast<Duration>(part);
}

// Every engine that was compared is full. Room comes free within tenths of a second as others end,
// so a short wait is worth it; after it the caller is told, early enough to come back in time.
void StreamExchange::waitForRoom()
{
    const TimePoint since = this->uncertain ? this->lostAt : this->request().arrived;
    if (this->context.clock.now() - since > this->patience())
        return this->answerOwn(this->uncertain ? ResultCode::TargetLost : ResultCode::WaitExpired,
                               "engines_full");
    this->roomTimer.expires_after(roomGap);
    this->roomTimer.async_wait([self = this->self()](const asio::error_code &failure) {
        if (!failure && !self->isFinished())
            self->attempt();
    });
}

void StreamExchange::beginLeg(const StreamLeg &leg)
{
    this->eventsBeforeLeg = this->lastEvent;
    this->plan.placed(leg.target.id);
    this->syncCopy();
    // The engine may have announced its leaving while the run was on its way there.
    const TargetEntry *listed = this->context.directory.find(leg.target.id);
    if (listed != nullptr && !listed->leaving)
        return;
    this->plan.engineLeaving(leg.target.id);
    this->watchPlan();
}

// Tokens that the run has made since that event.
std::uint32_t StreamExchange::grownSince(std::uint64_t event) const
{
    const auto events = static_cast<std::uint32_t>(this->lastEvent - event);
    return events * std::max<std::uint32_t>(1, this->traits.tokensPerEvent);
}

void StreamExchange::dropLeg(std::shared_ptr<StreamLeg> &leg)
{
    if (!leg)
        return;
    leg->call->cancel();
    const bool running = leg == this->current;
    this->room.giveBack(leg->target.id, running ? this->grownSince(this->eventsBeforeLeg) : 0);
    leg.reset();
}

void StreamExchange::cancelCalls()
{
    this->overlapTimer.cancel();
    this->moveTimer.cancel();
    this->dropLeg(this->current);
    this->dropLeg(this->next);
    this->dropMove();
    this->planTimer.cancel();
    this->roomTimer.cancel();
    this->silenceTimer.cancel();
    this->room.giveBackAll();
}

void StreamExchange::legHead(StreamLeg &leg)
{
    this->context.selfReports.hearServed(leg.target.id, leg.head,
                                         this->context.clock.now() - leg.openedAt);
    if (this->isFinished())
        return;
    const AnswerFacts said =
            this->context.dialect.describeAnswer(leg.head.status, leg.head.headers);
    if (!said.attemptId.empty() && said.attemptId != this->facts().attemptId) {
        leg.call->cancel();
        return this->legEnded(leg, {false, true, "answer_to_another_request"});
    }
    if (leg.streaming && this->next.get() == &leg)
        this->takeOver();
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
        return; // passed on already, from the engine that ran it before
    if (id && this->lastEvent > 0 && *id != this->lastEvent + 1) {
        leg.call->cancel();
        return this->legEnded(leg, {false, true, "event_missing"});
    }
    if (this->next.get() == &leg)
        this->takeOver();
    if (id)
        this->lastEvent = *id;
    this->notePause();
    this->beginAnswer(leg.head);
    this->caller->write(event.text);
    this->noteProgress(leg);
    this->context.engines.firstToken(leg.target.id, this->facts().attemptId);
    this->context.engines.answered(leg.target.id);
    if (this->caller->pendingBytes() > mostPendingBytes)
        leg.call->setPaused(true);
    this->plan.eventMade();
    if (this->plan.isLeaving())
        this->act();
}

// The end of an engine is not laid at the door of a run that it has worked on for a while.
void StreamExchange::noteProgress(StreamLeg &leg) const
{
    const TimePoint now = this->context.clock.now();
    if (!leg.firstEventAt)
        leg.firstEventAt = now;
    if (leg.proven || now - *leg.firstEventAt < provenAfter)
        return;
    leg.proven = true;
    this->noteRanWell();
}

void StreamExchange::notePause()
{
    const TimePoint now = this->context.clock.now();
    if (!this->answerBegun) {
        this->firstEventAfter = now - this->request().arrived;
    } else if (now - this->lastEventAt > this->longestPause) {
        this->longestPause = now - this->lastEventAt;
        this->pausedBefore = this->lastEvent;
    }
    this->lastEventAt = now;
}

// Remembers engines that fail what they are given, and tells the other instances. That the runs of
// an engine which has said that it leaves end early says nothing of it.
void StreamExchange::noteOutcome(const StreamLeg &leg, const TargetCallEnd &end)
{
    const bool refused = end.whole && !leg.streaming;
    const TargetEntry *listed = this->context.directory.find(leg.target.id);
    if ((end.whole && !refused) || listed == nullptr || listed->leaving)
        return;
    this->context.engines.failed(leg.target.id);
    this->context.notices.announceFailed(leg.target.id);
}

bool StreamExchange::vouchedNotRun(const StreamLeg &leg, const TargetCallEnd &end) const
{
    return end.whole && !leg.streaming &&
           this->context.dialect.describeAnswer(leg.head.status, leg.head.headers).notExecuted;
}

void StreamExchange::legEnded(StreamLeg &leg, const TargetCallEnd &end)
{
    if (this->isFinished())
        return;
    this->sends += end.bytesSent ? 1 : 0;
    this->runs += end.bytesSent && !this->vouchedNotRun(leg, end) ? 1 : 0;
    this->noteOutcome(leg, end);
    if (end.lostConnection && end.bytesSent && !leg.proven)
        this->noteLostUnanswered(leg.target, leg.openedAt);
    if (this->next.get() == &leg)
        return this->nextLost(end.whole ? "refused_by_engine" : end.reason);
    if (this->current.get() != &leg)
        return;
    if (!end.whole || leg.events.hasPartialEvent())
        return this->currentLost(end.whole ? "event_cut" : end.reason);
    if (!leg.streaming)
        return this->passOnAnswer(leg);
    this->noteRanWell();
    this->beginAnswer(leg.head);
    this->caller->finish();
    this->finish(ResultCode::Ok, okStatus, leg.target.id);
}

// The engine answered with something else than a stream.
void StreamExchange::passOnAnswer(StreamLeg &leg)
{
    const AnswerFacts said =
            this->context.dialect.describeAnswer(leg.head.status, leg.head.headers);
    if (this->answerBegun || leg.resumed)
        return this->answerOwn(ResultCode::TargetLost, "resume_refused");
    if (!said.notExecuted) {
        const MessageHead head = leg.head;
        const std::string body = leg.plainBody;
        const std::string target = leg.target.id;
        return this->answerWhole(head, body, target);
    }
    this->dropLeg(this->current);
    const bool mayTry = this->runs < this->route().maxAttempts && !this->untried().empty();
    if (mayTry && this->context.retries.take(this->serviceName)) {
        this->logDecision("request_retried", {{"reason", "refused_by_engine"}});
        return this->attempt();
    }
    this->answerOwn(this->uncertain ? ResultCode::TargetLost : ResultCode::TargetFull,
                    "refused_by_engine");
}

std::shared_ptr<Exchange> makeStreamExchange(ExchangeContext &context,
                                             std::shared_ptr<CallerConnection> caller,
                                             AdmittedRequest admitted)
{
    return std::make_shared<StreamExchange>(context, std::move(caller), std::move(admitted));
}

} // namespace jaytrack
