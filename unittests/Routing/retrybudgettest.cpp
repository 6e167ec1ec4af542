#include "jaytrack/Routing/retrybudget.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <deque>
#include <random>

using namespace jaytrack;

namespace {

constexpr std::chrono::seconds window{10};

// A fleet in which every request needs a retry, as when every target of a service fails.
struct FleetCase
{
    int instances;
    double slack;
    double requestsPerSecond; // of one instance
    int restartAtSecond;      // all instances restart; -1 for never
};

struct Second
{
    int second;
    int requests;
    int retries;
};

double sumInWindow(const std::deque<Second> &history, int from, int Second::*member)
{
    double sum = 0;
    for (const Second &one : history) {
        if (one.second >= from && one.second < from + window.count())
            sum += one.*member;
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

// Guards against retries of all instances together that exceed the operators' bound. After a quiet
// minute every request needs a retry, and retries saved over several windows were spent within one.
Test(retryBudget, savingsStayWithinOneWindow)
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
    cr_assert(taken <= 20, "%d retries for the 100 requests of a window", taken);
    cr_assert(taken >= 10, "%d", taken);
}

Test(retryBudget, idleInstanceHasTwoRetries)
{
    ManualClock clock;
    RetryBudget budget(clock, {0.2, std::chrono::seconds(10)});
    cr_assert(budget.take("svc"));
    cr_assert(budget.take("svc"));
    cr_assert_not(budget.take("svc"));
}

ParameterizedTestParameters(retryBudget, fleetStaysWithinBound)
{
    static FleetCase cases[] = {{7, 54, 5, -1},       {7, 54, 0.1, 31},     {195, 430, 0.5, -1},
                                {195, 430, 0.5, 31},  {195, 430, 0.05, 31}, {340, 430, 0.5, 31},
                                {340, 430, 0.05, 31}, {340, 430, 40, 31}};
    return cr_make_param_array(FleetCase, cases, std::size(cases));
}

// Guards against a fleet of hundreds of instances that retries more than the operators allow. Every
// target of a service fails, and all instances restart meanwhile. Two unearned retries for each
// instance and start add up to 1,360 for 340 instances, where the slack is 430.
ParameterizedTest(FleetCase *fleet, retryBudget, fleetStaysWithinBound)
{
    ManualClock clock;
    std::mt19937_64 random(1);
    std::vector<RetryBudget> budgets = startFleet(clock, *fleet);
    std::poisson_distribution<int> arrivals(fleet->requestsPerSecond);
    std::deque<Second> history;
    for (int second = 0; second < 60; ++second) {
        if (second == fleet->restartAtSecond)
            budgets = startFleet(clock, *fleet);
        Second now{second, 0, 0};
        const bool failing = second >= 25;
        for (RetryBudget &budget : budgets) {
            for (int count = arrivals(random); count > 0; --count) {
                ++now.requests;
                budget.earn("svc");
                now.retries += failing && budget.take("svc") ? 1 : 0;
            }
        }
        history.push_back(now);
        clock.advance(std::chrono::seconds(1));
    }
    for (int from = 0; from + window.count() <= 60; ++from) {
        const double retries = sumInWindow(history, from, &Second::retries);
        const double allowed = 0.2 * sumInWindow(history, from, &Second::requests) + fleet->slack;
        cr_assert(retries <= allowed, "%f retries from second %d, allowed %f", retries, from,
                  allowed);
    }
}

// Guards against requests that fail after one broken target in a large fleet although the bound
// allows their retry. An instance that receives one request every two seconds earns less than one
// retry per window and must be able to save more than that.
Test(retryBudget, infrequentRequestsCanBeRetried)
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
    cr_assert(taken >= 4, "%d retries for 60 requests, of which a tenth may be retried", taken);
}
