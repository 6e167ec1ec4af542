#include "jaytrack/Proxy/exchange.h"

#include "jaytrack/Net/socket.h"
#include "jaytrack/Proxy/engineroom.h"
#include "jaytrack/Routing/runplan.h"
#include "jaytrack/Stream/sse.h"
#include "jaytrack/Support/metrics.h"

#include <algorithm>
#include <cassert>
#include <charconv>

namespace jaytrack {

namespace {

// Bytes that may wait for a slow caller before reading from the engine pauses.
constexpr std::size_t mostPendingBytes = 128U << 10U;

// Longest answer that is no stream, such as an engine's own failure.
constexpr std::size_t mostPlainBytes = 256U << 10U;

// A run that goes on at another engine must not be worked on at both for long; the old connection
// is closed this long after the new one was opened, or as soon as the new engine has taken the run.
constexpr std::chrono::milliseconds mostOverlap{250};

// A generation waits for room for this part of its objective before its caller is refused, and
// looks for it so often. Told that early, the caller can still come back in time for the whole
// objective.
constexpr int objectivePartsToWait = 8;

// Of the time until the first token is late, this part may be planned for; the rest is for what the
// forecast does not know.
constexpr int usableTenths = 6;

constexpr std::chrono::milliseconds roomGap{30};

// How often a run whose engine is leaving looks what can be done, a few times in the pause after a
// refused copy.
constexpr std::chrono::milliseconds planGap{40};

// Copies on notice begin within this time: long enough for notices between instances (2 ms each) to
// keep sixty of them apart, short against the second and a half that a departure leaves.
constexpr std::chrono::milliseconds mostFirstPause{100};

// A copy of a whole run takes half a second between data centres when it is first in the queue.
constexpr std::chrono::milliseconds moveBound{2500};

constexpr int okStatus = 200;

std::optional<std::uint64_t> parseEventId(std::string_view text)
{
    std::uint64_t number = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (failure != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

std::int64_t toMillis(Duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

EngineTraits engineTraits(const ServiceRule *service)
{
    return service != nullptr && service->engine ? *service->engine : EngineTraits();
}

RunPlanOptions planOptions(const EngineTraits &traits, RequestKind kind, std::mt19937_64 &random)
{
    RunPlanOptions options;
    std::uniform_int_distribution<std::int64_t> pause(0, mostFirstPause.count());
    options.firstPause = std::chrono::milliseconds(pause(random));
    options.movesRuns = traits.movesRuns;
    options.mayRunAgain = mayRunAgain(kind);
    if (traits.handleLife.count() > 0)
        options.copyLife = traits.handleLife;
    return options;
}

class StreamExchange;

// One connection to an engine that carries the stream or a part of it.
class StreamLeg final : public TargetCallListener
{
public:
    StreamLeg(std::weak_ptr<StreamExchange> to, TargetEntry at, bool resumes)
        : owner(std::move(to))
        , target(std::move(at))
        , resumed(resumes)
    {
    }

    void onAnswerHead(MessageHead answer) override;
    void onAnswerBody(std::string_view bytes) override;
    void onCallEnd(const TargetCallEnd &end) override;

    std::weak_ptr<StreamExchange> owner;
    TargetEntry target;
    bool resumed;
    std::shared_ptr<TargetCall> call;
    MessageHead head;
    std::string plainBody;
    SseSplitter events;
    bool streaming = false; // the engine answers with events
};

// A call by which an engine is told to copy a run to another one.
class MoveCall final : public TargetCallListener
{
public:
    explicit MoveCall(std::weak_ptr<StreamExchange> to)
        : owner(std::move(to))
    {
    }

    void onAnswerHead(MessageHead head) override { this->status = head.status; }
    void onAnswerBody(std::string_view bytes) override { this->body += bytes; }
    void onCallEnd(const TargetCallEnd &end) override;

    std::weak_ptr<StreamExchange> owner;
    std::shared_ptr<TargetCall> call;
    TargetEntry destination;
    int status = 0;
    std::string body;
};

// A request whose answer is a stream of events. The run that makes them may go on at other engines;
// towards the caller it stays one stream, with each event once and in order.
class StreamExchange final : public Exchange
{
public:
    StreamExchange(ExchangeContext &shared, std::shared_ptr<CallerConnection> from,
                   AdmittedRequest given)
        : Exchange(shared, std::move(from), std::move(given))
        , traits(engineTraits(this->service()))
        , room(shared, this->facts().attemptId)
        , plan(shared.clock, planOptions(this->traits, this->route().kind, shared.random))
        , overlapTimer(shared.loop)
        , moveTimer(shared.loop)
        , planTimer(shared.loop)
        , roomTimer(shared.loop)
    {
        if (this->facts().generation) {
            this->need.promptTokens = this->facts().generation->promptTokens;
            this->need.outputTokens = this->expectedOutput();
        }
        this->lastEvent = this->facts().lastEventId.value_or(0);
    }

    void onTargetLeaving(const TargetEntry &entry, std::string_view reason) override
    {
        this->plan.engineLeaving(entry.id);
        const bool concerned = this->current && this->current->target.id == entry.id;
        if (concerned) {
            this->logDecision("engine_leaving",
                              {{"target", entry.id},
                               {"reason", reason},
                               {"events", static_cast<std::int64_t>(this->lastEvent)},
                               {"copy_at", this->plan.copyHolder()}});
        }
        this->syncCopy();
        this->act();
        if (concerned)
            this->watchPlan();
    }

    void onCallerWritable() override
    {
        if (this->current && this->current->call &&
            this->caller->pendingBytes() < mostPendingBytes / 2)
            this->current->call->setPaused(false);
    }

    void legHead(StreamLeg &leg);
    void legEvent(StreamLeg &leg, const SseEvent &event);
    void legEnded(StreamLeg &leg, const TargetCallEnd &end);
    void noteOutcome(const StreamLeg &leg, const TargetCallEnd &end);
    void moveEnded(MoveCall &move, const TargetCallEnd &end);

protected:
    void attempt() override;
    void cancelCalls() override;
    void describeEnd(std::vector<LogField> &fields) const override;
    bool hasBegunAnswer() const override { return this->answerBegun; }
    bool mayHaveRun() const override
    {
        return this->uncertain || (this->current && this->current->call->bytesSent());
    }

private:
    std::uint32_t expectedOutput() const
    {
        const GenerationFacts &generation = *this->facts().generation;
        return std::min(generation.expectedOutputTokens.value_or(generation.maxOutputTokens),
                        generation.maxOutputTokens);
    }

    std::shared_ptr<StreamExchange> self()
    {
        return std::static_pointer_cast<StreamExchange>(this->shared_from_this());
    }

    std::shared_ptr<StreamLeg> open(const TargetEntry &target, std::optional<ResumePoint> resume);
    void syncCopy();
    void act();
    void resume(const RunStep &step);
    void makeCopy();
    void orderCopy(const TargetEntry &destination);
    void copyFailed(std::string_view destination);
    void watchPlan();
    void takeOver();
    void dropLeg(std::shared_ptr<StreamLeg> &leg);
    void dropMove();
    std::uint32_t grownSince(std::uint64_t event) const;
    void currentLost(std::string_view reason);
    void nextLost(std::string_view reason);
    void passOnAnswer(StreamLeg &leg);
    void notePause();
    void beginAnswer(const MessageHead &head);
    void beginLeg(const StreamLeg &leg);
    void waitForRoom();
    Duration usableDelay() const;

    EngineTraits traits;
    GenerationNeed need;
    std::shared_ptr<StreamLeg> current;
    std::shared_ptr<StreamLeg> next; // takes over from current
    std::shared_ptr<MoveCall> move;
    EngineRoom room;
    RunPlan plan;
    std::string copyHolder;            // the engine whose room for the copy is accounted for
    std::uint64_t eventsBeforeLeg = 0; // passed on before the current engine took the run
    asio::steady_timer overlapTimer;
    asio::steady_timer moveTimer;
    asio::steady_timer planTimer;
    asio::steady_timer roomTimer;
    std::uint64_t lastEvent = 0; // the last one that was passed on
    bool answerBegun = false;
    std::string lossReason;
    TimePoint lostAt;       // when the engine of a run that had begun was lost
    bool uncertain = false; // some engine may have worked on the request before the current leg
    int handOvers = 0;
    TimePoint lastEventAt;
    Duration firstEventAfter{-1};   // from the request's arrival
    Duration longestPause{0};       // between two events
    std::uint64_t pausedBefore = 0; // the event that ended the longest pause
};

void StreamExchange::describeEnd(std::vector<LogField> &fields) const
{
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

void MoveCall::onCallEnd(const TargetCallEnd &end)
{
    if (const auto to = this->owner.lock())
        to->moveEnded(*this, end);
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
    leg->call = TargetCall::start(this->context.loop,
                                  this->makeRequest(target, orders, endpoint.value()), leg);
    return leg;
}

void StreamExchange::attempt()
{
    const std::vector<const TargetEntry *> engines = this->untried();
    this->need.mostDelay = this->usableDelay();
    const TargetEntry *chosen =
            this->context.engines.choose(engines, this->traits, this->need, this->tried);
    if (chosen == nullptr)
        return engines.empty() ? this->answerOwn(this->uncertain ? ResultCode::TargetLost
                                                                 : ResultCode::NoTarget,
                                                 "no_usable_engine")
                               : this->waitForRoom();
    this->tried.insert(chosen->id);
    this->current = this->open(*chosen, std::nullopt);
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
    return std::max(Duration(0), (this->route().objective - waited) * usableTenths / 10);
}

// Every engine that was compared is full. Room comes free within tenths of a second as others end,
// so a short wait is worth it; after it the caller is told, early enough to come back in time.
void StreamExchange::waitForRoom()
{
    const TimePoint since = this->uncertain ? this->lostAt : this->request().arrived;
    const Duration patience = this->uncertain ? Duration(this->route().objective)
                                              : this->route().objective / objectivePartsToWait;
    if (this->context.clock.now() - since > patience)
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

// Keeps the account of the room that the run's copy takes.
void StreamExchange::syncCopy()
{
    const std::string_view holder = this->plan.copyHolder();
    if (holder == this->copyHolder)
        return;
    const bool runsThere = this->current && this->current->target.id == this->copyHolder;
    if (!runsThere)
        this->room.giveBack(this->copyHolder, 0);
    this->copyHolder = holder;
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

// Gives up a copy that is under way.
void StreamExchange::dropMove()
{
    if (!this->move)
        return;
    this->move->call->cancel();
    this->room.giveBack(this->move->destination.id, 0);
    this->move.reset();
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
    this->room.giveBackAll();
}

void StreamExchange::legHead(StreamLeg &leg)
{
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
    this->context.engines.firstToken(leg.target.id, this->facts().attemptId);
    this->context.engines.answered(leg.target.id);
    if (this->caller->pendingBytes() > mostPendingBytes)
        leg.call->setPaused(true);
    this->plan.eventMade();
    if (this->plan.isLeaving())
        this->act();
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

// The new engine has the run, so the old one is told to stop.
void StreamExchange::takeOver()
{
    this->overlapTimer.cancel();
    this->dropLeg(this->current);
    this->current = std::move(this->next);
    this->next.reset();
    this->beginLeg(*this->current);
    ++this->handOvers;
    this->context.metrics.count("jaytrack_runs_taken_over_total");
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

void StreamExchange::legEnded(StreamLeg &leg, const TargetCallEnd &end)
{
    if (this->isFinished())
        return;
    if (end.bytesSent)
        ++this->sends;
    this->noteOutcome(leg, end);
    if (this->next.get() == &leg)
        return this->nextLost(end.whole ? "refused_by_engine" : end.reason);
    if (this->current.get() != &leg)
        return;
    if (!end.whole || leg.events.inEvent())
        return this->currentLost(end.whole ? "event_cut" : end.reason);
    if (!leg.streaming)
        return this->passOnAnswer(leg);
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
    if (this->sends < this->route().maxAttempts && this->context.retries.take(this->serviceName))
        return this->attempt();
    this->answerOwn(this->uncertain ? ResultCode::TargetLost : ResultCode::TargetFull,
                    "refused_by_engine");
}

void StreamExchange::currentLost(std::string_view reason)
{
    this->logDecision("engine_lost", {{"target", this->current->target.id},
                                      {"reason", reason},
                                      {"events", static_cast<std::int64_t>(this->lastEvent)}});
    const bool sent = this->current->call->bytesSent();
    if (this->next)
        return this->takeOver();
    this->dropLeg(this->current);
    if (!sent)
        return this->attempt();
    this->uncertain = true;
    this->lostAt = this->context.clock.now();
    this->dropMove();
    this->plan.runningLost();
    this->lossReason = reason;
    this->act();
}

void StreamExchange::nextLost(std::string_view reason)
{
    this->logDecision("resume_failed", {{"target", this->next->target.id}, {"reason", reason}});
    this->overlapTimer.cancel();
    this->dropLeg(this->next);
    this->plan.copyRefused();
    this->syncCopy();
    this->act();
}

// Does what the plan asks for now.
void StreamExchange::act()
{
    if (this->isFinished() || this->next)
        return;
    const RunStep step = this->plan.next();
    switch (step.kind) {
    case RunStepKind::Wait:
        return;
    case RunStepKind::Resume:
        return this->resume(step);
    case RunStepKind::MakeCopy:
        return this->makeCopy();
    case RunStepKind::StartAnew:
        if (this->sends < this->route().maxAttempts &&
            this->context.retries.take(this->serviceName))
            return this->attempt();
        return this->answerOwn(ResultCode::TargetLost, this->lossReason);
    case RunStepKind::Lost:
        return this->answerOwn(ResultCode::TargetLost, this->lossReason);
    }
}

// While the engine is leaving the plan is looked at from time to time: refused copies are tried
// again.
void StreamExchange::watchPlan()
{
    this->planTimer.expires_after(planGap);
    this->planTimer.async_wait(
            [weak = this->weak_from_this(), this](const asio::error_code &failure) {
                const auto alive = weak.lock();
                if (failure || !alive || this->isFinished())
                    return;
                this->act();
                if (!this->isFinished() && this->plan.isLeaving())
                    this->watchPlan();
            });
}

void StreamExchange::resume(const RunStep &step)
{
    const TargetEntry *listed = this->context.directory.find(step.target);
    if (listed == nullptr) {
        this->plan.copyRefused();
        this->syncCopy();
        return this->act();
    }
    const TargetEntry at = *listed;
    this->dropMove();
    this->next = this->open(at, step.from);
    if (!this->next) {
        this->plan.copyRefused();
        return this->act();
    }
    this->overlapTimer.expires_after(mostOverlap);
    this->overlapTimer.async_wait([self = this->self()](const asio::error_code &failure) {
        if (!failure && self->next && !self->isFinished())
            self->takeOver();
    });
}

void StreamExchange::makeCopy()
{
    if (!this->current || this->move)
        return;
    const std::vector<const TargetEntry *> engines =
            this->context.directory.usable(this->serviceName);
    const TargetEntry *chosen = this->context.engines.chooseRefuge(
            engines, this->traits, this->need, this->current->target, this->plan.unfit());
    if (chosen != nullptr)
        this->orderCopy(*chosen);
}

void StreamExchange::orderCopy(const TargetEntry &destination)
{
    const auto endpoint = parseEndpoint(this->current->target.address);
    assert(endpoint && "the run's own connection was opened at this address");
    this->plan.copyBegan();
    // The copy is as large as the run has grown by now.
    GenerationNeed copied = this->need;
    copied.promptTokens +=
            static_cast<std::uint32_t>(this->lastEvent) * this->traits.tokensPerEvent;
    this->room.takeForCopy(destination.id, copied);
    this->logDecision("run_copy", {{"from", this->current->target.id},
                                   {"to", destination.id},
                                   {"leaving", this->plan.isLeaving() ? 1 : 0},
                                   {"events", static_cast<std::int64_t>(this->lastEvent)}});
    this->move = std::make_shared<MoveCall>(this->self());
    this->move->destination = destination;
    TargetRequest request;
    request.endpoint = endpoint.value();
    request.method = "POST";
    request.target = this->context.dialect.movePath();
    request.headers.push_back({"Host", this->current->target.address});
    request.headers.push_back({"Content-Type", "application/json"});
    request.body =
            this->context.dialect.encodeMove(this->facts().attemptId, destination.address, false);
    this->move->call = TargetCall::start(this->context.loop, std::move(request), this->move);
    this->moveTimer.expires_after(moveBound);
    this->moveTimer.async_wait([self = this->self()](const asio::error_code &failure) {
        if (failure || !self->move || self->isFinished())
            return;
        self->move->call->cancel();
        self->moveEnded(*self->move, {false, true, "timeout"});
    });
}

void StreamExchange::copyFailed(std::string_view destination)
{
    this->room.giveBack(destination, 0);
    this->plan.copyFailed(destination);
}

void StreamExchange::moveEnded(MoveCall &ended, const TargetCallEnd &end)
{
    if (this->isFinished() || this->move.get() != &ended)
        return;
    const std::shared_ptr<MoveCall> done = std::move(this->move);
    this->move.reset();
    this->moveTimer.cancel();
    const Result<MoveAnswer> answer = this->context.dialect.decodeMove(done->body);
    const bool good = end.whole && done->status == okStatus && answer && this->current;
    this->logDecision("run_copied", {{"to", done->destination.id},
                                     {"status", done->status},
                                     {"reason", end.reason},
                                     {"leaving", this->plan.isLeaving() ? 1 : 0}});
    if (good)
        this->plan.copyMade(done->destination.id,
                            {this->current->target.address, answer.value().handle});
    else
        this->copyFailed(done->destination.id);
    this->syncCopy();
    this->act();
}

} // namespace

std::shared_ptr<Exchange> makeStreamExchange(ExchangeContext &context,
                                             std::shared_ptr<CallerConnection> caller,
                                             AdmittedRequest admitted)
{
    return std::make_shared<StreamExchange>(context, std::move(caller), std::move(admitted));
}

} // namespace jaytrack
