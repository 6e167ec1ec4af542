// The life of one generation across engines: where it runs, where a copy of its memory lies, and what
// is to be done when an engine leaves or is lost.
//
// Load that it answers: engines that live for some twenty seconds and leave on two seconds' notice
// under generations that take ten. A generation that may run once is lost with its engine unless its
// memory lies elsewhere by then. Copying starts while the engine is calm, because on notice all its
// runs queue on one link: eight of them take it two seconds.
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
    // Whether copies are ordered before an engine leaves. Off: with copies of all runs, engines whose
    // memory is half full preempt (27 runs instead of 3 in half a minute of a quiet emulated site).
    bool copiesWhileCalm = false;
    // A copy that was made on order is dropped by its engine when it is not renewed within this time.
    Duration copyLife = std::chrono::seconds(5);
    // Copies that one departure may try; each failure costs a round trip or a queue on the link.
    int mostCopyTries = 4;
    // Pause after a failed copy in calm times, while engines are short of room.
    Duration calmRetry = std::chrono::milliseconds(1000);
};

enum class RunStepKind {
    Wait,     // nothing to do now
    MakeCopy, // have the engine copy the run to another one, or renew its copy
    Resume,   // go on at the engine that holds the copy
    StartAnew,
    Lost
};

struct RunStep
{
    RunStepKind kind = RunStepKind::Wait;
    std::string target;        // id of the engine to copy to or resume at; empty: to be chosen
    std::string targetAddress; // with target
    ResumePoint from;          // for Resume
};

class RunPlan
{
public:
    RunPlan(const Clock &time, RunPlanOptions given)
        : clock(time)
        , options(given)
    {
    }

    // The run takes place at an engine, which keeps a copy at another one by itself if given.
    void placed(const TargetEntry &engine, const TargetEntry *backup, std::string_view attemptId);

    void eventMade() { this->anyEvent = true; }

    // An ordered copy is under way, was made, or failed.
    void copyBegan();
    void copyMade(const TargetEntry &at, ResumePoint point);
    void copyFailed(std::string_view at);

    // The engine that holds the copy does not have it, or refuses.
    void copyRefused();

    void engineLeaving(std::string_view id);
    void runningLost();

    // What to do now. Called after each of the above and from time to time.
    RunStep next() const;

    // The engine that holds the copy; empty for none.
    std::string_view copyHolder() const;

    // Engines that proved unable to take the run.
    const std::set<std::string> &unfit() const { return this->refused; }

    bool isLeaving() const { return this->leaving; }

private:
    struct Copy
    {
        std::string target;
        std::string address;
        ResumePoint point;
        bool keptByEngine = false; // the running engine renews it by itself
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
    TimePoint calmTryAt;
};

} // namespace jaytrack

#endif
