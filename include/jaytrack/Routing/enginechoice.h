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
    std::uint32_t outputTokens = 0;      // expected
    Duration maxDelay = Duration::max(); // until its prompt is read, or its first token is late
};

struct EngineChoiceOptions
{
    // Engines compared for each generation. Notices between instances take milliseconds, so two
    // rarely choose the same engine in the same moment; a few candidates still spread those that
    // do.
    std::size_t candidates = 6;

    // Part of an engine's memory up to which new generations are let in. The rest is for the growth
    // of those that run, for the runs of engines that leave (a sixth of all engines at a time), and
    // for the prompts of short ones: where long ones may fill 0.92 of engines that hold six of
    // them, half of the largest tenth of the short ones is refused.
    double newRunShare = 0.88;

    // The same for short urgent generations, which give their memory back within half a second,
    // before those that run there have grown into it.
    double urgentShare = 0.99;

    // Generations of fewer expected tokens than this count as short.
    std::uint32_t shortTokens = 64;

    // What a second until the first token weighs against a whole memory.
    double delayWeight = 1.0;

    // The same for a run that seeks refuge. What its copy lacks is read behind the prompts that
    // wait there, and a pause of a fifth of a second makes the whole stream late, where a first
    // token has more than a second.
    double evacuationDelayWeight = 3.0;

    // Whether short urgent generations leave room to the runs of leaving engines too.
    bool urgentKeepsEvacuationReserve = false;

    // Prompt tokens that an engine reads in a millisecond between the tokens of its other requests,
    // until it is learnt: half of the 14 that the sheets give for an engine that does nothing else.
    double promptTokensPerMilli = 7;

    // Costs are blurred by up to this much, in parts of the memory, where a run seeks refuge: all
    // instances learn of a leaving in the same millisecond, know the same, and would all choose the
    // same engine before their notices reach each other.
    double evacuationCostJitter = 0.1;

    // Handicap, in parts of the memory, for a new run at an engine in another data centre: bytes
    // between them are priced.
    double remotePenalty = 0.05;

    // The same for a copy whose engine is leaving: between data centres it takes twice as long (0.4
    // s for a mean run), and all copies that leave one engine wait for each other on its link.
    double remoteCopyPenalty = 0.4;

    // Tokens that each run adds to an engine's memory in a second, between two reports: a token a
    // step, and steps of 11 ms in a batch of six that shares the engine with prompts.
    double growthPerRun = 90;

    // Runs of a leaving engine seek room at the others for about this long. Until then new
    // generations leave that room to them: whoever is refused at the door can come back, a run that
    // finds no room is lost with all that was made.
    Duration evacuationTime = std::chrono::milliseconds(1500);

    // The most, in parts of an engine's memory, that new generations leave to such runs.
    double maxEvacuationReserve = 0.15;

    // What others say of an engine that is not listed is kept for this long. Listings reach the
    // instances within a second of each other.
    Duration keepUnlisted = std::chrono::seconds(5);

    // An engine is left alone for a while after so many failures of this instance, or failures of
    // so many instances: one whose own way is bad shuts no engine out for the others. If it fails
    // once more after that, it is left alone for twice as long, and so on.
    std::size_t failuresToAvoid = 2;
    Duration avoidFor = std::chrono::seconds(2);
    int mostDoublings = 2;

    // Failures further apart than this have nothing to do with each other.
    Duration failureWindow = std::chrono::seconds(3);
};

class EngineChoice
{
public:
    EngineChoice(const Clock &time, std::uint64_t seed, std::string homeDataCentre,
                 EngineChoiceOptions given = {});

    void onListed(const TargetEntry &entry);
    void onRemoved(std::string_view id);

    // The engine's life ended with all that ran there, so no run seeks room elsewhere.
    void forget(std::string_view id);

    void recordReport(std::string_view id, const EngineLoad &load);

    // An engine failed a generation or a question of this instance, or of another one: not reached,
    // reset, broken off or refused. One that says that it is well and fails all that comes looks
    // empty, and would be given everything.
    void recordFailure(std::string_view id);
    void recordRemoteFailure(std::string_view id, std::string_view instance);

    // A generation of this instance got its first event there.
    void recordSuccess(std::string_view id);

    // A prompt of this instance goes to an engine, which has to read it.
    void recordStart(std::string_view id, std::string_view run, const GenerationNeed &need);

    // The run's first token came, so its prompt has been read.
    void firstToken(std::string_view id, std::string_view run);

    // A copy of a run of this instance goes to an engine; nothing of it need be read.
    void recordCopy(std::string_view id, const GenerationNeed &need);

    // A run or a copy of this instance is gone from an engine and held that many tokens there.
    void recordRelease(std::string_view id, std::string_view run, std::uint32_t tokens);

    // The same of another instance. Its notice may come before the engine's listing does, so what
    // it says of an unknown engine is kept for a while.
    void recordRemotePlacement(std::string_view id, const GenerationNeed &need, bool copied);
    void recordRemoteRelease(std::string_view id, std::uint32_t tokens);

    // The engine for a generation among those given; null if none that was compared has room for
    // it. avoid names engines that have been tried.
    const TargetEntry *choose(std::span<const TargetEntry *const> engines,
                              const EngineTraits &traits, const GenerationNeed &need,
                              const std::set<std::string> &avoid);

    // Why the last choice compared found no engine, for the log.
    struct Shortage
    {
        int full = 0; // engines without the memory
        int slow = 0; // engines with it that would read the prompt too late
    };
    const Shortage &lastShortage() const { return this->shortage; }

    // The engine to which a run moves whose own is leaving; null if there is none but those to
    // avoid.
    const TargetEntry *chooseEvacuationTarget(std::span<const TargetEntry *const> engines,
                                              const EngineTraits &traits,
                                              const GenerationNeed &need,
                                              const TargetEntry &running,
                                              const std::set<std::string> &avoid);

    // Tokens of memory that the engine is expected to hold, with the age of the report behind it.
    struct Forecast
    {
        double memoryTokens = 0;
        Duration reportAge{0};
        Duration delay{0}; // until the prompts that wait there will have been read
    };
    Forecast forecast(std::string_view id) const;

private:
    // A prompt of this instance from which the speed of reading is learnt.
    struct Reading
    {
        std::uint32_t promptTokens;
        TimePoint since;
        bool alone; // no other prompt was waiting when this one came
    };

    // Memory that was taken (positive) or given back, until a report contains it.
    struct Change
    {
        double tokens;
        TimePoint since;
    };

    struct Board
    {
        EngineLoad load;
        TimePoint reportedAt;
        bool everReported = false;
        std::map<std::string, Reading, std::less<>> reading;
        std::vector<Change> changes;
        TimePoint promptsReadBy; // when the prompts that were placed so far will have been read
        std::size_t ownFailures = 0;
        std::set<std::string, std::less<>> failedBy; // instances
        TimePoint failedAt;
        TimePoint avoidedUntil;
        int timesAvoided = 0; // in a row
        bool leaving = false;
        bool listed = false;
        std::string service;
        TimePoint noticedAt; // of a board that is not listed: when others last spoke of the engine
    };

    // Memory of an engine that has left, whose runs seek room elsewhere.
    struct Departure
    {
        std::string service;
        double tokens;
        TimePoint at;
    };

    void noteFailure(Board &board, std::string_view instance);
    double refugeShare(std::span<const TargetEntry *const> engines, const EngineTraits &traits);
    Board &noticedBoard(std::string_view id);
    void dropStaleBoards();
    void change(Board &board, double tokens);
    double memoryOf(const Board &board) const;
    Duration delayOf(const Board &board) const;
    Duration readingTime(std::uint32_t tokens) const;
    void addPrompt(Board &board, std::uint32_t tokens);
    // What a choice goes by besides the engines' load.
    struct Preference
    {
        std::string_view dataCentre; // where the request or the run comes from
        double remotePenalty = 0;
        std::size_t candidates = 0;
        double mostMemory =
                0; // an engine whose memory would be taken beyond this part is not taken
        Duration maxDelay = Duration::max(); // nor one that would have read the prompt later
        double blur = 0;
        double delayWeight = 1;
    };

    const TargetEntry *cheapest(std::vector<const TargetEntry *> open, const EngineTraits &traits,
                                const GenerationNeed &need, const Preference &preference);
    double memoryWith(const Board &board, const EngineTraits &traits,
                      const GenerationNeed &need) const;
    bool isShort(const GenerationNeed &need) const
    {
        return need.outputTokens < this->options.shortTokens;
    }
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
    std::vector<Departure> departures;
    Shortage shortage;
};

} // namespace jaytrack

#endif
