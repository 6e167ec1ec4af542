// Checks how the share of generations that pause for too long is learnt and forgotten.
#include "jaytrack/Routing/pauserisk.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace jaytrack;

namespace {

struct RiskCase
{
    char name[32];
    int generations;
    int paused; // of them
    int secondsAgo;
    double recordedAt; // slowness
    double queriedAt;
    double minRisk;
    double maxRisk;
};

} // namespace

// Guards against excluding engines for the pauses of other or earlier ones, or for a single pause.
// A risk of 0.1 costs as much as 0.3 of an engine's memory, less than engines of neighbouring speed
// groups differ in run time.
ParameterizedTestParameters(pauseRisk, sharesAreLearntByBand)
{
    static RiskCase cases[] = {{"nothing known", 0, 0, 0, 1.6, 1.6, 0, 0},
                               {"a single pause", 1, 1, 0, 1.6, 1.6, 0, 0.1},
                               {"no pauses", 100, 0, 0, 1.6, 1.6, 0, 0},
                               {"all pause", 100, 100, 0, 1.6, 1.6, 0.8, 1},
                               {"half pause", 100, 50, 0, 1.6, 1.6, 0.4, 0.5},
                               {"similar speed", 100, 100, 0, 1.55, 1.7, 0.8, 1},
                               {"faster band", 100, 100, 0, 1.6, 1.2, 0, 0},
                               {"slower band", 100, 100, 0, 1.6, 2.0, 0, 0},
                               {"faded after minutes", 100, 100, 180, 1.6, 1.6, 0, 0.1},
                               {"slower than all bands", 100, 100, 0, 1e9, 50, 0.8, 1},
                               {"negative", 100, 100, 0, -1, 0, 0.8, 1}};
    return cr_make_param_array(RiskCase, cases, std::size(cases));
}

ParameterizedTest(RiskCase *param, pauseRisk, sharesAreLearntByBand)
{
    ManualClock clock;
    PauseRisk risk(clock);
    for (int i = 0; i < param->generations; ++i)
        risk.record(param->recordedAt, i < param->paused);
    clock.advance(std::chrono::seconds(param->secondsAgo));
    const double found = risk.risk(param->queriedAt);
    cr_assert(found >= param->minRisk && found <= param->maxRisk, "%s: %.3f", param->name, found);
}

// Guards against a band that stays excluded after its engines have become better: newer generations
// without pauses outweigh older ones with pauses.
Test(pauseRisk, newerGenerationsCountMore)
{
    ManualClock clock;
    PauseRisk risk(clock);
    for (int i = 0; i < 120; ++i) {
        risk.record(1.6, i < 60);
        clock.advance(std::chrono::seconds(1));
    }
    cr_assert(risk.risk(1.6) < 0.15, "%.3f", risk.risk(1.6));
}
