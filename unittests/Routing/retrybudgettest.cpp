#include "jaytrack/Routing/retrybudget.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <deque>
#include <random>

using namespace jaytrack;

namespace {

constexpr std::chrono::seconds window{10};

// A fleet whose requests all want a repeat, as when every target of a service fails.
struct FleetCase
{
    int instances;
    double slack;
    double requestsPerSecond; // of one instance
    int restartAtSecond;      // all lose their power; -1 for never
};

struct Moment
{
    int second;
    int requests;
    int repeats;
};

double sumOver(const std::deque<Moment> &moments, int from, int Moment::*what)
{
    double sum = 0;
    for (const Moment &one : moments) {
        if (one.second >= from && one.second < from + window.count())
            sum += one.*what;
    }
    return sum;
}

std::vector<RetryBudget> startFleet(const Clock &clock, const FleetCase &fleet)
{
    std::vector<RetryBudget> budgets;
    for (int i = 0; i < fleet.instances; ++i) {
        budgets.emplace_back(clock, RetryBound{0.2, window, fleet.slack});
        budgets.back().setInstances(static_cast<std::size_t>(fleet.instances));
    }
    return budgets;
}

} // namespace

// Symptom: repeats of all instances together exceed the operators' bound.
// Events: a calm minute, then a storm in which every request wants a repeat.
// Cause: repeats that were saved up over several windows were spent within one.
Test(retryBudget, savingsNeverExceedOneWindow)
{
    ManualClock clock;
    RetryBudget budget(clock, {0.2, std::chrono::seconds(10)});
    for (int second = 0; second < 60; ++second) {
        for (int i = 0; i < 10; ++i)
            budget.earn("svc");
        clock.advance(std::chrono::seconds(1));
    }
    int taken = 0;
    while (budget.take("svc"))
        ++taken;
    cr_assert(taken <= 20, "%d repeats for the 100 requests of a window", taken);
    cr_assert(taken >= 10, "%d", taken);
}

Test(retryBudget, idleInstanceHasAFew)
{
    ManualClock clock;
    RetryBudget budget(clock, {0.2, std::chrono::seconds(10)});
    cr_assert(budget.take("svc"));
    cr_assert(budget.take("svc"));
    cr_assert_not(budget.take("svc"));
}

ParameterizedTestParameters(retryBudget, sumsOfTheFleetHold)
{
    static FleetCase cases[] = {{7, 54, 5, -1},       {7, 54, 0.1, 31},     {195, 430, 0.5, -1},
                                {195, 430, 0.5, 31},  {195, 430, 0.05, 31}, {340, 430, 0.5, 31},
                                {340, 430, 0.05, 31}, {340, 430, 40, 31}};
    return cr_make_param_array(FleetCase, cases, std::size(cases));
}

// Symptom: a fleet of hundreds repeats more than the operators allow. Events: every target of a
// service fails, and all instances start again in the midst of it. Cause: two repeats out of
// nothing for each instance and start, 1,360 for 340 instances, where the slack is 430.
ParameterizedTest(FleetCase *fleet, retryBudget, sumsOfTheFleetHold)
{
    ManualClock clock;
    std::mt19937_64 random(1);
    std::vector<RetryBudget> budgets = startFleet(clock, *fleet);
    std::poisson_distribution<int> arrivals(fleet->requestsPerSecond);
    std::deque<Moment> moments;
    for (int second = 0; second < 60; ++second) {
        if (second == fleet->restartAtSecond)
            budgets = startFleet(clock, *fleet);
        Moment now{second, 0, 0};
        const bool failing = second >= 25;
        for (RetryBudget &budget : budgets) {
            for (int count = arrivals(random); count > 0; --count) {
                ++now.requests;
                budget.earn("svc");
                now.repeats += failing && budget.take("svc") ? 1 : 0;
            }
        }
        moments.push_back(now);
        clock.advance(std::chrono::seconds(1));
    }
    for (int from = 0; from + window.count() <= 60; ++from) {
        const double repeats = sumOver(moments, from, &Moment::repeats);
        const double allowed = 0.2 * sumOver(moments, from, &Moment::requests) + fleet->slack;
        cr_assert(repeats <= allowed, "%f repeats from second %d, allowed %f", repeats, from,
                  allowed);
    }
}

// Symptom: a request that met one broken target fails in a large fleet, though the bound allows its
// repeat. Cause: an instance that sees a request in two seconds earns less than one repeat in a
// window, and may save up no more than that.
Test(retryBudget, rareRequestsCanBeRepeated)
{
    ManualClock clock;
    RetryBudget budget(clock, {0.2, window, 430});
    budget.setInstances(340);
    int taken = 0;
    for (int second = 0; second < 120; second += 2) {
        budget.earn("svc");
        taken += budget.take("svc") ? 1 : 0;
        clock.advance(std::chrono::seconds(2));
    }
    cr_assert(taken >= 4, "%d repeats for 60 requests, of which a tenth may be repeated", taken);
}
