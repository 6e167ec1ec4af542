// Fleets whose instances all start at the same moment before a store that is full, as after a loss
// of power: no instance has anything to share, and the callers of all are waiting.
#include "commonstartfleet.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace jaytrack;
using namespace jaytrack::testing;
using namespace std::chrono_literals;

namespace {

// Time within which service is back, as the sites with the least of it ask for it.
constexpr std::chrono::milliseconds recoveryTime{12'000};

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

} // namespace

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
