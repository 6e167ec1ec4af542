// Which engine gets a generation, and which one takes it in when its own is leaving.
//
// Load that it answers: some instances choose at the same time among the same engines on reports
// that lag by half a second and more. Whoever takes the emptiest engine takes the one that all
// others take too, and an engine that has just started fills its queue of prompts within one
// report. So the better of a few random engines is taken, judged by the last report and by what
// this instance sent since.
#ifndef JAYTRACK_ROUTING_ENGINECHOICE_H
#define JAYTRACK_ROUTING_ENGINECHOICE_H

#include "jaytrack/Routing/dialect.h"
#include "jaytrack/Support/clock.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>

namespace jaytrack {

// What a generation will need, as far as is known.
struct GenerationNeed
{
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;       // expected
    Duration mostDelay = Duration::max(); // until its prompt is read, or its first token is late
};

struct EngineChoiceOptions
{
    // Engines compared for each generation. Notices between instances take milliseconds, so two
    // rarely choose the same engine in the same moment; a few candidates still spread those that
    // do.
    std::size_t candidates = 6;

    // Part of an engine's memory up to which new generations are let in; short urgent ones, which
    // leave again within half a second, to a higher part. The rest is for the growth of those that
    // run, and for the runs of engines that leave: a sixth of all engines at a time.
    double newRunShare = 0.95;
    double urgentShare = 1.0;

    // Generations of fewer expected tokens than this count as short.
    std::uint32_t shortTokens = 64;

    // What a second until the first token weighs against a whole memory.
    double weightOfDelay = 1.0;

    // Prompt tokens that an engine reads in a millisecond between the tokens of its other requests,
    // until it is learnt: half of the 14 that the sheets give for an engine that does nothing else.
    double promptTokensPerMilli = 7;

    // Costs are blurred by up to this much, in parts of the memory, where a run seeks refuge: all
    // instances learn of a leaving in the same millisecond, know the same, and would all choose the
    // same engine before their notices reach each other.
    double refugeBlur = 0.25;

    // Handicap, in parts of the memory, for a new run at an engine in another data centre: bytes
    // between them are priced.
    double distantHandicap = 0.05;

    // The same for a copy whose engine is leaving: between data centres it takes twice as long (0.4
    // s for a mean run), and all copies that leave one engine wait for each other on its link.
    double distantCopyHandicap = 0.4;

    // After this many calls in a row that never reached an engine it is left alone for a while.
    int failuresToAvoid = 2;
    Duration avoidFor = std::chrono::seconds(2);
};

class EngineChoice
{
public:
    EngineChoice(const Clock &time, std::uint64_t seed, std::string homeDataCentre,
                 EngineChoiceOptions given = {});

    void listed(const TargetEntry &entry);
    void gone(std::string_view id);
    void reported(std::string_view id, const EngineLoad &load);
    void unreachable(std::string_view id);
    void reached(std::string_view id);

    // A generation of this instance took its place at an engine, grew, or ended there. One that was
    // copied there has nothing left to read.
    void began(std::string_view id, std::string_view run, const GenerationNeed &need, bool copied);

    // Another instance gave a generation to an engine.
    void placedByOthers(std::string_view id, const GenerationNeed &need, bool copied);

    void firstToken(std::string_view id, std::string_view run);
    void ended(std::string_view id, std::string_view run);

    // A copy of a run lies at an engine until dropped.
    void copyPlaced(std::string_view id, std::string_view run, const GenerationNeed &need);
    void copyDropped(std::string_view id, std::string_view run);

    // The engine for a generation among those given; null if none that was compared has room for
    // it. avoid names engines that have been tried.
    const TargetEntry *choose(std::span<const TargetEntry *const> engines,
                              const EngineTraits &traits, const GenerationNeed &need,
                              const std::set<std::string> &avoid);

    // The engine to which a run moves whose own is leaving; null if there is none but those to
    // avoid.
    const TargetEntry *chooseRefuge(std::span<const TargetEntry *const> engines,
                                    const EngineTraits &traits, const GenerationNeed &need,
                                    const TargetEntry &running, const std::set<std::string> &avoid);

    // Tokens of memory that the engine is expected to hold, with the age of the report behind it.
    struct Forecast
    {
        double memoryTokens = 0;
        Duration reportAge{0};
        Duration delay{0}; // until the prompts that wait there will have been read
    };
    Forecast forecast(std::string_view id) const;

private:
    struct Placed
    {
        GenerationNeed need;
        TimePoint since;
        bool decoding = false; // the prompt has been read
        bool copy = false;
        bool alone = false; // no other prompt was waiting when this one came
    };

    // Memory that another instance's generation takes, until a report contains it.
    struct Foreign
    {
        std::uint32_t tokens;
        TimePoint since;
    };

    struct Board
    {
        EngineLoad load;
        TimePoint reportedAt;
        bool everReported = false;
        std::map<std::string, Placed, std::less<>> placed;
        std::vector<Foreign> foreign;
        TimePoint promptsReadBy; // when the prompts that were placed so far will have been read
        int failures = 0;
        TimePoint avoidedUntil;
        bool leaving = false;
    };

    double memoryOf(const Board &board) const;
    Duration delayOf(const Board &board) const;
    Duration readingTime(std::uint32_t tokens) const;
    void addPrompt(Board &board, std::uint32_t tokens);
    // What a choice goes by besides the engines' load.
    struct Preference
    {
        std::string_view dataCentre; // where the request or the run comes from
        double distantHandicap = 0;
        std::size_t candidates = 0;
        double mostMemory =
                0; // an engine whose memory would be taken beyond this part is not taken
        Duration mostDelay = Duration::max(); // nor one that would have read the prompt later
        double blur = 0;
    };

    const TargetEntry *cheapest(std::vector<const TargetEntry *> open, const EngineTraits &traits,
                                const GenerationNeed &need, const Preference &preference);
    double memoryWith(const Board &board, const EngineTraits &traits,
                      const GenerationNeed &need) const;
    double costOf(const TargetEntry &entry, const EngineTraits &traits, const GenerationNeed &need,
                  const Preference &preference);
    bool avoided(const TargetEntry &entry);
    std::vector<const TargetEntry *> openAmong(std::span<const TargetEntry *const> engines,
                                               const std::set<std::string> &avoid);

    const Clock &clock;
    std::mt19937_64 random;
    std::string home;
    EngineChoiceOptions options;
    double readingSpeed; // prompt tokens in a millisecond, as learnt
    std::map<std::string, Board, std::less<>> boards;
};

} // namespace jaytrack

#endif
