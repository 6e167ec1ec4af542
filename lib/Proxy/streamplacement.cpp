// Places a generation at an engine, waiting for capacity if necessary.
#include "streamexchange.h"

#include "jaytrack/Net/socket.h"
#include "jaytrack/Quarantine/requestdigest.h"

#include <algorithm>
#include <iterator>

namespace jaytrack {

namespace {

// Interval at which a waiting generation retries to find an engine with free capacity.
constexpr std::chrono::milliseconds capacityRetryInterval{30};

// A request with a suspected part is sent after this time even if there is no verdict.
constexpr std::chrono::milliseconds maxVerdictWait = 2 * verdictDelay;

} // namespace

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
    auto leg = std::make_shared<StreamLeg>(this->self(), target, orders.resume,
                                           this->context.answerMemory);
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

} // namespace jaytrack
