// Checks the placement of generations on engines that differ in speed or make generations pause,
// and the evacuation of runs when engines are full.
#include "engines.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <algorithm>
#include <array>

using namespace jaytrack;
using namespace jaytrack::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t memoryTokens = 27'000;
constexpr std::uint32_t halfFull = memoryTokens / 2;
constexpr double medianIntervalMs = 45;
constexpr GenerationNeed longNeed{3079, 750};
constexpr GenerationNeed shortNeed{2550, 10, 1500ms};

// Engines of three speeds, four of each, at which one instance learns of all placements.
class SpeedGroups
{
public:
    static constexpr int groupCount = 3;
    static constexpr int groupSize = 4;
    using Counts = std::array<int, groupCount>;

    explicit SpeedGroups(const std::array<double, groupCount> &slownesses)
        : slowness(slownesses)
        , engines(makeEngines(groupCount * groupSize, groupCount * groupSize))
        , list(pointers(this->engines))
    {
        this->traits.memoryTokens = memoryTokens;
        this->traits.tokensPerEvent = 4;
        for (const TargetEntry &entry : this->engines)
            this->choice.onListed(entry);
    }

    static int groupOf(std::string_view id)
    {
        return std::stoi(std::string(id.substr(1))) / groupSize;
    }

    // Every engine of the group reports this much memory in use and its speed.
    void report(int group, std::uint32_t tokens)
    {
        EngineLoad load = loadOf(tokens);
        load.eventInterval =
                std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(
                        medianIntervalMs * this->slowness[static_cast<std::size_t>(group)]));
        for (const TargetEntry &entry : this->engines) {
            if (groupOf(entry.id) == group)
                this->choice.recordReport(entry.id, load);
        }
    }

    void reportAll(std::uint32_t tokens)
    {
        for (int group = 0; group < groupCount; ++group)
            this->report(group, tokens);
    }

    // Records generations of another instance that ended at the first engine of the group.
    void recordPauses(int group, int generations, int paused)
    {
        const std::string &engine = this->engines[static_cast<std::size_t>(group * groupSize)].id;
        for (int i = 0; i < generations; ++i)
            this->choice.recordPauses(engine, i < paused);
    }

    // Returns the engine on which a generation was placed; null if none was found.
    const TargetEntry *place(const GenerationNeed &need)
    {
        const TargetEntry *chosen = this->choice.choose(this->list, this->traits, need, {});
        if (chosen != nullptr)
            this->choice.recordRemotePlacement(chosen->id, need, false);
        return chosen;
    }

    // Places generations one after the other; returns how many each group received.
    Counts placeMany(int generations, const GenerationNeed &need)
    {
        Counts counts{};
        for (int i = 0; i < generations; ++i) {
            const TargetEntry *chosen = this->place(need);
            cr_assert_not_null(chosen, "generation %d", i);
            ++counts[static_cast<std::size_t>(groupOf(chosen->id))];
            this->clock.advance(125ms);
        }
        return counts;
    }

    ManualClock clock;
    EngineChoice choice{clock, 5, "dc0", options()};

private:
    // Half-full engines have room for three long generations each.
    static EngineChoiceOptions options()
    {
        EngineChoiceOptions options;
        options.newRunShare = 0.88;
        return options;
    }

    std::array<double, groupCount> slowness;
    std::vector<TargetEntry> engines;
    std::vector<const TargetEntry *> list;
    EngineTraits traits;
};

constexpr std::array<double, SpeedGroups::groupCount> threeSpeeds = {0.6, 1.0, 1.6};

} // namespace

// Guards against drafts that are late from the first second because they were placed on engines of
// less than half the speed of others that had room, and against refusals while slow engines have
// room. Each engine is half full and has room for three more generations.
Test(placement, longGenerationsUseSlowEnginesLast)
{
    SpeedGroups fleet(threeSpeeds);
    fleet.reportAll(halfFull);
    const SpeedGroups::Counts first = fleet.placeMany(20, longNeed);
    cr_assert_eq(first[2], 0, "%d of 20 on slow engines", first[2]);
    cr_assert(first[0] > first[1], "%d on fast, %d on usual ones", first[0], first[1]);
    const SpeedGroups::Counts rest = fleet.placeMany(16, longNeed);
    cr_assert_eq(rest[2], 12, "%d of 16 on slow engines", rest[2]);
    cr_assert_null(fleet.place(longNeed), "all are full");
}

// Guards against refusing short urgent generations, or placing them where they are late, when only
// slow engines have memory left. They arrive at eight per second for two seconds.
Test(placement, shortGenerationsReachSlowEnginesInTime)
{
    SpeedGroups fleet(threeSpeeds);
    fleet.report(0, memoryTokens);
    fleet.report(1, memoryTokens);
    fleet.report(2, halfFull);
    for (int i = 0; i < 16; ++i) {
        const TargetEntry *chosen = fleet.place(shortNeed);
        cr_assert_not_null(chosen, "generation %d", i);
        cr_assert_eq(SpeedGroups::groupOf(chosen->id), 2);
        const Duration readBy = fleet.choice.forecast(chosen->id).delay;
        cr_assert(readBy <= shortNeed.maxDelay, "generation %d: read after %lld ms", i,
                  static_cast<long long>(toMillis(readBy)));
        fleet.clock.advance(125ms);
        fleet.choice.recordRemoteRelease(chosen->id, shortNeed.promptTokens);
    }
}

namespace {

struct SpreadCase
{
    char name[24];
    std::array<double, SpeedGroups::groupCount> slowness; // 0 for unknown
};

} // namespace

// Guards against generations that gather on a few engines, whose prompts then wait for each other,
// because of speeds that differ by no more than the accuracy of their measurement.
ParameterizedTestParameters(placement, equalEnginesShareEvenly)
{
    static SpreadCase cases[] = {{"unknown speeds", {0, 0, 0}},
                                 {"equal speeds", {1, 1, 1}},
                                 {"within a tenth", {0.95, 1, 1.05}}};
    return cr_make_param_array(SpreadCase, cases, std::size(cases));
}

ParameterizedTest(SpreadCase *param, placement, equalEnginesShareEvenly)
{
    SpeedGroups fleet(param->slowness);
    fleet.reportAll(3000);
    constexpr int generations = 48; // four for each engine
    std::map<std::string, int> taken;
    for (int i = 0; i < generations; ++i) {
        const TargetEntry *chosen = fleet.place(longNeed);
        cr_assert_not_null(chosen, "%s: generation %d", param->name, i);
        ++taken[chosen->id];
        fleet.clock.advance(125ms);
    }
    cr_assert_eq(taken.size(), 12, "%s: %zu engines used", param->name, taken.size());
    for (const auto &[id, count] : taken)
        cr_assert_leq(count, 6, "%s: %d on %s", param->name, count, id.c_str());
}

namespace {

// Engines of usual speed that are more than half full beside empty ones that are slightly slower,
// which are preferred as long as nothing is known of pauses.
struct PauseCase
{
    char name[40];
    int group; // whose generations were observed; 1 usual, 2 slower
    int generations;
    int paused;
    int secondsAgo;
    GenerationNeed need;
    int minSlower; // of four generations, placed on slower engines
    int maxSlower;
};

} // namespace

// Guards against drafts with pauses: engines whose generations pause are avoided by all instances
// as soon as a few dozen generations have ended there, but not for a single pause, not for ever,
// not for short generations, and not because of notices about engines of another speed.
ParameterizedTestParameters(placement, longGenerationsAvoidPauses)
{
    static PauseCase cases[] = {
            {"nothing observed", 2, 0, 0, 0, longNeed, 4, 4},
            {"slower engines pause", 2, 20, 20, 0, longNeed, 0, 0},
            {"half of them pause", 2, 40, 20, 0, longNeed, 0, 0},
            {"a single pause", 2, 1, 1, 0, longNeed, 4, 4},
            {"one of forty", 2, 40, 1, 0, longNeed, 4, 4},
            {"three minutes ago", 2, 20, 20, 180, longNeed, 4, 4},
            {"short generations", 2, 20, 20, 0, shortNeed, 4, 4},
            {"false notices about usual engines", 1, 200, 200, 0, longNeed, 4, 4},
            {"false praise of usual engines", 1, 200, 0, 0, longNeed, 4, 4}};
    return cr_make_param_array(PauseCase, cases, std::size(cases));
}

ParameterizedTest(PauseCase *param, placement, longGenerationsAvoidPauses)
{
    SpeedGroups fleet({1.0, 1.0, 1.3});
    fleet.reportAll(0);
    fleet.recordPauses(param->group, param->generations, param->paused);
    fleet.clock.advance(std::chrono::seconds(param->secondsAgo));
    fleet.report(0, 18'900);
    fleet.report(1, 18'900);
    fleet.report(2, 0);
    const int slower = fleet.placeMany(4, param->need)[2];
    cr_assert(slower >= param->minSlower && slower <= param->maxSlower, "%s: %d of 4", param->name,
              slower);
}

// Guards against refusals caused by notices about pauses, true or false: engines that are avoided
// for them still serve when all others are full.
Test(placement, pausingEnginesServeWhenOthersAreFull)
{
    SpeedGroups fleet(threeSpeeds);
    fleet.report(0, memoryTokens);
    fleet.report(1, memoryTokens);
    fleet.report(2, 0);
    fleet.recordPauses(2, 200, 200);
    cr_assert_eq(fleet.placeMany(8, longNeed)[2], 8);
}

// Guards against speeds of engines that have left, which arrive late from other instances and
// distort the median with which all others are compared. The engine's memory is released by its
// last runs after it was removed, and its last load report is still on its way.
Test(placement, lateNoticesAboutRemovedEnginesDoNotChangeSpeeds)
{
    ManualClock clock;
    EngineChoice choice(clock, 1, "dc0");
    const std::vector<TargetEntry> engines = makeEngines(5, 5);
    EngineLoad load;
    load.eventInterval = 40ms;
    for (const TargetEntry &entry : engines) {
        choice.onListed(entry);
        choice.recordReport(entry.id, load);
    }
    load.eventInterval = 400ms;
    for (int i = 1; i < 5; ++i) {
        const std::string &id = engines[static_cast<std::size_t>(i)].id;
        choice.onRemoved(id);
        choice.recordRemoteRelease(id, 3000);
        choice.recordReport(id, load);
    }
    choice.recordRemotePlacement("e0", {2800, 400}, false);
    cr_assert_eq(toMillis(choice.forecast("e0").delay), 400);
}

namespace {

struct EvacuationCase
{
    char name[40];
    std::uint32_t nearUsed; // memory in use in the run's data centre
    std::uint32_t farUsed;  // in another one
    std::uint32_t tokens;   // of each run
    char expected[24]; // engines of four copies made one after the other; e1 is near, e2 is not
};

} // namespace

// Guards against copies that are refused for lack of memory, each of which costs a tenth of the
// time that a shutdown leaves, while an engine of another data centre is empty; and against runs
// that are lost without an attempt because all engines seem full. Each copy counts with the tokens
// generated so far: of runs of 3,679 tokens, only three have room beside 10,000.
ParameterizedTestParameters(placement, evacuatedRunsFindMemory)
{
    static EvacuationCase cases[] = {{"near has room", 3000, 13'500, 3679, "e1 e1 e1 e1"},
                                     {"near is full", 25'000, 3000, 3679, "e2 e2 e2 e2"},
                                     {"near fills up", 10'000, 13'500, 3679, "e1 e1 e1 e2"},
                                     {"shorter runs", 10'000, 13'500, 3079, "e1 e1 e1 e1"},
                                     {"none has room", 25'000, 26'000, 3679, "e1 e1 e1 e1"}};
    return cr_make_param_array(EvacuationCase, cases, std::size(cases));
}

ParameterizedTest(EvacuationCase *param, placement, evacuatedRunsFindMemory)
{
    // The leaving engine and e1 are in one data centre, e2 is in another.
    const std::vector<TargetEntry> engines = makeEngines(3, 2);
    ManualClock clock;
    EngineChoiceOptions options;
    options.evacuationCostJitter = 0;
    EngineChoice choice(clock, 1, "dc0", options);
    for (const TargetEntry &entry : engines)
        choice.onListed(entry);
    choice.recordReport("e1", loadOf(param->nearUsed));
    choice.recordReport("e2", loadOf(param->farUsed));
    EngineTraits traits;
    traits.memoryTokens = memoryTokens;
    const GenerationNeed need{param->tokens, 150};
    std::string chosen;
    for (int i = 0; i < 4; ++i) {
        const TargetEntry *destination =
                choice.chooseEvacuationTarget(pointers(engines), traits, need, engines[0], {});
        cr_assert_not_null(destination, "%s", param->name);
        choice.recordCopy(destination->id, need);
        chosen += (chosen.empty() ? "" : " ") + destination->id;
    }
    cr_assert_eq(chosen, std::string(param->expected), "%s: %s", param->name, chosen.c_str());
}
