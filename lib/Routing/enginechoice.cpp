#include "jaytrack/Routing/enginechoice.h"

#include <algorithm>
#include <limits>

namespace jaytrack {

namespace {

// A report describes the past: on arrival it is already as old as the delay of the engine's own
// reporting.
constexpr std::chrono::milliseconds reportLag{500};

// Weight of one observation in the learnt reading speed.
constexpr double learningRate = 0.05;

// Bounds of the learnt reading speed, in prompt tokens per millisecond. A stalled connection or a
// freshly cached prompt would otherwise distort it.
constexpr double minReadingSpeed = 1;
constexpr double maxReadingSpeed = 100;

constexpr double unlimitedMemory = std::numeric_limits<double>::infinity();

} // namespace

EngineChoice::EngineChoice(const Clock &time, std::uint64_t seed, std::string homeDataCentre,
                           EngineChoiceOptions initialOptions)
    : clock(time)
    , random(seed)
    , home(std::move(homeDataCentre))
    , options(initialOptions)
    , readingSpeed(initialOptions.promptTokensPerMilli)
    , reserve(time, initialOptions.reserve)
{
}

void EngineChoice::onListed(const TargetEntry &entry)
{
    EngineState &state = this->states[entry.id];
    state.leaving = entry.leaving;
    state.listed = true;
    state.service = entry.service;
}

void EngineChoice::onRemoved(std::string_view id)
{
    const auto found = this->states.find(id);
    if (found == this->states.end())
        return;
    const EngineState &state = found->second;
    if (state.listed)
        this->reserve.record(state.service, this->memoryOf(state));
    this->states.erase(found);
    this->speeds.forget(id);
}

void EngineChoice::forget(std::string_view id)
{
    this->speeds.forget(id);
    const auto found = this->states.find(id);
    if (found != this->states.end())
        this->states.erase(found);
}

// Returns the part of each engine's memory that new generations leave free.
double EngineChoice::evacuationReserve(std::span<const TargetEntry *const> engines,
                                       const EngineTraits &traits)
{
    if (engines.empty())
        return 0;
    const double capacity = static_cast<double>(engines.size()) * std::max(1U, traits.memoryTokens);
    return this->reserve.share(engines.front()->service, capacity);
}

void EngineChoice::recordReport(std::string_view id, const EngineLoad &load)
{
    const auto found = this->states.find(id);
    if (found == this->states.end())
        return;
    found->second.load = load;
    found->second.reportedAt = this->clock.now();
    found->second.everReported = true;
    found->second.leaving = found->second.leaving || load.leaving;
    // A late notice about a removed engine must not record a speed, because nothing would remove it
    // again.
    if (found->second.listed)
        this->speeds.record(found->second.service, id, load.eventInterval);
    // Changes made before the moment that the report describes are included in it.
    const TimePoint snapshotTime = found->second.reportedAt - reportLag;
    std::erase_if(found->second.changes,
                  [snapshotTime](const Change &one) { return one.since < snapshotTime; });
    const bool idle = load.running == 0 && load.waiting == 0 && found->second.changes.empty();
    found->second.idleReports = idle ? found->second.idleReports + 1 : 0;
}

void EngineChoice::noteFailure(EngineState &state, std::string_view instance)
{
    const TimePoint now = this->clock.now();
    // Requests sent before the engine was avoided still fail now; they are not counted.
    if (now < state.avoidedUntil)
        return;
    if (now - std::max(state.failedAt, state.avoidedUntil) > this->options.failureWindow) {
        state.ownFailures = 0;
        state.failedBy.clear();
        state.timesAvoided = 0;
    }
    state.failedAt = now;
    state.failedBy.emplace(instance);
    state.ownFailures += instance.empty() ? 1 : 0;
    const std::size_t highestCount = std::max(state.ownFailures, state.failedBy.size());
    if (highestCount < this->options.failuresToAvoid && state.timesAvoided == 0)
        return;
    const int doublings = std::min(state.timesAvoided, this->options.maxDoublings);
    state.avoidedUntil = now + this->options.avoidFor * (1 << doublings);
    ++state.timesAvoided;
    state.ownFailures = 0;
    state.failedBy.clear();
}

void EngineChoice::recordFailure(std::string_view id)
{
    const auto found = this->states.find(id);
    if (found != this->states.end())
        this->noteFailure(found->second, {});
}

void EngineChoice::recordRemoteFailure(std::string_view id, std::string_view instance)
{
    const auto found = this->states.find(id);
    if (found != this->states.end())
        this->noteFailure(found->second, instance);
}

void EngineChoice::recordSuccess(std::string_view id)
{
    const auto found = this->states.find(id);
    if (found == this->states.end())
        return;
    found->second.ownFailures = 0;
    found->second.failedBy.clear();
    found->second.timesAvoided = 0;
}

// Reading a prompt and generating take the same steps, so an engine that is slow in one is slow in
// the other.
Duration EngineChoice::readingTime(std::uint32_t tokens, double slowness) const
{
    return std::chrono::duration_cast<Duration>(
            std::chrono::duration<double, std::milli>(tokens * slowness / this->readingSpeed));
}

double EngineChoice::slownessOf(std::string_view id, const EngineState &state) const
{
    return this->speeds.slowness(state.service, id);
}

void EngineChoice::recordPauses(std::string_view id, bool pausedTooLong)
{
    const auto found = this->states.find(id);
    if (found == this->states.end())
        return;
    const std::string &service = found->second.service;
    if (!this->speeds.isKnown(service, id))
        return;
    PauseRisk &risk = this->pauseRisks.try_emplace(service, this->clock).first->second;
    risk.record(this->speeds.slowness(service, id), pausedTooLong);
}

double EngineChoice::pauseRisk(std::string_view service, std::string_view id) const
{
    const auto risk = this->pauseRisks.find(service);
    if (risk == this->pauseRisks.end())
        return 0;
    return risk->second.risk(this->speeds.slowness(service, id));
}

// Returns how long the generation is expected to take after its first token, in seconds.
double EngineChoice::runSeconds(const TargetEntry &entry, const EngineTraits &traits,
                                const GenerationNeed &need) const
{
    const double events = static_cast<double>(need.outputTokens) /
                          std::max<std::uint32_t>(1, traits.tokensPerEvent);
    const Duration interval = this->speeds.eventInterval(entry.service, entry.id);
    return events * std::chrono::duration<double>(interval).count();
}

void EngineChoice::addPrompt(std::string_view id, EngineState &state, std::uint32_t tokens)
{
    const Duration time = this->readingTime(tokens, this->slownessOf(id, state));
    state.promptsReadBy = std::max(state.promptsReadBy, this->clock.now()) + time;
}

void EngineChoice::addChange(EngineState &state, double tokens)
{
    state.changes.push_back({tokens, this->clock.now()});
}

void EngineChoice::recordStart(std::string_view id, std::string_view run,
                               const GenerationNeed &need)
{
    EngineState &state = this->states[std::string(id)];
    const TimePoint now = this->clock.now();
    const bool alone = state.promptsReadBy <= now;
    state.pendingPrompts.insert_or_assign(std::string(run),
                                          PendingPrompt{need.promptTokens, now, alone});
    this->addChange(state, need.promptTokens);
    this->addPrompt(id, state, need.promptTokens);
}

void EngineChoice::recordCopy(std::string_view id, const GenerationNeed &need)
{
    this->addChange(this->states[std::string(id)], need.promptTokens);
}

void EngineChoice::recordRelease(std::string_view id, std::string_view run, std::uint32_t tokens)
{
    const auto state = this->states.find(id);
    if (state == this->states.end())
        return;
    this->addChange(state->second, -static_cast<double>(tokens));
    const auto pending = state->second.pendingPrompts.find(run);
    if (pending != state->second.pendingPrompts.end())
        state->second.pendingPrompts.erase(pending);
}

void EngineChoice::dropStaleStates()
{
    const TimePoint oldest = this->clock.now() - this->options.unlistedRetention;
    std::erase_if(this->states, [oldest](const auto &entry) {
        return !entry.second.listed && entry.second.noticedAt < oldest;
    });
}

EngineChoice::EngineState &EngineChoice::stateForNotice(std::string_view id)
{
    auto found = this->states.find(id);
    if (found == this->states.end()) {
        this->dropStaleStates();
        found = this->states.emplace(std::string(id), EngineState()).first;
    }
    found->second.noticedAt = this->clock.now();
    return found->second;
}

void EngineChoice::recordRemotePlacement(std::string_view id, const GenerationNeed &need,
                                         bool copied)
{
    EngineState &state = this->stateForNotice(id);
    this->addChange(state, need.promptTokens);
    if (!copied)
        this->addPrompt(id, state, need.promptTokens);
}

void EngineChoice::recordRemoteRelease(std::string_view id, std::uint32_t tokens)
{
    this->addChange(this->stateForNotice(id), -static_cast<double>(tokens));
}

void EngineChoice::firstToken(std::string_view id, std::string_view run)
{
    const auto state = this->states.find(id);
    if (state == this->states.end())
        return;
    const auto found = state->second.pendingPrompts.find(run);
    if (found == state->second.pendingPrompts.end())
        return;
    const PendingPrompt read = found->second;
    state->second.pendingPrompts.erase(found);
    if (!read.alone)
        return;
    const double elapsedMs =
            std::chrono::duration<double, std::milli>(this->clock.now() - read.since).count();
    const double ownSpeed = read.promptTokens / std::max(elapsedMs, 1.0);
    const double speed = std::clamp(ownSpeed * this->slownessOf(id, state->second), minReadingSpeed,
                                    maxReadingSpeed);
    this->readingSpeed += learningRate * (speed - this->readingSpeed);
}

// The report contains the memory used by all instances' runs at its time. Memory taken and released
// since, and the estimated growth of the runs, are added.
double EngineChoice::memoryOf(const EngineState &state) const
{
    double tokens = 0;
    if (state.everReported) {
        const Duration since = this->clock.now() - state.reportedAt + reportLag;
        const double grown = state.load.running * this->options.growthPerRun *
                             std::chrono::duration<double>(since).count();
        // Requests wait at an engine because its memory is reserved; requests that arrive after
        // them wait too.
        tokens = state.load.memoryInUse + grown +
                 static_cast<double>(state.load.waiting) * state.load.firstWaitingTokens;
    }
    for (const Change &one : state.changes)
        tokens += one.tokens;
    return std::max(0.0, tokens);
}

Duration EngineChoice::delayOf(const EngineState &state) const
{
    return std::max(Duration(0), state.promptsReadBy - this->clock.now());
}

// Whether nothing is known to have changed since the last report: no work was placed, and no
// instance found the engine failing.
bool EngineChoice::isIdle(const EngineState &state) const
{
    return state.changes.empty() && state.ownFailures == 0 && state.failedBy.empty() &&
           this->clock.now() >= state.avoidedUntil;
}

EngineChoice::Forecast EngineChoice::forecast(std::string_view id) const
{
    const auto found = this->states.find(id);
    if (found == this->states.end())
        return {};
    const EngineState &state = found->second;
    Forecast forecast;
    forecast.memoryTokens = this->memoryOf(state);
    forecast.reportAge = state.everReported ? this->clock.now() - state.reportedAt : Duration(-1);
    forecast.delay = this->delayOf(state);
    forecast.idleReports = this->isIdle(state) ? state.idleReports : 0;
    forecast.eventInterval = this->speeds.eventInterval(state.service, id);
    forecast.pauseRisk = this->pauseRisk(state.service, id);
    return forecast;
}

bool EngineChoice::isAvoided(const TargetEntry &entry)
{
    const EngineState &state = this->states[entry.id];
    return state.leaving || this->clock.now() < state.avoidedUntil;
}

double EngineChoice::memoryWith(const EngineState &state, const EngineTraits &traits,
                                const GenerationNeed &need) const
{
    return (this->memoryOf(state) + need.promptTokens) / std::max<double>(1, traits.memoryTokens);
}

double EngineChoice::costOf(const TargetEntry &entry, const EngineTraits &traits,
                            const GenerationNeed &need, const Preference &preference)
{
    const double capacity = std::max<double>(1, traits.memoryTokens);
    const EngineState &state = this->states[entry.id];
    const double memory =
            (this->memoryOf(state) + need.promptTokens + need.outputTokens / 2.0) / capacity;
    const Duration ownReading =
            this->readingTime(need.promptTokens, this->slownessOf(entry.id, state));
    const Duration untilFirstToken =
            this->delayOf(state) + (preference.readsPrompt ? ownReading : Duration(0));
    const double delay = std::chrono::duration<double>(untilFirstToken).count();
    const double runTime = this->runSeconds(entry, traits, need);
    const double risk = this->isShort(need) ? 0 : this->pauseRisk(entry.service, entry.id);
    const double cost = memory + preference.delayWeight * delay +
                        this->options.runTimeWeight * runTime +
                        this->options.pauseRiskWeight * risk;
    const bool isRemote = entry.dataCentre != preference.dataCentre;
    return isRemote ? cost + preference.remotePenalty : cost;
}

const TargetEntry *EngineChoice::cheapest(std::vector<const TargetEntry *> eligible,
                                          const EngineTraits &traits, const GenerationNeed &need,
                                          const Preference &preference)
{
    std::shuffle(eligible.begin(), eligible.end(), this->random);
    std::uniform_real_distribution<double> jitter(0, preference.jitter);
    const std::size_t compared = std::min(eligible.size(), preference.candidates);
    this->shortage = {};
    const TargetEntry *best = nullptr;
    double bestCost = std::numeric_limits<double>::infinity();
    for (std::size_t i = 0; i < compared; ++i) {
        const EngineState &state = this->states[eligible[i]->id];
        if (this->memoryWith(state, traits, need) > preference.maxMemory) {
            ++this->shortage.full;
            continue;
        }
        // A prompt whose own reading takes most of the available time needs an engine that reads no
        // other prompt, but it must not be rejected everywhere because of its length.
        const Duration reading =
                this->readingTime(need.promptTokens, this->slownessOf(eligible[i]->id, state));
        const Duration own = std::min(reading, preference.maxDelay / 2);
        if (this->delayOf(state) > preference.maxDelay - own) {
            ++this->shortage.slow;
            continue;
        }
        const double cost =
                this->costOf(*eligible[i], traits, need, preference) + jitter(this->random);
        if (cost < bestCost) {
            best = eligible[i];
            bestCost = cost;
        }
    }
    return best;
}

std::vector<const TargetEntry *>
EngineChoice::eligibleAmong(std::span<const TargetEntry *const> engines,
                            const std::set<std::string> &avoid)
{
    std::vector<const TargetEntry *> reachable;
    std::vector<const TargetEntry *> others;
    for (const TargetEntry *engine : engines) {
        if (avoid.count(engine->id) > 0)
            continue;
        (this->isAvoided(*engine) ? others : reachable).push_back(engine);
    }
    // An engine that appears to be unreachable is still better than none.
    return reachable.empty() ? others : reachable;
}

const TargetEntry *EngineChoice::choose(std::span<const TargetEntry *const> engines,
                                        const EngineTraits &traits, const GenerationNeed &need,
                                        const std::set<std::string> &avoid)
{
    const bool isUrgent = this->isShort(need);
    const double maxShare = isUrgent ? this->options.urgentShare : this->options.newRunShare;
    const bool keepsReserve = !isUrgent || this->options.urgentKeepsEvacuationReserve;
    const double kept = keepsReserve ? this->evacuationReserve(engines, traits) : 0;
    Preference preference;
    preference.dataCentre = this->home;
    preference.remotePenalty = this->options.remotePenalty;
    preference.candidates = this->options.candidates;
    preference.maxMemory = maxShare - kept;
    preference.maxDelay = need.maxDelay;
    preference.delayWeight = this->options.delayWeight;
    const TargetEntry *chosen =
            this->cheapest(this->eligibleAmong(engines, avoid), traits, need, preference);
    this->shortage.reserve = kept;
    return chosen;
}

const TargetEntry *EngineChoice::chooseEvacuationTarget(std::span<const TargetEntry *const> engines,
                                                        const EngineTraits &traits,
                                                        const GenerationNeed &need,
                                                        const TargetEntry &running,
                                                        const std::set<std::string> &avoid)
{
    std::set<std::string> others = avoid;
    others.insert(running.id);
    const std::vector<const TargetEntry *> eligible = this->eligibleAmong(engines, others);
    // Every engine is compared, because the run's own data centre has only a few.
    Preference preference;
    preference.dataCentre = running.dataCentre;
    preference.remotePenalty = this->options.remoteCopyPenalty;
    preference.candidates = engines.size();
    preference.maxMemory = this->options.evacuationShare;
    preference.jitter = this->options.evacuationCostJitter;
    preference.delayWeight = this->options.evacuationDelayWeight;
    preference.readsPrompt = false;
    const TargetEntry *withRoom = this->cheapest(eligible, traits, need, preference);
    if (withRoom != nullptr)
        return withRoom;
    // The forecast may be wrong, and the run is lost anyway if it stays.
    preference.maxMemory = unlimitedMemory;
    return this->cheapest(eligible, traits, need, preference);
}

} // namespace jaytrack
