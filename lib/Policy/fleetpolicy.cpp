#include "jaytrack/Policy/fleetpolicy.h"

#include "jaytrack/Support/digest.h"
#include "jaytrack/Wire/codec.h"

#include "peer_types.h"

#include <boost/functional/hash.hpp>

#include <algorithm>
#include <cassert>

namespace jaytrack {

namespace {

// Steps in the handing out of room, as they stand in GrantBody.kind.
enum GrantKind {
    GrantAsk = 0,
    GrantGiven = 1,
    GrantQueued = 2,
    GrantRefused = 3,
    GrantWithdrawn = 4,
    GrantFinished = 5,
    GrantLost = 6,
    GrantHeld = 7, // a generation that decodes already, told to a new home
    GrantProgress = 8
};

constexpr int mostAttempts = 3;
constexpr Duration distrust = std::chrono::seconds(5);
constexpr Duration subscriptionLength = std::chrono::seconds(30);
constexpr double stepSmoothing = 0.2;
constexpr double slowFactor = 2.0;    // times the median step, beyond which an engine is slow
constexpr double queuedPenalty = 0.2; // of a whole engine, for each request that waits there
constexpr double affinityRoom = 0.1;  // least room for the cached prefix to decide
constexpr double datagramBytes = 130; // of one datagram beside its content
constexpr Duration longestPutOff = std::chrono::seconds(2);
constexpr std::uint32_t leastTold = 32; // tokens
constexpr double homeWorth = 0.05;      // of an engine, for having its home here
constexpr double summaryBytes = 90;     // one summary with its share of a datagram

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

// ---- Messages ----

wire::GrantBody FleetPolicy::grantBody(const AskState &state, const std::string &engine,
                                       int kind) const
{
    const TimePoint now = this->clock.now();
    const RoomRequest request = this->roomRequest(state);
    const auto millis = [](Duration duration) {
        return static_cast<std::int32_t>(
                std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
    };
    wire::GrantBody body;
    body.serial = request.key.second;
    body.engine = engine;
    body.kind = kind;
    body.producedTokens = request.producedTokens;
    const bool describes = kind == GrantAsk || kind == GrantHeld;
    if (!describes)
        return body;
    body.promptTokens = request.promptTokens;
    body.priority = request.priority;
    body.customer = request.customer;
    body.weight = static_cast<std::int32_t>(request.weight);
    // Clocks of instances differ, so moments travel as the time that is left and has passed.
    body.waitMs = std::max(0, millis(request.deadline - now));
    body.waitedMs = std::max(0, millis(now - request.since));
    body.maxTokens = request.maxTokens;

    static constexpr double perMillion = 1e6;
    body.boundPerMillion = static_cast<std::int32_t>(request.overflowBound * perMillion);
    return body;
}

// Tells the home of the request's engine, which may be this instance, about it.
void FleetPolicy::tellHome(const AskState &state, int kind)
{
    this->tellHomeOf(state.engine, state, kind);
}

void FleetPolicy::tellHomeOf(const std::string &engine, const AskState &state, int kind)
{
    const auto view = this->engines.find(engine);
    if (view == this->engines.end() || !this->options.askHomes)
        return;
    const wire::GrantBody body = this->grantBody(state, engine, kind);
    if (view->second.home)
        this->onGrantBody(this->self, body);
    else
        this->post(view->second.homeName, body);
}

// What somebody waits for goes out at once and takes along what was put off for the same instance;
// the rest is put off, since a datagram costs more than what it says.
void FleetPolicy::post(const std::string &instance, const wire::GrantBody &body)
{
    wire::PolicyMessage &message = (*this->putOff)[instance];
    message.grants.push_back(body);
    const bool urgent = body.kind == GrantAsk || body.kind == GrantGiven ||
                        body.kind == GrantQueued || body.kind == GrantRefused;
    if (!urgent)
        return;
    const auto due = this->putOff->extract(instance);
    this->sendMessage(instance, due.mapped());
}

// Sends what was put off. Its pace falls with the number of receivers, so that the cost stays
// within its bound; what is late here is that room has come free.
void FleetPolicy::flush()
{
    const TimePoint now = this->clock.now();
    const double bytes = datagramBytes * static_cast<double>(this->putOff->size());
    const auto paced = std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(bytes / this->options.releaseBytesPerSecond));
    this->nextFlushAt = now + std::min<Duration>(paced, longestPutOff);
    std::map<std::string, wire::PolicyMessage> due;
    due.swap(*this->putOff);
    for (const auto &[instance, message] : due)
        this->sendMessage(instance, message);
}

void FleetPolicy::sendMessage(const std::string &instance, const wire::PolicyMessage &message)
{
    std::string bytes = encodeMessage(message);
    ++this->tally.sentMessages;
    this->tally.sentBytes += bytes.size();
    this->transport.send(instance, std::move(bytes));
}

void FleetPolicy::receive(std::string_view from, std::string_view bytes)
{
    const auto message = decodeMessage<wire::PolicyMessage>(bytes);
    if (!message)
        return;
    for (const wire::EngineSummary &summary : message->summaries)
        this->onSummary(summary);
    for (const wire::GrantBody &body : message->grants)
        this->onGrantBody(from, body);
}

void FleetPolicy::onGrantBody(std::string_view from, const wire::GrantBody &body)
{
    if (body.kind == GrantGiven || body.kind == GrantQueued || body.kind == GrantRefused) {
        this->onAnswer(from, body);
        return;
    }
    const auto found = this->engines.find(body.engine);
    if (found == this->engines.end() || !found->second.home)
        return; // not its home any more, or not yet; the asker will ask again
    EngineView &view = found->second;
    const GrantKey key{std::string(from), body.serial};
    const auto produced =
            static_cast<std::uint32_t>(std::max<std::int64_t>(0, body.producedTokens));
    const TimePoint now = this->clock.now();
    RoomRequest request;
    request.key = key;
    request.customer = body.customer;
    request.weight = static_cast<std::uint32_t>(std::max(1, body.weight));
    request.priority = body.priority;
    request.promptTokens = static_cast<std::uint32_t>(body.promptTokens);
    request.producedTokens = produced;
    request.maxTokens = static_cast<std::uint32_t>(body.maxTokens);

    request.overflowBound = body.boundPerMillion / 1e6;
    request.since = now - std::chrono::milliseconds(body.waitedMs);
    request.deadline = now + std::chrono::milliseconds(body.waitMs);
    if (from != this->self)
        this->subscribers.insert_or_assign(std::string(from), now);
    switch (body.kind) {
    case GrantAsk:
        view.home->ask(request);
        this->serveHome(view);
        // Granted or refused meanwhile, or else it waits and is told so.
        if (view.home->isWaiting(key))
            this->answer(request, view, GrantQueued);
        return;
    case GrantHeld:
        view.home->adopt(request);
        return;
    case GrantProgress:
        view.home->progress(key, produced);
        return;
    case GrantWithdrawn:
        view.home->withdraw(key);
        view.home->departed(key, Departure::Cancelled, produced);
        return;
    case GrantFinished:
        view.home->departed(key, Departure::Finished, produced);
        break;
    case GrantLost:
        view.home->departed(key, Departure::Lost, produced);
        break;
    default:
        return;
    }
    this->serveHome(view);
}

// Gives out what room there is and answers those whose time is over.
void FleetPolicy::serveHome(EngineView &view)
{
    EngineHome &home = *view.home;
    if (!home.takesWork()) {
        for (const RoomRequest &request : home.takeWaiting())
            this->answer(request, view, GrantRefused);
    }
    for (const RoomRequest &request : home.grantRoom())
        this->answer(request, view, GrantGiven);
    for (const RoomRequest &request : home.expire())
        this->answer(request, view, GrantRefused);
    view.alive = home.isAlive();
    view.leaving = home.isLeaving();
    view.room = home.roomPerMille() / 1000.0;
    view.queued = static_cast<int>(home.queued());
    view.askedSince = 0;
}

void FleetPolicy::answer(const RoomRequest &request, const EngineView &view, int kind)
{
    wire::GrantBody body;
    body.serial = request.key.second;
    body.engine = view.spec.name;
    body.kind = kind;
    if (request.key.first == this->self)
        this->onAnswer(this->self, body);
    else
        this->post(request.key.first, body);
}

void FleetPolicy::onAnswer(std::string_view from, const wire::GrantBody &body)
{
    const auto found = this->asks.find(static_cast<std::uint64_t>(body.serial));
    const auto expects = [&body](const AskState &state) {
        const auto &queues = state.queuedAt;
        return state.phase != AskPhase::Placed &&
               (state.engine == body.engine ||
                std::find(queues.begin(), queues.end(), body.engine) != queues.end());
    };
    const bool current = found != this->asks.end() && expects(found->second);
    if (!current) {
        // Room given to a request that has gone elsewhere; it goes back, or it would be held for
        // nobody. A repeated word on a request that sits on this very engine is no such room.
        const bool held = found != this->asks.end() && found->second.phase == AskPhase::Placed &&
                          found->second.engine == body.engine;
        if (body.kind == GrantGiven && !held) {
            wire::GrantBody back;
            back.serial = body.serial;
            back.engine = body.engine;
            back.kind = GrantWithdrawn;
            if (from == this->self)
                this->onGrantBody(this->self, back);
            else
                this->post(std::string(from), back);
        }
        return;
    }
    AskState &state = found->second;
    const auto known = this->engines.find(body.engine);
    if (known == this->engines.end())
        return; // taken out of the configuration meanwhile
    EngineView &view = known->second;
    if (body.kind == GrantGiven) {
        this->withdrawElsewhere(state, body.engine);
        const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(
                this->clock.now() - state.submittedAt);
        this->place(state, view,
                    "room granted by " + std::string(from) + " after " +
                            std::to_string(waited.count()) + " ms");
        return;
    }
    if (body.kind == GrantQueued) {
        const auto &queues = state.queuedAt;
        if (std::find(queues.begin(), queues.end(), body.engine) == queues.end())
            state.queuedAt.push_back(body.engine);
        state.phase = AskPhase::Queued;
        state.stepAt = this->clock.now();
        // The first engine was a guess on what was said a while ago; others are tried at once.
        if (state.attempts < static_cast<int>(this->options.queues))
            this->queueElsewhere(state);
        return;
    }
    view.room = std::min(view.room, 0.0);
    this->onRefused(state, body.engine);
}

void FleetPolicy::onRefused(AskState &state, const std::string &engine)
{
    std::erase(state.queuedAt, engine);
    const Duration waited = this->clock.now() - state.submittedAt;
    if (!state.ask.mayWait && state.attempts >= mostAttempts) {
        this->refuse(state.ask.id, ResultCode::Overloaded,
                     "engines are full and this may not wait");
    } else if (state.ask.mayWait && waited >= state.ask.maxWait) {
        ++this->tally.expired;
        this->refuse(state.ask.id, ResultCode::WaitExpired, "no engine had room in time");
    } else if (state.queuedAt.empty() || state.engine == engine) {
        state.phase = AskPhase::Queued;
        state.stepAt = TimePoint{}; // looks for another at the next tick
    }
}

// ---- Summaries ----

wire::EngineSummary FleetPolicy::summaryOf(EngineView &view)
{
    wire::EngineSummary summary;
    summary.engine = view.spec.name;
    summary.roomPerMille = view.home->roomPerMille();
    summary.queued = static_cast<std::int32_t>(view.home->queued());
    summary.alive = view.home->isAlive();
    summary.leaving = view.home->isLeaving();
    return summary;
}

void FleetPolicy::onSummary(const wire::EngineSummary &summary)
{
    const auto found = this->engines.find(summary.engine);
    if (found == this->engines.end() || found->second.home)
        return;
    EngineView &view = found->second;
    view.room = summary.roomPerMille / 1000.0;
    view.queued = summary.queued;
    view.alive = summary.alive;
    view.leaving = summary.leaving;
    view.askedSince = 0;
}

// Tells those who use the engines at home here how these are. The pace falls with the number of
// engines and users, so that the cost stays within its bound.
void FleetPolicy::sendSummaries()
{
    const TimePoint now = this->clock.now();
    std::erase_if(this->subscribers,
                  [now](const auto &entry) { return now - entry.second > subscriptionLength; });
    wire::PolicyMessage message;
    for (auto &[name, view] : this->engines) {
        if (view.home)
            message.summaries.push_back(this->summaryOf(view));
    }
    const double bytes = summaryBytes * static_cast<double>(message.summaries.size()) *
                         static_cast<double>(this->subscribers.size());
    const auto paced = std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(bytes / this->options.summaryBytesPerSecond));
    this->nextSummaryAt = now + std::max(this->options.summaryGap, paced);
    if (message.summaries.empty())
        return;
    for (const auto &[instance, since] : this->subscribers)
        this->sendMessage(instance, message);
}

} // namespace jaytrack
