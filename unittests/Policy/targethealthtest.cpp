#include "jaytrack/Policy/targethealth.h"

#include <criterion/criterion.h>

using namespace jaytrack;

namespace {

struct Fixture
{
    Fixture() { this->clock.advance(std::chrono::hours(1)); }

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

Test(targethealth, ejectsFailedTargetsForALimitedTime)
{
    Fixture fixture;
    for (int i = 0; i < 3; ++i)
        fixture.request("a", true, std::chrono::milliseconds(500));
    cr_assert(fixture.health.isEjected("a"));
    for (int i = 0; i < 50; ++i)
        cr_assert(fixture.health.choose(fixture.names) != 0);
    fixture.clock.advance(std::chrono::seconds(6));
    cr_assert(!fixture.health.isEjected("a"));
}

// Guards against ejecting only targets that fail. If one of several targets becomes slow but still
// answers, requests take five times as long.
Test(targethealth, ejectsSlowTargets)
{
    Fixture fixture;
    for (int i = 0; i < 20; ++i) {
        fixture.request("a", false, std::chrono::milliseconds(10));
        fixture.request("b", false, std::chrono::milliseconds(11));
        fixture.request("c", false, std::chrono::milliseconds(100));
    }
    cr_assert(fixture.health.isEjected("c"));
    cr_assert(!fixture.health.isEjected("a"));
}

// Guards against refusing every request when all targets are ejected. This happens when the network
// link of this instance was down while the targets were healthy.
Test(targethealth, choosesATargetWhenAllAreEjected)
{
    Fixture fixture;
    for (const std::string_view name : fixture.names) {
        for (int i = 0; i < 3; ++i)
            fixture.request(name, true, std::chrono::milliseconds(500));
    }
    cr_assert(fixture.health.choose(fixture.names) >= 0);
}

// Guards against a missing slow start: a target that has just returned fails again if all instances
// send it their full share at once.
Test(targethealth, startsSlowlyAfterAnEjection)
{
    Fixture fixture;
    const double before = fixture.health.limitOf("a");
    for (int i = 0; i < 3; ++i)
        fixture.request("a", true, std::chrono::milliseconds(500));
    fixture.clock.advance(std::chrono::milliseconds(5500));
    cr_assert(fixture.health.limitOf("a") < before / 4);
    fixture.clock.advance(std::chrono::seconds(20));
    cr_assert(fixture.health.limitOf("a") > before / 2);
}

// Guards against retries without a budget: each failure is retried, and the retries sustain an
// overload after the original load has ended.
Test(targethealth, boundsRetries)
{
    Fixture fixture;
    int granted = 0;
    for (int i = 0; i < 1000; ++i) {
        fixture.request("a", true, std::chrono::milliseconds(1));
        granted += fixture.health.takeRetry() ? 1 : 0;
    }
    cr_assert(granted <= 120, "%d retries for 1000 requests", granted);
    cr_assert(granted >= 50);
}

Test(targethealth, findsTheTargetsLimit)
{
    Fixture fixture;
    for (int i = 0; i < 200; ++i)
        fixture.request("a", false, std::chrono::milliseconds(10));
    const double grown = fixture.health.limitOf("a");
    cr_assert(grown > 16);
    for (int i = 0; i < 20; ++i)
        fixture.request("a", false, std::chrono::milliseconds(200));
    cr_assert(fixture.health.limitOf("a") < grown / 2);
}
