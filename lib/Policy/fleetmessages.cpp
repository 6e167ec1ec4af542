// The messages of the fleet policy between the homes of engines and the instances that request
// room.
#include "jaytrack/Policy/fleetpolicy.h"

#include "granting.h"
#include "jaytrack/Wire/codec.h"

#include "peer_types.h"

#include <algorithm>

namespace jaytrack {

namespace {

constexpr Duration subscriptionLifetime = std::chrono::seconds(30);
constexpr double datagramBytes = 130; // overhead of one datagram
constexpr Duration maxDeferral = std::chrono::seconds(2);
constexpr double summaryBytes = 90; // one summary and its share of the datagram overhead

} // namespace

wire::GrantBody FleetPolicy::grantBody(const RequestState &state, const std::string &engine,
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
    const bool carriesDetails = kind == GrantRequest || kind == GrantHeld;
    if (!carriesDetails)
        return body;
    body.promptTokens = request.promptTokens;
    body.priority = request.priority;
    body.customer = request.customer;
    body.weight = static_cast<std::int32_t>(request.weight);
    // The clocks of instances differ, so points in time are sent as remaining and elapsed
    // durations.
    body.waitMs = std::max(0, millis(request.deadline - now));
    body.waitedMs = std::max(0, millis(now - request.since));
    body.maxTokens = request.maxTokens;

    static constexpr double perMillion = 1e6;
    body.boundPerMillion = static_cast<std::int32_t>(request.overflowBound * perMillion);
    return body;
}

// Notifies the home of the request's engine, which may be this instance.
void FleetPolicy::notifyHome(const RequestState &state, int kind)
{
    this->notifyHomeOf(state.engine, state, kind);
}

void FleetPolicy::notifyHomeOf(const std::string &engine, const RequestState &state, int kind)
{
    const auto view = this->engines.find(engine);
    if (view == this->engines.end() || !this->options.useHomes)
        return;
    const wire::GrantBody body = this->grantBody(state, engine, kind);
    if (view->second.home)
        this->onGrantBody(this->self, body);
    else
        this->sendOrDefer(view->second.homeName, body);
}

// Sends a message immediately if a request is waiting for it, together with the deferred messages
// for the same instance. Other messages are deferred, because a datagram costs more than its
// content.
void FleetPolicy::sendOrDefer(const std::string &instance, const wire::GrantBody &body)
{
    wire::PolicyMessage &message = (*this->deferred)[instance];
    message.grants.push_back(body);
    const bool urgent = body.kind == GrantRequest || body.kind == GrantGiven ||
                        body.kind == GrantQueued || body.kind == GrantRefused;
    if (!urgent)
        return;
    const auto due = this->deferred->extract(instance);
    this->sendMessage(instance, due.mapped());
}

// Sends the deferred messages. The interval grows with the number of receivers to keep the cost
// within its bound; the effect is that homes learn later about room that has become free.
void FleetPolicy::flush()
{
    const TimePoint now = this->clock.now();
    const double bytes = datagramBytes * static_cast<double>(this->deferred->size());
    const auto paced = std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(bytes / this->options.releaseBytesPerSecond));
    this->nextFlushAt = now + std::min<Duration>(paced, maxDeferral);
    std::map<std::string, wire::PolicyMessage> due;
    due.swap(*this->deferred);
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
        return; // no longer or not yet its home; the sender will send its request again
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
    case GrantRequest:
        view.home->enqueue(request);
        this->serveHome(view);
        // If the request was neither granted nor refused by serveHome(), it waits and its
        // sender is notified.
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

// Grants the available room and refuses requests whose deadline has passed.
void FleetPolicy::serveHome(EngineView &view)
{
    EngineHome &home = *view.home;
    if (!home.acceptsWork()) {
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
    view.requestedSince = 0;
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
        this->sendOrDefer(request.key.first, body);
}

void FleetPolicy::onAnswer(std::string_view from, const wire::GrantBody &body)
{
    const auto found = this->requests.find(static_cast<std::uint64_t>(body.serial));
    const auto expects = [&body](const RequestState &state) {
        const auto &queues = state.queuedAt;
        return state.phase != RequestPhase::Placed &&
               (state.engine == body.engine ||
                std::find(queues.begin(), queues.end(), body.engine) != queues.end());
    };
    const bool current = found != this->requests.end() && expects(found->second);
    if (!current) {
        // The grant is for a request that has been placed elsewhere or has ended, so the
        // room is returned; otherwise it would stay reserved for nothing. A duplicate grant
        // for a request that is placed on this engine is ignored.
        const bool held = found != this->requests.end() &&
                          found->second.phase == RequestPhase::Placed &&
                          found->second.engine == body.engine;
        if (body.kind == GrantGiven && !held) {
            wire::GrantBody withdrawal;
            withdrawal.serial = body.serial;
            withdrawal.engine = body.engine;
            withdrawal.kind = GrantWithdrawn;
            if (from == this->self)
                this->onGrantBody(this->self, withdrawal);
            else
                this->sendOrDefer(std::string(from), withdrawal);
        }
        return;
    }
    RequestState &state = found->second;
    const auto known = this->engines.find(body.engine);
    if (known == this->engines.end())
        return; // removed from the configuration meanwhile
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
        state.phase = RequestPhase::Queued;
        state.stepAt = this->clock.now();
        // The first engine was chosen by an outdated summary, so other queues are joined at
        // once.
        if (state.attempts < static_cast<int>(this->options.queues))
            this->joinAnotherQueue(state);
        return;
    }
    view.room = std::min(view.room, 0.0);
    this->onRefused(state, body.engine);
}

void FleetPolicy::onRefused(RequestState &state, const std::string &engine)
{
    std::erase(state.queuedAt, engine);
    const Duration waited = this->clock.now() - state.submittedAt;
    if (!state.ask.mayWait && state.attempts >= maxAttempts) {
        this->refuse(state.ask.id, ResultCode::Overloaded,
                     "all engines are full and the request may not wait");
    } else if (state.ask.mayWait && waited >= state.ask.maxWait) {
        ++this->tally.expired;
        this->refuse(state.ask.id, ResultCode::WaitExpired,
                     "no engine had room within the maximum wait");
    } else if (state.queuedAt.empty() || state.engine == engine) {
        state.phase = RequestPhase::Queued;
        state.stepAt = TimePoint{}; // look for another engine at the next tick
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
    view.requestedSince = 0;
}

// Sends summaries of the engines whose home is this instance to the instances that use them. The
// interval grows with the number of engines and subscribers to keep the cost within its bound.
void FleetPolicy::sendSummaries()
{
    const TimePoint now = this->clock.now();
    std::erase_if(this->subscribers,
                  [now](const auto &entry) { return now - entry.second > subscriptionLifetime; });
    wire::PolicyMessage message;
    for (auto &[name, view] : this->engines) {
        if (view.home)
            message.summaries.push_back(this->summaryOf(view));
    }
    const double bytes = summaryBytes * static_cast<double>(message.summaries.size()) *
                         static_cast<double>(this->subscribers.size());
    const auto paced = std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(bytes / this->options.summaryBytesPerSecond));
    this->nextSummaryAt = now + std::max(this->options.summaryInterval, paced);
    if (message.summaries.empty())
        return;
    for (const auto &[instance, since] : this->subscribers)
        this->sendMessage(instance, message);
}

} // namespace jaytrack
