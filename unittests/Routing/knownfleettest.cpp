// Checks which instances count as they come and go.
#include "jaytrack/Routing/knownfleet.h"

#include <criterion/criterion.h>

using namespace jaytrack;
using namespace std::chrono_literals;

namespace {

const std::vector<std::string> both = {"a", "b"};
const std::vector<std::string> onlyA = {"a"};

} // namespace

// Guards against one side of a network partition using shares that the other side uses too.
Test(knownFleet, absentInstancesCountForRetention)
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

// Guards against treating a restarted instance as one that has been up throughout, and against
// treating an old instance as new because of delayed membership updates.
Test(knownFleet, lateReturnStartsNewUptime)
{
    ManualClock clock;
    KnownFleet fleet(clock, {1h, 4s});
    clock.advance(1s);
    fleet.setInstances(both);
    const TimePoint first = clock.now();
    fleet.setInstances(onlyA);
    clock.advance(3s);
    fleet.setInstances(both);
    cr_assert(fleet.instances().at("b").upSince == first,
              "a short absence does not reset the uptime");
    fleet.setInstances(onlyA);
    const KnownFleet::Instance &gone = fleet.instances().at("b");
    cr_assert(fleet.absenceDeadline(gone) == clock.now() + 4s);
    clock.advance(4s);
    fleet.setInstances(both);
    cr_assert(fleet.instances().at("b").upSince == clock.now());
    cr_assert(fleet.instances().at("a").upSince == first);
    cr_assert_eq(fleet.countUp(), 2);
}
