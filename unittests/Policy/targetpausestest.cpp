#include "jaytrack/Policy/targetpauses.h"

#include <criterion/criterion.h>

using namespace jaytrack;

// Guards against a pause that ends too early or never ends, and against an answer that arrives out
// of order and shortens a longer pause.
Test(targetPauses, lastAsLongAsTheTargetAsked)
{
    ManualClock clock;
    clock.advance(std::chrono::hours(1));
    TargetPauses pauses(clock);
    cr_assert_not(pauses.isPaused("a"));
    pauses.pause("a", std::chrono::seconds(3));
    pauses.pause("a", std::chrono::seconds(1));
    cr_assert_not(pauses.isPaused("b"));
    clock.advance(std::chrono::milliseconds(2900));
    cr_assert_eq(pauses.remaining("a"), Duration(std::chrono::milliseconds(100)));
    clock.advance(std::chrono::milliseconds(100));
    cr_assert_not(pauses.isPaused("a"));
}
