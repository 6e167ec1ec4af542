#include "jaytrack/Routing/probeschedule.h"

#include "jaytrack/Routing/enginechoice.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace jaytrack;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds shortest{700};
constexpr std::chrono::milliseconds noLimit{0};

struct DueCase
{
    char name[40];
    int ageMs;
    int idleReports;
    bool isReporter;
    int limitIntervalMs;
    bool due;
};

DueCase dueCases[] = {
        {"working engine", 700, 0, true, 0, true},
        {"working engine, just probed", 300, 0, true, 0, false},
        {"check that ran a little early", 690, 0, true, 0, true},
        {"idle once", 700, 1, true, 0, false},
        {"idle once, later", 1400, 1, true, 0, true},
        {"long idle", 5000, 50, true, 0, false},
        {"long idle, later", 5600, 50, true, 0, true},
        {"limited", 3000, 0, true, 4000, false},
        {"limited, later", 4000, 0, true, 4000, true},
        {"told by another", 2400, 0, false, 0, false},
        {"reporter of a working engine gone", 2600, 0, false, 0, true},
        {"reporter of an idle engine not gone", 5600, 3, false, 0, false},
        {"reporter of an idle engine gone", 7500, 3, false, 0, true},
};

// An engine whose last reports showed no work.
struct IdleEngine
{
    explicit IdleEngine(int reports)
    {
        TargetEntry entry;
        entry.id = "e";
        this->engines.onListed(entry);
        for (int i = 0; i < reports; ++i)
            this->engines.recordReport("e", {});
    }

    int idleReports() const { return this->engines.forecast("e").idleReports; }

    ManualClock clock;
    EngineChoice engines{clock, 1, "dc"};
};

// Counts the probes of one engine by its reporter, as the prober checks them, over this time.
int probesWithin(std::chrono::milliseconds time, std::chrono::milliseconds placementEvery)
{
    IdleEngine engine(0);
    EngineChoice &engines = engine.engines;
    const ProbeSchedule schedule(shortest);
    int probes = 0;
    std::chrono::milliseconds sincePlacement{0};
    for (std::chrono::milliseconds passed{0}; passed < time; passed += shortest) {
        const EngineChoice::Forecast forecast = engines.forecast("e");
        const bool unknown = forecast.reportAge < Duration(0);
        const ProbeInputs inputs{unknown ? Duration(1h) : forecast.reportAge, forecast.idleReports,
                                 true};
        if (schedule.isDue(inputs, noLimit)) {
            engines.recordReport("e", {});
            ++probes;
        }
        sincePlacement += shortest;
        if (placementEvery > 0ms && sincePlacement >= placementEvery) {
            engines.recordRemotePlacement("e", {100, 10}, false);
            sincePlacement = 0ms;
        }
        engine.clock.advance(shortest);
    }
    return probes;
}

} // namespace

ParameterizedTestParameters(probeSchedule, probesWorkingEnginesOftenAndIdleOnesSeldom)
{
    return cr_make_param_array(DueCase, dueCases, std::size(dueCases));
}

ParameterizedTest(DueCase *param, probeSchedule, probesWorkingEnginesOftenAndIdleOnesSeldom)
{
    const ProbeSchedule schedule(shortest);
    const ProbeInputs inputs{std::chrono::milliseconds(param->ageMs), param->idleReports,
                             param->isReporter};
    const bool due = schedule.isDue(inputs, std::chrono::milliseconds(param->limitIntervalMs));
    cr_assert_eq(due, param->due, "%s", param->name);
}

// Guards against a fleet whose probes grow with the engines that it has instead of those that work:
// each of 5,720 engines, nearly all idle, was probed every 0.7 s.
Test(probeSchedule, idleEnginesCostAnEighthOfTheProbes)
{
    const int working = probesWithin(56s, 700ms);
    const int idle = probesWithin(56s, 0ms);
    cr_assert_geq(working, 75, "%d", working);
    cr_assert_leq(idle, working / 6, "%d of %d", idle, working);
}

// Guards against an engine whose load is unknown because it was idle for long: a placement makes it
// due at the next check.
Test(probeSchedule, placementEndsTheIdleInterval)
{
    IdleEngine engine(10);
    cr_assert_eq(engine.idleReports(), 10);
    engine.engines.recordRemotePlacement("e", {100, 10}, false);
    cr_assert_eq(engine.idleReports(), 0);
    engine.clock.advance(shortest);
    const ProbeInputs inputs{engine.engines.forecast("e").reportAge, engine.idleReports(), true};
    cr_assert(ProbeSchedule(shortest).isDue(inputs, noLimit));
    EngineLoad working;
    working.running = 1;
    engine.engines.recordReport("e", working);
    cr_assert_eq(engine.idleReports(), 0);
}

// Guards against an engine that is probed as seldom as an idle one while it fails.
Test(probeSchedule, failingEngineIsNotIdle)
{
    IdleEngine engine(10);
    engine.engines.recordFailure("e");
    cr_assert_eq(engine.idleReports(), 0);
}
