#include "jaytrack/Policy/fleetpolicy.h"

#include "granting.h"

#include "jaytrack/Support/digest.h"

#include "peer_types.h"

#include <boost/functional/hash.hpp>

#include <algorithm>
#include <cassert>

namespace jaytrack {

namespace {

constexpr Duration avoidAfterLoss = std::chrono::seconds(5);
constexpr double stepSmoothing = 0.2;
constexpr double slowFactor = 2.0;    // multiple of the median step above which an engine is slow
constexpr double queuedPenalty = 0.2; // share of an engine, for each request that waits there
// Minimum free share for an engine to be chosen for its cached prefix.
constexpr double minAffinityRoom = 0.1;
constexpr std::uint32_t minReportedTokens = 32; // tokens
constexpr double localHomeBonus = 0.05; // share of an engine, bonus if this instance is its home

std::uint64_t rank(std::string_view left, std::string_view right)
{
    std::string text(left);
    text += '\n';
    text += right;
    return placementHash(text);
}

} // namespace

FleetPolicy::FleetPolicy(std::string selfName, const Clock &clockSource, std::uint64_t seed,
                         PolicyTransport &messages, PlacementListener &placementListener,
                         const FleetPolicyOptions &policyOptions)
    : self(std::move(selfName))
    , clock(clockSource)
    , random(seed)
    , transport(messages)
    , listener(placementListener)
    , options(policyOptions)
    , instances({this->self})
    , deferred(std::make_unique<std::map<std::string, wire::PolicyMessage>>())
    , nextSummaryAt(clockSource.now())
    , nextFlushAt(clockSource.now())
{
}

FleetPolicy::~FleetPolicy() = default;

// ---- Engines and instances ----

void FleetPolicy::setEngines(std::span<const EngineSpec> specs)
{
    Views fresh;
    for (const EngineSpec &spec : specs) {
        const auto old = this->engines.find(spec.name);
        EngineView &view = fresh[spec.name];
        if (old != this->engines.end())
            view = std::move(old->second);
        view.spec = spec;
        view.nameHash = placementHash(spec.name);
        if (view.home)
            view.home->setSpec(spec);
    }
    this->engines = std::move(fresh);
    this->assignHomes();
}

void FleetPolicy::setInstances(std::span<const std::string> names)
{
    std::vector<std::string> fresh(names.begin(), names.end());
    if (std::find(fresh.begin(), fresh.end(), this->self) == fresh.end())
        fresh.push_back(this->self);
    std::sort(fresh.begin(), fresh.end());
    if (fresh == this->instances)
        return;
    for (const std::string &name : this->instances) {
        if (std::binary_search(fresh.begin(), fresh.end(), name))
            continue;
        this->subscribers.erase(name);
        for (auto &[engine, view] : this->engines) {
            if (view.home)
                view.home->forgetInstance(name);
        }
    }
    this->instances = std::move(fresh);
    this->assignHomes();
}

// Every instance computes the same home from the same names. While their views differ, two
// instances may both act as the home. The engine is then overcommitted for some seconds, which only
// costs preemptions.
void FleetPolicy::assignHomes()
{
    for (auto &[name, view] : this->engines) {
        const auto best =
                std::max_element(this->instances.begin(), this->instances.end(),
                                 [&name = name](const std::string &a, const std::string &b) {
                                     return rank(name, a) < rank(name, b);
                                 });
        const bool moved = view.homeName != *best;
        view.homeName = *best;
        if (view.homeName != this->self) {
            view.home.reset();
        } else if (!view.home) {
            view.home = std::make_unique<EngineHome>(view.spec, this->clock, this->lengths,
                                                     this->options.home);
        }
        if (moved)
            this->reportCommitments(view);
    }
    this->assignSubsets();
}

// Each instance uses a bounded number of engines of a model, and different instances use different
// ones, so that work and messages per instance don't grow with the fleet.
void FleetPolicy::assignSubsets()
{
    std::map<std::string, std::vector<std::pair<std::uint64_t, EngineView *>>> ranked;
    for (auto &[name, view] : this->engines)
        ranked[view.spec.model].emplace_back(rank(this->self, name), &view);
    this->used.clear();
    for (auto &[model, views] : ranked) {
        std::sort(views.begin(), views.end());
        if (views.size() > this->options.subset)
            views.resize(this->options.subset);
        for (const auto &[hash, view] : views)
            this->used[model].push_back(view);
    }
}

// A new home doesn't know the generations that already decode on its engine, so the instances that
// placed them report them.
void FleetPolicy::reportCommitments(const EngineView &view)
{
    for (auto &[id, state] : this->requests) {
        if (state.phase == RequestPhase::Placed && state.engine == view.spec.name)
            this->notifyHome(state, GrantHeld);
        // The queue of the former home is lost; the request joins another queue at the next
        // tick.
        if (std::erase(state.queuedAt, view.spec.name) > 0)
            state.stepAt = TimePoint{};
    }
}

bool FleetPolicy::isHomeOf(std::string_view engine) const
{
    const auto found = this->engines.find(engine);
    return found != this->engines.end() && found->second.home != nullptr;
}

// ---- Choosing an engine ----

bool FleetPolicy::isUsable(const EngineView &view, const RequestState &state) const
{
    const auto &avoid = state.ask.avoid;
    const auto &unresponsive = state.unresponsive;
    const auto &queuedAt = state.queuedAt;
    return view.alive && !view.leaving && !view.spec.leaving &&
           view.avoidedUntil <= this->clock.now() &&
           std::find(avoid.begin(), avoid.end(), view.spec.name) == avoid.end() &&
           std::find(unresponsive.begin(), unresponsive.end(), view.spec.name) ==
                   unresponsive.end() &&
           std::find(queuedAt.begin(), queuedAt.end(), view.spec.name) == queuedAt.end();
}

double FleetPolicy::medianStep(const ViewList &views) const
{
    std::vector<double> steps;
    for (const EngineView *view : views) {
        if (view->stepSeconds > 0)
            steps.push_back(view->stepSeconds);
    }
    if (steps.size() < 3)
        return 0;
    const auto middle = steps.begin() + static_cast<std::ptrdiff_t>(steps.size() / 2);
    std::nth_element(steps.begin(), middle, steps.end());
    return *middle;
}

// Returns the cost of an engine; lower is better. It consists of the share of memory in use, the
// share requested since the last summary, the queue, and how much slower than its peers the engine
// is.
double FleetPolicy::score(const EngineView &view, const RequestState &, double median) const
{
    double score = 1 - view.room + view.requestedSince + queuedPenalty * view.queued;
    if (median > 0 && view.stepSeconds > slowFactor * median)
        score += view.stepSeconds / median;
    // A home on this instance answers without delay or messages.
    if (view.home)
        score -= localHomeBonus;
    return score;
}

// Returns the engine that probably caches the prompt's prefix: the one that ranks highest for the
// prefix hash, so that instances agree without exchanging cache events. Such events are late and
// incomplete and are not used. If that engine is full, the prefix is computed again elsewhere
// rather than waited for.
FleetPolicy::EngineView *FleetPolicy::affinityChoice(const RequestState &state,
                                                     std::span<EngineView *const> usableViews)
{
    if (!this->options.affinity || state.ask.prefixHash == 0)
        return nullptr;
    const auto rankOf = [&state](const EngineView *view) {
        return boost::hash<std::pair<std::uint64_t, std::uint64_t>>()(
                {view->nameHash, state.ask.prefixHash});
    };
    EngineView *best = *std::max_element(
            usableViews.begin(), usableViews.end(),
            [&rankOf](const EngineView *a, const EngineView *b) { return rankOf(a) < rankOf(b); });
    const bool hasRoom = best->room - best->requestedSince > minAffinityRoom && best->queued == 0;
    return hasRoom ? best : nullptr;
}

FleetPolicy::EngineView *FleetPolicy::choose(const RequestState &state)
{
    const auto views = this->used.find(state.ask.model);
    if (views == this->used.end())
        return nullptr;
    ViewList usableViews;
    std::copy_if(views->second.begin(), views->second.end(), std::back_inserter(usableViews),
                 [&](const EngineView *view) { return this->isUsable(*view, state); });
    if (usableViews.empty())
        return nullptr;
    const double median = this->medianStep(views->second);
    EngineView *best = nullptr;
    double bestScore = 0;
    // Compares a few random engines instead of all. Otherwise all instances would choose the
    // same engine between two summaries.
    for (std::size_t i = 0; i < this->options.candidates; ++i) {
        EngineView *view = usableViews[this->random() % usableViews.size()];
        const double value = this->score(*view, state, median);
        if (best == nullptr || value < bestScore) {
            best = view;
            bestScore = value;
        }
    }
    EngineView *cached = this->affinityChoice(state, usableViews);
    static constexpr double affinityBonus = 0.04;
    if (cached != nullptr && this->score(*cached, state, median) < bestScore + affinityBonus)
        best = cached;
    return best;
}

// ---- Requesting room ----

void FleetPolicy::submit(const GenerationRequest &ask)
{
    RequestState &state = this->requests[ask.id];
    state.ask = ask;
    state.submittedAt = this->clock.now();
    this->requestRoom(state);
}

void FleetPolicy::requestRoom(RequestState &state)
{
    EngineView *view = this->choose(state);
    if (view == nullptr && !state.unresponsive.empty()) {
        this->fallBack(state);
        return;
    }
    if (view == nullptr) {
        // No engine is usable now, but one may return within the time that this request may
        // wait.
        if (!state.ask.mayWait) {
            this->refuse(state.ask.id, ResultCode::NoTarget, "no engine of the model accepts work");
            return;
        }
        state.phase = RequestPhase::Queued;
        state.stepAt = this->clock.now();
        return;
    }
    this->requestRoomOn(state, *view);
}

RoomRequest FleetPolicy::roomRequest(const RequestState &state) const
{
    const GenerationRequest &ask = state.ask;
    RoomRequest request;
    request.key = {this->self, static_cast<std::int64_t>(ask.id)};
    request.customer = ask.customer;
    request.weight = ask.weight;
    request.priority = ask.priority;
    request.promptTokens = ask.promptTokens;
    request.producedTokens = state.produced;
    request.maxTokens = ask.maxTokens;

    request.overflowBound = ask.overflowBound;
    request.since = state.submittedAt;
    request.deadline = state.submittedAt + (ask.mayWait ? ask.maxWait : Duration(0));
    return request;
}

void FleetPolicy::requestRoomOn(RequestState &state, EngineView &view)
{
    ++this->tally.asked;
    ++state.attempts;
    state.phase = RequestPhase::Requesting;
    state.engine = view.spec.name;
    state.stepAt = this->clock.now();
    view.requestedSince +=
            (state.ask.promptTokens + 1.0) / static_cast<double>(view.spec.memoryTokens);
    if (!this->options.useHomes) {
        this->place(state, view, "chosen from this instance's own view");
        return;
    }
    if (view.home) {
        view.home->enqueue(this->roomRequest(state));
        this->serveHome(view);
        return;
    }
    this->notifyHome(state, GrantRequest);
}

void FleetPolicy::place(RequestState &state, EngineView &view, std::string reason)
{
    state.phase = RequestPhase::Placed;
    state.engine = view.spec.name;
    state.producedAt = this->clock.now();
    state.stepAt = state.producedAt;
    ++view.own;
    ++this->tally.granted;
    this->listener.onPlacement(state.ask.id,
                               {ResultCode::Ok, view.spec.name, std::move(reason), {}});
}

void FleetPolicy::refuse(std::uint64_t id, ResultCode code, std::string reason)
{
    this->requests.erase(id);
    this->listener.onPlacement(id, {code, "", std::move(reason), std::chrono::seconds(2)});
}

// Places a request whose engines' homes do not answer, because this instance is cut off from them
// or they have just failed. The engines may still work, so the request is placed by this instance's
// own count, up to its equal share of an engine's slots. Overcommitting costs preemptions; refusing
// would fail the request.
void FleetPolicy::fallBack(RequestState &state)
{
    EngineView *best = nullptr;
    state.unresponsive.clear();
    for (EngineView *view : this->used[state.ask.model]) {
        const std::size_t part =
                std::max<std::size_t>(1, view->spec.slots / this->instances.size());
        if (!this->isUsable(*view, state) || view->own >= part)
            continue;
        if (best == nullptr || view->own < best->own)
            best = view;
    }
    if (best != nullptr) {
        ++this->tally.fallbacks;
        this->place(state, *best,
                    "the engine's home does not answer; placed within this instance's share");
        return;
    }
    state.phase = RequestPhase::Queued;
    state.stepAt = this->clock.now();
}

void FleetPolicy::withdraw(std::uint64_t id)
{
    const auto found = this->requests.find(id);
    if (found == this->requests.end())
        return;
    if (found->second.phase != RequestPhase::Placed)
        this->withdrawElsewhere(found->second, "");
    this->requests.erase(found);
}

// Withdraws the request from every queue except that of the engine `keep`.
void FleetPolicy::withdrawElsewhere(RequestState &state, std::string_view keep)
{
    std::vector<std::string> queues = std::move(state.queuedAt);
    state.queuedAt.clear();
    if (state.phase == RequestPhase::Requesting)
        queues.push_back(state.engine);
    for (const std::string &engine : queues) {
        if (engine != keep)
            this->notifyHomeOf(engine, state, GrantWithdrawn);
    }
}

// ---- Progress and end ----

void FleetPolicy::progress(std::uint64_t id, std::uint32_t producedTokens)
{
    const auto found = this->requests.find(id);
    if (found == this->requests.end() || found->second.phase != RequestPhase::Placed)
        return;
    RequestState &state = found->second;
    const TimePoint now = this->clock.now();
    const double seconds = std::chrono::duration<double>(now - state.producedAt).count();
    const auto view = this->engines.find(state.engine);
    static constexpr double minSampleSeconds = 0.25;
    if (seconds < minSampleSeconds)
        return;
    if (producedTokens > state.produced && state.produced > 0 && view != this->engines.end()) {
        const double step = seconds / (producedTokens - state.produced);
        double &known = view->second.stepSeconds;
        known = known == 0 ? step : known + stepSmoothing * (step - known);
    }
    state.produced = producedTokens;
    state.producedAt = now;
    // The home extrapolates the length; it is notified each time the length has doubled.
    if (producedTokens < 2 * state.reportedTokens)
        return;
    state.reportedTokens = std::max(minReportedTokens, producedTokens);
    this->notifyHome(state, GrantProgress);
}

void FleetPolicy::departed(std::uint64_t id, Departure how, std::uint32_t producedTokens)
{
    const auto found = this->requests.find(id);
    if (found == this->requests.end())
        return;
    RequestState &state = found->second;
    state.produced = producedTokens;
    const auto view = this->engines.find(state.engine);
    if (view != this->engines.end() && state.phase == RequestPhase::Placed) {
        --view->second.own;
        if (how == Departure::Lost || how == Departure::Refused)
            view->second.avoidedUntil = this->clock.now() + avoidAfterLoss;
    }
    this->notifyHome(state, how == Departure::Finished ? GrantFinished : GrantLost);
    this->requests.erase(found);
}

void FleetPolicy::report(std::string_view engine, const EngineReport &latest)
{
    const auto found = this->engines.find(engine);
    if (found == this->engines.end())
        return;
    EngineView &view = found->second;
    view.alive = latest.alive;
    view.leaving = latest.leaving;
    if (!view.home)
        return;
    view.home->report(latest);
    this->serveHome(view);
}

void FleetPolicy::tick()
{
    std::vector<std::uint64_t> ids;
    for (const auto &[id, state] : this->requests) {
        if (state.phase != RequestPhase::Placed)
            ids.push_back(id);
    }
    for (const std::uint64_t id : ids) {
        const auto found = this->requests.find(id);
        if (found != this->requests.end())
            this->checkRequest(found->second);
    }
    for (auto &[name, view] : this->engines) {
        if (view.home)
            this->serveHome(view);
    }
    if (this->clock.now() >= this->nextSummaryAt)
        this->sendSummaries();
    if (this->clock.now() >= this->nextFlushAt)
        this->flush();
}

void FleetPolicy::checkRequest(RequestState &state)
{
    const TimePoint now = this->clock.now();
    const Duration waited = now - state.submittedAt;
    const Duration waitLimit =
            state.ask.mayWait ? state.ask.maxWait : this->options.answerTimeout * maxAttempts;
    if (waited > waitLimit) {
        ++this->tally.expired;
        this->withdrawElsewhere(state, "");
        this->refuse(state.ask.id, ResultCode::WaitExpired,
                     "no engine had room within the maximum wait");
        return;
    }
    const Duration inStep = now - state.stepAt;
    if (state.phase == RequestPhase::Requesting && inStep > this->options.answerTimeout) {
        this->notifyHome(state, GrantWithdrawn);
        state.unresponsive.push_back(state.engine);
        if (!state.queuedAt.empty())
            state.phase = RequestPhase::Queued;
        else if (state.unresponsive.size() >= maxAttempts)
            this->fallBack(state);
        else
            this->requestRoom(state);
        return;
    }
    if (state.phase == RequestPhase::Queued && inStep >= this->options.reconsiderInterval)
        this->joinAnotherQueue(state);
}

// Lets a waiting request join the queues of several engines, since one queue may be blocked by a
// long generation while another advances. The first engine that grants room is used and the request
// is withdrawn from the others, so it waits for the fastest queue without a prediction of which one
// that is.
void FleetPolicy::joinAnotherQueue(RequestState &state)
{
    state.stepAt = this->clock.now();
    if (state.queuedAt.size() >= this->options.queues)
        return;
    EngineView *other = this->choose(state);
    if (other == nullptr)
        return;
    ++this->tally.additionalQueues;
    this->requestRoomOn(state, *other);
}

} // namespace jaytrack
