// How a run goes on at another engine when its own leaves or is lost.
#include "streamexchange.h"

#include "jaytrack/Net/socket.h"
#include "jaytrack/Support/metrics.h"

#include <cassert>

namespace jaytrack {

namespace {

// A run that goes on at another engine must not be worked on at both for long; the old connection
// is closed this long after the new one was opened, or as soon as the new engine has taken the run.
constexpr std::chrono::milliseconds mostOverlap{250};

// How often a run whose engine is leaving looks what can be done, a few times in the pause after a
// refused copy.
constexpr std::chrono::milliseconds planGap{40};

// A copy of a whole run takes half a second between data centres when it is first in the queue.
constexpr std::chrono::milliseconds moveBound{2500};

// A run whose engine started again is given up once its connection has been silent for this long.
// Engines make an event every 30 ms; one that died behind a cut sends nothing ever, while a run
// that went to the new life before its listing came here goes on.
constexpr std::chrono::seconds mostSilence{1};

constexpr int okStatus = 200;

} // namespace

void StreamExchange::onTargetLeaving(const TargetEntry &entry, std::string_view reason)
{
    this->plan.engineLeaving(entry.id);
    const bool concerned = this->current && this->current->target.id == entry.id;
    if (concerned) {
        this->logDecision("engine_leaving", {{"target", entry.id},
                                             {"reason", reason},
                                             {"events", static_cast<std::int64_t>(this->lastEvent)},
                                             {"copy_at", this->plan.copyHolder()}});
    }
    this->syncCopy();
    this->act();
    if (concerned)
        this->watchPlan();
}

// A copy that lies where nothing may be sent any more is of no use, nor is one on its way there.
void StreamExchange::onDataCentreOutOfUse(std::string_view dataCentre)
{
    const TargetEntry *holder = this->context.directory.find(this->plan.copyHolder());
    if (holder != nullptr && holder->dataCentre == dataCentre)
        this->forgetCopyAt(std::string(holder->id));
    if (this->move && this->move->destination.dataCentre == dataCentre)
        this->forgetCopyAt(std::string(this->move->destination.id));
    if (this->plan.isLeaving())
        this->act();
}

void StreamExchange::forgetCopyAt(const std::string &engine)
{
    if (this->plan.copyHolder() == engine) {
        this->plan.copyRefused();
        this->syncCopy();
    }
    if (this->move && this->move->destination.id == engine) {
        this->dropMove();
        this->plan.copyFailed(engine);
    }
}

void StreamExchange::onTargetRestarted(const TargetEntry &ended)
{
    this->forgetCopyAt(ended.id);
    if (this->next && this->next->target.id == ended.id)
        return this->nextLost("engine_restarted");
    if (this->current && this->current->target.id == ended.id)
        this->watchSilence();
}

void StreamExchange::watchSilence()
{
    this->silenceTimer.expires_after(mostSilence);
    this->silenceTimer.async_wait([self = this->self(), leg = this->current,
                                   event = this->lastEvent](const asio::error_code &failure) {
        const bool moved = self->current != leg;
        if (failure || moved || self->isFinished())
            return;
        if (self->lastEvent != event)
            return self->watchSilence();
        self->currentLost("engine_restarted");
    });
}

void MoveCall::onAnswerHead(MessageHead head)
{
    this->status = head.status;
    if (const auto to = this->owner.lock())
        to->moveHead(*this, head);
}

void StreamExchange::moveHead(const MoveCall &asked, const MessageHead &head)
{
    this->context.selfReports.hear(asked.source, head);
}

void MoveCall::onCallEnd(const TargetCallEnd &end)
{
    if (const auto to = this->owner.lock())
        to->moveEnded(*this, end);
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

// Gives up a copy that is under way.
void StreamExchange::dropMove()
{
    if (!this->move)
        return;
    this->move->call->cancel();
    this->room.giveBack(this->move->destination.id, 0);
    this->move.reset();
}

// The new engine has the run, so the old one is told to stop.
void StreamExchange::takeOver()
{
    this->overlapTimer.cancel();
    // From here on the run has begun, whatever becomes of the connection to its new engine.
    this->uncertain = true;
    this->dropLeg(this->current);
    this->current = std::move(this->next);
    this->next.reset();
    this->beginLeg(*this->current);
    ++this->handOvers;
    this->context.metrics.count("jaytrack_runs_taken_over_total");
}

void StreamExchange::currentLost(std::string_view reason)
{
    this->logDecision("engine_lost", {{"target", this->current->target.id},
                                      {"digest", this->digest()},
                                      {"reason", reason},
                                      {"events", static_cast<std::int64_t>(this->lastEvent)}});
    const bool sent = this->current->call->bytesSent();
    if (this->next)
        return this->takeOver();
    this->dropLeg(this->current);
    if (!sent && !this->uncertain)
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
        if (this->runs < this->route().maxAttempts && this->context.retries.take(this->serviceName))
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
    if (this->permittedAt != at.id)
        this->context.limits.countSent(at.id);
    this->permittedAt.clear();
    this->next = this->open(at, step.from);
    if (!this->next) {
        this->plan.copyRefused();
        return this->act();
    }
    this->overlapTimer.expires_after(mostOverlap);
    this->overlapTimer.async_wait([self = this->self()](const asio::error_code &failure) {
        if (failure || !self->next || self->isFinished())
            return;
        // An engine that nothing was sent to does not work on the run; the old one still does.
        if (self->next->call->bytesSent())
            return self->takeOver();
        self->nextLost("not_reached");
    });
}

// A run that has fled cannot wait until an engine that is cold, or names a limit, takes one more,
// so those are the last choice.
std::vector<const TargetEntry *> StreamExchange::refuges() const
{
    std::vector<const TargetEntry *> open = this->usableTargets();
    std::vector<const TargetEntry *> free = open;
    std::erase_if(free, [this](const TargetEntry *engine) {
        return this->context.cold.isCold(engine->id) || this->context.limits.limitOf(engine->id);
    });
    return this->ownShare(free.empty() ? std::move(open) : std::move(free));
}

void StreamExchange::makeCopy()
{
    if (!this->current || this->move || this->copyAsked)
        return;
    // The order is a request to the engine that leaves.
    if (this->context.limits.remainingBackoff(this->current->target.id) > Duration(0))
        return;
    const std::vector<const TargetEntry *> engines = this->refuges();
    const TargetEntry *chosen = this->context.engines.chooseRefuge(
            engines, this->traits, this->need, this->current->target, this->plan.unfit());
    if (chosen != nullptr)
        this->askForCopy(this->current->target, *chosen);
}

// What is not permitted is tried again at the next look, at another engine perhaps.
void StreamExchange::askForCopy(const TargetEntry &source, const TargetEntry &destination)
{
    this->copyAsked = true;
    this->ifPermitted(destination.id, [this, source, destination](bool takesTheRun) {
        if (!takesTheRun) {
            this->copyAsked = false;
            return;
        }
        this->ifPermitted(source.id, [this, source, destination](bool takesTheOrder) {
            this->copyAsked = false;
            const bool stillThere = this->current && this->current->target.id == source.id;
            if (takesTheOrder && stillThere && !this->move && this->isAllowed(destination))
                this->orderCopy(destination);
        });
    });
}

void StreamExchange::ifPermitted(const std::string &target, const std::function<void(bool)> &goOn)
{
    const std::weak_ptr<Exchange> weak = this->weak_from_this();
    const auto later = [weak, this, goOn](const Permit &permit) {
        const auto alive = weak.lock();
        if (alive && !this->isFinished())
            goOn(permit.granted);
    };
    if (const auto permit = this->context.limits.request(target, later))
        goOn(permit->granted);
}

void StreamExchange::orderCopy(const TargetEntry &destination)
{
    const auto endpoint = parseEndpoint(this->current->target.address);
    assert(endpoint && "the run's own connection was opened at this address");
    this->plan.copyBegan();
    this->permittedAt = destination.id;
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
    this->move->source = this->current->target.id;
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

} // namespace jaytrack
