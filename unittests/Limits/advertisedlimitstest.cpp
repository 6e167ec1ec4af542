// Tests which limit of a target is in force when its answers arrive out of order.
#include "jaytrack/Limits/advertisedlimits.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <array>

using namespace jaytrack;
using namespace std::chrono_literals;

namespace {

// One answer of the target, received at this time of the test.
struct Answer
{
    int atMillis;
    bool hasLimit;
    int sentAtMillis; // of the request whose answer has no limit
};

struct OrderCase
{
    char name[56];
    std::array<Answer, 4> answers;
    std::size_t count;
    bool limited;
};

OrderCase orderCases[] = {
        {"with limit", {{{10, true, 0}}}, 1, true},
        {"without limit", {{{10, false, 5}}}, 1, false},
        {"limit, then none in answer to a later request",
         {{{10, true, 0}, {30, false, 20}}},
         2,
         false},
        {"limit, then none in answer to an earlier request",
         {{{10, true, 0}, {30, false, 5}}},
         2,
         true},
        {"ended, then advertised again",
         {{{10, true, 0}, {30, false, 20}, {40, true, 0}}},
         3,
         true},
        {"ended, advertised, late answer to earlier request",
         {{{10, true, 0}, {30, false, 20}, {40, true, 0}, {50, false, 25}}},
         4,
         true},
};

} // namespace

// Guards against a limit being ended by the answer to a request that was sent before the limit was
// advertised.
ParameterizedTestParameters(advertisedLimits, latestAnswerApplies)
{
    return cr_make_param_array(OrderCase, orderCases, std::size(orderCases));
}

ParameterizedTest(OrderCase *param, advertisedLimits, latestAnswerApplies)
{
    ManualClock clock;
    AdvertisedLimits limits(clock);
    Duration elapsed{0};
    for (std::size_t i = 0; i < param->count; ++i) {
        const Answer &answer = param->answers[i];
        clock.advance(std::chrono::milliseconds(answer.atMillis) - elapsed);
        elapsed = std::chrono::milliseconds(answer.atMillis);
        if (answer.hasLimit)
            limits.recordLimit("t", 2.5);
        else
            limits.recordNoLimit("t",
                                 std::chrono::milliseconds(answer.atMillis - answer.sentAtMillis));
    }
    cr_expect_eq(limits.find("t").has_value(), param->limited, "%s", param->name);
}

// Guards against notifying the whole fleet of each answer.
Test(advertisedLimits, reportsOnlyChanges)
{
    ManualClock clock;
    AdvertisedLimits limits(clock);
    cr_expect(limits.recordLimit("t", 2.5));
    clock.advance(10ms);
    cr_expect_not(limits.recordLimit("t", 2.5));
    cr_expect_not(limits.recordLimit("t", 2.55));
    cr_expect(limits.recordLimit("t", 4));
    cr_expect_float_eq(*limits.find("t"), 4, 1e-9);
    clock.advance(10ms);
    cr_expect(limits.recordNoLimit("t", 5ms));
    cr_expect_not(limits.recordNoLimit("t", 4ms));
    cr_expect(limits.recordLimit("t", 4));
}

// Guards against an outdated message of another instance replacing a later answer of the target.
Test(advertisedLimits, ignoresOlderRecords)
{
    ManualClock clock;
    AdvertisedLimits limits(clock);
    clock.advance(1s);
    limits.recordLimit("t", 2.5);
    cr_expect_not(limits.recordLimit("t", 9, 500ms));
    cr_expect_float_eq(*limits.find("t"), 2.5, 1e-9);
    clock.advance(1s);
    limits.recordNoLimit("t", 100ms);
    cr_expect_not(limits.recordLimit("t", 9, 200ms));
    cr_expect_not(limits.find("t").has_value());
    const auto state = limits.stateOf("t");
    cr_assert(state);
    cr_expect_not(state->isLimited());
}

// Guards against a limit that is kept after the target that advertised it has terminated.
Test(advertisedLimits, isRemovedWithItsTarget)
{
    ManualClock clock;
    AdvertisedLimits limits(clock);
    limits.recordLimit("t", 2.5);
    limits.recordLimit("u", 1);
    limits.forget("t");
    cr_expect_not(limits.find("t").has_value());
    cr_expect_eq(limits.limited().size(), 1);
    clock.advance(10ms);
    limits.recordNoLimit("u", 1ms);
    clock.advance(2min);
    limits.recordLimit("v", 1);
    cr_expect_not(limits.stateOf("u").has_value());
}
