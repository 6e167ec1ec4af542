// Checks the placement of generations under load and when engines leave or fail.
#include "engines.h"

#include "jaytrack/Routing/enginechoice.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <algorithm>
#include <memory>

using namespace jaytrack;
using namespace jaytrack::testing;

namespace {

constexpr std::uint32_t memoryTokens = 30'000;

EngineTraits makeTraits()
{
    EngineTraits traits;
    traits.memoryTokens = memoryTokens;
    return traits;
}

// Several instances that use the same engines and may exchange notices.
class InstanceGroup
{
public:
    InstanceGroup(int instances, const std::vector<TargetEntry> &engines, bool notices)
        : sendsNotices(notices)
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

    // Places a prompt from one instance; returns the delay until the engine starts to read it.
    Duration place(std::size_t instance, std::span<const TargetEntry *const> engines, int serial)
    {
        const GenerationNeed need{3000, 400};
        const TargetEntry *chosen =
                this->choices[instance]->choose(engines, makeTraits(), need, {});
        cr_assert_not_null(chosen);
        this->choices[instance]->recordStart(chosen->id, std::to_string(serial), need);
        for (std::size_t i = 0; this->sendsNotices && i < this->choices.size(); ++i) {
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
    bool sendsNotices;
    std::vector<std::unique_ptr<EngineChoice>> choices;
    std::map<std::string, TimePoint> busy;
};

// Returns the mean delay in milliseconds until the prompts of a burst start to be read.
double meanDelay(bool notices)
{
    const std::vector<TargetEntry> engines = makeEngines(16, 16);
    const auto list = pointers(engines);
    InstanceGroup instances(7, engines, notices);
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

// Guards against first tokens that are seconds late while other engines are idle. This happens when
// prompts arrive at several instances within one report interval of the engines' load and each
// instance knows only what it has sent itself.
Test(engineChoice, noticesReducePromptDelay)
{
    const double without = meanDelay(false);
    const double with = meanDelay(true);
    cr_log_info("mean delay %.0f ms without notices, %.0f ms with\n", without, with);
    cr_assert(with < without / 3, "with %.1f, without %.1f", with, without);
}

// Guards against generations that are preempted because their engines were already full when they
// arrived. All engines but one report more memory in use than new generations may fill.
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

// Long generations that take all admitted memory, with nearly the same limit for long and short
// generations and with the default limits.
struct OverloadCase
{
    char name[24];
    double newRunShare;
    double urgentShare;
    bool urgentKeepsEvacuationReserve;
    int minServed; // of 100 short generations with long prompts
    int maxServed;
};

// Engines of 21,800 tokens with more long generations than they hold: whenever one ends, two more
// request its memory.
class OverloadedEngines
{
public:
    static constexpr int count = 40;

    explicit OverloadedEngines(const EngineChoiceOptions &options)
        : engines(makeEngines(count, count))
        , choice(this->clock, 7, "dc0", options)
    {
        this->traits.memoryTokens = 21'800;
        for (const TargetEntry &entry : this->engines)
            this->choice.onListed(entry);
        for (int i = 0; i < 10 * count; ++i)
            this->placeLong();
    }

    // Removes an engine, whose runs need memory elsewhere.
    void removeEngine() { this->choice.onRemoved(this->engines.back().id); }

    // Returns how many of 100 short generations with prompts of the given size find an engine.
    int countServedShort(std::uint32_t promptTokens)
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

// Guards against refusing half of the short generations with the longest prompts while nearly all
// others are served. Long generations take all memory as it becomes free and keep it for ten
// seconds, and an engine has just left. The failure occurs if long generations may fill the engines
// up to the limit at which short ones are refused, and if short ones leave the evacuation reserve
// free although they release their memory almost at once.
ParameterizedTestParameters(engineChoice, longPromptShortGenerationsFindMemoryUnderLoad)
{
    static const EngineChoiceOptions defaults;
    static OverloadCase cases[] = {{"near-equal limits", 0.92, 0.95, true, 0, 45},
                                   {"defaults", defaults.newRunShare, defaults.urgentShare,
                                    defaults.urgentKeepsEvacuationReserve, 80, 100}};
    return cr_make_param_array(OverloadCase, cases, std::size(cases));
}

ParameterizedTest(OverloadCase *param, engineChoice, longPromptShortGenerationsFindMemoryUnderLoad)
{
    EngineChoiceOptions options;
    options.newRunShare = param->newRunShare;
    options.urgentShare = param->urgentShare;
    options.urgentKeepsEvacuationReserve = param->urgentKeepsEvacuationReserve;
    OverloadedEngines overloaded(options);
    overloaded.removeEngine();
    const int served = overloaded.countServedShort(4500);
    cr_assert(served >= param->minServed && served <= param->maxServed, "%s: %d of 100 served",
              param->name, served);
}

// Guards against pauses of more than a fifth of a second for a fifth of the runs that move to
// another engine. The engines with the most free memory were reading prompts for a third of a
// second. With the delay weight of new runs, half a second of unread prompts costs no more than
// half of the memory, although the tokens that a copy lacks are read after those prompts.
Test(engineChoice, evacuationPrefersShortPromptQueues)
{
    const std::vector<TargetEntry> engines = makeEngines(3, 3);
    for (const bool usesNewRunWeight : {true, false}) {
        ManualClock clock;
        EngineChoiceOptions options;
        options.evacuationCostJitter = 0;
        if (usesNewRunWeight)
            options.evacuationDelayWeight = options.delayWeight;
        EngineChoice choice(clock, 1, "dc0", options);
        for (const TargetEntry &entry : engines)
            choice.onListed(entry);
        choice.recordReport("e1", loadOf(4000));
        choice.recordRemotePlacement("e1", {2500, 400}, false);
        choice.recordReport("e2", loadOf(24000));
        const TargetEntry *destination = choice.chooseEvacuationTarget(
                pointers(engines), makeTraits(), {3000, 400}, engines[0], {});
        cr_assert_eq(destination->id, std::string(usesNewRunWeight ? "e1" : "e2"));
    }
}

// Guards against callers that wait for a first token which cannot arrive in time and that delay
// later callers. Every engine has seconds of prompts to read.
Test(engineChoice, enginesWithLongPromptQueuesAreRejected)
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

// Guards against serving the longest prompts far less often than others, because reading them alone
// takes longer than the allowed delay.
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

// Guards against copies that are refused by one full engine while others are empty. All instances
// learn in the same millisecond that an engine is leaving, have the same information, and choose
// the same destination before their notices reach each other.
Test(engineChoice, evacuationsAreSpreadWithinDataCentre)
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
        const TargetEntry *destination =
                choice.chooseEvacuationTarget(list, makeTraits(), {3000, 400}, engines[0], {});
        cr_assert_eq(destination->dataCentre, std::string("dc0"));
        ++taken[destination->id];
    }
    cr_assert_eq(taken.size(), 3, "all three other engines of the data centre are used");
    for (const auto &[id, count] : taken)
        cr_assert(count < 30, "%s received %d of 40 runs", id.c_str(), count);
}

// Guards against refusing callers because engines seem full while they are two thirds empty. An
// engine reports much memory in use, runs of this and of other instances end, and the next report
// is a second away; the ended runs were not subtracted from the report.
Test(engineChoice, memoryReleasedSinceReportIsAvailable)
{
    const std::vector<TargetEntry> engines = makeEngines(1, 1);
    const auto list = pointers(engines);
    const GenerationNeed need{3000, 400};
    ManualClock clock;
    EngineChoiceOptions options;
    options.newRunShare = 0.88; // the released memory makes room for one generation below it
    EngineChoice choice(clock, 1, "dc0", options);
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
                       "the report contains the release, so it is not counted again");
}

// Guards against sending an engine that has just started twice the prompts that it can read in
// time. Other instances discover the engine first and send it prompts, and their notices arrive
// here before its listing; notices about unlisted engines were dropped.
Test(engineChoice, noticesBeforeListingCount)
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

// Guards against generations that are preempted although each was admitted with memory to spare.
// Seven runs grow for a second after the engine's report.
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

// Guards against runs of leaving engines that find no memory anywhere and break off. Several
// engines leave at once, and new generations take the last memory of the others before the runs
// have moved, if both are admitted up to the same limit.
Test(engineChoice, newGenerationsKeepEvacuationReserve)
{
    const std::vector<TargetEntry> engines = makeEngines(5, 5);
    const std::vector<const TargetEntry *> remaining = {&engines[0], &engines[1], &engines[2],
                                                        &engines[3]};
    const GenerationNeed need{3000, 400};
    ManualClock clock;
    // Without the reserve for expected departures, which lasts for longer.
    EngineChoiceOptions options;
    options.reserve.expectsDepartures = false;
    EngineChoice choice(clock, 1, "dc0", options);
    for (const TargetEntry &entry : engines) {
        choice.onListed(entry);
        choice.recordReport(entry.id, loadOf(22'000));
    }
    cr_assert_not_null(choice.choose(remaining, makeTraits(), need, {}));
    choice.onRemoved("e4");
    cr_assert_null(choice.choose(remaining, makeTraits(), need, {}));
    cr_assert_not_null(
            choice.chooseEvacuationTarget(remaining, makeTraits(), need, engines[4], {}));
    clock.advance(std::chrono::milliseconds(1500));
    cr_assert_not_null(choice.choose(remaining, makeTraits(), need, {}));
}

// Guards against dozens of requests being reset within seconds while other engines have memory. An
// engine reports to be healthy and resets all requests; it looks idle, so each of many instances
// sends it the next request if it knows only its own single failure.
Test(engineChoice, engineThatFailsSeveralInstancesIsAvoided)
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
                 "one further failure doubles the time");
    clock.advance(std::chrono::milliseconds(200));
    choice.recordSuccess("e0");
    choice.recordRemoteFailure("e0", "i1");
    cr_assert_eq(choice.choose(list, makeTraits(), need, {})->id, std::string("e0"),
                 "a success since then resets the failure count");
}

// Guards against all instances avoiding healthy engines because one instance with a bad network
// path to the engines notifies the others of each of its failures.
Test(engineChoice, failuresOfOneInstanceDoNotExcludeEngine)
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
