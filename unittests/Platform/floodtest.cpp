// An instance to which the balancer hands more connections than it can carry.
#include "entryfixture.h"

#include <criterion/criterion.h>

using namespace jaytrack;
using namespace jaytrack::testing;

namespace {

struct FloodCount
{
    int served = 0;
    int unread = 0; // connections that ended without a byte
    int other = 0;
};

FloodCount flood(const EntryFixture &entry, int connections)
{
    FloodCount count;
    for (int i = 0; i < connections; ++i) {
        const CallerView view = callOnce(entry.port(), requestText({}));
        if (view.bytes.empty())
            ++count.unread;
        else if (view.bytes.starts_with("HTTP/1.1 200"))
            ++count.served;
        else
            ++count.other;
    }
    return count;
}

} // namespace

// Guards against an instance that reads what it cannot serve in time while others are idle: callers
// try another instance only if their connection was closed unread. The instance stays ready, so
// that the flood does not move on to the next one as a whole.
Test(flood, lateInstanceClosesNewConnectionsUnread)
{
    HeldClock clock;
    FixtureOptions options;
    options.clock = &clock;
    RouteSpec route;
    route.type = "unsafe";
    ScriptedServer target(goodAnswer);
    EntryFixture entry({route}, options);
    entry.list("t1", target);
    cr_assert_eq(flood(entry, 5).served, 5);
    for (int i = 0; i < 2; ++i) {
        clock.hold();
        std::this_thread::sleep_for(std::chrono::milliseconds(500));
        clock.release();
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    const std::size_t before = workSeen(target);
    const FloodCount late = flood(entry, 20);
    cr_assert_gt(late.unread, 0, "%d served, %d unread", late.served, late.unread);
    cr_assert_eq(late.other, 0);
    cr_assert_eq(workSeen(target) - before, late.served, "what is not read does not run");
    cr_assert(entry.becomesReady(std::chrono::milliseconds(200)));
    std::this_thread::sleep_for(std::chrono::milliseconds(400));
    cr_assert_eq(flood(entry, 20).served, 20, "it reads again once it keeps up");
}
