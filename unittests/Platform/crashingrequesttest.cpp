// Requests under which targets end. A target that begins to run the deadly one ends with all that
// it works on; others must neither be given the same request again nor be kept from other requests.
#include "fragiletargets.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <algorithm>
#include <atomic>

using namespace jaytrack;
using namespace jaytrack::testing;

namespace {

const std::string deadlyBody = "deadly";

bool isDeadly(const SeenRequest &request)
{
    return request.body == deadlyBody;
}

std::string send(const EntryFixture &entry, const std::string &body)
{
    RequestSpec spec;
    spec.body = body;
    return callOnce(entry.port(), requestText(spec)).bytes;
}

bool isServed(const EntryFixture &entry, const std::string &body)
{
    return send(entry, body).starts_with("HTTP/1.1 200");
}

bool servesSoon(const EntryFixture &entry)
{
    for (int i = 0; i < 100; ++i) {
        if (isServed(entry, "harmless"))
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(30));
    }
    return false;
}

RouteSpec routeOf(const std::string &type, bool resumable)
{
    RouteSpec route;
    route.type = type;
    route.resumable = resumable;
    route.attempts = 2;
    return route;
}

struct KindCase
{
    char name[24];
    char type[8];
    bool resumable;
};

// As many targets may end as it takes to know the request.
constexpr std::size_t deathsToKnow = 3;

// What is under way while the third death becomes known may reach one target more.
constexpr std::size_t mostDeaths = deathsToKnow + 1;

} // namespace

// Targets end one after another, each soon after it was given the same request; the caller, or the
// instance itself, sends that request again each time, with another attempt's id. Nobody kept in
// mind what a request had done, only what a target had, so every target was ended in turn: the logs
// show one digest at all 73 ends, and with no event at any of them.
ParameterizedTestParameters(crashingRequest, endsNoMoreTargetsOnceItIsKnown)
{
    static KindCase cases[] = {{"stream", "stream", false},
                               {"resumable stream", "stream", true},
                               {"once", "unsafe", false},
                               {"idempotent", "safe", false}};
    return cr_make_param_array(KindCase, cases, std::size(cases));
}

ParameterizedTest(KindCase *param, crashingRequest, endsNoMoreTargetsOnceItIsKnown)
{
    const FragileTargets targets(8, isDeadly);
    EntryFixture entry({routeOf(param->type, param->resumable)});
    targets.listAt(entry);
    cr_assert(servesSoon(entry));
    std::string last;
    for (int i = 0; i < 8; ++i) {
        last = send(entry, deadlyBody);
        std::this_thread::sleep_for(std::chrono::milliseconds(400));
    }
    cr_assert_leq(targets.dead(), mostDeaths, "%s: %zu targets ended", param->name, targets.dead());
    cr_assert(last.starts_with("HTTP/1.1 503"), "%s: %s", param->name, last.c_str());
    cr_assert(last.find("Retry-After: ") != std::string::npos, "%s: %s", param->name, last.c_str());
    cr_assert(isServed(entry, "harmless"), "%s: others are served on", param->name);
}

namespace {

bool isRefusedSoon(const EntryFixture &entry, std::chrono::milliseconds within)
{
    const auto end = std::chrono::steady_clock::now() + within;
    while (std::chrono::steady_clock::now() < end) {
        if (send(entry, deadlyBody).starts_with("HTTP/1.1 503"))
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    return false;
}

} // namespace

// The deadly request comes to another instance, or to one that started again since and has
// forgotten what it knew, and ends more targets there. What one instance has concluded has to be
// known to all, also to those that were not there when it was told.
Test(crashingRequest, isKnownToOtherInstancesAndAfterARestart)
{
    const FragileTargets targets(12, isDeadly);
    const std::string firstAddress = freeDatagramAddress();
    const std::string secondAddress = freeDatagramAddress();
    const std::vector<RouteSpec> routes = {routeOf("stream", false)};
    EntryFixture first(routes, memberOf("first", firstAddress, secondAddress));
    targets.listAt(first);
    {
        EntryFixture second(routes, memberOf("second", secondAddress, firstAddress));
        targets.listAt(second);
        cr_assert(servesSoon(first) && servesSoon(second));
        for (int i = 0; i < 2; ++i) {
            send(first, deadlyBody);
            send(second, deadlyBody);
            std::this_thread::sleep_for(std::chrono::milliseconds(500));
        }
        cr_assert_leq(targets.dead(), mostDeaths, "%zu targets ended", targets.dead());
        const std::size_t before = targets.deadlySends();
        cr_assert(send(second, deadlyBody).starts_with("HTTP/1.1 503"));
        cr_assert(send(first, deadlyBody).starts_with("HTTP/1.1 503"));
        cr_assert_eq(targets.deadlySends(), before);
    }
    EntryFixture again(routes, memberOf("second", secondAddress, firstAddress));
    targets.listAt(again);
    cr_assert(servesSoon(again));
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    const std::size_t before = targets.deadlySends();
    cr_assert(isRefusedSoon(again, std::chrono::milliseconds(200)));
    cr_assert_eq(targets.deadlySends(), before);
}

// A request that waits at a target beside the deadly one is lost with it, and its caller sends it
// again beside the deadly one: it stands at as many ends. It must be served, not barred.
Test(crashingRequest, whatStoodBesideItIsServed)
{
    const FragileTargets targets(10, isDeadly);
    RouteSpec route = routeOf("safe", false);
    route.attempts = 3;
    EntryFixture entry({route});
    targets.listAt(entry);
    cr_assert(servesSoon(entry));
    std::atomic<int> refused{0};
    for (int round = 0; round < 4; ++round) {
        std::vector<std::thread> callers;
        for (int i = 0; i < 6; ++i) {
            callers.emplace_back([&entry, &refused] {
                refused += send(entry, "innocent").starts_with("HTTP/1.1 503") ? 1 : 0;
            });
        }
        send(entry, deadlyBody);
        for (std::thread &caller : callers)
            caller.join();
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
    }
    cr_assert_eq(refused, 0, "%d of 24 innocent requests were refused", refused.load());
    cr_assert(isServed(entry, "innocent"));
    cr_assert(send(entry, deadlyBody).starts_with("HTTP/1.1 503"));
}

// A target that resets one connection and lives on, or leaves as it was planned, says nothing of
// the requests that it had: they must not be barred, however often that happens to them.
Test(crashingRequest, lostConnectionAloneProvesNothing)
{
    std::vector<std::unique_ptr<ScriptedServer>> targets;
    EntryFixture entry({routeOf("unsafe", false)});
    for (int i = 0; i < 6; ++i) {
        targets.push_back(
                std::make_unique<ScriptedServer>([](const SeenRequest &request) -> Answer {
                    if (isReport(request))
                        return wholeAnswer(200, "", "{}");
                    return {{AnswerStep::Kind::Reset, "", std::chrono::milliseconds(10)}};
                }));
        entry.store.put("servers/t" + std::to_string(i), targetJson(targets.back()->address()));
    }
    cr_assert(entry.becomesReady());
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    for (int i = 0; i < 10; ++i) {
        const std::string seen = send(entry, "unlucky");
        cr_assert(seen.starts_with("HTTP/1.1 502"), "%d: %s", i, seen.c_str());
        std::this_thread::sleep_for(std::chrono::milliseconds(250));
    }
}
