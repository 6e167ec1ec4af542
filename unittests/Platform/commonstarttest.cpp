// Fleets whose instances all start at the same moment before a store that is full, as after a loss
// of power: no instance has anything to share, and the callers of all are waiting.
#include "commonstartfleet.h"
#include "commonstartmodel.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <cstdio>
#include <vector>

using namespace jaytrack;
using namespace jaytrack::testing;
using namespace std::chrono_literals;

namespace {

// Time within which service is back on the sheet of the whole fleet.
constexpr std::chrono::milliseconds fleetRecoveryTime{18'000};

struct StartCase
{
    char name[48];
    int instances;
    int refused; // in a hundred
};

StartCase startCases[] = {
        {"few instances", 7, 0},
        {"listings together take half a minute", 240, 0},
        {"the store refuses nine of ten", 240, 90},
};

// What is wrong with the store when a modelled fleet starts.
struct ModelCase
{
    char name[48];
    int awayMillis;
    int latencyMillis;
    int refused; // in a hundred
    int discoveryDelay = 1;
};

ModelCase modelCases[] = {
        {"store in order", 0, 4, 0},
        {"store away for five seconds", 5000, 4, 0},
        {"store fifty times slower", 0, 200, 0},
        {"store refuses a third", 0, 4, 33},
        {"store refuses nine of ten", 0, 4, 90},
        {"store slow, refuses nine of ten", 0, 200, 90},
        {"others are found three times as slowly", 0, 4, 0, 3},
};

constexpr std::size_t modelSizes[] = {7, 195, 584, 1000};
constexpr std::uint64_t modelSeeds = 5;

CommonStartModelResult runModel(const ModelCase &store, std::size_t instances, std::uint64_t seed)
{
    CommonStartModelPlan plan;
    plan.instances = instances;
    plan.storeAwayFor = std::chrono::milliseconds(store.awayMillis);
    plan.storeLatency = std::chrono::milliseconds(store.latencyMillis);
    plan.refused = static_cast<std::size_t>(store.refused);
    plan.discoveryDelay = store.discoveryDelay;
    plan.seed = seed;
    const std::chrono::milliseconds limit = plan.storeAwayFor + fleetRecoveryTime;
    const CommonStartModelResult result = runCommonStart(plan, limit);
    std::printf("%s instances=%zu seed=%llu first_ms=%lld half_ms=%lld nine_tenths_ms=%lld "
                "calls=%zu listers=%zu megabytes=%.0f\n",
                store.name, instances, static_cast<unsigned long long>(seed),
                static_cast<long long>(result.first.count()),
                static_cast<long long>(result.half.count()),
                static_cast<long long>(result.nineTenths.count()), result.calls, result.listers,
                result.storeBytes / 1e6);
    cr_assert_lt(result.nineTenths.count(), limit.count(), "%s: %zu instances", store.name,
                 instances);
    return result;
}

} // namespace

ParameterizedTestParameters(commonStart, modelledFleetsAreServedInTime)
{
    return cr_make_param_array(ModelCase, modelCases, std::size(modelCases));
}

// Guards against a cost of a start for each instance that grows with the fleet, or a fleet whose
// size keeps it from being served in time.
ParameterizedTest(ModelCase *store, commonStart, modelledFleetsAreServedInTime)
{
    for (std::uint64_t seed = 1; seed <= modelSeeds; ++seed) {
        std::vector<double> callsOfEach;
        for (const std::size_t instances : modelSizes) {
            const CommonStartModelResult result = runModel(*store, instances, seed);
            callsOfEach.push_back(static_cast<double>(result.calls) /
                                  static_cast<double>(instances));
        }
        cr_assert_leq(callsOfEach.back(), callsOfEach.front(), "%s, seed %llu: calls of each",
                      store->name, static_cast<unsigned long long>(seed));
    }
}

ParameterizedTestParameters(commonStart, isServedWithinTheRecoveryTime)
{
    return cr_make_param_array(StartCase, startCases, std::size(startCases));
}

// Guards against a fleet that lists the store with all instances at once: the answers take longer
// than they are waited for, are asked for again, and no instance ever holds the targets.
ParameterizedTest(StartCase *start, commonStart, isServedWithinTheRecoveryTime)
{
    CommonStartPlan plan;
    plan.instances = static_cast<std::size_t>(start->instances);
    plan.refused = start->refused;
    CommonStartFleet fleet(plan);
    const std::chrono::milliseconds took = fleet.timeUntilServing(90, recoveryTime);
    cr_assert_lt(took.count(), recoveryTime.count(), "%s: %zu of %d serve after %lld ms, %zu calls",
                 start->name, fleet.serving(), start->instances,
                 static_cast<long long>(took.count()), fleet.store.calls());
    for (const auto &one : fleet.instances)
        cr_assert(!one->hasData() || one->targetCount() == static_cast<std::size_t>(plan.targets));
}
