// Plans how one generation continues across engines: where it runs, where a copy of its memory is,
// and what to do when an engine leaves or is lost.
//
// Engines run for some twenty seconds and announce two seconds in advance that they leave, while
// generations take ten seconds. A generation that may run only once is lost with its engine unless
// its memory has been copied elsewhere by then. It is copied once, when the engine announces that
// it leaves, while the engine continues to generate. The few tokens that the engine produces in the
// meantime are read again by the next engine. Copying earlier would occupy the memory of as many
// other runs.
#ifndef JAYTRACK_ROUTING_RUNPLAN_H
#define JAYTRACK_ROUTING_RUNPLAN_H

#include "jaytrack/Routing/dialect.h"
#include "jaytrack/Support/clock.h"

#include <optional>
#include <set>
#include <string>

namespace jaytrack {

struct RunPlanOptions
{
    bool movesRuns = false; // engines copy a run on request
    bool mayRunAgain = false;
    // An engine drops a copy that is not used within this time.
    Duration copyLifetime = std::chrono::seconds(5);
    // Delay before the first copy after an engine announces that it leaves; the caller draws it at
    // random. All instances learn of the announcement in the same millisecond. With random delays,
    // each knows from the notices of the others which memory is already taken.
    Duration firstCopyDelay{0};
    // Maximum copy attempts per leaving engine. A refusal costs one round trip and comes from a
    // full engine.
    int maxCopyAttempts = 12;
    // Delay after a refusal. Engines that are full have memory again some tenths of a second later,
    // and a leaving engine leaves about a second and a half for copies.
    Duration copyRetryDelay = std::chrono::milliseconds(80);
};

enum class RunStepKind {
    Wait,     // no action required now
    MakeCopy, // request the engine to copy the run to another one
    Resume,   // continue at the engine that holds the copy
    StartAnew,
    Lost
};

struct RunStep
{
    RunStepKind kind = RunStepKind::Wait;
    std::string target; // for Resume: the id of the engine that holds the copy
    ResumePoint from;   // for Resume
};

class RunPlan
{
public:
    RunPlan(const Clock &time, RunPlanOptions initialOptions)
        : clock(time)
        , options(initialOptions)
    {
    }

    // Records that the run was placed at an engine.
    void placed(std::string_view engine);

    void eventProduced() { this->anyEvent = true; }

    // Record that a requested copy was started, completed or failed.
    void copyStarted();
    void copyMade(std::string_view at, ResumePoint point);
    void copyFailed(std::string_view at);

    // Records that the engine still makes an earlier copy of the run, which says nothing about the
    // destination.
    void copyPostponed();

    // Records that the engine does not have the copy or refuses to use it.
    void copyRefused();

    // Records that an engine is leaving. Repeated calls for the same engine have no effect.
    void engineLeaving(std::string_view id);
    void engineLost();

    // Returns the action to take now. Called after each of the above events and periodically.
    RunStep next() const;

    // Returns the engine that holds the copy; empty if there is none.
    std::string_view copyHolder() const;

    // Returns the engines that refused or failed to take the run.
    const std::set<std::string> &unsuitableEngines() const { return this->refused; }

    bool isLeaving() const { return this->leaving; }

private:
    struct Copy
    {
        std::string target;
        ResumePoint point;
        TimePoint madeAt;
    };

    bool copyUsable() const;

    const Clock &clock;
    RunPlanOptions options;
    std::string running;
    std::optional<Copy> copy;
    std::set<std::string> refused;
    bool anyEvent = false;
    bool leaving = false;
    bool lost = false;
    bool copying = false;
    int copyAttempts = 0;
    TimePoint nextCopyAt;
};

} // namespace jaytrack

#endif
