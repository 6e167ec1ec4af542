// Moves a run to another engine when its own engine shuts down or is lost.
#include "streamexchange.h"

#include "jaytrack/Net/socket.h"
#include "jaytrack/Support/metrics.h"

#include <cassert>

namespace jaytrack {

namespace {

// The old connection is closed this long after the new one was opened, or as soon as the new engine
// has taken over the run.
constexpr std::chrono::milliseconds maxOverlap{250};

// Two engines may work on the same run for this long at most.
constexpr std::chrono::milliseconds maxDuplicateWork{400};

// Time for an order to stop a run to reach the engine.
constexpr std::chrono::milliseconds minOrderTime{50};

static_assert(maxOverlap + RunStops::closeGrace + minOrderTime <= maxDuplicateWork);

// Interval at which the plan of a run is re-evaluated while its engine is shutting down. It allows
// several checks during the pause after a refused copy.
constexpr std::chrono::milliseconds planCheckInterval{40};

// Time limit of a copy. Copying a whole run between data centres takes half a second when it is
// first in the queue.
constexpr std::chrono::milliseconds copyTimeout{2500};

// A run whose engine has restarted is considered lost once its connection has been silent for this
// long. Engines generate an event every 30 ms. An engine that died behind a network partition never
// sends anything, while a run that was sent to the restarted engine before its listing arrived here
// continues.
constexpr std::chrono::seconds maxSilence{1};

// Maximum size of the answer to a copy order, which consists of a handle.
constexpr std::size_t maxMoveAnswerBytes = 64U << 10U;

constexpr std::string_view unusableHandleReason = "handle_unusable";

constexpr int okStatus = 200;
constexpr int copyInProgressStatus = 409;

} // namespace

void StreamExchange::onTargetLeaving(const TargetEntry &entry, std::string_view reason)
{
    this->discardCopyAt(entry.id);
    this->plan.engineLeaving(entry.id);
    const bool affectsCurrent = this->current && this->current->target.id == entry.id;
    if (affectsCurrent) {
        this->logDecision("engine_leaving", {{"target", entry.id},
                                             {"reason", reason},
                                             {"events", static_cast<std::int64_t>(this->lastEvent)},
                                             {"copy_at", this->plan.copyHolder()}});
    }
    this->updateCopyReservation();
    this->executeNextStep();
    if (affectsCurrent)
        this->schedulePlanCheck();
}

// Discards a finished or pending copy in the data centre, because nothing may be sent there any
// more.
void StreamExchange::onDataCentreOutOfUse(std::string_view dataCentre)
{
    const TargetEntry *holder = this->context.directory.find(this->plan.copyHolder());
    if (holder != nullptr && holder->dataCentre == dataCentre)
        this->discardCopyAt(std::string(holder->id));
    if (this->move && this->move->destination.dataCentre == dataCentre)
        this->discardCopyAt(std::string(this->move->destination.id));
    if (this->plan.isLeaving())
        this->executeNextStep();
}

void StreamExchange::discardCopyAt(const std::string &engine)
{
    if (this->plan.copyHolder() == engine) {
        this->plan.copyRefused();
        this->updateCopyReservation();
    }
    if (this->move && this->move->destination.id == engine) {
        this->cancelMove();
        this->plan.copyFailed(engine);
    }
}

void StreamExchange::onTargetRestarted(const TargetEntry &ended)
{
    this->discardCopyAt(ended.id);
    if (this->next && this->next->target.id == ended.id)
        return this->onNextLost("engine_restarted", false);
    if (!this->current || this->current->target.id != ended.id)
        return;
    this->current->restarted = true;
    this->watchSilence();
}

void StreamExchange::watchSilence()
{
    this->silenceTimer.expires_after(maxSilence);
    this->silenceTimer.async_wait([self = this->self(), leg = this->current,
                                   event = this->lastEvent](const asio::error_code &failure) {
        const bool moved = self->current != leg;
        if (failure || moved || self->isFinished())
            return;
        if (self->lastEvent != event)
            return self->watchSilence();
        self->onCurrentLost("engine_restarted");
    });
}

void MoveCall::onAnswerHead(MessageHead head)
{
    this->status = head.status;
}

void MoveCall::onAnswerBody(std::string_view bytes)
{
    if (appendWithin(this->body, bytes, maxMoveAnswerBytes))
        return;
    this->call->cancel();
    this->onCallEnd({false, true, tooLargeReason});
}

void MoveCall::onCallEnd(const TargetCallEnd &end)
{
    if (const auto exchange = this->owner.lock())
        exchange->moveEnded(*this, end);
}

// Takes over the plan's copy holder. If it has changed, releases the memory reserved at the
// previous holder, unless the run itself now runs there.
void StreamExchange::updateCopyReservation()
{
    const std::string_view holder = this->plan.copyHolder();
    if (holder == this->copyHolder)
        return;
    const bool runsThere = this->current && this->current->target.id == this->copyHolder;
    if (!runsThere)
        this->reservations.release(this->copyHolder, 0);
    this->copyHolder = holder;
}

// Cancels the copy in progress.
void StreamExchange::cancelMove()
{
    if (!this->move)
        return;
    this->move->call->cancel();
    this->reservations.release(this->move->destination.id, 0);
    this->move.reset();
}

// Records that the engine may go on with the run although its connection is closed.
void StreamExchange::abandonRun(const StreamLeg &leg)
{
    this->abandoned.push_back(leg.target);
}

// Has the run stopped at all engines that it has left for this one. Otherwise two engines would
// work on it, and the run without a reader would take capacity from other callers.
void StreamExchange::stopAbandonedRuns(const StreamLeg &leg)
{
    for (TargetEntry &engine : this->abandoned)
        this->context.runStops.order(
                {this->facts().attemptId, std::move(engine), leg.target.address, leg.usedHandle});
    this->abandoned.clear();
}

// A run that began where an earlier one of it is being stopped would be stopped as well.
void StreamExchange::eraseEnginesBeingStopped(std::vector<const TargetEntry *> &engines) const
{
    std::erase_if(engines, [this](const TargetEntry *engine) {
        return this->context.runStops.isPending(this->facts().attemptId, engine->id);
    });
}

// Closes the connection to the old engine, because the new engine has taken over the run.
void StreamExchange::switchToNext()
{
    this->overlapTimer.cancel();
    // From here on the run has begun, even if the connection to the new engine fails.
    this->uncertain = true;
    if (this->current && this->current->call->bytesSent())
        this->abandonRun(*this->current);
    this->closeLeg(this->current);
    this->current = std::move(this->next);
    this->next.reset();
    this->onLegStarted(*this->current);
    ++this->handovers;
    this->context.metrics.count("jaytrack_runs_taken_over_total");
}

void StreamExchange::onCurrentLost(std::string_view reason)
{
    this->logDecision("engine_lost", {{"target", this->current->target.id},
                                      {"digest", this->digest()},
                                      {"reason", reason},
                                      {"events", static_cast<std::int64_t>(this->lastEvent)}});
    const bool sent = this->current->call->bytesSent();
    if (sent && !this->current->proven && this->mayCrashOthers(this->current->target))
        this->verdictDueAt = this->context.clock.now() + verdictDelay;
    if (this->next)
        return this->switchToNext();
    if (sent)
        this->abandonRun(*this->current);
    this->closeLeg(this->current);
    if (!sent && !this->uncertain)
        return this->attempt();
    this->uncertain = true;
    this->lostAt = this->context.clock.now();
    this->cancelMove();
    this->plan.engineLost();
    this->lossReason = reason;
    this->executeNextStep();
}

void StreamExchange::onNextLost(std::string_view reason, bool mayRun)
{
    this->logDecision("resume_failed", {{"target", this->next->target.id}, {"reason", reason}});
    this->overlapTimer.cancel();
    if (mayRun)
        this->abandonRun(*this->next);
    this->closeLeg(this->next);
    if (this->current)
        this->stopAbandonedRuns(*this->current);
    this->plan.copyRefused();
    this->updateCopyReservation();
    this->executeNextStep();
}

// Executes the next step of the plan.
void StreamExchange::executeNextStep()
{
    if (this->isFinished() || this->next || this->isRetryPending())
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
        return this->startAnew();
    case RunStepKind::Lost:
        return this->answerWithResult(ResultCode::TargetLost, this->lossReason);
    }
}

void StreamExchange::startAnewAfter(Duration pause)
{
    this->capacityTimer.expires_after(pause);
    this->capacityTimer.async_wait([self = this->self()](const asio::error_code &failure) {
        if (!failure)
            self->executeNextStep();
    });
}

void StreamExchange::startAnew()
{
    // An attempt that waits continues by itself. A second one would place the run twice.
    if (this->beginsAnew)
        return;
    if (this->runs >= this->route().maxAttempts)
        return this->answerWithResult(ResultCode::TargetLost, this->lossReason);
    if (this->finishIfBarred())
        return;
    const Duration verdictDue = this->verdictDueAt - this->context.clock.now();
    if (verdictDue > Duration(0))
        return this->startAnewAfter(verdictDue);
    this->requestRetry([this](bool granted) {
        if (!granted)
            return this->answerWithResult(ResultCode::TargetLost, this->lossReason);
        this->beginsAnew = true;
        this->attempt();
    });
}

// Re-evaluates the plan periodically while the engine is shutting down, so that refused copies are
// retried.
void StreamExchange::schedulePlanCheck()
{
    this->planTimer.expires_after(planCheckInterval);
    this->planTimer.async_wait(
            [weak = this->weak_from_this(), this](const asio::error_code &failure) {
                const auto alive = weak.lock();
                if (failure || !alive || this->isFinished())
                    return;
                this->executeNextStep();
                if (!this->isFinished() && this->plan.isLeaving())
                    this->schedulePlanCheck();
            });
}

void StreamExchange::resume(const RunStep &step)
{
    const TargetEntry *listed = this->context.directory.find(step.target);
    if (listed == nullptr || !this->acceptsVersion(listed->softwareVersion) ||
        this->isBarredAt(*listed)) {
        this->plan.copyRefused();
        this->updateCopyReservation();
        return this->executeNextStep();
    }
    const TargetEntry at = *listed;
    this->cancelMove();
    if (this->permittedEngine != at.id)
        this->context.limits.countSent(at.id);
    this->permittedEngine.clear();
    this->next = this->open(at, step.from);
    if (!this->next) {
        this->plan.copyRefused();
        return this->executeNextStep();
    }
    this->overlapTimer.expires_after(maxOverlap);
    this->overlapTimer.async_wait([self = this->self()](const asio::error_code &failure) {
        if (failure || !self->next || self->isFinished())
            return;
        // If nothing was sent to the new engine, only the old one works on the run.
        if (self->next->call->bytesSent())
            return self->switchToNext();
        self->onNextLost("not_reached", false);
    });
}

// Returns the engines to which the run may be copied. A moved run cannot wait until an engine that
// is cold or has a rate limit accepts another request, so those are only returned if there are no
// others.
std::vector<const TargetEntry *> StreamExchange::copyDestinations() const
{
    std::vector<const TargetEntry *> open = this->usableTargets();
    this->eraseEnginesBeingStopped(open);
    std::vector<const TargetEntry *> free = open;
    std::erase_if(free, [this](const TargetEntry *engine) {
        return this->context.cold.isCold(engine->id) || this->context.limits.limitOf(engine->id);
    });
    return this->assignedEngines(free.empty() ? std::move(open) : std::move(free));
}

// Returns what a copy of the run needs of an engine. It includes the tokens generated so far.
GenerationNeed StreamExchange::needOfCopy() const
{
    const std::uint32_t generated = this->tokensSince(0);
    GenerationNeed copied = this->need;
    copied.promptTokens += generated;
    copied.outputTokens -= std::min(copied.outputTokens, generated);
    return copied;
}

void StreamExchange::makeCopy()
{
    if (!this->current || this->move || this->copyPermitsPending)
        return;
    // The copy order is itself a request to the engine that is shutting down.
    if (this->context.limits.remainingBackoff(this->current->target.id) > Duration(0))
        return;
    const std::vector<const TargetEntry *> engines = this->copyDestinations();
    const TargetEntry *chosen = this->context.engines.chooseEvacuationTarget(
            engines, this->traits, this->needOfCopy(), this->current->target,
            this->plan.unsuitableEngines());
    if (chosen != nullptr)
        this->requestCopyPermits(this->current->target, *chosen);
}

// Requests permits for the destination and the source, then starts the copy. If a permit is denied,
// the next plan check retries, possibly with another engine.
void StreamExchange::requestCopyPermits(const TargetEntry &source, const TargetEntry &destination)
{
    this->copyPermitsPending = true;
    this->ifPermitted(destination.id, [this, source, destination](bool destinationPermitted) {
        if (!destinationPermitted) {
            this->copyPermitsPending = false;
            return;
        }
        this->ifPermitted(source.id, [this, source, destination](bool sourcePermitted) {
            this->copyPermitsPending = false;
            const bool stillThere = this->current && this->current->target.id == source.id;
            if (sourcePermitted && stillThere && !this->move && this->isAllowed(destination))
                this->startCopy(destination);
        });
    });
}

void StreamExchange::ifPermitted(const std::string &target,
                                 const std::function<void(bool)> &proceed)
{
    const std::weak_ptr<Exchange> weak = this->weak_from_this();
    const auto later = [weak, this, proceed](const Permit &permit) {
        const auto alive = weak.lock();
        if (alive && !this->isFinished())
            proceed(permit.granted);
    };
    if (const auto permit = this->context.limits.request(target, later))
        proceed(permit->granted);
}

void StreamExchange::startCopy(const TargetEntry &destination)
{
    const auto endpoint = parseEndpoint(this->current->target.address);
    assert(endpoint && "the current leg was opened with this address, so it must parse");
    Result<std::string> order =
            this->context.dialect.encodeMove(this->facts().attemptId, destination.address, false);
    assert(order && "a run that orders cannot name is not moved");
    this->plan.copyStarted();
    this->permittedEngine = destination.id;
    const GenerationNeed needed = this->needOfCopy();
    const EngineChoice::Forecast forecast = this->context.engines.forecast(destination.id);
    this->reservations.reserveForCopy(destination.id, needed);
    this->logDecision("run_copy",
                      {{"from", this->current->target.id},
                       {"to", destination.id},
                       {"from_version", this->current->target.softwareVersion},
                       {"to_version", destination.softwareVersion},
                       {"leaving", this->plan.isLeaving() ? 1 : 0},
                       {"events", static_cast<std::int64_t>(this->lastEvent)},
                       {"copied_tokens", needed.promptTokens},
                       {"forecast_tokens", static_cast<std::int64_t>(forecast.memoryTokens)},
                       {"report_age_ms", toMillis(forecast.reportAge)}});
    this->move = std::make_shared<MoveCall>(this->self());
    this->move->destination = destination;
    this->move->startedAt = this->context.clock.now();
    TargetRequest request;
    request.endpoint = endpoint.value();
    request.method = "POST";
    request.target = this->context.dialect.movePath();
    request.headers.push_back({"Host", this->current->target.address});
    request.headers.push_back({"Content-Type", "application/json"});
    request.body = std::move(order.value());
    this->move->call = this->context.calls.start(
            std::move(request), this->callContext(this->current->target, false), this->move);
    this->moveTimer.expires_after(copyTimeout);
    this->moveTimer.async_wait([self = this->self()](const asio::error_code &failure) {
        if (failure || !self->move || self->isFinished())
            return;
        self->move->call->cancel();
        self->moveEnded(*self->move, {false, true, "timeout"});
    });
}

void StreamExchange::copyFailed(std::string_view destination, int status)
{
    this->reservations.release(destination, 0);
    if (status == copyInProgressStatus)
        this->plan.copyPostponed();
    else
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
    // A handle that a header does not carry would be left out of the request that goes on from the
    // copy, and the run would begin anew.
    const bool canBeNamed = answer && isExactHeaderValue(answer.value().handle);
    const bool isMade = end.whole && done->status == okStatus;
    const bool good = isMade && canBeNamed && this->current;
    this->logDecision("run_copied",
                      {{"to", done->destination.id},
                       {"status", done->status},
                       {"reason", isMade && !canBeNamed ? unusableHandleReason : end.reason},
                       {"took_ms", toMillis(this->context.clock.now() - done->startedAt)},
                       {"leaving", this->plan.isLeaving() ? 1 : 0}});
    const bool isBroken = end.reason == garbledReason || end.reason == tooLargeReason;
    if (isBroken && this->current)
        this->recordOutcome(*this->current, end);
    this->context.metrics.count(good ? "jaytrack_run_copies_made_total"
                                     : "jaytrack_run_copies_failed_total");
    if (good)
        this->plan.copyMade(done->destination.id,
                            {this->current->target.address, answer.value().handle});
    else
        this->copyFailed(done->destination.id, done->status);
    this->updateCopyReservation();
    this->executeNextStep();
}

} // namespace jaytrack
