#include "jaytrack/Policy/targetpauses.h"

#include <criterion/criterion.h>

using namespace jaytrack;

// A target that asked for rest gets requests before it is over, or none for ever; or an answer that
// was overtaken by a later one ends the longer rest that that one asked for.
Test(targetPauses, lastAsLongAsTheTargetAsked)
{
    ManualClock clock;
    clock.advance(std::chrono::hours(1));
    TargetPauses pauses(clock);
    cr_assert_not(pauses.isPaused("a"));
    pauses.leaveAlone("a", std::chrono::seconds(3));
    pauses.leaveAlone("a", std::chrono::seconds(1));
    cr_assert_not(pauses.isPaused("b"));
    clock.advance(std::chrono::milliseconds(2900));
    cr_assert_eq(pauses.left("a"), Duration(std::chrono::milliseconds(100)));
    clock.advance(std::chrono::milliseconds(100));
    cr_assert_not(pauses.isPaused("a"));
}
