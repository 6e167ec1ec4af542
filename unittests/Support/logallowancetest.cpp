// How many lines of one kind are written.
#include "jaytrack/Support/logallowance.h"

#include <criterion/criterion.h>

using namespace jaytrack;
using namespace std::chrono_literals;

// Guards against a flood of lines pushing others out of the log, and against nobody being told that
// lines were left out.
Test(logAllowance, leavesOutWhatIsTooMuchAndCountsIt)
{
    ManualClock clock;
    clock.advance(1h);
    LogAllowance allowance(clock, 2, 1s);
    cr_expect(allowance.take());
    cr_expect_not(allowance.isSpent());
    cr_expect(allowance.take());
    cr_expect(allowance.isSpent());
    cr_expect_not(allowance.take());
    cr_expect_not(allowance.take());
    cr_expect_eq(allowance.takeLeftOut(), 0, "the span still runs");
    clock.advance(1s);
    cr_expect_eq(allowance.takeLeftOut(), 2);
    cr_expect_eq(allowance.takeLeftOut(), 0);
    cr_expect(allowance.take());
}
