// Tests how calls that repeat one another are spaced.
#include "jaytrack/Store/callpacing.h"

#include <criterion/criterion.h>

using namespace jaytrack;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds firstInterval{30};
constexpr std::chrono::milliseconds maxInterval{250};

struct Pacing
{
    Pacing() { this->clock.advance(1h); }

    std::chrono::milliseconds repeatAfter(Duration time)
    {
        this->clock.advance(time);
        return this->pacing.repeat(maxInterval);
    }

    ManualClock clock;
    std::mt19937_64 random{1};
    CallPacing pacing{this->clock, firstInterval, this->random};
};

} // namespace

// Guards against a single lost history, or a watch that ends early once, delaying the next call.
Test(callPacing, firstRepeatIsNotDelayed)
{
    Pacing one;
    for (int i = 0; i < 10; ++i)
        cr_expect_eq(one.repeatAfter(CallPacing::quietTime + 1ms).count(), 0);
    cr_expect_not(one.pacing.takeReport());
}

// Guards against calls without end at the same short interval, and against an interval that grows
// until changes come too late.
Test(callPacing, intervalDoublesUpToTheMaximum)
{
    Pacing one;
    cr_expect_eq(one.repeatAfter(0ms).count(), 0);
    auto upper = firstInterval;
    for (int i = 0; i < 100; ++i) {
        const auto interval = one.repeatAfter(upper);
        cr_expect(interval <= upper && interval >= upper / 2, "repeat %d: %lld ms", i,
                  static_cast<long long>(interval.count()));
        upper = std::min(upper * 2, maxInterval);
    }
}

// Guards against a line for each call of a series, and against a series that is not told since an
// earlier one was.
Test(callPacing, eachSeriesIsReportedOnce)
{
    Pacing one;
    for (int series = 0; series < 3; ++series) {
        int reports = 0;
        for (int i = 0; i < 50; ++i) {
            one.repeatAfter(100ms);
            reports += one.pacing.takeReport() ? 1 : 0;
        }
        cr_expect_eq(reports, 1);
        one.clock.advance(CallPacing::quietTime);
    }
}
