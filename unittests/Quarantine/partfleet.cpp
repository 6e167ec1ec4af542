#include "partfleet.h"

#include "jaytrack/Quarantine/quarantinemessage.h"

#include <algorithm>

namespace jaytrack::testing {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds step{10};
constexpr milliseconds verdictDelay{500};
constexpr milliseconds endCheckDelay{70}; // until an instance knows that a target has ended
constexpr milliseconds repeatDelay{150};
constexpr milliseconds tickInterval{100};
constexpr milliseconds gossipInterval{1000};
constexpr milliseconds engineDownTime{3000};

// The users' bound for what instances know of each other.
constexpr milliseconds stableTime{3000};

constexpr std::string_view sharedPart = "shared";

} // namespace

PartFleet::PartFleet(const PartFleetPlan &given)
    : plan(given)
    , random(given.seed)
{
    this->clock.advance(std::chrono::hours(1));
    for (std::size_t i = 0; i < this->plan.instances; ++i)
        this->instances.push_back({std::make_unique<CrashQuarantine>(this->clock), 0});
    for (std::size_t i = 0; i < this->plan.engines; ++i) {
        const bool sound = this->plan.oneVersionOnly && i % 2 == 0;
        this->engines.push_back(
                {"e" + std::to_string(i), sound ? "s/1" : "s/2", this->clock.now(), {}});
    }
    if (this->plan.freshStart)
        return;
    const RequestIdentity known{"", {std::string(sharedPart)}};
    for (Instance &instance : this->instances) {
        for (const char *software : {"s/1", "s/2"})
            instance.quarantine->recordSafeRun({known, software, this->clock.now()});
    }
}

void PartFleet::at(TimePoint when, std::function<void()> action)
{
    this->events.emplace(when, std::move(action));
}

void PartFleet::arrive(bool deadly)
{
    auto request = std::make_shared<Request>();
    request->deadly = deadly;
    request->identity.digest = "d" + std::to_string(++this->serial);
    request->identity.parts = {std::string(sharedPart)};
    if (deadly)
        request->identity.parts.push_back("deadly" +
                                          std::to_string(this->drawIndex(this->plan.deadlyParts)));
    else if (this->serial % 8 == 0) // the second request of a session
        request->identity.parts.push_back("session" + std::to_string(this->serial));
    request->instance = this->drawIndex(this->instances.size());
    request->arrivedAt = this->clock.now();
    CrashQuarantine &own = *this->instances[request->instance].quarantine;
    const TimePoint since =
            this->fifthEndAt != TimePoint::max() ? this->fifthEndAt : this->lastEndAt;
    const bool counts =
            !deadly && this->result.deadlyEnds > 0 && this->clock.now() > since + 2 * stableTime;
    this->result.soundSent += counts ? 1 : 0;
    if (own.barredFor(request->identity) > Duration(0)) {
        this->result.soundRefused += counts ? 1 : 0;
        return;
    }
    this->attempt(request);
}

void PartFleet::attempt(const RequestPointer &request)
{
    CrashQuarantine &own = *this->instances[request->instance].quarantine;
    if (own.barredFor(request->identity) > Duration(0))
        return;
    const Duration wait = std::max(own.suspectedFor(request->identity, "s/1"),
                                   own.suspectedFor(request->identity, "s/2"));
    const bool mayWait = this->clock.now() - request->arrivedAt <= 2 * verdictDelay;
    if (this->plan.policy == SuspicionPolicy::HoldSuspected && wait > Duration(0) && mayWait) {
        this->result.soundHeld += request->deadly ? 0 : 1;
        const Duration stagger = std::chrono::duration_cast<Duration>(this->draw() * verdictDelay);
        this->at(this->clock.now() + wait + stagger, [this, request] { this->attempt(request); });
        return;
    }
    const std::size_t chosen = this->drawIndex(this->engines.size());
    Engine &engine = this->engines[chosen];
    if (engine.upAt > this->clock.now() ||
        own.barredAt(request->identity, engine.software) > Duration(0)) {
        this->at(this->clock.now() + step, [this, request] { this->attempt(request); });
        return;
    }
    ++request->sends;
    request->sentAt = this->clock.now();
    const bool harmful = request->deadly && engine.software == "s/2";
    const bool late = this->fifthEndAt != TimePoint::max() &&
                      this->clock.now() > this->fifthEndAt + stableTime;
    this->result.lateDeadlySends += harmful && late ? 1 : 0;
    engine.requests.insert(request);
    const milliseconds reading(200 + static_cast<int>(this->draw() * 400));
    this->at(this->clock.now() + reading,
             [this, request, chosen] { this->begin(request, chosen); });
}

void PartFleet::begin(const RequestPointer &request, std::size_t engine)
{
    if (this->engines[engine].requests.count(request) == 0)
        return;
    if (request->deadly && this->engines[engine].software == "s/2")
        return this->endEngine(engine, true);
    const TimePoint beganAt = this->clock.now();
    this->instances[request->instance].quarantine->recordAnswerBegun(this->engines[engine].software,
                                                                     beganAt);
    this->at(beganAt + milliseconds(60),
             [this, request, engine, beganAt] { this->complete(request, engine, beganAt); });
}

void PartFleet::complete(const RequestPointer &request, std::size_t engine, TimePoint beganAt)
{
    if (this->engines[engine].requests.erase(request) == 0)
        return;
    CrashQuarantine &own = *this->instances[request->instance].quarantine;
    const Cleared cleared =
            own.recordSafeRun({request->identity, this->engines[engine].software, beganAt});
    if (cleared.isEmpty())
        return;
    this->broadcast(request->instance, [request, cleared](CrashQuarantine &other) {
        other.clearRequest(request->identity.digest);
        for (const SoundPart &part : cleared.parts)
            other.clearPart(part);
    });
}

void PartFleet::endEngine(std::size_t engine, bool deadly)
{
    Engine &ended = this->engines[engine];
    const TimePoint now = this->clock.now();
    if (deadly && ++this->result.deadlyEnds == 5)
        this->fifthEndAt = now;
    if (deadly)
        this->lastEndAt = now;
    if (deadly && this->result.deadlyEnds == 3)
        this->restartSome();
    std::map<std::size_t, TargetEnd> reports;
    for (const RequestPointer &request : ended.requests) {
        TargetEnd &end = reports[request->instance];
        end.target = ended.name;
        end.software = ended.software;
        Suspect suspect{request->identity.digest, now - request->sentAt};
        for (const std::string &part : request->identity.parts)
            suspect.parts.push_back({part});
        end.suspects.push_back(std::move(suspect));
        this->result.soundLost += request->deadly ? 0 : 1;
        this->lose(request, ended.software);
    }
    for (const auto &[instance, end] : reports)
        this->at(now + endCheckDelay, [this, instance = instance, end = end, now] {
            TargetEnd report = end;
            report.ago = this->clock.now() - now;
            this->reportEnd(instance, std::move(report));
        });
    ended.requests.clear();
    ended.name = "e" + std::to_string(++this->serial);
    ended.upAt = now + engineDownTime;
}

void PartFleet::lose(const RequestPointer &request, const std::string &software)
{
    const std::size_t incarnation = this->instances[request->instance].incarnation;
    const bool unknown = this->instances[request->instance].quarantine->hasUnknownPart(
            request->identity, software);
    const SuspicionPolicy policy = this->plan.policy;
    if (request->sends >= 2 || (unknown && policy == SuspicionPolicy::NeverRetry))
        return;
    const bool waits = unknown && policy != SuspicionPolicy::RetryAtOnce;
    this->at(this->clock.now() + (waits ? verdictDelay : step), [this, request, incarnation] {
        if (this->instances[request->instance].incarnation == incarnation)
            this->attempt(request);
    });
}

void PartFleet::reportEnd(std::size_t instance, TargetEnd end)
{
    CrashQuarantine &own = *this->instances[instance].quarantine;
    own.describeParts(end);
    own.recordEnd(end);
    const TimePoint endedAt = this->clock.now() - end.ago;
    const auto message = [this, end, endedAt](CrashQuarantine &other) {
        TargetEnd arrived = end;
        arrived.ago = this->clock.now() - endedAt;
        other.recordEnd(arrived);
    };
    this->broadcast(instance, message);
    this->at(this->clock.now() + repeatDelay,
             [this, instance, message] { this->broadcast(instance, message); });
}

void PartFleet::tick(std::size_t instance)
{
    CrashQuarantine &own = *this->instances[instance].quarantine;
    const std::vector<BarredRequest> verdicts = own.evaluate();
    this->result.sharedPartBarred = this->result.sharedPartBarred || own.isBarred(sharedPart);
    if (!verdicts.empty())
        this->gossip(instance,
                     [this, verdicts](std::size_t to) { this->acceptBars(to, verdicts); });
    const auto now = this->clock.now().time_since_epoch();
    const bool due = now % gossipInterval < tickInterval;
    const std::vector<BarredRequest> all = due ? own.barred() : std::vector<BarredRequest>();
    if (!all.empty())
        this->gossip(instance, [this, all](std::size_t to) { this->acceptBars(to, all); });
}

void PartFleet::acceptBars(std::size_t instance, const std::vector<BarredRequest> &bars)
{
    CrashQuarantine &own = *this->instances[instance].quarantine;
    std::vector<BarredRequest> news;
    std::vector<SoundPart> objections;
    for (const BarredRequest &request : bars) {
        if (const auto objection = own.objection(request))
            objections.push_back(*objection);
        else if (own.bar(request))
            news.push_back(request);
    }
    if (!news.empty())
        this->gossip(instance, [this, news](std::size_t to) { this->acceptBars(to, news); });
    for (const SoundPart &part : objections)
        this->gossip(instance, [this, part](std::size_t to) {
            this->instances[to].quarantine->clearPart(part);
        });
}

void PartFleet::send(std::size_t to, std::function<void(CrashQuarantine &)> message)
{
    ++this->result.messages;
    if (this->draw() < this->plan.lossRate)
        return;
    this->at(
            this->clock.now() + milliseconds(5 + static_cast<int>(this->draw() * 15)),
            [this, to, message = std::move(message)] { message(*this->instances[to].quarantine); });
}

void PartFleet::broadcast(std::size_t from, const std::function<void(CrashQuarantine &)> &message)
{
    for (std::size_t to = 0; to < this->instances.size(); ++to) {
        if (to != from)
            this->send(to, message);
    }
}

void PartFleet::gossip(std::size_t, const std::function<void(std::size_t)> &message)
{
    for (std::size_t i = 0; i < gossipFanout; ++i) {
        const std::size_t to = this->drawIndex(this->instances.size());
        this->send(to, [message, to](CrashQuarantine &) { message(to); });
    }
}

void PartFleet::restartSome()
{
    const auto count = static_cast<std::size_t>(this->plan.killedShare *
                                                static_cast<double>(this->instances.size()));
    for (std::size_t i = 0; i < count; ++i) {
        this->instances[i].quarantine = std::make_unique<CrashQuarantine>(this->clock);
        ++this->instances[i].incarnation;
    }
}

PartFleetResult PartFleet::run(std::chrono::seconds length)
{
    const TimePoint end = this->clock.now() + length;
    const double stepSeconds = std::chrono::duration<double>(step).count();
    std::poisson_distribution<int> sound(this->plan.soundPerSecond * stepSeconds);
    std::poisson_distribution<int> deadly(this->plan.deadlyPerSecond * stepSeconds);
    std::poisson_distribution<int> chance(std::max(1e-9, this->plan.chanceEndsPerSecond) *
                                          stepSeconds);
    // Some seconds of sound requests come first.
    const TimePoint deadlyFrom =
            this->clock.now() + (this->plan.freshStart ? milliseconds(0) : milliseconds(2000));
    while (this->clock.now() < end) {
        this->clock.advance(step);
        const TimePoint now = this->clock.now();
        while (!this->events.empty() && this->events.begin()->first <= now) {
            const auto node = this->events.extract(this->events.begin());
            node.mapped()();
        }
        for (int i = sound(this->random); i > 0; --i)
            this->arrive(false);
        for (int i = now >= deadlyFrom ? deadly(this->random) : 0; i > 0; --i)
            this->arrive(true);
        for (int i = chance(this->random); i > 0; --i)
            this->endEngine(this->drawIndex(this->engines.size()), false);
        for (std::size_t i = 0; i < this->instances.size(); ++i) {
            const auto phase = now.time_since_epoch() / step + static_cast<std::int64_t>(i);
            if (phase % (tickInterval / step) == 0)
                this->tick(i);
        }
    }
    return this->result;
}

} // namespace jaytrack::testing
