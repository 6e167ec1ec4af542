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
    std::size_t mostSharers;  // instances that hear of one engine
    std::size_t leastEngines; // to which one instance gives work
};

std::string instanceName(int index)
{
    return "instance-" + std::to_string(index);
}

std::string engineName(int index)
{
    return "engine-" + std::to_string(index);
}

std::vector<EngineShares> sharesOf(const FleetCase &fleet)
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

ParameterizedTestParameters(engineShares, fewHearOfAnEngineAndAllHaveEnough)
{
    static FleetCase cases[] = {{7, 18, 7, 18},    {195, 59, 195, 59}, {73, 71, 73, 71},
                                {33, 302, 16, 64}, {101, 998, 16, 64}, {302, 3001, 16, 64},
                                {340, 600, 64, 64}};
    return cr_make_param_array(FleetCase, cases, std::size(cases));
}

// Symptom: in a fleet of 302 each instance spends a core on what it is told. Events: each placement
// at each of 3,001 engines is told to every instance. Cause: all place everywhere. The shares must
// agree: whoever places at an engine hears of it, and exactly one instance asks it for its load.
ParameterizedTest(FleetCase *fleet, engineShares, fewHearOfAnEngineAndAllHaveEnough)
{
    const std::vector<EngineShares> all = sharesOf(*fleet);
    std::vector<std::size_t> own(all.size(), 0);
    for (int engine = 0; engine < fleet->engines; ++engine) {
        const std::string id = engineName(engine);
        std::size_t sharers = 0;
        int asking = 0;
        for (std::size_t i = 0; i < all.size(); ++i) {
            sharers += all[i].isAssigned(id) ? 1 : 0;
            own[i] += all[i].isAssigned(id) ? 1 : 0;
            asking += all[i].shouldPollLoad(id) ? 1 : 0;
            cr_assert(!all[i].shouldPollLoad(id) || all[i].isAssigned(id));
        }
        cr_assert(sharers <= fleet->mostSharers, "%zu share one engine", sharers);
        cr_assert(sharers >= std::min<std::size_t>(all.size(), 8), "%zu share one engine", sharers);
        cr_assert(asking == 1);
        for (const std::string &other : all[0].otherAssignees(id)) {
            const int index = std::stoi(other.substr(other.find('-') + 1));
            cr_assert(all[static_cast<std::size_t>(index)].isAssigned(id));
        }
    }
    const std::size_t least = *std::min_element(own.begin(), own.end());
    cr_assert(least >= fleet->leastEngines, "an instance has %zu engines", least);
}

// Symptom: a restart of one instance moves the engines of all. Cause: shares by position in a list.
Test(engineShares, oneThatGoesMovesOnlyItsOwn)
{
    FleetCase fleet{101, 998, 16, 64};
    std::vector<EngineShares> all = sharesOf(fleet);
    std::vector<std::string> others;
    for (int other = 1; other < fleet.instances - 1; ++other)
        others.push_back(instanceName(other));
    EngineShares &first = all[0];
    std::vector<bool> before;
    for (int engine = 0; engine < fleet.engines; ++engine)
        before.push_back(first.isAssigned(engineName(engine)));
    first.setInstances(others);
    int lost = 0;
    for (int engine = 0; engine < fleet.engines; ++engine) {
        const bool now = first.isAssigned(engineName(engine));
        lost += before[static_cast<std::size_t>(engine)] && !now ? 1 : 0;
    }
    cr_assert(lost == 0, "%d engines were taken from it", lost);
}
