// What a target that names a limit gets of a whole fleet, whatever its instances know of each
// other.
#include "limitfleet.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace jaytrack;
using namespace jaytrack::testing;

namespace {

struct SumCase
{
    char name[32];
    std::size_t instances;
    double limit;
    LimitTrouble trouble;
    double leastUsed; // part of the limit, so that the target is not left idle
};

SumCase sumCases[] = {
        {"one", 1, 2.5, LimitTrouble::None, 0.8},
        {"7", 7, 2.5, LimitTrouble::None, 0.8},
        {"60", 60, 2.5, LimitTrouble::None, 0.8},
        {"195", 195, 2.5, LimitTrouble::None, 0.8},
        {"340", 340, 2.5, LimitTrouble::None, 0.8},
        {"340, next to nothing", 340, 0.4, LimitTrouble::None, 0.7},
        {"7, much", 7, 40, LimitTrouble::None, 0.8},
        {"340, much", 340, 40, LimitTrouble::None, 0.8},
        {"7, split", 7, 2.5, LimitTrouble::Split, 0.5},
        {"60, split", 60, 2.5, LimitTrouble::Split, 0.5},
        {"340, split", 340, 2.5, LimitTrouble::Split, 0.5},
        {"7, split, much", 7, 40, LimitTrouble::Split, 0.5},
        {"7, all alone", 7, 2.5, LimitTrouble::AllAlone, 0.2},
        {"7, rolling starts", 7, 2.5, LimitTrouble::RollingStarts, 0},
        {"60, rolling starts", 60, 2.5, LimitTrouble::RollingStarts, 0.5},
        {"340, rolling starts", 340, 2.5, LimitTrouble::RollingStarts, 0.5},
        {"7, common start", 7, 2.5, LimitTrouble::CommonStart, 0.5},
        {"60, common start", 60, 2.5, LimitTrouble::CommonStart, 0.5},
        {"340, common start", 340, 2.5, LimitTrouble::CommonStart, 0.5},
        {"7, kills", 7, 2.5, LimitTrouble::Kills, 0.5},
        {"60, kills", 60, 2.5, LimitTrouble::Kills, 0.5},
        {"340, kills", 340, 2.5, LimitTrouble::Kills, 0.5},
        {"7, freezes", 7, 2.5, LimitTrouble::Freezes, 0.5},
        {"340, freezes", 340, 2.5, LimitTrouble::Freezes, 0.5},
        {"7, late views", 7, 2.5, LimitTrouble::LateViews, 0.5},
        {"60, late views", 60, 2.5, LimitTrouble::LateViews, 0.5},
        {"195, late views", 195, 2.5, LimitTrouble::LateViews, 0.5},
        {"7, lossy", 7, 2.5, LimitTrouble::Lossy, 0.6},
        {"340, lossy", 340, 2.5, LimitTrouble::Lossy, 0.6},
};

} // namespace

// Guards against the sum of all instances going beyond the limit, and against leaving the target
// idle.
ParameterizedTestParameters(targetLimits, sumOfTheFleetHolds)
{
    return cr_make_param_array(SumCase, sumCases, std::size(sumCases));
}

ParameterizedTest(SumCase *given, targetLimits, sumOfTheFleetHolds)
{
    LimitFleetPlan plan;
    plan.instances = given->instances;
    plan.limit = given->limit;
    plan.trouble = given->trouble;
    LimitFleet fleet(plan);
    fleet.play();
    const auto worst = static_cast<double>(fleet.worstWindow());
    cr_log_info("%s: at worst %.0f of %.0f in 4 s, %.2f of the limit used, %zu unaware of %zu "
                "starts, %zu messages",
                given->name, worst, fleet.mostAllowed(), fleet.usedPart(), fleet.unaware(),
                fleet.starts(), fleet.worstMessages());
    cr_expect_leq(worst, fleet.mostAllowed(), "%s: %.0f", given->name, worst);
    // Beside one request of each instance that starts, those before the first answers came.
    cr_expect_leq(fleet.unaware(), fleet.starts() + 5, "%s: %zu", given->name, fleet.unaware());
    cr_expect_geq(fleet.usedPart(), given->leastUsed, "%s: %.2f", given->name, fleet.usedPart());
}
