// The life of a generation when its engines leave or are lost, step by step.
#include "jaytrack/Routing/runplan.h"

#include <criterion/criterion.h>

using namespace jaytrack;

namespace {

TargetEntry engine(const std::string &id)
{
    TargetEntry entry;
    entry.id = id;
    entry.address = "10.0.0.1:" + id.substr(1);
    return entry;
}

struct Plan
{
    explicit Plan(RunPlanOptions options)
        : plan(this->clock, options)
    {
        this->plan.placed(engine("e1"), nullptr, "run");
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
    run.plan.eventMade();
    cr_assert(run.step() == RunStepKind::Wait);
}

// Symptom: a generation runs twice.
// Events: an engine leaves before the first event of a run; the run is sent elsewhere; the engine had
// begun on it.
// Cause: before the first event nobody can say whether a run has begun.
Test(runPlan, nothingMovesBeforeTheFirstEvent)
{
    Plan run(moving());
    run.plan.engineLeaving("e1");
    cr_assert(run.step() == RunStepKind::Wait);
    run.plan.eventMade();
    cr_assert(run.step() == RunStepKind::MakeCopy);
}

// Symptom: a draft breaks off when its engine leaves.
// Events: the engine announces its leaving two seconds ahead; the run is copied, then goes on at the copy.
Test(runPlan, leavingEngineIsCopiedThenLeft)
{
    Plan run(moving());
    run.plan.eventMade();
    run.plan.engineLeaving("e1");
    cr_assert(run.step() == RunStepKind::MakeCopy);
    run.plan.copyBegan();
    cr_assert(run.step() == RunStepKind::Wait);
    run.plan.copyMade(engine("e2"), {"10.0.0.1:1", "h"});
    const RunStep step = run.plan.next();
    cr_assert(step.kind == RunStepKind::Resume);
    cr_assert_eq(step.target, std::string("e2"));
    cr_assert_eq(step.from.handle, std::string("h"));
    run.plan.placed(engine("e2"), nullptr, "run");
    cr_assert(run.step() == RunStepKind::Wait);
}

// Symptom: a run is lost although engines with room were there.
// Events: the first engine that is asked has no room; nobody asks another one.
Test(runPlan, refusedCopyIsTriedElsewhereAFewTimes)
{
    Plan run(moving());
    run.plan.eventMade();
    run.plan.engineLeaving("e1");
    for (const char *id : {"e2", "e3", "e4", "e5"}) {
        cr_assert(run.step() == RunStepKind::MakeCopy, "%s", id);
        run.plan.copyBegan();
        run.plan.copyFailed(id);
        cr_assert(run.plan.unfit().count(id) == 1);
    }
    cr_assert(run.step() == RunStepKind::Wait, "the link is left to runs that can still be saved");
}

// Symptom: a resumed run is refused, since its copy was dropped.
// Events: the copy's engine leaves as well, or the copy is older than engines keep it.
Test(runPlan, copyThatIsGoneIsNotUsed)
{
    Plan run(moving());
    run.plan.eventMade();
    run.plan.copyMade(engine("e2"), {"10.0.0.1:1", "h"});
    run.plan.engineLeaving("e2");
    run.plan.engineLeaving("e1");
    cr_assert(run.step() == RunStepKind::MakeCopy);

    Plan old(moving());
    old.plan.eventMade();
    old.plan.copyMade(engine("e2"), {"10.0.0.1:1", "h"});
    old.clock.advance(std::chrono::seconds(6));
    old.plan.runningLost();
    cr_assert(old.step() == RunStepKind::Lost);
}

Test(runPlan, lostEngineIsResumedFromTheCopyThatItKept)
{
    ManualClock clock;
    RunPlan plan(clock, moving());
    const TargetEntry backup = engine("e2");
    plan.placed(engine("e1"), &backup, "run");
    plan.eventMade();
    clock.advance(std::chrono::seconds(60));
    plan.runningLost();
    const RunStep step = plan.next();
    cr_assert(step.kind == RunStepKind::Resume);
    cr_assert_eq(step.from.source, backup.address);
    cr_assert_eq(step.from.handle, std::string("run"));
    plan.copyRefused();
    cr_assert(plan.next().kind == RunStepKind::Lost);
}

Test(runPlan, onlyWhatMayRunAgainStartsAnew)
{
    Plan once(moving());
    once.plan.runningLost();
    cr_assert(once.step() == RunStepKind::Lost);
    RunPlanOptions again = moving();
    again.mayRunAgain = true;
    Plan resumable(again);
    resumable.plan.runningLost();
    cr_assert(resumable.step() == RunStepKind::StartAnew);
}
