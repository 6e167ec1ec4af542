// Checks step by step how a generation continues when its engines leave or are lost.
#include "jaytrack/Routing/runplan.h"

#include <criterion/criterion.h>

using namespace jaytrack;

namespace {

struct PlanFixture
{
    explicit PlanFixture(RunPlanOptions options)
        : plan(this->clock, options)
    {
        this->plan.placed("e1");
    }

    RunStepKind step() const { return this->plan.next().kind; }

    ManualClock clock;
    RunPlan plan;
};

RunPlanOptions movableOptions()
{
    RunPlanOptions options;
    options.movesRuns = true;
    return options;
}

} // namespace

Test(runPlan, undisturbedRunWaits)
{
    PlanFixture run(movableOptions());
    run.plan.eventProduced();
    cr_assert(run.step() == RunStepKind::Wait);
}

// Guards against running a generation twice. An engine leaves before the first event of a run; it
// may have started the run, which is unknown before that event, so the run must not be sent
// elsewhere.
Test(runPlan, runIsNotMovedBeforeFirstEvent)
{
    PlanFixture run(movableOptions());
    run.plan.engineLeaving("e1");
    cr_assert(run.step() == RunStepKind::Wait);
    run.plan.eventProduced();
    cr_assert(run.step() == RunStepKind::MakeCopy);
}

// Guards against a generation that breaks off when its engine leaves. The engine announces two
// seconds in advance that it leaves; the run is copied and then resumed at the copy.
Test(runPlan, runIsCopiedThenResumedWhenEngineLeaves)
{
    PlanFixture run(movableOptions());
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

// Guards against losing a run although other engines have memory, when the first engine requested
// has none and no other one is tried.
Test(runPlan, refusedCopyIsRetriedElsewhere)
{
    PlanFixture run(movableOptions());
    run.plan.eventProduced();
    run.plan.engineLeaving("e1");
    int attempts = 0;
    for (; attempts < 100 && run.step() == RunStepKind::MakeCopy; ++attempts) {
        const std::string id = "e" + std::to_string(attempts + 2);
        run.plan.copyStarted();
        run.plan.copyFailed(id);
        cr_assert(run.plan.unsuitableEngines().count(id) == 1);
        cr_assert(run.step() == RunStepKind::Wait, "the delay after a refusal applies");
        run.clock.advance(std::chrono::milliseconds(100));
    }
    cr_assert_eq(attempts, RunPlanOptions().maxCopyAttempts);
}

// Guards against a destination that is given up, and attempts that are used up, because an earlier
// copy of the run is still under way at its engine.
Test(runPlan, copyInProgressIsNotTheDestinationsFault)
{
    PlanFixture run(movableOptions());
    run.plan.eventProduced();
    run.plan.engineLeaving("e1");
    for (int i = 0; i < 3 * RunPlanOptions().maxCopyAttempts; ++i) {
        cr_assert(run.step() == RunStepKind::MakeCopy);
        run.plan.copyStarted();
        run.plan.copyPostponed();
        cr_assert(run.step() == RunStepKind::Wait, "the delay applies");
        run.clock.advance(std::chrono::milliseconds(100));
    }
    cr_assert(run.plan.unsuitableEngines().empty());
}

// Guards against resuming a run at a copy that no longer exists, because the copy's engine leaves
// as well or the copy is older than engines keep it.
Test(runPlan, unavailableCopyIsNotUsed)
{
    PlanFixture run(movableOptions());
    run.plan.eventProduced();
    run.plan.copyMade("e2", {"10.0.0.1:1", "h"});
    run.plan.engineLeaving("e2");
    run.plan.engineLeaving("e1");
    cr_assert(run.step() == RunStepKind::MakeCopy);

    PlanFixture old(movableOptions());
    old.plan.eventProduced();
    old.plan.copyMade("e2", {"10.0.0.1:1", "h"});
    old.clock.advance(std::chrono::seconds(6));
    old.plan.engineLost();
    cr_assert(old.step() == RunStepKind::Lost);
}

// Guards against losing a run although its copy was made, when the engine is lost before the run
// has been resumed at the copy, or when the copy's engine refuses.
Test(runPlan, lostRunIsResumedFromCopy)
{
    PlanFixture run(movableOptions());
    run.plan.eventProduced();
    run.plan.copyMade("e2", {"10.0.0.1:1", "h"});
    run.plan.engineLost();
    const RunStep step = run.plan.next();
    cr_assert(step.kind == RunStepKind::Resume);
    cr_assert_eq(step.from.source, std::string("10.0.0.1:1"));
    run.plan.copyRefused();
    cr_assert(run.step() == RunStepKind::Lost);
}

Test(runPlan, onlyRepeatableRunsStartAgain)
{
    PlanFixture once(movableOptions());
    once.plan.engineLost();
    cr_assert(once.step() == RunStepKind::Lost);
    RunPlanOptions again = movableOptions();
    again.mayRunAgain = true;
    PlanFixture resumable(again);
    resumable.plan.engineLost();
    cr_assert(resumable.step() == RunStepKind::StartAnew);
}

// Guards against copies that are refused by one full engine while others are empty. All instances
// learn in the same millisecond that an engine is leaving and would all request copies at once,
// before any notice of another instance arrives.
Test(runPlan, firstCopyIsDelayed)
{
    RunPlanOptions options = movableOptions();
    options.firstCopyDelay = std::chrono::milliseconds(60);
    PlanFixture run(options);
    run.plan.eventProduced();
    run.plan.engineLeaving("e1");
    cr_assert(run.step() == RunStepKind::Wait);
    run.clock.advance(std::chrono::milliseconds(40));
    run.plan.engineLeaving("e1");
    run.clock.advance(std::chrono::milliseconds(20));
    cr_assert(run.step() == RunStepKind::MakeCopy,
              "a repeated announcement does not extend the delay");
}
