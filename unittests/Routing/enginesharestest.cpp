#include "jaytrack/Routing/engineshares.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <algorithm>
#include <map>

using namespace jaytrack;

namespace {

struct FleetCase
{
    int instances;
    int engines;
    std::size_t maxAssignees; // instances assigned to one engine
    std::size_t minEngines;   // engines assigned to one instance
};

std::string instanceName(int index)
{
    return "instance-" + std::to_string(index);
}

std::string engineName(int index)
{
    return "engine-" + std::to_string(index);
}

std::vector<EngineShares> makeShares(const FleetCase &fleet)
{
    std::vector<EngineShares> all;
    for (int i = 0; i < fleet.instances; ++i) {
        std::vector<std::string> others;
        for (int other = 0; other < fleet.instances; ++other) {
            if (other != i)
                others.push_back(instanceName(other));
        }
        all.emplace_back(instanceName(i));
        all.back().setInstances(others);
        for (int engine = 0; engine < fleet.engines; ++engine)
            all.back().onListed(engineName(engine));
    }
    return all;
}

} // namespace

ParameterizedTestParameters(engineShares, fewInstancesPerEngineAndEnoughEngines)
{
    static FleetCase cases[] = {{7, 18, 7, 18},    {195, 59, 195, 59}, {73, 71, 73, 71},
                                {33, 302, 16, 64}, {101, 998, 16, 64}, {302, 3001, 16, 64},
                                {340, 600, 64, 64}};
    return cr_make_param_array(FleetCase, cases, std::size(cases));
}

// Guards against the cost of notices in large fleets: in a fleet of 302, each instance spends a CPU
// core on them if every instance is notified of each placement at each of 3,001 engines. The
// assignments must agree: every instance that places work at an engine is notified about it, and
// exactly one instance polls its load.
ParameterizedTest(FleetCase *fleet, engineShares, fewInstancesPerEngineAndEnoughEngines)
{
    const std::vector<EngineShares> all = makeShares(*fleet);
    std::vector<std::size_t> engineCounts(all.size(), 0);
    for (int engine = 0; engine < fleet->engines; ++engine) {
        const std::string id = engineName(engine);
        std::size_t assignees = 0;
        int pollers = 0;
        for (std::size_t i = 0; i < all.size(); ++i) {
            assignees += all[i].isAssigned(id) ? 1 : 0;
            engineCounts[i] += all[i].isAssigned(id) ? 1 : 0;
            pollers += all[i].shouldPollLoad(id) ? 1 : 0;
            cr_assert(!all[i].shouldPollLoad(id) || all[i].isAssigned(id));
        }
        cr_assert(assignees <= fleet->maxAssignees, "%zu instances are assigned to one engine",
                  assignees);
        cr_assert(assignees >= std::min<std::size_t>(all.size(), 8),
                  "%zu instances are assigned to one engine", assignees);
        cr_assert(pollers == 1);
        for (const std::string &other : all[0].otherAssignees(id)) {
            const int index = std::stoi(other.substr(other.find('-') + 1));
            cr_assert(all[static_cast<std::size_t>(index)].isAssigned(id));
        }
    }
    const std::size_t minCount = *std::min_element(engineCounts.begin(), engineCounts.end());
    cr_assert(minCount >= fleet->minEngines, "one instance has only %zu engines", minCount);
}

// Guards against a restart of one instance that reassigns the engines of all instances, as happens
// if engines are assigned by position in a list.
Test(engineShares, departureReassignsOnlyOwnEngines)
{
    FleetCase fleet{101, 998, 16, 64};
    std::vector<EngineShares> all = makeShares(fleet);
    std::vector<std::string> others;
    for (int other = 1; other < fleet.instances - 1; ++other)
        others.push_back(instanceName(other));
    EngineShares &first = all[0];
    std::vector<bool> before;
    for (int engine = 0; engine < fleet.engines; ++engine)
        before.push_back(first.isAssigned(engineName(engine)));
    first.setInstances(others);
    int reassigned = 0;
    for (int engine = 0; engine < fleet.engines; ++engine) {
        const bool now = first.isAssigned(engineName(engine));
        reassigned += before[static_cast<std::size_t>(engine)] && !now ? 1 : 0;
    }
    cr_assert(reassigned == 0, "%d engines were taken from a remaining instance", reassigned);
}
