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
    KnownFleet fleet(clock, {1h, 4s});
    fleet.setInstances(both);
    fleet.setInstances(onlyA);
    cr_assert_eq(fleet.countUp(), 1);
    cr_assert_not(fleet.isUp("b"));
    cr_assert(fleet.names() == both);
    clock.advance(59min);
    fleet.setInstances(onlyA);
    cr_assert_eq(fleet.instances().size(), 2);
    clock.advance(2min);
    fleet.setInstances(onlyA);
    cr_assert_eq(fleet.instances().size(), 1);
}

// Guards against an instance that started again passing for one that has been up all the while,
// and against late news of members making an old instance a new one.
Test(knownFleet, whoComesBackLateIsUpAnew)
{
    ManualClock clock;
    KnownFleet fleet(clock, {1h, 4s});
    clock.advance(1s);
    fleet.setInstances(both);
    const TimePoint first = clock.now();
    fleet.setInstances(onlyA);
    clock.advance(3s);
    fleet.setInstances(both);
    cr_assert(fleet.instances().at("b").upSince == first, "gone for a moment");
    fleet.setInstances(onlyA);
    const KnownFleet::Instance &gone = fleet.instances().at("b");
    cr_assert(fleet.absenceDeadline(gone) == clock.now() + 4s);
    clock.advance(4s);
    fleet.setInstances(both);
    cr_assert(fleet.instances().at("b").upSince == clock.now());
    cr_assert(fleet.instances().at("a").upSince == first);
    cr_assert_eq(fleet.countUp(), 2);
}
