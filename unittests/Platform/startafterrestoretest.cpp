// Instances that start shortly after the store was restored from an older copy.
#include "commonstartfleet.h"
#include "entryfixture.h"
#include "platformdocuments.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace jaytrack;
using namespace jaytrack::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t changedVersion = 2;

struct NewcomerCase
{
    char name[40];
    int instances; // that run already
    int pageItems;
    bool restored;
};

NewcomerCase newcomerCases[] = {
        {"a small store", 7, 100, true},   {"a store of several pages", 7, 10, true},
        {"a large fleet", 195, 100, true}, {"a whole fleet", 584, 100, true},
        {"no restore", 7, 100, false},
};

struct PauseCase
{
    int instances;
};

PauseCase pauseCases[] = {{7}, {195}};

struct StartCase
{
    char name[40];
    bool firstStart;
    bool servedAtOnce;
};

StartCase startCases[] = {
        {"first start of the system", true, true},
        {"the system has run before", false, false},
};

CommonStartPlan planOf(int instances, int pageItems)
{
    CommonStartPlan plan;
    plan.instances = static_cast<std::size_t>(instances);
    plan.targets = 20;
    plan.pageItems = static_cast<std::size_t>(pageItems);
    plan.timePerCall = quickCall;
    return plan;
}

// Makes the changes that the store loses by its restore.
void changeConfigurationAndTargets(StoreStandin &store)
{
    store.put("op/config", configurationJson(changedVersion, {RouteSpec()}).dump());
    store.remove("servers/t0");
    store.put("op/evacuate/dc9", "{}");
}

RouteSpec plainRoute()
{
    RouteSpec route;
    route.type = "safe";
    return route;
}

nlohmann::json configurationWithKeys(std::uint64_t version, const nlohmann::json &keys)
{
    nlohmann::json document = configurationJson(static_cast<int>(version), {plainRoute()});
    document["Tenants"][0]["ApiKeys"] = keys;
    return document;
}

// Runs the fleet until the instance can serve callers, at most for as long as one waits that knows
// no others. Returns whether it can.
bool becomesReady(CommonStartFleet &fleet, const StartingInstance &instance)
{
    const TimePoint end = fleet.now() + restoreTime;
    while (!instance.hasData() && fleet.now() < end)
        fleet.runFor(100ms);
    return instance.hasData();
}

int statusOfKey(const EntryFixture &entry, const std::string &key)
{
    RequestSpec spec;
    spec.key = key;
    const CallerView view = callOnce(entry.port(), requestText(spec));
    return view.bytes.size() < 12 ? 0 : std::stoi(view.bytes.substr(9, 3));
}

} // namespace

ParameterizedTestParameters(startAfterRestore, takesOverWhatOthersKnow)
{
    return cr_make_param_array(NewcomerCase, newcomerCases, std::size(newcomerCases));
}

// Guards against an instance that starts after a restore and takes the copy for the newest: it lets
// a key in that was taken away, and sends requests to a target that has left or to a data centre
// that is out of use.
ParameterizedTest(NewcomerCase *given, startAfterRestore, takesOverWhatOthersKnow)
{
    CommonStartFleet fleet(planOf(given->instances, given->pageItems));
    cr_assert_lt(fleet.timeUntilServing(100, recoveryTime).count(), recoveryTime.count());
    fleet.runFor(4000ms); // by then all know each other
    fleet.store.takeCopy();
    changeConfigurationAndTargets(fleet.store);
    fleet.runFor(1500ms);
    if (given->restored)
        fleet.store.comeBackFromCopy();
    fleet.runFor(100ms);
    const StartingInstance &newcomer = fleet.addInstance();
    const TimePoint end = fleet.now() + restoreTime + 1000ms;
    cr_assert(becomesReady(fleet, newcomer), "%s", given->name);
    cr_expect(newcomer.isOutOfUse("dc9"), "%s", given->name);
    while (fleet.now() < end) {
        cr_assert_eq(newcomer.configurationVersion(), changedVersion, "%s", given->name);
        cr_assert_not(newcomer.maySendTo("t0"), "%s", given->name);
        cr_assert(newcomer.maySendTo("t1"), "%s", given->name);
        fleet.runFor(100ms);
    }
}

ParameterizedTestParameters(startAfterRestore, pausedInstanceTakesOverWhatOthersKnow)
{
    return cr_make_param_array(PauseCase, pauseCases, std::size(pauseCases));
}

// Guards against an instance that was held up before a restore and then takes the copy for the
// newest, since others have the same revision.
ParameterizedTest(PauseCase *given, startAfterRestore, pausedInstanceTakesOverWhatOthersKnow)
{
    CommonStartFleet fleet(planOf(given->instances, 100));
    cr_assert_lt(fleet.timeUntilServing(100, recoveryTime).count(), recoveryTime.count());
    fleet.runFor(7000ms); // by then only readers read the store
    const StartingInstance &paused = fleet.nonReader();
    fleet.store.takeCopy();
    fleet.pause(paused.name);
    fleet.cutOff(paused.name);
    changeConfigurationAndTargets(fleet.store);
    fleet.runFor(4000ms);
    fleet.store.comeBackFromCopy();
    fleet.runFor(600ms);
    cr_assert_not(paused.hasData());
    cr_assert_eq(paused.configurationVersion(), 1, "it has missed the change");
    fleet.pause("");
    fleet.runFor(1300ms); // in which it reads the store by itself
    fleet.cutOff("");
    const TimePoint end = fleet.now() + restoreTime;
    cr_assert(becomesReady(fleet, paused));
    while (fleet.now() < end) {
        cr_assert_eq(paused.configurationVersion(), changedVersion);
        cr_assert_not(paused.maySendTo("t0"));
        fleet.runFor(100ms);
    }
}

ParameterizedTestParameters(startAfterRestore, aloneWaitsForLostChanges)
{
    return cr_make_param_array(StartCase, startCases, std::size(startCases));
}

// Guards against a key that was taken away and is accepted again, because all instances were killed
// after a restore.
ParameterizedTest(StartCase *given, startAfterRestore, aloneWaitsForLostChanges)
{
    ScriptedServer target(goodAnswer);
    FixtureOptions options;
    options.firstStart = given->firstStart;
    options.items = {{"op/config", configurationWithKeys(1, {"k1", "k2"}).dump()},
                     {"servers/t1", targetJson(target.address())}};
    const auto startedAt = std::chrono::steady_clock::now();
    EntryFixture entry({plainRoute()}, options);
    cr_expect_eq(entry.becomesReady(1000ms), given->servedAtOnce, "%s", given->name);
    bool served = false;
    while (std::chrono::steady_clock::now() - startedAt < 1800ms) {
        served = served || statusOfKey(entry, "k1") == 200;
        std::this_thread::sleep_for(50ms);
    }
    cr_expect_eq(served, given->servedAtOnce, "%s", given->name);
    entry.publish(configurationWithKeys(changedVersion, {"k2"}));
    cr_assert(entry.becomesReady(2000ms));
    std::this_thread::sleep_for(1000ms);
    cr_expect_eq(statusOfKey(entry, "k1"), 401);
    cr_expect_eq(statusOfKey(entry, "k2"), 200);
}
