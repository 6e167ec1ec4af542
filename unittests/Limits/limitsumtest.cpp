// Tests the number of requests that a target with a rate limit receives from the whole fleet, for
// different views that the instances have of each other.
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
    LimitFault fault;
    double minUsedShare; // fraction of the limit, so that the target is not left idle
};

SumCase sumCases[] = {
        {"one", 1, 2.5, LimitFault::None, 0.8},
        {"7", 7, 2.5, LimitFault::None, 0.8},
        {"60", 60, 2.5, LimitFault::None, 0.8},
        {"195", 195, 2.5, LimitFault::None, 0.8},
        {"340", 340, 2.5, LimitFault::None, 0.8},
        {"340, low limit", 340, 0.4, LimitFault::None, 0.7},
        {"7, high limit", 7, 40, LimitFault::None, 0.8},
        {"340, high limit", 340, 40, LimitFault::None, 0.8},
        {"7, split", 7, 2.5, LimitFault::Split, 0.5},
        {"60, split", 60, 2.5, LimitFault::Split, 0.5},
        {"340, split", 340, 2.5, LimitFault::Split, 0.5},
        {"7, split, high limit", 7, 40, LimitFault::Split, 0.5},
        {"7, isolated", 7, 2.5, LimitFault::Isolated, 0.2},
        {"7, rolling restart", 7, 2.5, LimitFault::RollingRestart, 0},
        {"60, rolling restart", 60, 2.5, LimitFault::RollingRestart, 0.5},
        {"340, rolling restart", 340, 2.5, LimitFault::RollingRestart, 0.5},
        {"7, simultaneous restart", 7, 2.5, LimitFault::SimultaneousRestart, 0.5},
        {"60, simultaneous restart", 60, 2.5, LimitFault::SimultaneousRestart, 0.5},
        {"340, simultaneous restart", 340, 2.5, LimitFault::SimultaneousRestart, 0.5},
        {"7, kills", 7, 2.5, LimitFault::Kills, 0.5},
        {"60, kills", 60, 2.5, LimitFault::Kills, 0.5},
        {"340, kills", 340, 2.5, LimitFault::Kills, 0.5},
        {"7, stalls", 7, 2.5, LimitFault::Stalls, 0.5},
        {"340, stalls", 340, 2.5, LimitFault::Stalls, 0.5},
        {"7, partial views", 7, 2.5, LimitFault::PartialViews, 0.5},
        {"60, partial views", 60, 2.5, LimitFault::PartialViews, 0.5},
        {"195, partial views", 195, 2.5, LimitFault::PartialViews, 0.5},
        {"7, lossy", 7, 2.5, LimitFault::Lossy, 0.6},
        {"340, lossy", 340, 2.5, LimitFault::Lossy, 0.6},
};

} // namespace

// Guards against the instances together exceeding the limit, and against leaving the target idle.
ParameterizedTestParameters(targetLimits, fleetStaysWithinLimit)
{
    return cr_make_param_array(SumCase, sumCases, std::size(sumCases));
}

ParameterizedTest(SumCase *param, targetLimits, fleetStaysWithinLimit)
{
    LimitFleetPlan plan;
    plan.instances = param->instances;
    plan.limit = param->limit;
    plan.fault = param->fault;
    LimitFleet fleet(plan);
    fleet.run();
    const auto maxRequests = static_cast<double>(fleet.maxRequestsInWindow());
    cr_log_info("%s: at most %.0f of %.0f allowed requests in 4 s, %.2f of the limit used, %zu "
                "requests without knowledge of the limit in %zu starts, at most %zu messages per "
                "second",
                param->name, maxRequests, fleet.allowedInWindow(), fleet.usedShare(),
                fleet.unawareRequests(), fleet.starts(), fleet.maxMessagesPerSecond());
    cr_expect_leq(maxRequests, fleet.allowedInWindow(), "%s: %.0f", param->name, maxRequests);
    // One request for each instance start, and those that were sent before the first answers
    // arrived.
    cr_expect_leq(fleet.unawareRequests(), fleet.starts() + 5, "%s: %zu", param->name,
                  fleet.unawareRequests());
    cr_expect_geq(fleet.usedShare(), param->minUsedShare, "%s: %.2f", param->name,
                  fleet.usedShare());
}
