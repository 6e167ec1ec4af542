// Tests the limit on log lines of one kind.
#include "jaytrack/Support/logallowance.h"

#include <criterion/criterion.h>

using namespace jaytrack;
using namespace std::chrono_literals;

// Guards against a flood of lines displacing others from the log, and against lines being
// suppressed without a report.
Test(logAllowance, suppressesAndCountsExcessLines)
{
    ManualClock clock;
    clock.advance(1h);
    LogAllowance allowance(clock, 2, 1s);
    cr_expect(allowance.take());
    cr_expect_not(allowance.isExhausted());
    cr_expect(allowance.take());
    cr_expect(allowance.isExhausted());
    cr_expect_not(allowance.take());
    cr_expect_not(allowance.take());
    cr_expect_eq(allowance.takeSuppressedCount(), 0, "the span still runs");
    clock.advance(1s);
    cr_expect_eq(allowance.takeSuppressedCount(), 2);
    cr_expect_eq(allowance.takeSuppressedCount(), 0);
    cr_expect(allowance.take());
}
