// The half of the fleet policy that talks: what homes and askers say to each other.
#include "jaytrack/Policy/fleetpolicy.h"

#include "granting.h"
#include "jaytrack/Wire/codec.h"

#include "peer_types.h"

#include <algorithm>

namespace jaytrack {

namespace {

constexpr Duration subscriptionLength = std::chrono::seconds(30);
constexpr double datagramBytes = 130; // of one datagram beside its content
constexpr Duration longestPutOff = std::chrono::seconds(2);
constexpr double summaryBytes = 90; // one summary with its share of a datagram

} // namespace

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
