// The life of a generation when its engines leave or are lost, step by step.
#include "jaytrack/Routing/runplan.h"

#include <criterion/criterion.h>

using namespace jaytrack;

namespace {

struct Plan
{
    explicit Plan(RunPlanOptions options)
        : plan(this->clock, options)
    {
        this->plan.placed("e1");
    }

    RunStepKind step() const { return this->plan.next().kind; }

    ManualClock clock;
    RunPlan plan;
};

RunPlanOptions moving()
{
    RunPlanOptions options;
    options.movesRuns = true;
    return options;
}

} // namespace

Test(runPlan, calmRunWaits)
{
    Plan run(moving());
    run.plan.eventProduced();
    cr_assert(run.step() == RunStepKind::Wait);
}

// Symptom: a generation runs twice.
// Events: an engine leaves before the first event of a run; the run is sent elsewhere; the engine
// had begun on it. Cause: before the first event nobody can say whether a run has begun.
Test(runPlan, nothingMovesBeforeTheFirstEvent)
{
    Plan run(moving());
    run.plan.engineLeaving("e1");
    cr_assert(run.step() == RunStepKind::Wait);
    run.plan.eventProduced();
    cr_assert(run.step() == RunStepKind::MakeCopy);
}

// Symptom: a draft breaks off when its engine leaves.
// Events: the engine announces its leaving two seconds ahead; the run is copied, then goes on at
// the copy.
Test(runPlan, leavingEngineIsCopiedThenLeft)
{
    Plan run(moving());
    run.plan.eventProduced();
    run.plan.engineLeaving("e1");
    cr_assert(run.step() == RunStepKind::MakeCopy);
    run.plan.copyStarted();
    cr_assert(run.step() == RunStepKind::Wait);
    run.plan.copyMade("e2", {"10.0.0.1:1", "h"});
    const RunStep step = run.plan.next();
    cr_assert(step.kind == RunStepKind::Resume);
    cr_assert_eq(step.target, std::string("e2"));
    cr_assert_eq(step.from.handle, std::string("h"));
    run.plan.placed("e2");
    cr_assert(run.step() == RunStepKind::Wait);
}

// Symptom: a run is lost although engines with room were there.
// Events: the first engine that is asked has no room; nobody asks another one.
Test(runPlan, refusedCopyIsTriedElsewhereAFewTimes)
{
    Plan run(moving());
    run.plan.eventProduced();
    run.plan.engineLeaving("e1");
    int tries = 0;
    for (; tries < 100 && run.step() == RunStepKind::MakeCopy; ++tries) {
        const std::string id = "e" + std::to_string(tries + 2);
        run.plan.copyStarted();
        run.plan.copyFailed(id);
        cr_assert(run.plan.unsuitableEngines().count(id) == 1);
        cr_assert(run.step() == RunStepKind::Wait, "full engines need a moment");
        run.clock.advance(std::chrono::milliseconds(100));
    }
    cr_assert_eq(tries, RunPlanOptions().mostCopyTries);
}

// Symptom: a resumed run is refused, since its copy was dropped.
// Events: the copy's engine leaves as well, or the copy is older than engines keep it.
Test(runPlan, copyThatIsGoneIsNotUsed)
{
    Plan run(moving());
    run.plan.eventProduced();
    run.plan.copyMade("e2", {"10.0.0.1:1", "h"});
    run.plan.engineLeaving("e2");
    run.plan.engineLeaving("e1");
    cr_assert(run.step() == RunStepKind::MakeCopy);

    Plan old(moving());
    old.plan.eventProduced();
    old.plan.copyMade("e2", {"10.0.0.1:1", "h"});
    old.clock.advance(std::chrono::seconds(6));
    old.plan.engineLost();
    cr_assert(old.step() == RunStepKind::Lost);
}

// Symptom: a run is lost although its copy was made.
// Events: the engine is gone before the run has been resumed at the copy, or the copy's engine
// refuses.
Test(runPlan, lostEngineIsResumedFromTheCopy)
{
    Plan run(moving());
    run.plan.eventProduced();
    run.plan.copyMade("e2", {"10.0.0.1:1", "h"});
    run.plan.engineLost();
    const RunStep step = run.plan.next();
    cr_assert(step.kind == RunStepKind::Resume);
    cr_assert_eq(step.from.source, std::string("10.0.0.1:1"));
    run.plan.copyRefused();
    cr_assert(run.step() == RunStepKind::Lost);
}

Test(runPlan, onlyWhatMayRunAgainStartsAnew)
{
    Plan once(moving());
    once.plan.engineLost();
    cr_assert(once.step() == RunStepKind::Lost);
    RunPlanOptions again = moving();
    again.mayRunAgain = true;
    Plan resumable(again);
    resumable.plan.engineLost();
    cr_assert(resumable.step() == RunStepKind::StartAnew);
}

// Symptom: copies are refused for want of room at one engine while others are empty.
// Events: all instances learn of a leaving in the same millisecond and order their copies at once,
// before any notice of them has passed. Cause: nothing kept them apart.
Test(runPlan, firstCopyWaitsForItsPause)
{
    RunPlanOptions options = moving();
    options.firstPause = std::chrono::milliseconds(60);
    Plan run(options);
    run.plan.eventProduced();
    run.plan.engineLeaving("e1");
    cr_assert(run.step() == RunStepKind::Wait);
    run.clock.advance(std::chrono::milliseconds(40));
    run.plan.engineLeaving("e1");
    run.clock.advance(std::chrono::milliseconds(20));
    cr_assert(run.step() == RunStepKind::MakeCopy, "said twice, it begins no later");
}
