// Fleets of instances before engines that crash under a part of prompts.
#include "partfleet.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace jaytrack;
using namespace jaytrack::testing;

namespace {

struct FleetPlan
{
    char name[64];
    PartFleetPlan plan;
};

constexpr std::chrono::seconds runLength{20};

// The users accept three requests that reach engines later than the bound after the fifth end.
constexpr std::size_t maxLateSends = 3;

PartFleetPlan fleetOf(std::size_t instances, std::size_t engines, double sound, double deadly)
{
    PartFleetPlan plan;
    plan.instances = instances;
    plan.engines = engines;
    plan.soundPerSecond = sound;
    plan.deadlyPerSecond = deadly;
    return plan;
}

template <typename Change>
PartFleetPlan changed(PartFleetPlan plan, const Change &change)
{
    change(plan);
    return plan;
}

} // namespace

// Guards against engines that end one after the other under a part that all instances should know,
// and against sound requests refused beside it.
ParameterizedTestParameters(partFleet, barsThePartEverywhereAndNothingElse)
{
    static const PartFleetPlan small = fleetOf(7, 18, 16, 4);
    static FleetPlan plans[] = {
            {"7 instances", small},
            {"7, a quarter of the messages lost",
             changed(small, [](PartFleetPlan &plan) { plan.lossRate = 0.25; })},
            {"7, half of them killed at the third end",
             changed(small, [](PartFleetPlan &plan) { plan.killedShare = 0.5; })},
            {"7, all killed at the third end",
             changed(small, [](PartFleetPlan &plan) { plan.killedShare = 1; })},
            {"7, from a fresh start",
             changed(small, [](PartFleetPlan &plan) { plan.freshStart = true; })},
            {"7, two parts at once",
             changed(small, [](PartFleetPlan &plan) { plan.deadlyParts = 2; })},
            {"7, ends by chance beside it",
             changed(small, [](PartFleetPlan &plan) { plan.chanceEndsPerSecond = 1; })},
            {"7, one version only",
             changed(small, [](PartFleetPlan &plan) { plan.oneVersionOnly = true; })},
            {"7, many deadly ones",
             changed(small, [](PartFleetPlan &plan) { plan.deadlyPerSecond = 12; })},
            {"7, far more deadly ones than sound ones", fleetOf(7, 18, 6, 40)},
            {"7, few deadly ones",
             changed(small, [](PartFleetPlan &plan) { plan.deadlyPerSecond = 1; })},
            {"195 instances", fleetOf(195, 300, 60, 6)},
            {"195, half of them killed at the third end",
             changed(fleetOf(195, 300, 60, 6),
                     [](PartFleetPlan &plan) { plan.killedShare = 0.5; })},
            {"584 instances", fleetOf(584, 900, 80, 8)},
            {"584, a tenth of the messages lost",
             changed(fleetOf(584, 900, 80, 8), [](PartFleetPlan &plan) { plan.lossRate = 0.1; })},
    };
    return cr_make_param_array(FleetPlan, plans, std::size(plans));
}

ParameterizedTest(FleetPlan *param, partFleet, barsThePartEverywhereAndNothingElse)
{
    PartFleetResult seen = PartFleet(param->plan).run(runLength);
    cr_log_info("%s: %zu ends, %zu late, %zu lost, %zu held, %zu messages", param->name,
                seen.deadlyEnds, seen.lateDeadlySends, seen.soundLost, seen.soundHeld,
                seen.messages);
    cr_assert_leq(seen.lateDeadlySends, maxLateSends, "%s: %zu", param->name, seen.lateDeadlySends);
    cr_assert(!seen.sharedPartBarred, "%s: a part that runs well was barred", param->name);
    // Half as often as usual is what the users call a breach; none should be refused.
    cr_assert_eq(seen.soundRefused, 0, "%s: %zu of %zu refused", param->name, seen.soundRefused,
                 seen.soundSent);
}
