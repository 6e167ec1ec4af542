#include "jaytrack/Stream/relay.h"

namespace jaytrack {

FrameVerdict StreamRelay::onGeneration(AttemptId attempt, std::string_view name)
{
    if (!this->isCurrent(attempt))
        return FrameVerdict::Drop;
    // Two generations of one prompt may differ after any token. Tokens of a second generation after
    // some of a first would give the caller a text that no generation produced.
    const bool resumed = this->next != 0;
    if (resumed && !this->generationName.empty() && this->generationName != name)
        return FrameVerdict::Broken;
    this->generationName = name;
    return FrameVerdict::Pass;
}

FrameVerdict StreamRelay::onToken(AttemptId attempt, std::uint64_t index)
{
    if (!this->isCurrent(attempt) || index < this->next)
        return FrameVerdict::Drop;
    if (index > this->next)
        return FrameVerdict::Broken;
    ++this->next;
    return FrameVerdict::Pass;
}

RecoveryStep StreamRelay::recover(const LostAttempt &lost) const
{
    if (lost.recoveries >= maxRecoveries)
        return RecoveryStep::GiveUp;
    if (!lost.maySentBytes && this->generationName.empty())
        return RecoveryStep::OtherEngine;
    const bool mayRestart = this->next == 0 && lost.repeatable;
    // The engine may have terminated and lost the generation. While the caller has received
    // nothing, there is no reason to wait longer than a broken connection takes to recover.
    if (mayRestart && lost.recoveries >= resumesBeforeRestart)
        return RecoveryStep::Restart;
    if (lost.engineResumes && lost.generationKnown)
        return RecoveryStep::Resume;
    if (mayRestart)
        return RecoveryStep::Restart;
    return RecoveryStep::GiveUp;
}

} // namespace jaytrack
