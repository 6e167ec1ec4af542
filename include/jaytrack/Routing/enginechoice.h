// Chooses the engine that runs a new generation, and the engine that takes over a run whose own
// engine is leaving.
//
// Several instances choose concurrently among the same engines, based on load reports that are half
// a second old or more. If each chose the least loaded engine, all would choose the same one, and
// the prompt queue of an engine that has just started would fill up within one report interval.
// Therefore only a few random engines are compared, based on the last report and on what has been
// sent to them since.
#ifndef JAYTRACK_ROUTING_ENGINECHOICE_H
#define JAYTRACK_ROUTING_ENGINECHOICE_H

#include "jaytrack/Routing/departurereserve.h"
#include "jaytrack/Routing/dialect.h"
#include "jaytrack/Routing/enginespeeds.h"
#include "jaytrack/Routing/pauserisk.h"
#include "jaytrack/Support/clock.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>

namespace jaytrack {

// The estimated resource needs of a generation.
struct GenerationNeed
{
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0; // expected
    Duration maxDelay =
            Duration::max(); // until its prompt has been read; beyond it the first token is late
};

struct EngineChoiceOptions
{
    // Number of engines compared for each generation. Notices between instances take milliseconds,
    // so two instances rarely choose the same engine at the same moment; comparing some of the
    // engines is enough to spread those that do.
    std::size_t candidates = 16;

    // Part of an engine's memory up to which new generations are admitted; the reserve for leaving
    // engines lowers it further. The rest is for the growth of running generations and for the
    // prompts of short ones: if long generations may fill 0.92 of engines that hold six of them,
    // half of the largest tenth of the short ones is refused.
    double newRunShare = 0.84;

    // The same for short urgent generations. They release their memory within half a second, before
    // the generations running there have grown into it.
    double urgentShare = 0.99;

    // Generations with fewer expected output tokens than this count as short.
    std::uint32_t shortTokens = 64;

    // Cost of one second of delay until the first token, relative to the whole memory of an engine.
    double delayWeight = 1.0;

    // Cost of one second that a generation is expected to run, relative to the whole memory of an
    // engine. A slower engine keeps its caller waiting and holds memory for longer.
    double runTimeWeight = 0.1;

    // Cost of a pause that is certain to be longer than the route allows, relative to the whole
    // memory of an engine. Above 1 it outweighs any difference in memory use. Short generations are
    // not charged, because they end before the next prompt arrives.
    double pauseRiskWeight = 3.0;

    // The same as delayWeight for a run that is evacuated. The tokens that its copy lacks are read
    // after the prompts already waiting there, and a pause of a fifth of a second makes the whole
    // stream late, whereas a first token may take more than a second.
    double evacuationDelayWeight = 3.0;

    // Whether short urgent generations also leave the evacuation reserve free.
    bool urgentKeepsEvacuationReserve = false;

    // Prompt tokens that an engine reads per millisecond while it also generates tokens for its
    // other requests. This initial value is half of the 14 tokens that the data sheets state for an
    // otherwise idle engine; later the value is learnt.
    double promptTokensPerMilli = 7;

    // A random amount of up to this much, as a part of the memory, is added to the cost of each
    // engine when a run is evacuated. All instances learn in the same millisecond that an engine is
    // leaving, have the same information, and would otherwise all choose the same engine before
    // their notices reach each other.
    double evacuationCostJitter = 0.1;

    // Cost, as a part of the memory, added for a new run at an engine in another data centre,
    // because traffic between data centres is charged.
    double remotePenalty = 0.05;

    // The same for the copy of a run whose engine is leaving. A copy between data centres takes
    // twice as long (0.4 s for an average run), and all copies from one engine share its link.
    double remoteCopyPenalty = 0.4;

    // Tokens by which each run grows an engine's memory per second between two reports: one token
    // per step, at steps of 11 ms in a batch of six that shares the engine with prompts.
    double growthPerRun = 90;

    // Memory that new generations leave free for the runs of leaving engines.
    DepartureReserveOptions reserve;

    // Part of an engine's memory up to which evacuated runs are sent there as long as another
    // engine has room. A full engine refuses the copy, and an attempt costs a tenth of the time
    // that a shutdown leaves.
    double evacuationShare = 0.9;

    // Notices of other instances about an engine that is not listed are kept for this long.
    // Listings reach the instances within a second of each other.
    Duration unlistedRetention = std::chrono::seconds(5);

    // An engine is avoided for a while after this many failures observed by this instance, or after
    // failures at this many instances. One instance with a bad network path therefore does not
    // exclude an engine for all others. If the engine fails again afterwards, it is avoided for
    // twice as long, and so on.
    std::size_t failuresToAvoid = 2;
    Duration avoidFor = std::chrono::seconds(2);
    int maxDoublings = 2;

    // Failures further apart than this are treated as unrelated.
    Duration failureWindow = std::chrono::seconds(3);
};

class EngineChoice
{
public:
    EngineChoice(const Clock &time, std::uint64_t seed, std::string homeDataCentre,
                 EngineChoiceOptions initialOptions = {});

    void onListed(const TargetEntry &entry);
    void onRemoved(std::string_view id);

    // Removes the engine because this incarnation has ended together with its runs, so none of them
    // has to be evacuated.
    void forget(std::string_view id);

    void recordReport(std::string_view id, const EngineLoad &load);

    // Records that an engine failed a generation or a load query of this instance, or of another
    // one: it was not reachable, reset the connection, broke off or refused. An engine that reports
    // to be healthy but fails all requests looks idle and would otherwise receive all of them.
    void recordFailure(std::string_view id);
    void recordRemoteFailure(std::string_view id, std::string_view instance);

    // Records that a generation of this instance received its first event from the engine.
    void recordSuccess(std::string_view id);

    // Records that a generation of this or another instance ended its run at the engine, and
    // whether it paused there for longer than its route allows.
    void recordPauses(std::string_view id, bool pausedTooLong);

    // Records that this instance sends a prompt to an engine, which has to read it.
    void recordStart(std::string_view id, std::string_view run, const GenerationNeed &need);

    // Records the run's first token, which shows that its prompt has been read.
    void firstToken(std::string_view id, std::string_view run);

    // Records that a copy of a run of this instance is sent to an engine, which does not have to
    // read the prompt.
    void recordCopy(std::string_view id, const GenerationNeed &need);

    // Records that a run or a copy of this instance, which held this many tokens, no longer exists
    // at an engine.
    void recordRelease(std::string_view id, std::string_view run, std::uint32_t tokens);

    // The same for other instances. A notice may arrive before the engine's listing does, so
    // notices about an unknown engine are kept for a while.
    void recordRemotePlacement(std::string_view id, const GenerationNeed &need, bool copied);
    void recordRemoteRelease(std::string_view id, std::uint32_t tokens);

    // Returns the engine for a generation among the given ones; null if no compared engine has
    // enough memory and is fast enough. avoid contains engines that have been tried already.
    const TargetEntry *choose(std::span<const TargetEntry *const> engines,
                              const EngineTraits &traits, const GenerationNeed &need,
                              const std::set<std::string> &avoid);

    // Result of the last choice, for the log: the compared engines that were rejected, and the
    // reserve that was applied, which is zero for short generations.
    struct Shortage
    {
        int full = 0;       // engines without enough memory
        int slow = 0;       // engines with enough memory that would read the prompt too late
        double reserve = 0; // part of each engine's memory kept free for runs of leaving engines
    };
    const Shortage &lastShortage() const { return this->shortage; }

    // Returns the engine to which a run moves when its own is leaving; null if there is none
    // besides those to avoid.
    const TargetEntry *chooseEvacuationTarget(std::span<const TargetEntry *const> engines,
                                              const EngineTraits &traits,
                                              const GenerationNeed &need,
                                              const TargetEntry &running,
                                              const std::set<std::string> &avoid);

    // The memory in tokens that the engine is estimated to hold, with the age of the report on
    // which the estimate is based.
    struct Forecast
    {
        double memoryTokens = 0;
        Duration reportAge{0};
        Duration delay{0};         // until all prompts waiting there have been read
        int idleReports = 0;       // consecutive reports without work; 0 if work was placed since
        Duration eventInterval{0}; // expected between two events of a run
        double pauseRisk = 0;      // that a generation pauses for longer than its route allows
    };
    Forecast forecast(std::string_view id) const;

private:
    // A prompt of this instance from which the reading speed is learnt.
    struct PendingPrompt
    {
        std::uint32_t promptTokens;
        TimePoint since;
        bool alone; // no other prompt was waiting when this one arrived
    };

    // Memory taken (positive) or released (negative) since the last report.
    struct Change
    {
        double tokens;
        TimePoint since;
    };

    struct EngineState
    {
        EngineLoad load;
        TimePoint reportedAt;
        bool everReported = false;
        int idleReports = 0; // consecutive reports without work
        std::map<std::string, PendingPrompt, std::less<>> pendingPrompts;
        std::vector<Change> changes;
        TimePoint promptsReadBy; // when all prompts placed so far will have been read
        std::size_t ownFailures = 0;
        std::set<std::string, std::less<>> failedBy; // instances
        TimePoint failedAt;
        TimePoint avoidedUntil;
        int timesAvoided = 0; // consecutive times
        bool leaving = false;
        bool listed = false;
        std::string service;
        TimePoint noticedAt; // for an engine that is not listed: when another instance last sent a
                             // notice about it
    };

    void noteFailure(EngineState &state, std::string_view instance);
    double evacuationReserve(std::span<const TargetEntry *const> engines,
                             const EngineTraits &traits);
    EngineState &stateForNotice(std::string_view id);
    void dropStaleStates();
    void addChange(EngineState &state, double tokens);
    double memoryOf(const EngineState &state) const;
    bool isIdle(const EngineState &state) const;
    Duration delayOf(const EngineState &state) const;
    Duration readingTime(std::uint32_t tokens, double slowness) const;
    double slownessOf(std::string_view id, const EngineState &state) const;
    double pauseRisk(std::string_view service, std::string_view id) const;
    double runSeconds(const TargetEntry &entry, const EngineTraits &traits,
                      const GenerationNeed &need) const;
    void addPrompt(std::string_view id, EngineState &state, std::uint32_t tokens);
    // Criteria of a choice besides the engines' load.
    struct Preference
    {
        std::string_view dataCentre; // origin of the request or the run
        double remotePenalty = 0;
        std::size_t candidates = 0;
        double maxMemory = 0; // engines whose used memory would exceed this part are rejected
        Duration maxDelay =
                Duration::max(); // engines that would read the prompt later are rejected
        double jitter = 0;
        double delayWeight = 1;
        bool readsPrompt = true; // false for a copy
    };

    const TargetEntry *cheapest(std::vector<const TargetEntry *> eligible,
                                const EngineTraits &traits, const GenerationNeed &need,
                                const Preference &preference);
    double memoryWith(const EngineState &state, const EngineTraits &traits,
                      const GenerationNeed &need) const;
    bool isShort(const GenerationNeed &need) const
    {
        return need.outputTokens < this->options.shortTokens;
    }
    double costOf(const TargetEntry &entry, const EngineTraits &traits, const GenerationNeed &need,
                  const Preference &preference);
    bool isAvoided(const TargetEntry &entry);
    std::vector<const TargetEntry *> eligibleAmong(std::span<const TargetEntry *const> engines,
                                                   const std::set<std::string> &avoid);

    const Clock &clock;
    std::mt19937_64 random;
    std::string home;
    EngineChoiceOptions options;
    double readingSpeed; // of an engine of median speed, learnt, in prompt tokens per millisecond
    EngineSpeeds speeds;
    std::map<std::string, PauseRisk, std::less<>> pauseRisks; // by service
    std::map<std::string, EngineState, std::less<>> states;
    DepartureReserve reserve;
    Shortage shortage;
};

} // namespace jaytrack

#endif
