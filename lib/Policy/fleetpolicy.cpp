#include "jaytrack/Policy/fleetpolicy.h"

#include "granting.h"

#include "jaytrack/Support/digest.h"

#include "peer_types.h"

#include <boost/functional/hash.hpp>

#include <algorithm>
#include <cassert>

namespace jaytrack {

namespace {

constexpr Duration distrust = std::chrono::seconds(5);
constexpr double stepSmoothing = 0.2;
constexpr double slowFactor = 2.0;      // times the median step, beyond which an engine is slow
constexpr double queuedPenalty = 0.2;   // of a whole engine, for each request that waits there
constexpr double affinityRoom = 0.1;    // least room for the cached prefix to decide
constexpr std::uint32_t leastTold = 32; // tokens
constexpr double homeWorth = 0.05;      // of an engine, for having its home here

std::uint64_t rank(std::string_view left, std::string_view right)
{
    std::string text(left);
    text += '\n';
    text += right;
    return placementHash(text);
}

} // namespace

FleetPolicy::FleetPolicy(std::string selfName, const Clock &time, std::uint64_t seed,
                         PolicyTransport &messages, PlacementListener &target,
                         const FleetPolicyOptions &chosen)
    : self(std::move(selfName))
    , clock(time)
    , random(seed)
    , transport(messages)
    , listener(target)
    , options(chosen)
    , instances({this->self})
    , putOff(std::make_unique<std::map<std::string, wire::PolicyMessage>>())
    , nextSummaryAt(time.now())
    , nextFlushAt(time.now())
{
}

FleetPolicy::~FleetPolicy() = default;

// ---- What exists ----

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

// Every instance computes the same home from the same names. While views differ two instances may
// both hold themselves for the home; the engine is then overfilled for some seconds, which costs
// preemptions and nothing else.
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
            this->moveCommitments(view);
    }
    this->assignSubsets();
}

// Each instance uses a bounded number of engines of a model, which differ from one instance to the
// next, so that its work and its messages do not grow with the fleet.
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

// A new home knows nothing of what decodes already; those whose generations these are tell it.
void FleetPolicy::moveCommitments(const EngineView &view)
{
    for (auto &[id, state] : this->asks) {
        if (state.phase == AskPhase::Placed && state.engine == view.spec.name)
            this->tellHome(state, GrantHeld);
        // The queue went with the former home; the request joins one again at the next tick.
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

bool FleetPolicy::usable(const EngineView &view, const AskState &state) const
{
    const auto &avoid = state.ask.avoid;
    const auto &silent = state.silent;
    const auto &queuedAt = state.queuedAt;
    return view.alive && !view.leaving && !view.spec.leaving &&
           view.distrustedUntil <= this->clock.now() &&
           std::find(avoid.begin(), avoid.end(), view.spec.name) == avoid.end() &&
           std::find(silent.begin(), silent.end(), view.spec.name) == silent.end() &&
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

// Lower is better: the share of memory in use, what was asked for since that was said, the queue,
// and how much slower than its peers the engine is.
double FleetPolicy::score(const EngineView &view, const AskState &, double median) const
{
    double score = 1 - view.room + view.askedSince + queuedPenalty * view.queued;
    if (median > 0 && view.stepSeconds > slowFactor * median)
        score += view.stepSeconds / median;
    // Asking oneself takes neither time nor messages.
    if (view.home)
        score -= homeWorth;
    return score;
}

// The instances agree on where a prefix lives without any cache event: the engine that ranks
// highest for it. Events come late and with gaps, so they are not believed at all; when that
// engine is full, the prefix is computed anew elsewhere rather than waited for.
FleetPolicy::EngineView *FleetPolicy::affinityChoice(const AskState &state,
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
    const bool roomy = best->room - best->askedSince > affinityRoom && best->queued == 0;
    return roomy ? best : nullptr;
}

FleetPolicy::EngineView *FleetPolicy::choose(const AskState &state)
{
    const auto views = this->used.find(state.ask.model);
    if (views == this->used.end())
        return nullptr;
    ViewList usableViews;
    std::copy_if(views->second.begin(), views->second.end(), std::back_inserter(usableViews),
                 [&](const EngineView *view) { return this->usable(*view, state); });
    if (usableViews.empty())
        return nullptr;
    const double median = this->medianStep(views->second);
    EngineView *best = nullptr;
    double bestScore = 0;
    // A few at random instead of the best of all, or all instances would choose the same one
    // between two summaries.
    for (std::size_t i = 0; i < this->options.candidates; ++i) {
        EngineView *view = usableViews[this->random() % usableViews.size()];
        const double value = this->score(*view, state, median);
        if (best == nullptr || value < bestScore) {
            best = view;
            bestScore = value;
        }
    }
    EngineView *cached = this->affinityChoice(state, usableViews);
    static constexpr double affinityWorth = 0.04;
    if (cached != nullptr && this->score(*cached, state, median) < bestScore + affinityWorth)
        best = cached;
    return best;
}

// ---- Asking ----

void FleetPolicy::submit(const GenerationAsk &ask)
{
    AskState &state = this->asks[ask.id];
    state.ask = ask;
    state.submittedAt = this->clock.now();
    this->askFor(state);
}

void FleetPolicy::askFor(AskState &state)
{
    EngineView *view = this->choose(state);
    if (view == nullptr && !state.silent.empty()) {
        this->fallBack(state);
        return;
    }
    if (view == nullptr) {
        // None now; one may come back within the time that this request may wait.
        if (!state.ask.mayWait) {
            this->refuse(state.ask.id, ResultCode::NoTarget, "no engine of the model takes work");
            return;
        }
        state.phase = AskPhase::Queued;
        state.stepAt = this->clock.now();
        return;
    }
    this->askEngine(state, *view);
}

RoomRequest FleetPolicy::roomRequest(const AskState &state) const
{
    const GenerationAsk &ask = state.ask;
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

void FleetPolicy::askEngine(AskState &state, EngineView &view)
{
    ++this->tally.asked;
    ++state.attempts;
    state.phase = AskPhase::Asking;
    state.engine = view.spec.name;
    state.stepAt = this->clock.now();
    view.askedSince += (state.ask.promptTokens + 1.0) / static_cast<double>(view.spec.memoryTokens);
    if (!this->options.askHomes) {
        this->place(state, view, "by this instance's own view");
        return;
    }
    if (view.home) {
        view.home->ask(this->roomRequest(state));
        this->serveHome(view);
        return;
    }
    this->tellHome(state, GrantAsk);
}

void FleetPolicy::place(AskState &state, EngineView &view, std::string reason)
{
    state.phase = AskPhase::Placed;
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
    this->asks.erase(id);
    this->listener.onPlacement(id, {code, "", std::move(reason), std::chrono::seconds(2)});
}

// No home answers, because this instance is cut off from it or it has just died. The engines are
// still there, so the request goes out on this instance's own count, up to its even part of an
// engine's slots; overfilling costs preemptions, refusing would cost the request.
void FleetPolicy::fallBack(AskState &state)
{
    EngineView *best = nullptr;
    state.silent.clear();
    for (EngineView *view : this->used[state.ask.model]) {
        const std::size_t part =
                std::max<std::size_t>(1, view->spec.slots / this->instances.size());
        if (!this->usable(*view, state) || view->own >= part)
            continue;
        if (best == nullptr || view->own < best->own)
            best = view;
    }
    if (best != nullptr) {
        ++this->tally.fallbacks;
        this->place(state, *best, "its engine's home does not answer; within this instance's part");
        return;
    }
    state.phase = AskPhase::Queued;
    state.stepAt = this->clock.now();
}

void FleetPolicy::withdraw(std::uint64_t id)
{
    const auto found = this->asks.find(id);
    if (found == this->asks.end())
        return;
    if (found->second.phase != AskPhase::Placed)
        this->withdrawElsewhere(found->second, "");
    this->asks.erase(found);
}

// Takes the request out of every queue but that of one engine.
void FleetPolicy::withdrawElsewhere(AskState &state, std::string_view keep)
{
    std::vector<std::string> queues = std::move(state.queuedAt);
    state.queuedAt.clear();
    if (state.phase == AskPhase::Asking)
        queues.push_back(state.engine);
    for (const std::string &engine : queues) {
        if (engine != keep)
            this->tellHomeOf(engine, state, GrantWithdrawn);
    }
}

// ---- Progress and end ----

void FleetPolicy::progress(std::uint64_t id, std::uint32_t producedTokens)
{
    const auto found = this->asks.find(id);
    if (found == this->asks.end() || found->second.phase != AskPhase::Placed)
        return;
    AskState &state = found->second;
    const TimePoint now = this->clock.now();
    const double seconds = std::chrono::duration<double>(now - state.producedAt).count();
    const auto view = this->engines.find(state.engine);
    static constexpr double leastSeconds = 0.25;
    if (seconds < leastSeconds)
        return;
    if (producedTokens > state.produced && state.produced > 0 && view != this->engines.end()) {
        const double step = seconds / (producedTokens - state.produced);
        double &known = view->second.stepSeconds;
        known = known == 0 ? step : known + stepSmoothing * (step - known);
    }
    state.produced = producedTokens;
    state.producedAt = now;
    // The home counts on by itself; it is told each time the length has doubled.
    if (producedTokens < 2 * state.toldHome)
        return;
    state.toldHome = std::max(leastTold, producedTokens);
    this->tellHome(state, GrantProgress);
}

void FleetPolicy::departed(std::uint64_t id, Departure how, std::uint32_t producedTokens)
{
    const auto found = this->asks.find(id);
    if (found == this->asks.end())
        return;
    AskState &state = found->second;
    state.produced = producedTokens;
    const auto view = this->engines.find(state.engine);
    if (view != this->engines.end() && state.phase == AskPhase::Placed) {
        --view->second.own;
        if (how == Departure::Lost || how == Departure::Refused)
            view->second.distrustedUntil = this->clock.now() + distrust;
    }
    this->tellHome(state, how == Departure::Finished ? GrantFinished : GrantLost);
    this->asks.erase(found);
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
    for (const auto &[id, state] : this->asks) {
        if (state.phase != AskPhase::Placed)
            ids.push_back(id);
    }
    for (const std::uint64_t id : ids) {
        const auto found = this->asks.find(id);
        if (found != this->asks.end())
            this->checkAsk(found->second);
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

void FleetPolicy::checkAsk(AskState &state)
{
    const TimePoint now = this->clock.now();
    const Duration waited = now - state.submittedAt;
    const Duration patience =
            state.ask.mayWait ? state.ask.maxWait : this->options.answerWait * mostAttempts;
    if (waited > patience) {
        ++this->tally.expired;
        this->withdrawElsewhere(state, "");
        this->refuse(state.ask.id, ResultCode::WaitExpired, "no engine had room in time");
        return;
    }
    const Duration inStep = now - state.stepAt;
    if (state.phase == AskPhase::Asking && inStep > this->options.answerWait) {
        this->tellHome(state, GrantWithdrawn);
        state.silent.push_back(state.engine);
        if (!state.queuedAt.empty())
            state.phase = AskPhase::Queued;
        else if (state.silent.size() >= mostAttempts)
            this->fallBack(state);
        else
            this->askFor(state);
        return;
    }
    if (state.phase == AskPhase::Queued && inStep >= this->options.reconsider)
        this->queueElsewhere(state);
}

// One queue may be stuck behind a long generation while another moves. A request that waits joins
// a few, the first that grants it room wins, and the others are told; so it waits for the best of
// several engines without anybody having to know which one that will be.
void FleetPolicy::queueElsewhere(AskState &state)
{
    state.stepAt = this->clock.now();
    if (state.queuedAt.size() >= this->options.queues)
        return;
    EngineView *other = this->choose(state);
    if (other == nullptr)
        return;
    ++this->tally.queuedTwice;
    this->askEngine(state, *other);
}

} // namespace jaytrack
