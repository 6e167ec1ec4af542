// Fleets whose store comes back from an older copy: every instance has to learn what the copy
// lacks, and all of them learn of the return in the same second.
#include "commonstartfleet.h"
#include "platformdocuments.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <algorithm>

using namespace jaytrack;
using namespace jaytrack::testing;
using namespace std::chrono_literals;

namespace {

// Time that a store takes for a call whose capacity the listings of all instances together exceed.
constexpr std::chrono::microseconds slowCall{5000};

// Listings beyond the first page: each of three readers lists twice, and three draws have 28
// instances list.
constexpr std::size_t maxListings = 34;

struct ReturnCase
{
    char name[48];
    int instances;
    int refused; // in a hundred
};

ReturnCase returnCases[] = {
        {"few instances", 7, 0},
        {"listings together take half a minute", 240, 0},
        {"the store refuses nine of ten", 240, 90},
};

std::size_t holding(const CommonStartFleet &fleet, std::uint64_t era)
{
    std::size_t count = 0;
    for (const auto &instance : fleet.instances)
        count += instance->holdsHistory(era) ? 1 : 0;
    return count;
}

} // namespace

ParameterizedTestParameters(storeEra, restoredStoreIsNotListedByEach)
{
    return cr_make_param_array(ReturnCase, returnCases, std::size(returnCases));
}

// Guards against a fleet that lists a restored store with all instances at once: no listing ends,
// and the instances refuse their callers once nothing confirms their configuration any more.
ParameterizedTest(ReturnCase *one, storeEra, restoredStoreIsNotListedByEach)
{
    CommonStartPlan plan;
    plan.instances = static_cast<std::size_t>(one->instances);
    plan.refused = one->refused;
    plan.timePerCall = quickCall;
    CommonStartFleet fleet(plan);
    cr_assert_lt(fleet.timeUntilServing(100, recoveryTime).count(), recoveryTime.count());
    fleet.runFor(4000ms);
    fleet.store.takeCopy();
    fleet.store.put("servers/lost", targetJson("127.0.0.1:9"));
    fleet.runFor(1000ms);
    fleet.store.limitCapacity(slowCall);
    fleet.store.comeBackFromCopy();
    fleet.store.put("servers/late-1", targetJson("127.0.0.1:9"));
    fleet.store.put("servers/late-2", targetJson("127.0.0.1:9"));
    const std::size_t before = fleet.store.calls();
    const std::uint64_t era = fleet.store.currentEra();
    for (auto waited = 0ms; holding(fleet, era) < plan.instances && waited < recoveryTime;
         waited += 200ms)
        fleet.runFor(200ms);
    const std::size_t calls = fleet.store.calls() - before;
    cr_expect(holding(fleet, era) == plan.instances,
              "%s: %zu of %d know the restored store, %zu calls", one->name, holding(fleet, era),
              one->instances, calls);
    const std::size_t pages = static_cast<std::size_t>(plan.targets) / plan.pageItems + 1;
    cr_expect(calls <= plan.instances + maxListings * pages, "%s: %zu calls", one->name, calls);
    // What the copy lacks and is not written again is gone a grace period after the return.
    fleet.runFor(restoreTime + 1000ms);
    const std::size_t listed = static_cast<std::size_t>(plan.targets) + 2;
    const auto wrong =
            std::count_if(fleet.instances.begin(), fleet.instances.end(),
                          [listed](const auto &each) { return each->targetCount() != listed; });
    cr_expect(wrong == 0, "%s: %ld instances hold other targets than the store", one->name,
              static_cast<long>(wrong));
}
