// What an instance believes of configuration, keys and targets, while the store changes and fails.
#include "entryfixture.h"

#include <criterion/criterion.h>

using namespace jaytrack;
using namespace jaytrack::testing;

namespace {

RouteSpec plainRoute(const std::string &prefix = "/jobs/")
{
    RouteSpec route;
    route.type = "unsafe";
    route.prefix = prefix;
    return route;
}

int statusOf(const EntryFixture &entry, const RequestSpec &spec)
{
    const CallerView view = callOnce(entry.port(), requestText(spec));
    return view.bytes.size() < 12 ? 0 : std::stoi(view.bytes.substr(9, 3));
}

// Waits for a request to be answered with a status, two seconds at the most.
bool becomes(const EntryFixture &entry, const RequestSpec &spec, int status)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(2);
    while (std::chrono::steady_clock::now() < end) {
        if (statusOf(entry, spec) == status)
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return false;
}

} // namespace

Test(beliefs, notReadyWithoutConfiguration)
{
    EntryFixture entry({plainRoute()});
    cr_assert(entry.becomesReady());
}

// Symptom: a route, or a key, works on after it was taken away, or not yet after it was added.
Test(beliefs, changesComeIntoForce)
{
    ScriptedServer target(goodAnswer);
    EntryFixture entry({plainRoute()});
    entry.list("t1", target);
    RequestSpec added;
    added.path = "/new/1";
    cr_assert_eq(statusOf(entry, added), 404);
    entry.publish(configurationJson(5, {plainRoute(), plainRoute("/new/")}));
    cr_assert(becomes(entry, added, 200));
    auto without = configurationJson(9, {plainRoute(), plainRoute("/new/")});
    without["Tenants"][0]["ApiKeys"] = {"k2"};
    entry.publish(without);
    cr_assert(becomes(entry, added, 401));
    added.key = "k2";
    cr_assert_eq(statusOf(entry, added), 200);
}

// Symptom: an instance goes back behind a configuration that it served under.
// Events: an older or a malformed version lies in the store after a newer one.
Test(beliefs, olderOrMalformedConfigurationIsIgnored)
{
    ScriptedServer target(goodAnswer);
    EntryFixture entry({plainRoute()});
    entry.list("t1", target);
    RequestSpec added;
    added.path = "/new/1";
    entry.publish(configurationJson(5, {plainRoute(), plainRoute("/new/")}));
    cr_assert(becomes(entry, added, 200));
    entry.publish(configurationJson(4, {plainRoute()}));
    entry.store.put("op/config", "{\"Version\":6,");
    std::this_thread::sleep_for(std::chrono::milliseconds(700));
    cr_assert_eq(statusOf(entry, added), 200);
}

// Symptom: a target that left gets a request.
Test(beliefs, leavingTargetGetsNothing)
{
    ScriptedServer leaving(goodAnswer);
    EntryFixture entry({plainRoute()});
    entry.list("t1", leaving);
    cr_assert_eq(statusOf(entry, {}), 200);
    entry.store.put("servers/t1", targetJson(leaving.address(), "draining"));
    cr_assert(becomes(entry, {}, 503));
    ScriptedServer fresh(goodAnswer);
    entry.list("t2", fresh);
    cr_assert(becomes(entry, {}, 200));
    const std::size_t before = leaving.seen().size();
    cr_assert_eq(statusOf(entry, {}), 200);
    cr_assert_eq(leaving.seen().size(), before);
}

// Symptom: changes made while the history was dropped are never seen.
// Events: the store forgets its history; a watch from before is answered that it is gone.
Test(beliefs, droppedHistoryIsReadAnew)
{
    ScriptedServer target(goodAnswer);
    EntryFixture entry({plainRoute()});
    entry.list("t1", target);
    entry.store.failWith(503);
    entry.publish(configurationJson(7, {plainRoute(), plainRoute("/new/")}));
    entry.store.compact();
    entry.store.failWith(0);
    RequestSpec added;
    added.path = "/new/1";
    cr_assert(becomes(entry, added, 200));
}

// Symptom: a key that was taken away works on at an instance that lost the store.
// Events: the store refuses every call for longer than keys may go unconfirmed.
// A route that needs no key is served all the while, and what is refused says "not run".
Test(beliefs, keysNeedConfirmationRoutesDoNot)
{
    ScriptedServer target(goodAnswer);
    RouteSpec open = plainRoute("/open/");
    open.openToAll = true;
    EntryFixture entry({plainRoute(), open});
    entry.list("t1", target);
    entry.store.failWith(503);
    std::this_thread::sleep_for(std::chrono::milliseconds(1000));
    cr_assert_eq(statusOf(entry, {}), 200);
    std::this_thread::sleep_for(std::chrono::milliseconds(4200));
    cr_assert_eq(statusOf(entry, {}), 503);
    RequestSpec without;
    without.path = "/open/1";
    without.key = "";
    cr_assert_eq(statusOf(entry, without), 200);
    cr_assert_not(entry.becomesReady(std::chrono::milliseconds(300)));
    entry.store.failWith(0);
    cr_assert(becomes(entry, {}, 200));
}
