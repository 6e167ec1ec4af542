// Checks that engine speeds are learnt from load reports that are late, coarse or incomplete.
#include "jaytrack/Routing/enginespeeds.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <algorithm>
#include <cmath>

using namespace jaytrack;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds reportInterval{700};
constexpr std::chrono::milliseconds reportAge{500};

double millis(Duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

struct ReplayCase
{
    char name[32];
    int intervalMs; // between two events of a run
    int runs;
    int snapshotMs; // between the moments that reports describe; 1 if each describes its own
    double maxError;
};

// Polling begins at about this time, a second after the first run.
constexpr std::chrono::milliseconds pollingStart{100'000};

// Returns the runs of an engine at a moment. Each run makes 186 events and is followed by another.
std::vector<RunProgress> runsAt(const ReplayCase &replay, std::chrono::milliseconds moment)
{
    constexpr int eventsPerRun = 186;
    const std::chrono::milliseconds elapsed = moment - pollingStart + 1s;
    std::vector<RunProgress> runs;
    for (int slot = 0; slot < replay.runs; ++slot) {
        const auto events = static_cast<int>(elapsed.count() / replay.intervalMs) + slot * 31;
        runs.push_back({std::to_string(slot) + "-" + std::to_string(events / eventsPerRun),
                        static_cast<std::uint32_t>(events % eventsPerRun)});
    }
    return runs;
}

// Returns the largest relative error of the values announced between two times of polling, for ten
// offsets between the polls and the engine's snapshots; infinite if one has not been announced.
double worstError(const ReplayCase &replay, Duration from, Duration until)
{
    double worst = 0;
    for (int offset = 0; offset < 10; ++offset) {
        ManualClock clock;
        clock.advance(pollingStart + offset * 50ms);
        const TimePoint start = clock.now();
        EventIntervalMeter meter(clock);
        for (; clock.now() - start <= until; clock.advance(reportInterval)) {
            const auto described = std::chrono::duration_cast<std::chrono::milliseconds>(
                    clock.now().time_since_epoch() - reportAge);
            const Duration learnt =
                    meter.record(runsAt(replay, described - described % replay.snapshotMs));
            if (clock.now() - start < from)
                continue;
            const double error = std::abs(millis(learnt) / replay.intervalMs - 1);
            worst = std::max(worst, learnt > Duration(0) ? error : HUGE_VAL);
        }
    }
    return worst;
}

} // namespace

// Guards against engines that are taken for fast or slow because of the moments at which their
// reports were made, and against speeds that are learnt only when the runs have ended.
ParameterizedTestParameters(engineSpeeds, intervalIsLearntWithinTwoSeconds)
{
    static ReplayCase cases[] = {{"fast", 27, 6, 1, 0.1},
                                 {"usual", 45, 6, 1, 0.1},
                                 {"slow", 72, 6, 1, 0.1},
                                 {"single run", 45, 1, 1, 0.15},
                                 {"single slow run", 72, 1, 1, 0.15},
                                 {"half-second snapshots", 45, 6, 500, 0.25},
                                 {"slow with snapshots", 72, 6, 500, 0.25},
                                 {"single run with snapshots", 45, 1, 500, 0.25}};
    return cr_make_param_array(ReplayCase, cases, std::size(cases));
}

ParameterizedTest(ReplayCase *param, engineSpeeds, intervalIsLearntWithinTwoSeconds)
{
    const double early = worstError(*param, 2s, 4s);
    const double later = worstError(*param, 4s, 30s);
    cr_assert(early <= param->maxError, "%s: error %.2f after two seconds", param->name, early);
    cr_assert(later <= param->maxError, "%s: error %.2f later", param->name, later);
}

// Guards against an engine that is placed in the wrong speed group as soon as it starts. The first
// two reports of an engine that takes snapshots every half-second may be half a second or a whole
// one apart, whatever the number of its runs.
Test(engineSpeeds, firstAnnouncedIntervalIsNotAnArtefactOfSnapshots)
{
    const ReplayCase replay{"snapshots", 45, 6, 500, 0};
    double worst = 0;
    for (int offset = 0; offset < 10; ++offset) {
        ManualClock clock;
        clock.advance(pollingStart + offset * 50ms);
        EventIntervalMeter meter(clock);
        Duration learnt{0};
        for (; learnt <= Duration(0); clock.advance(reportInterval)) {
            const auto described = std::chrono::duration_cast<std::chrono::milliseconds>(
                    clock.now().time_since_epoch() - reportAge);
            learnt = meter.record(runsAt(replay, described - described % replay.snapshotMs));
        }
        worst = std::max(worst, std::abs(millis(learnt) / replay.intervalMs - 1));
    }
    cr_assert(worst <= 0.25, "error %.2f", worst);
}

namespace {

constexpr int absent = -1;
constexpr int reportCount = 8;

// Events of a single run in successive reports.
struct RunListCase
{
    char name[32];
    int events[reportCount];
    double minMs; // announced after the last report
    double maxMs;
};

} // namespace

// Guards against intervals computed from events that were not made between the two reports: runs
// that start again with fewer events, wait, or are not listed. A run makes 20 events between two
// reports, one each 35 ms.
ParameterizedTestParameters(engineSpeeds, onlyProgressBetweenReportsCounts)
{
    static RunListCase cases[] = {
            {"steady", {20, 40, 60, 80, 100, 120, 140, 160}, 35, 35},
            {"restarted", {20, 40, 60, 5, 25, 45, 65, 85}, 35, 35},
            {"preempted and resumed", {20, 40, 60, 0, 0, 20, 40, 60}, 35, 35},
            {"not begun", {0, 0, 0, 0, 0, 0, 0, 0}, 0, 0},
            {"not listed", {absent, absent, absent, absent, absent, absent, absent, absent}, 0, 0},
            {"not listed any more", {20, 40, 60, 80, absent, absent, absent, absent}, 35, 35},
            {"listed again", {20, 40, 60, absent, absent, 60, 80, 100}, 35, 35},
            {"a report without progress", {20, 40, 60, 80, 100, 120, 120, 160}, 33, 37},
            {"stalled", {20, 40, 60, 80, 100, 100, 100, 100}, 60, 140},
            {"too few events", {1, 2, 3, 4, 5, 6, 7, 8}, 0, 0}};
    return cr_make_param_array(RunListCase, cases, std::size(cases));
}

ParameterizedTest(RunListCase *param, engineSpeeds, onlyProgressBetweenReportsCounts)
{
    ManualClock clock;
    clock.advance(100s);
    EventIntervalMeter meter(clock);
    double announced = 0;
    for (const int events : param->events) {
        std::vector<RunProgress> runs;
        if (events != absent)
            runs.push_back({"run", static_cast<std::uint32_t>(events)});
        announced = millis(meter.record(runs));
        clock.advance(reportInterval);
    }
    cr_assert(announced >= param->minMs - 0.01 && announced <= param->maxMs + 0.01, "%s: %.2f ms",
              param->name, announced);
}

namespace {

constexpr int engineCount = 4;

struct SpeedsCase
{
    char name[32];
    int intervalMs[engineCount]; // of the engines e0 to e3
    char removed[8];             // empty for none
    char queried[8];
    int expectedMs;
    double expectedSlowness;
};

} // namespace

// Guards against long generations that are placed on an engine because a predecessor was fast or
// because nothing is known about it, and against speeds compared with engines that have left.
ParameterizedTestParameters(engineSpeeds, unknownEnginesCountAsSlow)
{
    static SpeedsCase cases[] = {{"known", {30, 40, 50, 60}, "", "e0", 30, 0.6},
                                 {"median", {30, 40, 50, 60}, "", "e2", 50, 1},
                                 {"unknown", {30, 40, 50, 60}, "", "e9", 60, 1.2},
                                 {"new incarnation", {30, 40, 50, 60}, "e0", "e0", 60, 1.2},
                                 {"removed from median", {30, 40, 80, 80}, "e3", "e0", 30, 0.75},
                                 {"zero is ignored", {0, 40, 50, 60}, "", "e0", 60, 1.2},
                                 {"negative is ignored", {-5, 40, 50, 60}, "", "e0", 60, 1.2},
                                 {"far too slow", {40, 40, 40, 4'000'000}, "", "e3", 4'000'000, 10},
                                 {"far too fast", {1000, 1000, 1000, 1}, "", "e3", 1, 0.1},
                                 {"none known", {0, 0, 0, 0}, "", "e0", 0, 1},
                                 {"last one removed", {30, 0, 0, 0}, "e0", "e0", 0, 1}};
    return cr_make_param_array(SpeedsCase, cases, std::size(cases));
}

ParameterizedTest(SpeedsCase *param, engineSpeeds, unknownEnginesCountAsSlow)
{
    EngineSpeeds speeds;
    for (int i = 0; i < engineCount; ++i) {
        speeds.record("s", "e" + std::to_string(i), param->intervalMs[i] * 1ms);
        speeds.record("other", "o" + std::to_string(i), 900ms);
    }
    speeds.forget(param->removed);
    cr_assert(speeds.eventInterval("s", param->queried) == param->expectedMs * 1ms, "%s: %.1f ms",
              param->name, millis(speeds.eventInterval("s", param->queried)));
    const double slowness = speeds.slowness("s", param->queried);
    cr_assert_float_eq(slowness, param->expectedSlowness, 0.001, "%s: %.3f", param->name, slowness);
}

// Guards against an engine that keeps its first speed, which a report of zero must not erase.
Test(engineSpeeds, newerIntervalReplacesOlder)
{
    EngineSpeeds speeds;
    speeds.record("s", "e0", 40ms);
    speeds.record("s", "e0", 90ms);
    speeds.record("s", "e0", 0ms);
    cr_assert(speeds.eventInterval("s", "e0") == 90ms);
}
