#include "jaytrack/Policy/targethealth.h"

#include <criterion/criterion.h>

using namespace jaytrack;

namespace {

struct Bench
{
    Bench() { this->clock.advance(std::chrono::hours(1)); }

    void request(std::string_view target, bool failed, std::chrono::milliseconds took)
    {
        this->health.began(target, "group");
        this->health.ended(target, failed, took);
    }

    ManualClock clock;
    TargetHealth health{clock, 1};
    std::vector<std::string_view> names = {"a", "b", "c"};
};

} // namespace

Test(targethealth, ejectsTheDeadAndTriesThemAgain)
{
    Bench bench;
    for (int i = 0; i < 3; ++i)
        bench.request("a", true, std::chrono::milliseconds(500));
    cr_assert(bench.health.isEjected("a"));
    for (int i = 0; i < 50; ++i)
        cr_assert(bench.health.choose(bench.names) != 0);
    bench.clock.advance(std::chrono::seconds(6));
    cr_assert(!bench.health.isEjected("a"));
}

// Symptom: every request takes five times as long. Events: one of several targets has become slow
// but still answers. Cause: ejecting only what fails.
Test(targethealth, ejectsTheSlow)
{
    Bench bench;
    for (int i = 0; i < 20; ++i) {
        bench.request("a", false, std::chrono::milliseconds(10));
        bench.request("b", false, std::chrono::milliseconds(11));
        bench.request("c", false, std::chrono::milliseconds(100));
    }
    cr_assert(bench.health.isEjected("c"));
    cr_assert(!bench.health.isEjected("a"));
}

// Symptom: everything is refused though the targets are well. Events: this instance's own link was
// down, all targets were ejected. Cause: believing a judgement that condemns all.
Test(targethealth, triesOnWhenAllAreEjected)
{
    Bench bench;
    for (const std::string_view name : bench.names) {
        for (int i = 0; i < 3; ++i)
            bench.request(name, true, std::chrono::milliseconds(500));
    }
    cr_assert(bench.health.choose(bench.names) >= 0);
}

// Symptom: a target that has come back falls over again. Events: all send it their full share at
// once. Cause: no slow start.
Test(targethealth, returnsSlowly)
{
    Bench bench;
    const double before = bench.health.limitOf("a");
    for (int i = 0; i < 3; ++i)
        bench.request("a", true, std::chrono::milliseconds(500));
    bench.clock.advance(std::chrono::milliseconds(5500));
    cr_assert(bench.health.limitOf("a") < before / 4);
    bench.clock.advance(std::chrono::seconds(20));
    cr_assert(bench.health.limitOf("a") > before / 2);
}

// Symptom: an overload does not end when the load does. Events: each failure is repeated, the
// repeats are the load. Cause: repeats without a budget.
Test(targethealth, boundsRepeats)
{
    Bench bench;
    int granted = 0;
    for (int i = 0; i < 1000; ++i) {
        bench.request("a", true, std::chrono::milliseconds(1));
        granted += bench.health.takeRetry() ? 1 : 0;
    }
    cr_assert(granted <= 120, "%d repeats for 1000 requests", granted);
    cr_assert(granted >= 50);
}

Test(targethealth, findsTheTargetsLimit)
{
    Bench bench;
    for (int i = 0; i < 200; ++i)
        bench.request("a", false, std::chrono::milliseconds(10));
    const double grown = bench.health.limitOf("a");
    cr_assert(grown > 16);
    for (int i = 0; i < 20; ++i)
        bench.request("a", false, std::chrono::milliseconds(200));
    cr_assert(bench.health.limitOf("a") < grown / 2);
}
