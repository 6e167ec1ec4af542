// Which instances are counted on as they come and go.
#include "jaytrack/Routing/knownfleet.h"

#include <criterion/criterion.h>

using namespace jaytrack;
using namespace std::chrono_literals;

namespace {

const std::vector<std::string> both = {"a", "b"};
const std::vector<std::string> onlyA = {"a"};

} // namespace

// Guards against a part of a split fleet sharing out what the other part counts on too.
Test(knownFleet, whoIsGoneIsCountedOnForAWhile)
{
    ManualClock clock;
    KnownFleet fleet(clock, 1h);
    fleet.setInstances(both);
    fleet.setInstances(onlyA);
    cr_assert_eq(fleet.up().size(), 1);
    cr_assert_eq(fleet.count(), 2);
    cr_assert(fleet.names() == both);
    clock.advance(59min);
    fleet.setInstances(onlyA);
    cr_assert_eq(fleet.count(), 2);
    clock.advance(2min);
    fleet.setInstances(onlyA);
    cr_assert_eq(fleet.count(), 1);
}

// Guards against an instance that started again passing for one that has been up all the while.
Test(knownFleet, whoComesBackIsUpAnew)
{
    ManualClock clock;
    KnownFleet fleet(clock, 1h);
    clock.advance(1s);
    fleet.setInstances(both);
    const TimePoint first = clock.now();
    clock.advance(1s);
    fleet.setInstances(onlyA);
    clock.advance(1s);
    fleet.setInstances(both);
    cr_assert(fleet.up().at("a") == first);
    cr_assert(fleet.up().at("b") == clock.now());
    cr_assert_eq(fleet.count(), 2);
}
