// Placement under the loads that it answers.
#include "jaytrack/Routing/enginechoice.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <algorithm>
#include <memory>

using namespace jaytrack;

namespace {

constexpr std::uint32_t memoryTokens = 30'000;

std::vector<TargetEntry> makeEngines(int count, int perDataCentre)
{
    std::vector<TargetEntry> engines;
    for (int i = 0; i < count; ++i) {
        TargetEntry entry;
        entry.id = "e" + std::to_string(i);
        entry.dataCentre = "dc" + std::to_string(i / perDataCentre);
        engines.push_back(entry);
    }
    return engines;
}

std::vector<const TargetEntry *> pointers(const std::vector<TargetEntry> &engines)
{
    std::vector<const TargetEntry *> list;
    for (const TargetEntry &entry : engines)
        list.push_back(&entry);
    return list;
}

EngineTraits makeTraits()
{
    EngineTraits traits;
    traits.memoryTokens = memoryTokens;
    return traits;
}

EngineLoad loadOf(std::uint32_t tokens)
{
    EngineLoad load;
    load.memoryInUse = tokens;
    return load;
}

// Some instances before the same engines; notices pass between them or not.
class Instances
{
public:
    Instances(int instances, const std::vector<TargetEntry> &engines, bool notices)
        : passNotices(notices)
    {
        for (int i = 0; i < instances; ++i) {
            this->choices.push_back(std::make_unique<EngineChoice>(
                    this->clock, static_cast<std::uint64_t>(1000 + i), "dc0"));
            for (const TargetEntry &entry : engines) {
                this->choices.back()->onListed(entry);
                this->choices.back()->recordReport(entry.id, loadOf(0));
            }
        }
    }

    // One instance places a prompt; returns when its reading begins after it came.
    Duration place(std::size_t instance, std::span<const TargetEntry *const> engines, int serial)
    {
        const GenerationNeed need{3000, 400};
        const TargetEntry *chosen =
                this->choices[instance]->choose(engines, makeTraits(), need, {});
        cr_assert_not_null(chosen);
        this->choices[instance]->recordStart(chosen->id, std::to_string(serial), need);
        for (std::size_t i = 0; this->passNotices && i < this->choices.size(); ++i) {
            if (i != instance)
                this->choices[i]->recordRemotePlacement(chosen->id, need, false);
        }
        TimePoint &busyUntil = this->busy[chosen->id];
        const TimePoint now = this->clock.now();
        const Duration delay = std::max(Duration(0), busyUntil - now);
        busyUntil = std::max(busyUntil, now) + std::chrono::milliseconds(3000 / 7);
        return delay;
    }

    ManualClock clock;

private:
    bool passNotices;
    std::vector<std::unique_ptr<EngineChoice>> choices;
    std::map<std::string, TimePoint> busy;
};

// The mean wait of a burst of prompts until their reading begins, in milliseconds.
double meanDelay(bool notices)
{
    const std::vector<TargetEntry> engines = makeEngines(16, 16);
    const auto list = pointers(engines);
    Instances instances(7, engines, notices);
    double total = 0;
    constexpr int requests = 40;
    for (int i = 0; i < requests; ++i) {
        total += std::chrono::duration<double, std::milli>(
                         instances.place(static_cast<std::size_t>(i) % 7, list, i))
                         .count();
        instances.clock.advance(std::chrono::milliseconds(30));
    }
    return total / requests;
}

} // namespace

// Symptom: first tokens come seconds late while other engines read nothing.
// Events: prompts arrive at several instances within one report of the engines' load.
// Cause: each instance knew only what it had sent itself.
Test(engineChoice, noticesKeepPromptsFromQueueing)
{
    const double without = meanDelay(false);
    const double with = meanDelay(true);
    cr_log_info("mean delay %.0f ms without notices, %.0f ms with\n", without, with);
    cr_assert(with < without / 3, "with %.1f, without %.1f", with, without);
}

// Symptom: generations are preempted midway at engines that were full when they came.
// Events: reports show all engines but one beyond the part for new generations.
Test(engineChoice, fullEnginesGetNoNewGeneration)
{
    const std::vector<TargetEntry> engines = makeEngines(4, 4);
    const auto list = pointers(engines);
    ManualClock clock;
    EngineChoice choice(clock, 1, "dc0");
    for (const TargetEntry &entry : engines) {
        choice.onListed(entry);
        choice.recordReport(entry.id, loadOf(entry.id == "e2" ? 1000 : memoryTokens - 500));
    }
    const GenerationNeed need{3000, 400};
    for (int i = 0; i < 3; ++i)
        cr_assert_eq(choice.choose(list, makeTraits(), need, {})->id, std::string("e2"));
    cr_assert_null(choice.choose(list, makeTraits(), need, {"e2"}));
}

namespace {

// A load of long generations that takes every room that it is given, with the options of before and
// of now.
struct CrowdCase
{
    char name[24];
    double newRunShare;
    double urgentShare;
    bool urgentKeepsEvacuationReserve;
    int least; // of 100 short generations with long prompts
    int most;
};

// Engines of 21,800 tokens under more long generations than they hold: whenever one ends, two more
// ask for its room.
class CrowdedEngines
{
public:
    static constexpr int count = 40;

    explicit CrowdedEngines(const EngineChoiceOptions &options)
        : engines(makeEngines(count, count))
        , choice(this->clock, 7, "dc0", options)
    {
        this->traits.memoryTokens = 21'800;
        for (const TargetEntry &entry : this->engines)
            this->choice.onListed(entry);
        for (int i = 0; i < 10 * count; ++i)
            this->placeLong();
    }

    // An engine leaves, and its runs seek room.
    void loseOne() { this->choice.onRemoved(this->engines.back().id); }

    // Of 100 short generations with prompts of that size, those that find room.
    int servedShortOnes(std::uint32_t promptTokens)
    {
        int served = 0;
        for (int i = 0; i < 100; ++i) {
            this->endLong();
            this->placeLong();
            this->placeLong();
            const auto list = pointers(this->engines);
            served += this->choice.choose(list, this->traits, {promptTokens, 10}, {}) ? 1 : 0;
        }
        return served;
    }

private:
    struct Placed
    {
        std::string engine;
        std::uint32_t tokens;
    };

    void placeLong()
    {
        std::uniform_int_distribution<std::uint32_t> size(1000, 6000);
        const GenerationNeed need{size(this->random), 700};
        const TargetEntry *taken =
                this->choice.choose(pointers(this->engines), this->traits, need, {});
        if (taken == nullptr)
            return;
        this->choice.recordRemotePlacement(taken->id, need, true);
        this->placed.push_back({taken->id, need.promptTokens});
    }

    void endLong()
    {
        std::uniform_int_distribution<std::size_t> any(0, this->placed.size() - 1);
        const std::size_t ended = any(this->random);
        this->choice.recordRemoteRelease(this->placed[ended].engine, this->placed[ended].tokens);
        this->placed.erase(this->placed.begin() + static_cast<std::ptrdiff_t>(ended));
    }

    ManualClock clock;
    std::mt19937_64 random{11};
    std::vector<TargetEntry> engines;
    EngineChoice choice;
    EngineTraits traits;
    std::vector<Placed> placed;
};

} // namespace

// Symptom: of the short generations with the longest prompts half are refused, while the others are
// served nearly always. Events: long generations take every room as it comes free, and keep it for
// ten seconds; an engine has just left. Cause: long ones may fill the engines up to where short
// ones are refused, and short ones leave the same room to refugees though they give it back at
// once.
ParameterizedTestParameters(engineChoice, largestShortOnesFindRoomInACrowd)
{
    static const EngineChoiceOptions now;
    static CrowdCase cases[] = {
            {"before", 0.92, 0.95, true, 0, 45},
            {"now", now.newRunShare, now.urgentShare, now.urgentKeepsEvacuationReserve, 80, 100}};
    return cr_make_param_array(CrowdCase, cases, std::size(cases));
}

ParameterizedTest(CrowdCase *param, engineChoice, largestShortOnesFindRoomInACrowd)
{
    EngineChoiceOptions options;
    options.newRunShare = param->newRunShare;
    options.urgentShare = param->urgentShare;
    options.urgentKeepsEvacuationReserve = param->urgentKeepsEvacuationReserve;
    CrowdedEngines crowd(options);
    crowd.loseOne();
    const int served = crowd.servedShortOnes(4500);
    cr_assert(served >= param->least && served <= param->most, "%s: %d of 100", param->name,
              served);
}

// Symptom: a fifth of the runs that move to another engine pause for more than a fifth of a second.
// Events: their engines leave; the emptiest refuges are reading prompts for a third of a second.
// Cause: half a second of unread prompts weighed no more than half of a memory, though what a copy
// lacks is read behind them.
Test(engineChoice, runsSeekRefugeWhereLittleIsRead)
{
    const std::vector<TargetEntry> engines = makeEngines(3, 3);
    for (const bool before : {true, false}) {
        ManualClock clock;
        EngineChoiceOptions options;
        options.evacuationCostJitter = 0;
        if (before)
            options.evacuationDelayWeight = options.delayWeight;
        EngineChoice choice(clock, 1, "dc0", options);
        for (const TargetEntry &entry : engines)
            choice.onListed(entry);
        choice.recordReport("e1", loadOf(4000));
        choice.recordRemotePlacement("e1", {2500, 400}, false);
        choice.recordReport("e2", loadOf(24000));
        const TargetEntry *refuge = choice.chooseEvacuationTarget(pointers(engines), makeTraits(),
                                                                  {3000, 400}, engines[0], {});
        cr_assert_eq(refuge->id, std::string(before ? "e1" : "e2"));
    }
}

// Symptom: callers wait for a first token that cannot come in time, and delay those after them.
// Events: every engine has seconds of prompts to read.
Test(engineChoice, enginesThatWouldBeLateAreNotTaken)
{
    const std::vector<TargetEntry> engines = makeEngines(2, 2);
    const auto list = pointers(engines);
    ManualClock clock;
    EngineChoice choice(clock, 1, "dc0");
    GenerationNeed need{3000, 40};
    need.maxDelay = std::chrono::milliseconds(900);
    for (const TargetEntry &entry : engines) {
        choice.onListed(entry);
        for (int i = 0; i < 3; ++i)
            choice.recordRemotePlacement(entry.id, {3000, 40}, false);
    }
    cr_assert_null(choice.choose(list, makeTraits(), need, {}));
    clock.advance(std::chrono::milliseconds(1000));
    cr_assert_not_null(choice.choose(list, makeTraits(), need, {}));
}

// Symptom: the longest prompts are served far less often than the others.
// Cause: their own reading takes longer than the delay that is planned for.
Test(engineChoice, longPromptsFindAnIdleEngine)
{
    const std::vector<TargetEntry> engines = makeEngines(1, 1);
    ManualClock clock;
    EngineChoice choice(clock, 1, "dc0");
    choice.onListed(engines[0]);
    GenerationNeed need{6000, 4};
    need.maxDelay = std::chrono::milliseconds(800);
    cr_assert_not_null(choice.choose(pointers(engines), makeTraits(), need, {}));
}

// Symptom: copies are refused for want of room at one engine while others are empty.
// Events: all instances learn of a leaving in the same millisecond and know the same.
// Cause: all choose the same refuge before their notices reach each other.
Test(engineChoice, refugesAreSpreadWithinTheDataCentre)
{
    const std::vector<TargetEntry> engines = makeEngines(8, 4);
    const auto list = pointers(engines);
    ManualClock clock;
    std::map<std::string, int> taken;
    for (std::uint64_t seed = 0; seed < 40; ++seed) {
        EngineChoice choice(clock, seed, "dc1");
        for (const TargetEntry &entry : engines) {
            choice.onListed(entry);
            choice.recordReport(entry.id, loadOf(entry.id == "e1" ? 5000 : 6000));
        }
        const TargetEntry *refuge =
                choice.chooseEvacuationTarget(list, makeTraits(), {3000, 400}, engines[0], {});
        cr_assert_eq(refuge->dataCentre, std::string("dc0"));
        ++taken[refuge->id];
    }
    cr_assert_eq(taken.size(), 3, "all three others of the data centre are used");
    for (const auto &[id, count] : taken)
        cr_assert(count < 30, "%s took %d of 40", id.c_str(), count);
}

// Symptom: callers are refused because engines are full, while the engines are two thirds empty.
// Events: an engine reports much memory in use; runs of this and of other instances end; the next
// report is a second away.
// Cause: what ended since a report was not taken off what it says.
Test(engineChoice, whatEndedSinceTheReportIsRoomAgain)
{
    const std::vector<TargetEntry> engines = makeEngines(1, 1);
    const auto list = pointers(engines);
    const GenerationNeed need{3000, 400};
    ManualClock clock;
    EngineChoice choice(clock, 1, "dc0");
    choice.onListed(engines[0]);
    choice.recordStart("e0", "own", need);
    clock.advance(std::chrono::seconds(1));
    choice.recordReport("e0", loadOf(memoryTokens - 1000));
    cr_assert_null(choice.choose(list, makeTraits(), need, {}));
    choice.recordRelease("e0", "own", 3100);
    choice.recordRemoteRelease("e0", 3100);
    cr_assert_not_null(choice.choose(list, makeTraits(), need, {}));
    cr_assert_float_eq(choice.forecast("e0").memoryTokens, memoryTokens - 7200, 1);
    clock.advance(std::chrono::seconds(1));
    choice.recordReport("e0", loadOf(memoryTokens - 7200));
    cr_assert_float_eq(choice.forecast("e0").memoryTokens, memoryTokens - 7200, 1,
                       "the report contains it, so it counts no longer");
}

// Symptom: an engine that has just started is given twice the prompts that it can read in time.
// Events: other instances learn of the engine first and send it prompts; their notices come here
// before its listing does.
// Cause: notices about an engine that was not listed yet were dropped.
Test(engineChoice, noticesBeforeTheListingCount)
{
    const std::vector<TargetEntry> engines = makeEngines(1, 1);
    ManualClock clock;
    EngineChoice choice(clock, 1, "dc0");
    for (int i = 0; i < 3; ++i)
        choice.recordRemotePlacement("e0", {3000, 400}, false);
    clock.advance(std::chrono::milliseconds(200));
    choice.onListed(engines[0]);
    cr_assert_float_eq(choice.forecast("e0").memoryTokens, 9000, 1);
    cr_assert(choice.forecast("e0").delay > std::chrono::milliseconds(500));
}

// Symptom: generations are preempted midway although each was let in with room to spare.
// Events: seven runs grow for a second after the engine's report.
Test(engineChoice, runsGrowBetweenReports)
{
    const std::vector<TargetEntry> engines = makeEngines(1, 1);
    ManualClock clock;
    EngineChoice choice(clock, 1, "dc0");
    choice.onListed(engines[0]);
    EngineLoad load = loadOf(20'000);
    load.running = 7;
    choice.recordReport("e0", load);
    const double before = choice.forecast("e0").memoryTokens;
    clock.advance(std::chrono::seconds(1));
    cr_assert_float_eq(choice.forecast("e0").memoryTokens - before, 7 * 90, 1);
}

// Symptom: runs of leaving engines find no room anywhere and break off.
// Events: some engines leave at once; new generations take the last room of the others before the
// runs have moved. Cause: both were let in up to the same part of the memory.
Test(engineChoice, newGenerationsLeaveRoomToRunsOfLeavingEngines)
{
    const std::vector<TargetEntry> engines = makeEngines(5, 5);
    const std::vector<const TargetEntry *> staying = {&engines[0], &engines[1], &engines[2],
                                                      &engines[3]};
    const GenerationNeed need{3000, 400};
    ManualClock clock;
    EngineChoice choice(clock, 1, "dc0");
    for (const TargetEntry &entry : engines) {
        choice.onListed(entry);
        choice.recordReport(entry.id, loadOf(22'000));
    }
    cr_assert_not_null(choice.choose(staying, makeTraits(), need, {}));
    choice.onRemoved("e4");
    cr_assert_null(choice.choose(staying, makeTraits(), need, {}));
    cr_assert_not_null(choice.chooseEvacuationTarget(staying, makeTraits(), need, engines[4], {}));
    clock.advance(std::chrono::milliseconds(1500));
    cr_assert_not_null(choice.choose(staying, makeTraits(), need, {}));
}

// Symptom: dozens of requests are reset within seconds while other engines have room.
// Events: an engine says that it is well and resets all that comes; it looks empty, so each of many
// instances gives it the next request. Cause: each instance knew only its own one failure.
Test(engineChoice, engineThatFailsSeveralInstancesIsLeftAlone)
{
    const std::vector<TargetEntry> engines = makeEngines(2, 2);
    const auto list = pointers(engines);
    const GenerationNeed need{3000, 400};
    ManualClock clock;
    EngineChoice choice(clock, 1, "dc0");
    for (const TargetEntry &entry : engines) {
        choice.onListed(entry);
        choice.recordReport(entry.id, loadOf(entry.id == "e0" ? 0 : 9000));
    }
    choice.recordRemoteFailure("e0", "i1");
    cr_assert_eq(choice.choose(list, makeTraits(), need, {})->id, std::string("e0"));
    choice.recordRemoteFailure("e0", "i2");
    cr_assert_eq(choice.choose(list, makeTraits(), need, {})->id, std::string("e1"));
    clock.advance(std::chrono::milliseconds(2100));
    cr_assert_eq(choice.choose(list, makeTraits(), need, {})->id, std::string("e0"));
    choice.recordRemoteFailure("e0", "i3");
    clock.advance(std::chrono::milliseconds(3900));
    cr_assert_eq(choice.choose(list, makeTraits(), need, {})->id, std::string("e1"),
                 "one failure more, and twice as long");
    clock.advance(std::chrono::milliseconds(200));
    choice.recordSuccess("e0");
    choice.recordRemoteFailure("e0", "i1");
    cr_assert_eq(choice.choose(list, makeTraits(), need, {})->id, std::string("e0"),
                 "it has served since, so one failure is one again");
}

// Symptom: all instances leave good engines alone. Events: the way of one instance to the engines
// is bad; it tells the others of each failure.
Test(engineChoice, oneInstanceWithABadWayShutsNoEngineOut)
{
    const std::vector<TargetEntry> engines = makeEngines(2, 2);
    ManualClock clock;
    EngineChoice choice(clock, 1, "dc0");
    for (const TargetEntry &entry : engines) {
        choice.onListed(entry);
        choice.recordReport(entry.id, loadOf(entry.id == "e0" ? 0 : 9000));
    }
    for (int i = 0; i < 10; ++i)
        choice.recordRemoteFailure("e0", "i1");
    cr_assert_eq(choice.choose(pointers(engines), makeTraits(), {3000, 400}, {})->id,
                 std::string("e0"));
}
