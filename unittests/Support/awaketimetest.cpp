#include "jaytrack/Support/awaketime.h"

#include <criterion/criterion.h>

using namespace jaytrack;

namespace {

constexpr std::chrono::milliseconds tickTime{100};
constexpr std::chrono::milliseconds maxGap{500};

void run(ManualClock &clock, AwakeTime &awake, int ticks)
{
    for (int i = 0; i < ticks; ++i) {
        clock.advance(tickTime);
        awake.tick();
    }
}

} // namespace

// Guards against pauses of this process that are taken for silence of another one.
Test(awakeTime, pausesDoNotCount)
{
    ManualClock clock;
    clock.advance(std::chrono::hours(1));
    AwakeTime awake(clock, maxGap);
    const TimePoint start = clock.now();
    run(clock, awake, 10);
    cr_assert(awake.awakeSince(start) == std::chrono::seconds(1));
    clock.advance(std::chrono::seconds(5));
    cr_assert(awake.tick() == std::chrono::seconds(5));
    cr_assert(awake.tick() == Duration(0), "told once");
    cr_assert(awake.awakeSince(start) == std::chrono::seconds(1));
    run(clock, awake, 10);
    cr_assert(awake.awakeSince(start) == std::chrono::seconds(2));
    const TimePoint amidPause = start + std::chrono::seconds(3);
    cr_assert(awake.awakeSince(amidPause) == std::chrono::seconds(1));
    cr_assert(awake.awakeSince(clock.now()) == Duration(0));
}

// Guards against a process that never sees an outage, because its ticks are often a little late.
Test(awakeTime, shortDelaysCount)
{
    ManualClock clock;
    clock.advance(std::chrono::hours(1));
    AwakeTime awake(clock, maxGap);
    const TimePoint start = clock.now();
    for (int i = 0; i < 10; ++i) {
        clock.advance(maxGap);
        cr_assert(awake.tick() == Duration(0));
    }
    cr_assert(awake.awakeSince(start) == 10 * maxGap);
}

// Guards against pauses whose number grows without bound.
Test(awakeTime, manyPausesAreBounded)
{
    ManualClock clock;
    clock.advance(std::chrono::hours(1));
    AwakeTime awake(clock, maxGap);
    const TimePoint start = clock.now();
    for (int i = 0; i < 1000; ++i) {
        clock.advance(std::chrono::seconds(1));
        awake.tick();
    }
    cr_assert(awake.awakeSince(start) > Duration(0), "those forgotten count as awake");
    cr_assert(awake.awakeSince(clock.now() - std::chrono::seconds(10)) == Duration(0));
}
