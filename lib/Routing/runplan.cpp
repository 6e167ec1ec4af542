#include "jaytrack/Routing/runplan.h"

namespace jaytrack {

void RunPlan::placed(std::string_view engine)
{
    this->running = engine;
    this->leaving = false;
    this->lost = false;
    this->copying = false;
    this->copyAttempts = 0;
    this->refused.clear();
    this->copy.reset();
}

void RunPlan::copyStarted()
{
    this->copying = true;
    ++this->copyAttempts;
}

void RunPlan::copyMade(std::string_view at, ResumePoint point)
{
    this->copying = false;
    this->copy = Copy{std::string(at), std::move(point), this->clock.now()};
}

void RunPlan::copyFailed(std::string_view at)
{
    this->copying = false;
    this->refused.insert(std::string(at));
    this->nextCopyAt = this->clock.now() + this->options.copyRetryDelay;
}

void RunPlan::copyPostponed()
{
    this->copying = false;
    --this->copyAttempts;
    this->nextCopyAt = this->clock.now() + this->options.copyRetryDelay;
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
    if (this->running != id || this->leaving)
        return;
    this->leaving = true;
    this->nextCopyAt = this->clock.now() + this->options.firstCopyDelay;
}

void RunPlan::engineLost()
{
    this->lost = true;
    this->copying = false;
}

bool RunPlan::copyUsable() const
{
    return this->copy && this->clock.now() - this->copy->madeAt < this->options.copyLifetime;
}

std::string_view RunPlan::copyHolder() const
{
    return this->copy ? std::string_view(this->copy->target) : std::string_view();
}

RunStep RunPlan::next() const
{
    if (this->lost && !this->copyUsable())
        return {this->options.mayRunAgain ? RunStepKind::StartAnew : RunStepKind::Lost, {}, {}};
    // Before its first event it is unknown whether a run has started, so it is not moved.
    const bool mayMove = this->lost || (this->leaving && this->anyEvent && !this->copying);
    if (!mayMove)
        return {};
    if (this->copyUsable())
        return {RunStepKind::Resume, this->copy->target, this->copy->point};
    const bool mayCopy = this->options.movesRuns &&
                         this->copyAttempts < this->options.maxCopyAttempts &&
                         this->clock.now() >= this->nextCopyAt;
    return mayCopy ? RunStep{RunStepKind::MakeCopy, {}, {}} : RunStep{};
}

} // namespace jaytrack
