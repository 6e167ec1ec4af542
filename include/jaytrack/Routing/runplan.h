// The life of one generation across engines: where it runs, where a copy of its memory lies, and
// what is to be done when an engine leaves or is lost.
//
// Load that it answers: engines that live for some twenty seconds and leave on two seconds' notice
// under generations that take ten. A generation that may run once is lost with its engine unless
// its memory lies elsewhere by then. It is copied on notice, once, while the engine works on; what
// it makes meanwhile is a few tokens that the next engine reads anew. Copies ahead of time would
// take the memory of as many other runs.
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
    bool movesRuns = false; // engines copy a run when told to
    bool mayRunAgain = false;
    // A copy is dropped by its engine when it is not used within this time.
    Duration copyLife = std::chrono::seconds(5);
    // Pause before the first copy of a departure, drawn by the caller. All instances learn of a
    // leaving in the same millisecond; spread out, each knows by the others' notices which room is
    // taken.
    Duration firstPause{0};
    // Copies that one departure may try. A refusal costs a round trip and comes from a full engine.
    int mostCopyTries = 12;
    // Pause after a refusal. Engines that are full now have room some tenths of a second later, and
    // a departure leaves a second and a half.
    Duration retryPause = std::chrono::milliseconds(80);
};

enum class RunStepKind {
    Wait,     // nothing to do now
    MakeCopy, // have the engine copy the run to another one
    Resume,   // go on at the engine that holds the copy
    StartAnew,
    Lost
};

struct RunStep
{
    RunStepKind kind = RunStepKind::Wait;
    std::string target; // for Resume, the id of the engine that holds the copy
    ResumePoint from;   // for Resume
};

class RunPlan
{
public:
    RunPlan(const Clock &time, RunPlanOptions given)
        : clock(time)
        , options(given)
    {
    }

    // The run takes place at an engine.
    void placed(std::string_view engine);

    void eventProduced() { this->anyEvent = true; }

    // An ordered copy is under way, was made, or failed.
    void copyStarted();
    void copyMade(std::string_view at, ResumePoint point);
    void copyFailed(std::string_view at);

    // The engine that holds the copy does not have it, or refuses.
    void copyRefused();

    // An engine is leaving; said again for the same engine it changes nothing.
    void engineLeaving(std::string_view id);
    void engineLost();

    // What to do now. Called after each of the above and from time to time.
    RunStep next() const;

    // The engine that holds the copy; empty for none.
    std::string_view copyHolder() const;

    // Engines that proved unable to take the run.
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
    int copyTries = 0;
    TimePoint copyTryAt;
};

} // namespace jaytrack

#endif
