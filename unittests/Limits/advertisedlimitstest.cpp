// Which limit of a target holds, however its answers overtake each other.
#include "jaytrack/Limits/advertisedlimits.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <array>

using namespace jaytrack;
using namespace std::chrono_literals;

namespace {

// One thing heard of the target, at a moment of the test.
struct Heard
{
    int atMillis;
    bool named;
    int sentAtMillis; // of the request whose answer names none
};

struct OrderCase
{
    char name[56];
    std::array<Heard, 4> heard;
    std::size_t count;
    bool limited;
};

OrderCase orderCases[] = {
        {"named", {{{10, true, 0}}}, 1, true},
        {"an answer without one", {{{10, false, 5}}}, 1, false},
        {"named, then an answer to a later request", {{{10, true, 0}, {30, false, 20}}}, 2, false},
        {"named, then one to a request sent before", {{{10, true, 0}, {30, false, 5}}}, 2, true},
        {"ended, then named again", {{{10, true, 0}, {30, false, 20}, {40, true, 0}}}, 3, true},
        {"ended, named, a late answer to the earlier request",
         {{{10, true, 0}, {30, false, 20}, {40, true, 0}, {50, false, 25}}},
         4,
         true},
};

} // namespace

// Guards against an answer that was under way when the limit was named ending it.
ParameterizedTestParameters(namedLimits, lastWordHolds)
{
    return cr_make_param_array(OrderCase, orderCases, std::size(orderCases));
}

ParameterizedTest(OrderCase *given, namedLimits, lastWordHolds)
{
    ManualClock clock;
    NamedLimits limits(clock);
    Duration passed{0};
    for (std::size_t i = 0; i < given->count; ++i) {
        const Heard &heard = given->heard[i];
        clock.advance(std::chrono::milliseconds(heard.atMillis) - passed);
        passed = std::chrono::milliseconds(heard.atMillis);
        if (heard.named)
            limits.recordLimit("t", 2.5);
        else
            limits.recordNoLimit("t",
                                 std::chrono::milliseconds(heard.atMillis - heard.sentAtMillis));
    }
    cr_expect_eq(limits.find("t").has_value(), given->limited, "%s", given->name);
}

// Guards against telling the whole fleet of each answer.
Test(namedLimits, onlyChangesAreNews)
{
    ManualClock clock;
    NamedLimits limits(clock);
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

// Guards against an old notice of another instance replacing what a target has said since.
Test(namedLimits, olderWordsChangeNothing)
{
    ManualClock clock;
    NamedLimits limits(clock);
    clock.advance(1s);
    limits.recordLimit("t", 2.5);
    cr_expect_not(limits.recordLimit("t", 9, 500ms));
    cr_expect_float_eq(*limits.find("t"), 2.5, 1e-9);
    clock.advance(1s);
    limits.recordNoLimit("t", 100ms);
    cr_expect_not(limits.recordLimit("t", 9, 200ms));
    cr_expect_not(limits.find("t").has_value());
    const auto word = limits.wordOf("t");
    cr_assert(word);
    cr_expect_not(word->isLimited());
}

// Guards against a limit that outlives the target that named it.
Test(namedLimits, endsWithItsTarget)
{
    ManualClock clock;
    NamedLimits limits(clock);
    limits.recordLimit("t", 2.5);
    limits.recordLimit("u", 1);
    limits.forget("t");
    cr_expect_not(limits.find("t").has_value());
    cr_expect_eq(limits.limited().size(), 1);
    clock.advance(10ms);
    limits.recordNoLimit("u", 1ms);
    clock.advance(2min);
    limits.recordLimit("v", 1);
    cr_expect_not(limits.wordOf("u").has_value());
}
