#include "commonstartfleet.h"

#include "platformdocuments.h"

#include "jaytrack/Net/socket.h"

#include <asio/post.hpp>
#include <criterion/criterion.h>

#include <algorithm>

namespace jaytrack::testing {

namespace {

constexpr std::chrono::milliseconds tickInterval{100};

// What an instance knows of the others after a common start: nobody, then the seeds, then those
// that the seeds had heard of, then all.
struct Discovery
{
    std::chrono::milliseconds after;
    std::size_t inAHundred;
    std::size_t least;
};

constexpr Discovery discoveries[] = {
        {std::chrono::milliseconds(100), 0, 3},
        {std::chrono::milliseconds(400), 50, 3},
        {std::chrono::milliseconds(2000), 97, 3},
        {std::chrono::milliseconds(3500), 100, 3},
};

// As instances share at most.
constexpr std::size_t maxSharedBytes = 131'072;

// Instances that learn of others before the loop handles what has arrived meanwhile.
constexpr std::size_t discoveryBatch = 16;

std::string nameOf(std::size_t index)
{
    return "instance-" + std::to_string(index);
}

StoreFollowerOptions followerOptions(const std::string &store, const Dialect &dialect)
{
    StoreFollowerOptions options;
    options.store = parseEndpoint(store).value();
    options.stalePrefix = dialect.targetsPrefix();
    options.gap = std::chrono::milliseconds(400);
    options.systemRanBefore = true;
    return options;
}

} // namespace

TimePoint TurnClock::now() const
{
    return this->time + std::min(this->system.now() - this->turnBegin, maxTurn);
}

void TurnClock::beginTurn()
{
    this->time = this->now();
    this->turnBegin = this->system.now();
}

StartingInstance::StartingInstance(CommonStartFleet &of, asio::io_context &loop, const Clock &time,
                                   const std::string &ownName, std::uint64_t seed,
                                   const std::string &store)
    : name(ownName)
    , fleet(of)
    , random(seed)
    , configuration(time, *this->dialect)
    , targets(loop, time, *this->dialect, this->metrics, this->directory)
    , sharing(time, ownName, {}, this->random, this->configuration, this->targets, *this)
    , follower(std::make_shared<StoreFollower>(loop, time, *this->dialect,
                                               followerOptions(store, *this->dialect), seed,
                                               this->feeds, this->sharing))
{
    this->sharing.attach(this->follower);
}

void StartingInstance::shareStoreChanges(const SharedChanges &changes)
{
    for (SharedChanges &part : splitChanges(changes, maxSharedBytes)) {
        this->fleet.countNotice(part);
        const auto shared = std::make_shared<const SharedChanges>(std::move(part));
        this->fleet.deliverToAll(
                *this, [shared](StartingInstance &to) { to.sharing.onStoreFromPeer(*shared); });
    }
}

void StartingInstance::sendFreshnessQuery(std::string_view instance, std::int64_t requestedAt)
{
    this->fleet.deliver(instance, [from = this->name, requestedAt](StartingInstance &to) {
        to.sharing.onFreshnessQuery(from, requestedAt);
    });
}

void StartingInstance::sendFreshnessAnswer(std::string_view instance, std::int64_t requestedAt,
                                           const StoreFreshness &freshness)
{
    this->fleet.deliver(instance, [=, from = this->name](StartingInstance &to) {
        to.sharing.onFreshnessAnswer(from, requestedAt, freshness);
    });
}

std::string StartingInstance::randomInstance()
{
    return this->fleet.randomInstance(*this, this->random);
}

// Packs and unpacks as a transfer does.
void StartingInstance::requestSnapshot(std::string_view instance)
{
    this->fleet.deliver(instance, [from = this->name](StartingInstance &to) {
        const std::optional<PackedSnapshot> packed = to.sharing.packedSnapshot();
        to.fleet.deliver(from, [packed](StartingInstance &asker) {
            auto snapshot = packed ? unpackSnapshot(*packed->bytes) : std::nullopt;
            if (snapshot)
                snapshot->age = packed->age;
            asker.sharing.onSnapshot(snapshot);
        });
    });
}

CommonStartFleet::CommonStartFleet(const CommonStartPlan &startPlan)
    : plan(startPlan)
{
    this->store.put("op/config", configurationJson(1, {RouteSpec()}).dump());
    for (int i = 0; i < this->plan.targets; ++i)
        this->store.put("servers/t" + std::to_string(i), targetJson("127.0.0.1:9"));
    for (const std::string &key : this->plan.otherKeys)
        this->store.put(key, "{}");
    this->store.answerInstead(this->plan.otherAnswer);
    this->store.limitPages(this->plan.pageItems);
    this->store.limitCapacity(this->plan.timePerCall);
    const auto refused = this->plan.instances * static_cast<std::size_t>(this->plan.refused) / 100;
    for (std::size_t i = 0; i < this->plan.instances; ++i)
        this->add(i < refused ? this->unreachable.address() : this->store.address());
    this->clock.beginTurn();
    this->startedAt = this->clock.now();
    for (const auto &instance : this->instances)
        instance->start();
}

StartingInstance &CommonStartFleet::add(const std::string &storeAddress)
{
    const std::size_t index = this->instances.size();
    this->instances.push_back(std::make_unique<StartingInstance>(
            *this, this->loop, this->clock, nameOf(index), index, storeAddress));
    StartingInstance &added = *this->instances.back();
    this->byName.emplace(added.name, &added);
    return added;
}

std::string CommonStartFleet::randomInstance(const StartingInstance &except,
                                             std::mt19937_64 &random) const
{
    if (this->known == 0)
        return {};
    const std::string picked = nameOf(random() % this->known);
    return picked == except.name ? std::string() : picked;
}

void CommonStartFleet::deliver(std::string_view to, std::function<void(StartingInstance &)> message)
{
    this->post(*this->byName.at(std::string(to)), std::move(message));
}

void CommonStartFleet::deliverToAll(const StartingInstance &from,
                                    const std::function<void(StartingInstance &)> &message)
{
    for (const auto &one : this->instances) {
        if (one.get() != &from)
            this->post(*one, message);
    }
}

void CommonStartFleet::post(StartingInstance &to, std::function<void(StartingInstance &)> message)
{
    if (to.name == this->cutName)
        return;
    asio::post(this->loop, [&to, message = std::move(message)] { message(to); });
}

std::size_t CommonStartFleet::knownPeers() const
{
    std::size_t count = 0;
    for (const Discovery &step : discoveries) {
        if (this->clock.now() - this->startedAt >= step.after)
            count = std::max(step.least, this->plan.instances * step.inAHundred / 100);
    }
    return std::min(count, this->plan.instances);
}

void CommonStartFleet::discover()
{
    const std::size_t count = this->knownPeers();
    if (count == this->known)
        return;
    this->known = count;
    std::size_t told = 0;
    for (const auto &one : this->instances) {
        one->setPeers(this->othersOf(*one));
        if (++told % discoveryBatch == 0)
            this->loop.poll();
    }
}

std::vector<std::string> CommonStartFleet::othersOf(const StartingInstance &one) const
{
    std::vector<std::string> others;
    for (std::size_t i = 0; i < this->known; ++i) {
        if (nameOf(i) != one.name)
            others.push_back(nameOf(i));
    }
    return others;
}

const StartingInstance &CommonStartFleet::addInstance()
{
    StartingInstance &added = this->add(this->store.address());
    added.start();
    added.setPeers(this->othersOf(added));
    return added;
}

void CommonStartFleet::restart(std::size_t index)
{
    std::unique_ptr<StartingInstance> &place = this->instances[index];
    place->stop();
    this->ended.push_back(std::move(place));
    place = std::make_unique<StartingInstance>(*this, this->loop, this->clock, nameOf(index),
                                               this->plan.instances + this->ended.size(),
                                               this->store.address());
    this->byName[place->name] = place.get();
    place->start();
    place->setPeers(this->othersOf(*place));
}

void CommonStartFleet::forgetMembers()
{
    this->startedAt = this->clock.now();
    this->known = 0;
}

void CommonStartFleet::countNotice(const SharedChanges &part)
{
    for (const StoreItem &item : part.items)
        this->sentBytes += item.key.size() + item.value.size();
}

const StartingInstance &CommonStartFleet::nonReader() const
{
    for (const auto &one : this->instances) {
        std::mt19937_64 random;
        ReadDuty duty(this->clock, one->name, {}, random);
        duty.setPeers(this->othersOf(*one));
        if (!duty.isReader())
            return *one;
    }
    cr_assert_fail("all instances read the store");
}

void CommonStartFleet::runFor(std::chrono::milliseconds time)
{
    for (const TimePoint end = this->clock.now() + time; this->clock.now() < end;) {
        this->clock.beginTurn();
        this->loop.restart();
        this->loop.run_for(tickInterval);
        this->discover();
        for (const auto &one : this->instances) {
            if (one->name != this->pausedName)
                one->tick();
        }
    }
}

std::size_t CommonStartFleet::serving() const
{
    return static_cast<std::size_t>(std::count_if(this->instances.begin(), this->instances.end(),
                                                  [](const auto &one) { return one->hasData(); }));
}

std::chrono::milliseconds CommonStartFleet::timeUntilServing(std::size_t inAHundred,
                                                             std::chrono::milliseconds limit)
{
    const TimePoint begunAt = this->now();
    const auto elapsed = [this, begunAt] {
        return std::chrono::duration_cast<std::chrono::milliseconds>(this->now() - begunAt);
    };
    while (this->serving() * 100 < inAHundred * this->instances.size()) {
        if (elapsed() >= limit)
            return limit;
        this->runFor(tickInterval);
    }
    return elapsed();
}

} // namespace jaytrack::testing
