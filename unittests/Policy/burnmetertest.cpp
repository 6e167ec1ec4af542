#include "jaytrack/Policy/burnmeter.h"

#include <criterion/criterion.h>

using namespace jaytrack;

namespace {

LevelSample sampleOf(bool answered, std::chrono::milliseconds first)
{
    LevelSample sample;
    sample.customer = "weavers";
    sample.subject = "pattern";
    sample.level = {std::chrono::milliseconds(390), std::chrono::seconds(2), 0.9};
    sample.answered = answered;
    sample.firstToken = first;
    return sample;
}

const BurnRow &rowOf(const std::vector<BurnRow> &rows, const std::string &objective)
{
    static const BurnRow none;
    for (const BurnRow &row : rows) {
        if (row.objective == objective)
            return row;
    }
    return none;
}

} // namespace

Test(burnmeter, countsWithinWindows)
{
    ManualClock clock;
    clock.advance(std::chrono::hours(100));
    BurnMeter meter(clock);
    for (int i = 0; i < 10; ++i)
        meter.add(sampleOf(true, std::chrono::milliseconds(i < 2 ? 500 : 100)));
    const auto rows = meter.rows();
    const BurnRow &first = rowOf(rows, "first_token");
    cr_assert(first.total[0] == 10 && first.bad[0] == 2);
    cr_assert_float_eq(first.burn(0), 2.0, 1e-9,
                       "a fifth of the requests is bad where a tenth is allowed");
    cr_assert(rowOf(rows, "answered").bad[0] == 0);

    clock.advance(std::chrono::minutes(10));
    const auto later = meter.rows();
    cr_assert(rowOf(later, "first_token").total[0] == 0);
    cr_assert(rowOf(later, "first_token").total[1] == 10);
    clock.advance(std::chrono::hours(7));
    cr_assert(rowOf(meter.rows(), "first_token").total[2] == 0);
}

Test(burnmeter, unansweredCountsOnce)
{
    ManualClock clock;
    clock.advance(std::chrono::hours(1));
    BurnMeter meter(clock);
    meter.add(sampleOf(false, std::chrono::milliseconds(0)));
    cr_assert(meter.rows().size() == 1);
    cr_assert(meter.rows()[0].bad[0] == 1);
}

// Guards against averaging the ratios of instances instead of adding their counts. With the load
// spread over two instances each would report half of the burn rate, and no alert would be raised.
Test(burnmeter, mergesByAddition)
{
    ManualClock clock;
    clock.advance(std::chrono::hours(1));
    BurnMeter left(clock);
    BurnMeter right(clock);
    left.add(sampleOf(true, std::chrono::milliseconds(500)));
    for (int i = 0; i < 9; ++i)
        right.add(sampleOf(true, std::chrono::milliseconds(100)));
    std::vector<BurnRow> all = left.rows();
    mergeBurn(all, right.rows());
    cr_assert(rowOf(all, "first_token").total[0] == 10);
    cr_assert_float_eq(rowOf(all, "first_token").burn(0), 1.0, 1e-9);
}
