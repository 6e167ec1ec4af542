// The store comes back from an older copy: what it had acknowledged since is gone until it is
// written again, and revisions are given out a second time.
#include "entryfixture.h"

#include "jaytrack/Net/socket.h"
#include "jaytrack/Proxy/storefollower.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace jaytrack;
using namespace jaytrack::testing;

namespace {

Answer goodAnswer(const SeenRequest &request)
{
    if (request.head.path() == "/jaytrack/report")
        return wholeAnswer(200, "", "{}");
    return wholeAnswer(200, "X-Attempt-Id: a1\r\nX-Server-Stamp: s\r\n", "good");
}

RouteSpec routeAt(const std::string &prefix)
{
    RouteSpec route;
    route.type = "unsafe";
    route.prefix = prefix;
    return route;
}

int statusOf(const EntryFixture &entry, const std::string &path)
{
    RequestSpec spec;
    spec.path = path;
    const CallerView view = callOnce(entry.port(), requestText(spec));
    return view.bytes.size() < 12 ? 0 : std::stoi(view.bytes.substr(9, 3));
}

bool becomes(const EntryFixture &entry, const std::string &path, int status,
             std::chrono::milliseconds within = std::chrono::milliseconds(3000))
{
    const auto end = std::chrono::steady_clock::now() + within;
    while (std::chrono::steady_clock::now() < end) {
        if (statusOf(entry, path) == status)
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return false;
}

std::size_t workSeen(const ScriptedServer &target)
{
    std::size_t count = 0;
    for (const SeenRequest &request : target.seen())
        count += request.head.path() == "/jaytrack/report" ? 0 : 1;
    return count;
}

// Away for a moment: the store answers nothing while it comes back and is written to.
template <typename Written>
void comeBack(StoreStandin &store, Written written)
{
    store.failWith(503);
    std::this_thread::sleep_for(std::chrono::milliseconds(1300));
    store.comeBackFromCopy();
    written();
    store.failWith(0);
}

} // namespace

// A target that was listed again after the store's return gets no work, and one that left goes on
// getting it. The instance followed the changes from the revision that it knew, which the store had
// reached a second time by then with other changes: those up to it were never seen.
Test(storeEra, whatIsWrittenUnderKnownRevisionsIsSeen)
{
    ScriptedServer gone(goodAnswer);
    ScriptedServer fresh(goodAnswer);
    EntryFixture entry({routeAt("/jobs/")});
    entry.list("t1", gone);
    entry.store.takeCopy();
    for (int i = 0; i < 4; ++i)
        entry.store.put("servers/other" + std::to_string(i), "{}");
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    comeBack(entry.store, [&] {
        entry.store.put("servers/t2", targetJson(fresh.address()));
        entry.store.put("servers/t1", targetJson(gone.address(), "draining"));
        for (int i = 0; i < 4; ++i)
            entry.store.put("servers/other" + std::to_string(i), "{}");
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    const std::size_t before = workSeen(gone);
    for (int i = 0; i < 10; ++i)
        cr_assert_eq(statusOf(entry, "/jobs/1"), 200);
    cr_assert_eq(workSeen(gone), before);
    cr_assert_eq(workSeen(fresh), 10);
}

// A route that every caller has used for seconds is denied, because the copy holds the
// configuration before it. What is in force never goes back; what is written again is taken.
Test(storeEra, configurationNeverGoesBack)
{
    ScriptedServer target(goodAnswer);
    EntryFixture entry({routeAt("/jobs/")});
    entry.list("t1", target);
    entry.store.takeCopy();
    entry.publish(configurationJson(2, {routeAt("/jobs/"), routeAt("/new/")}));
    cr_assert(becomes(entry, "/new/1", 200));
    comeBack(entry.store, [] {});
    for (int i = 0; i < 20; ++i) {
        cr_assert_eq(statusOf(entry, "/new/1"), 200);
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    entry.publish(configurationJson(2, {routeAt("/jobs/"), routeAt("/new/")}));
    entry.publish(configurationJson(3, {routeAt("/newer/")}));
    cr_assert(becomes(entry, "/newer/1", 200));
}

// An engine that was told to leave gets work again, because the copy lists it as it was before.
Test(storeEra, leavingIsNotTakenBack)
{
    ScriptedServer leaving(goodAnswer);
    ScriptedServer stays(goodAnswer);
    EntryFixture entry({routeAt("/jobs/")});
    entry.list("t1", leaving);
    entry.list("t2", stays);
    entry.store.takeCopy();
    entry.store.put("servers/t1", targetJson(leaving.address(), "draining"));
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    entry.store.remove("servers/t1");
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    const std::size_t before = workSeen(leaving);
    comeBack(entry.store, [] {});
    std::this_thread::sleep_for(std::chrono::milliseconds(1000));
    for (int i = 0; i < 20; ++i)
        cr_assert_eq(statusOf(entry, "/jobs/1"), 200);
    cr_assert_eq(workSeen(leaving), before);
}

// All requests are refused for two seconds after the store's return, because the copy lacks targets
// that started after it was made. They write themselves again; one that does not is gone then.
Test(storeEra, targetsThatTheCopyLacksAreKeptUntilTheyAreWrittenAgain)
{
    ScriptedServer target(goodAnswer);
    EntryFixture entry({routeAt("/jobs/")});
    entry.store.takeCopy();
    entry.list("t1", target);
    cr_assert(becomes(entry, "/jobs/1", 200));
    // The copy lacks the configuration's key too, as one that is older than the fixture's would
    // not.
    entry.publish(configurationJson(1, {routeAt("/jobs/")}));
    comeBack(entry.store, [&] { entry.publish(configurationJson(1, {routeAt("/jobs/")})); });
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(1500);
    while (std::chrono::steady_clock::now() < end) {
        cr_assert_eq(statusOf(entry, "/jobs/1"), 200);
        std::this_thread::sleep_for(std::chrono::milliseconds(30));
    }
    cr_assert(becomes(entry, "/jobs/1", 503), "what never came back is gone");
}
