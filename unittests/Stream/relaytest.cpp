#include "jaytrack/Stream/relay.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace jaytrack;

// Guards against sending a token twice: the connection to the engine breaks, the relay attaches
// again, and frames of the first connection arrive late. The index alone does not identify such
// frames.
Test(relay, dropsFramesOfAbandonedAttempts)
{
    StreamRelay relay;
    const AttemptId first = relay.beginAttempt();
    cr_assert(relay.onGeneration(first, "g") == FrameVerdict::Pass);
    cr_assert(relay.onToken(first, 0) == FrameVerdict::Pass);
    const AttemptId second = relay.beginAttempt();
    cr_assert(relay.onToken(first, 1) == FrameVerdict::Drop);
    cr_assert(relay.onGeneration(second, "g") == FrameVerdict::Pass);
    cr_assert(relay.onToken(second, 0) == FrameVerdict::Drop);
    cr_assert(relay.onToken(second, 1) == FrameVerdict::Pass);
    cr_assert(relay.nextIndex() == 2);
}

Test(relay, breaksOnGaps)
{
    StreamRelay relay;
    const AttemptId attempt = relay.beginAttempt();
    cr_assert(relay.onToken(attempt, 1) == FrameVerdict::Broken);
    cr_assert(!relay.seenAny());
}

// Guards against a text whose second half belongs to another generation: the engine terminates and
// restarts, and the relay requests the rest of the stream.
Test(relay, neverJoinsTwoGenerations)
{
    StreamRelay relay;
    const AttemptId first = relay.beginAttempt();
    relay.onGeneration(first, "g1");
    relay.onToken(first, 0);
    const AttemptId second = relay.beginAttempt();
    cr_assert(relay.onGeneration(second, "g2") == FrameVerdict::Broken);
}

Test(relay, startsAtTheCursor)
{
    StreamRelay relay(7);
    const AttemptId attempt = relay.beginAttempt();
    cr_assert(relay.onToken(attempt, 6) == FrameVerdict::Drop);
    cr_assert(relay.onToken(attempt, 7) == FrameVerdict::Pass);
}

struct RecoveryCase
{
    bool maySentBytes;
    bool engineResumes;
    bool generationKnown;
    bool repeatable;
    int recoveries;
    int received;
    RecoveryStep expected;
};

ParameterizedTestParameters(relay, recovers)
{
    static RecoveryCase cases[] = {
            // Nothing reached the engine: any engine may run it, even if it may run only once.
            {false, false, false, false, 0, 0, RecoveryStep::OtherEngine},
            {false, true, false, true, 3, 0, RecoveryStep::OtherEngine},
            // It may be running and may not be repeated.
            {true, false, false, false, 0, 0, RecoveryStep::GiveUp},
            {true, true, false, false, 0, 0, RecoveryStep::GiveUp},
            // The engine still has the generation.
            {true, true, true, false, 0, 5, RecoveryStep::Resume},
            {false, true, true, true, 0, 5, RecoveryStep::Resume},
            // The caller has received nothing and another generation may start.
            {true, false, true, true, 0, 0, RecoveryStep::Restart},
            {true, true, false, true, 0, 0, RecoveryStep::Restart},
            // The caller has received tokens and the engine cannot resume.
            {true, false, true, true, 0, 5, RecoveryStep::GiveUp},
            {true, true, false, true, 0, 5, RecoveryStep::GiveUp},
            // The maximum number of recoveries has been reached.
            {false, false, false, true, 6, 0, RecoveryStep::GiveUp},
            {true, true, true, true, 6, 5, RecoveryStep::GiveUp},
            // The engine appears to be down and the caller has received nothing of its generation.
            {true, true, true, true, 1, 0, RecoveryStep::Resume},
            {true, true, true, true, 2, 0, RecoveryStep::Restart},
            {true, true, true, false, 2, 0, RecoveryStep::Resume},
    };
    return cr_make_param_array(RecoveryCase, cases, std::size(cases));
}

ParameterizedTest(RecoveryCase *param, relay, recovers)
{
    StreamRelay relay;
    const AttemptId attempt = relay.beginAttempt();
    if (param->generationKnown)
        relay.onGeneration(attempt, "g");
    for (int i = 0; i < param->received; ++i)
        relay.onToken(attempt, static_cast<std::uint64_t>(i));
    const LostAttempt lost{param->maySentBytes, param->engineResumes, param->generationKnown,
                           param->repeatable, param->recoveries};
    cr_assert(relay.recover(lost) == param->expected);
}
