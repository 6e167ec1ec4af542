// Parts of prompts under which targets end. Requests that share such a part have nothing else in
// common; sound requests share their customer and all other parts.
#include "fragiletargets.h"

#include <boost/algorithm/string/case_conv.hpp>
#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <algorithm>

using namespace jaytrack;
using namespace jaytrack::testing;

namespace {

// A part that ends each target that begins to work on it, unless it is the last of its prompt.
constexpr std::string_view deadlyPart = "dead";

bool isDeadly(const SeenRequest &request)
{
    return std::any_of(
            request.head.headers.begin(), request.head.headers.end(), [](const HttpHeader &header) {
                if (header.name != "X-Prefix-Hash")
                    return false;
                const std::string list = boost::algorithm::to_lower_copy(header.value);
                const std::size_t at = list.find(deadlyPart);
                return at != std::string::npos && list.find(',', at) != std::string::npos;
            });
}

// A request that is like no other one, with this list of parts.
std::string sendList(const EntryFixture &entry, const std::string &list)
{
    static int serial = 0;
    RequestSpec spec;
    spec.body = "prompt " + std::to_string(++serial);
    spec.extraHeaders = "X-Prefix-Hash: " + list + "\r\n";
    return callOnce(entry.port(), requestText(spec)).bytes;
}

// The same with these parts before one of its own.
std::string send(const EntryFixture &entry, const std::string &parts)
{
    static int serial = 0;
    return sendList(entry, parts + "," + std::to_string(++serial) + "a:30");
}

bool isServed(const EntryFixture &entry, const std::string &parts)
{
    return send(entry, parts).starts_with("HTTP/1.1 200");
}

bool servesSoon(const EntryFixture &entry)
{
    for (int i = 0; i < 100; ++i) {
        if (isServed(entry, "f1:100"))
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

struct PartCase
{
    char name[32];
    char type[8];
    bool resumable;
    char parts[48];
};

// The users accept five ends, and three requests that reach targets later than the bound after the
// fifth.
constexpr std::size_t maxDeaths = 5;

} // namespace

// Guards against requests that share one part of their prompts ending one target after the other,
// because each of them is new to what is known of requests that end targets.
ParameterizedTestParameters(crashingPart, endsNoMoreTargetsOnceItIsKnown)
{
    static PartCase cases[] = {
            {"stream", "stream", false, "f1:100,dead:50"},
            {"resumable stream", "stream", true, "f1:100,dead:50"},
            {"once", "unsafe", false, "f1:100,dead:50"},
            {"idempotent", "safe", false, "f1:100,dead:50"},
            {"before others", "stream", true, "dead:50,f1:100"},
            {"in capitals, among many", "stream", true, "f1:100, DEAD:50,c1:1,c2:1,c3:1"}};
    return cr_make_param_array(PartCase, cases, std::size(cases));
}

ParameterizedTest(PartCase *param, crashingPart, endsNoMoreTargetsOnceItIsKnown)
{
    const FragileTargets targets(12, isDeadly);
    EntryFixture entry({routeOf(param->type, param->resumable)});
    targets.listAt(entry);
    cr_assert(servesSoon(entry));
    std::string last;
    int served = 0;
    for (int i = 0; i < 10; ++i) {
        last = send(entry, param->parts);
        served += isServed(entry, "f1:100") ? 1 : 0;
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
    }
    cr_assert_leq(targets.dead(), maxDeaths, "%s: %zu targets ended", param->name, targets.dead());
    cr_assert(last.starts_with("HTTP/1.1 503"), "%s: %s", param->name, last.c_str());
    cr_assert(last.find("Retry-After: ") != std::string::npos, "%s: %s", param->name, last.c_str());
    cr_assert_eq(served, 10, "%s: %d of 10 sound requests were served", param->name, served);
    cr_assert(isServed(entry, "f1:100,5e55:20"), "%s: a new session is served", param->name);
    cr_assert(sendList(entry, "f1:100,dead:50").starts_with("HTTP/1.1 200"),
              "%s: the last part is never the cause", param->name);
}

// Guards against each instance learning a deadly part by ends of its own, and against one that
// starts again having forgotten it.
Test(crashingPart, isKnownToOtherInstancesAndAfterARestart)
{
    const FragileTargets targets(12, isDeadly);
    const std::string firstAddress = freeDatagramAddress();
    const std::string secondAddress = freeDatagramAddress();
    const std::vector<RouteSpec> routes = {routeOf("stream", true)};
    EntryFixture first(routes, memberOf("first", firstAddress, secondAddress));
    targets.listAt(first);
    {
        EntryFixture second(routes, memberOf("second", secondAddress, firstAddress));
        targets.listAt(second);
        cr_assert(servesSoon(first) && servesSoon(second));
        for (int i = 0; i < 3; ++i) {
            send(first, "f1:100,dead:50");
            cr_assert(isServed(first, "f1:100"));
            send(second, "f1:100,dead:50");
            cr_assert(isServed(second, "f1:100"));
            std::this_thread::sleep_for(std::chrono::milliseconds(500));
        }
        cr_assert_leq(targets.dead(), maxDeaths, "%zu targets ended", targets.dead());
        const std::size_t before = targets.deadlySends();
        cr_assert(send(second, "f1:100,dead:50").starts_with("HTTP/1.1 503"));
        cr_assert(send(first, "f1:100,dead:50").starts_with("HTTP/1.1 503"));
        cr_assert_eq(targets.deadlySends(), before);
    }
    EntryFixture again(routes, memberOf("second", secondAddress, firstAddress));
    targets.listAt(again);
    cr_assert(servesSoon(again));
    // The users give an instance this long after its start.
    std::this_thread::sleep_for(std::chrono::milliseconds(3000));
    const std::size_t before = targets.deadlySends();
    cr_assert(send(again, "f1:100,dead:50").starts_with("HTTP/1.1 503"));
    cr_assert_eq(targets.deadlySends(), before);
}

// Guards against a caller that puts deadly prompts under a part that others share, with another id
// each time, and thereby has the shared part barred.
Test(crashingPart, partThatRunsWellForOthersIsNotBarred)
{
    const FragileTargets targets(12, isDeadly);
    EntryFixture entry({routeOf("stream", false)});
    targets.listAt(entry);
    cr_assert(servesSoon(entry));
    int served = 0;
    for (int i = 0; i < 8; ++i) {
        send(entry, "f1:100,dead" + std::to_string(i) + ":50");
        served += isServed(entry, "f1:100") ? 1 : 0;
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
    }
    cr_assert_eq(served, 8, "%d of 8 sound requests were served", served);
}
