// Targets that crash when they have to refuse too many requests within a second.
#include "brittlefleet.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace jaytrack;
using namespace jaytrack::testing;
using namespace std::chrono_literals;

namespace {

BrittleFleetPlan plans[] = {
        {7, 3, 10, 0.8, 30ms},  {7, 3, 10, 1.5, 30ms}, {7, 3, 10, 4},   {7, 3, 3, 2},
        {60, 4, 10, 1.2, 30ms}, {60, 4, 10, 4},        {60, 20, 5, 2},  {195, 6, 10, 1.2, 30ms},
        {195, 6, 5, 4},         {584, 20, 10, 1.2},    {584, 20, 5, 3}, {60, 4, 10, 3, 150ms, 0.2},
        {584, 60, 5, 2, 500ms}};

// Of what the targets could serve, or of what was asked for where that is less.
constexpr double minServedShare = 0.7;

} // namespace

// Guards against a fleet whose refused requests make one brittle target after the other crash.
ParameterizedTestParameters(brittle, fleetKeepsTargetsUp)
{
    return cr_make_param_array(BrittleFleetPlan, plans, std::size(plans));
}

ParameterizedTest(BrittleFleetPlan *plan, brittle, fleetKeepsTargetsUp)
{
    BrittleFleet fleet(*plan);
    fleet.run();
    const double allowed = 2 + static_cast<double>(plan->targets) / 10;
    cr_log_info("instances=%zu targets=%zu tolerated=%.0f load=%.1f: crashes=%zu served=%.2f",
                plan->instances, plan->targets, plan->tolerated, plan->load, fleet.crashes(),
                fleet.servedShare());
    cr_expect(static_cast<double>(fleet.crashes()) <= allowed, "%zu crashes, %.1f allowed",
              fleet.crashes(), allowed);
}

// Guards against a fleet that spares brittle targets so much that they are idle.
ParameterizedTestParameters(brittle, targetsAreNotLeftIdle)
{
    return cr_make_param_array(BrittleFleetPlan, plans, std::size(plans));
}

ParameterizedTest(BrittleFleetPlan *plan, brittle, targetsAreNotLeftIdle)
{
    BrittleFleet fleet(*plan);
    fleet.run();
    cr_expect(fleet.servedShare() >= minServedShare, "only %.2f served", fleet.servedShare());
}

// Shows that the simulated load is one under which targets crash.
Test(brittle, unheededTheyCrash)
{
    BrittleFleetPlan plan{60, 4, 10, 2};
    plan.isHeeded = false;
    BrittleFleet fleet(plan);
    fleet.run();
    cr_expect(fleet.crashes() > 10, "%zu crashes", fleet.crashes());
}

// Guards against a target that is held back for good after it has stopped being brittle.
Test(brittle, endsWithAnAnswerThatDoesNotSaySo)
{
    ManualClock clock;
    RefusalControl control(clock);
    clock.advance(1s);
    cr_expect(control.recordBrittle("t", 5));
    clock.advance(100ms);
    cr_expect(!control.recordSound("t", 200ms), "the request was sent before the announcement");
    cr_expect(control.recordSound("t", 50ms));
    cr_expect(!control.isBrittle("t"));
    cr_expect(control.recordBrittle("t", 5), "it counts as new");
    clock.advance(11s);
    cr_expect(!control.isBrittle("t"));
}

// Guards against a rate that stays at the estimate for an unknown service once its time is known.
Test(brittle, rateIsCorrectedOnceTheTimeIsKnown)
{
    ManualClock clock;
    RefusalControl control(clock);
    const double first = control.rateAfterRefusal("t", "s", std::nullopt);
    cr_expect(control.recordServed("another", 6, 30ms).empty());
    cr_expect_eq(control.recordServed("s", 6, 30ms), std::vector<std::string>{"t"});
    cr_expect(control.recordServed("s", 6, 30ms).empty(), "it is corrected once");
    cr_assert(control.correctedRate("s", first));
    const double corrected = *control.correctedRate("s", first);
    cr_expect(corrected > 100 && corrected < 200, "six slots of 30 ms serve 200 a second");
    cr_assert(control.correctedRate("s", first / 2));
    cr_expect(*control.correctedRate("s", first / 2) < corrected, "refusals since then count");
    cr_expect_not(control.correctedRate("s", corrected), "the rate is high enough");
    cr_expect_not(control.correctedRate("s", std::nullopt), "no rate is in force");
    control.rateAfterRefusal("t2", "s", std::nullopt);
    cr_expect(control.recordServed("s", 6, 30ms).empty(), "the time was known");
}

// Guards against a rate that does not follow the refusals that a target tolerates.
Test(brittle, targetsThatTolerateLessAreSparedMore)
{
    ManualClock clock;
    RefusalControl control(clock);
    control.recordServed("s", 6, 30ms);
    const double first = control.rateAfterRefusal("t", "s", std::nullopt);
    cr_expect(first > 100 && first < 200, "six slots of 30 ms serve 200 a second");
    control.recordBrittle("frail", 2);
    control.recordBrittle("sturdy", 20);
    cr_expect(control.rateAfterRefusal("frail", "s", first) <
              control.rateAfterRefusal("sturdy", "s", first));
    cr_expect(control.rateAfterRefusal("sturdy", "s", first) < first);
}
