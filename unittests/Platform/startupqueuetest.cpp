// Requests that reach an instance which has just started.
#include "entryfixture.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace jaytrack;
using namespace jaytrack::testing;
using namespace std::chrono_literals;

namespace {

struct StartCase
{
    char name[40];
    int deadlineMs;
    int storeAwayMs; // from the start on
    int status;
    int answeredWithinMs;
};

StartCase startCases[] = {
        {"store answers soon", 6000, 200, 200, 700},
        {"little time, store answers soon", 3000, 200, 200, 700},
        {"very little time", 300, 1500, 503, 200},
        {"store does not answer", 6000, 3000, 503, 1300},
};

} // namespace

// Guards against refusing whoever comes in the moment in which all instances have just started, and
// against holding anybody who cannot be served.
ParameterizedTestParameters(startup, requestsWaitForTheConfiguration)
{
    return cr_make_param_array(StartCase, startCases, std::size(startCases));
}

ParameterizedTest(StartCase *given, startup, requestsWaitForTheConfiguration)
{
    ScriptedServer target(goodAnswer);
    RouteSpec route;
    route.type = "unsafe";
    FixtureOptions options;
    options.storeStatus = 503;
    options.items["servers/t1"] = targetJson(target.address());
    EntryFixture entry({route}, options);
    std::thread store([&entry, given] {
        std::this_thread::sleep_for(std::chrono::milliseconds(given->storeAwayMs));
        entry.store.failWith(0);
    });
    RequestSpec request;
    request.deadlineMs = given->deadlineMs;
    const auto began = std::chrono::steady_clock::now();
    const std::string answer = callOnce(entry.port(), requestText(request)).bytes;
    const auto took = std::chrono::steady_clock::now() - began;
    store.join();
    cr_expect(answer.starts_with("HTTP/1.1 " + std::to_string(given->status)), "%s: %s",
              given->name, answer.c_str());
    cr_expect(took <= std::chrono::milliseconds(given->answeredWithinMs), "%s", given->name);
}

// Guards against running a request whose caller left while it waited.
Test(startup, whoLeftIsNotServed)
{
    ScriptedServer target(goodAnswer);
    RouteSpec route;
    route.type = "unsafe";
    FixtureOptions options;
    options.storeStatus = 503;
    options.items["servers/t1"] = targetJson(target.address());
    EntryFixture entry({route}, options);
    callOnce(entry.port(), requestText({}), 100ms);
    std::this_thread::sleep_for(100ms);
    entry.store.failWith(0);
    cr_assert(entry.becomesReady());
    std::this_thread::sleep_for(200ms);
    cr_expect_eq(workSeen(target), 0);
}
