#include "jaytrack/Routing/instanceranking.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <random>

using namespace jaytrack;

namespace {

struct ChurnCase
{
    char name[32];
    int instances;
    int leaving; // of them, in each change
    int joining;
};

ChurnCase churnCases[] = {{"alone", 0, 0, 1},
                          {"one restarts", 584, 1, 1},
                          {"some leave", 584, 30, 0},
                          {"some join", 584, 0, 30},
                          {"a data centre", 584, 120, 0},
                          {"all are replaced", 60, 60, 60},
                          {"a fleet starts", 1, 0, 80}};

std::string engineName(int index)
{
    return "engine-" + std::to_string(index);
}

} // namespace

ParameterizedTestParameters(instanceRanking, knownRanksFollowTheInstances)
{
    return cr_make_param_array(ChurnCase, churnCases, std::size(churnCases));
}

// Guards against instances that disagree about who reports an engine's load or owns a limit: the
// ranks that an instance adapts while others come and go are those that one which has just started
// works out.
ParameterizedTest(ChurnCase *param, instanceRanking, knownRanksFollowTheInstances)
{
    static constexpr int engines = 200;
    std::mt19937_64 random(3);
    std::vector<std::string> names;
    int next = 0;
    for (int i = 0; i < param->instances; ++i)
        names.push_back("instance-" + std::to_string(next++));
    InstanceRanking adapted("own");
    adapted.setOthers(names);
    for (int change = 0; change < 6; ++change) {
        for (int engine = 0; engine < engines; ++engine)
            adapted.ownRank(engineName(engine));
        std::shuffle(names.begin(), names.end(), random);
        names.resize(names.size() -
                     std::min(names.size(), static_cast<std::size_t>(param->leaving)));
        for (int i = 0; i < param->joining; ++i)
            names.push_back("instance-" + std::to_string(next++));
        adapted.setOthers(names);
        InstanceRanking fresh("own");
        fresh.setOthers(names);
        for (int engine = 0; engine < engines; ++engine) {
            const std::string name = engineName(engine);
            cr_assert_eq(adapted.ownRank(name), fresh.ownRank(name), "%s, change %d", param->name,
                         change);
        }
    }
}
