#include "jaytrack/Routing/runplan.h"

namespace jaytrack {

void RunPlan::placed(const TargetEntry &engine, const TargetEntry *backup,
                     std::string_view attemptId)
{
    this->running = engine.id;
    this->leaving = false;
    this->lost = false;
    this->copying = false;
    this->copyTries = 0;
    this->refused.clear();
    this->copy.reset();
    if (backup == nullptr)
        return;
    this->copy = Copy{backup->id, backup->address,
                      ResumePoint{backup->address, std::string(attemptId)}, true,
                      this->clock.now()};
}

void RunPlan::copyBegan()
{
    this->copying = true;
    ++this->copyTries;
}

void RunPlan::copyMade(const TargetEntry &at, ResumePoint point)
{
    this->copying = false;
    this->copyTries = 0;
    this->copy = Copy{at.id, at.address, std::move(point), false, this->clock.now()};
}

void RunPlan::copyFailed(std::string_view at)
{
    this->copying = false;
    this->refused.insert(std::string(at));
    if (this->copy && this->copy->target == at)
        this->copy.reset();
    this->calmTryAt = this->clock.now() + this->options.calmRetry;
}

void RunPlan::copyRefused()
{
    if (!this->copy)
        return;
    this->refused.insert(this->copy->target);
    this->copy.reset();
}

void RunPlan::engineLeaving(std::string_view id)
{
    if (this->copy && this->copy->target == id)
        this->copy.reset();
    if (this->running == id && !this->leaving) {
        this->leaving = true;
        this->copyTries = 0;
    }
}

void RunPlan::runningLost()
{
    this->lost = true;
    this->copying = false;
}

bool RunPlan::copyUsable() const
{
    return this->copy && (this->copy->keptByEngine ||
                          this->clock.now() - this->copy->madeAt < this->options.copyLife);
}

std::string_view RunPlan::copyHolder() const
{
    return this->copy ? std::string_view(this->copy->target) : std::string_view();
}

RunStep RunPlan::next() const
{
    const auto resume = [this] {
        return RunStep{RunStepKind::Resume, this->copy->target, this->copy->address,
                       this->copy->point};
    };
    if (this->lost) {
        if (this->copyUsable())
            return resume();
        return {this->options.mayRunAgain ? RunStepKind::StartAnew : RunStepKind::Lost, {}, {}, {}};
    }
    // Before its first event nobody can say whether a run has begun, so it is left where it is.
    if (!this->anyEvent || this->copying)
        return {};
    if (this->leaving && this->copyUsable())
        return resume();
    if (!this->options.movesRuns || this->options.mayRunAgain)
        return {};
    if (this->leaving) {
        if (this->copyTries >= this->options.mostCopyTries)
            return {};
        return {RunStepKind::MakeCopy, {}, {}, {}};
    }
    if (!this->copy || !this->copyUsable()) {
        if (!this->options.copiesWhileCalm || this->clock.now() < this->calmTryAt)
            return {};
        return {RunStepKind::MakeCopy, {}, {}, {}};
    }
    // Renewed at half of its life, so that one failed renewal does not lose it.
    const bool due = !this->copy->keptByEngine &&
                     this->clock.now() - this->copy->madeAt > this->options.copyLife / 2;
    if (due)
        return {RunStepKind::MakeCopy, this->copy->target, this->copy->address, {}};
    return {};
}

} // namespace jaytrack
