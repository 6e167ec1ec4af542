// Streams whose engines have several versions of their software: what two versions generate does
// not fit together.
#include "entryfixture.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace jaytrack;
using namespace jaytrack::testing;
using namespace std::chrono_literals;

namespace {

const std::string ownHeaders = "X-Server-Stamp: s\r\n";
constexpr int eventCount = 40;

bool isRun(const SeenRequest &request)
{
    return request.head.path().starts_with("/jobs/");
}

std::size_t runsOf(const ScriptedServer &engine)
{
    std::size_t count = 0;
    for (const SeenRequest &request : engine.seen())
        count += isRun(request) ? 1 : 0;
    return count;
}

// The events that are still missing, with an end or a reset after the last one.
Answer eventsAfter(const SeenRequest &request, int last, std::chrono::milliseconds pause,
                   bool whole)
{
    const std::string_view after = request.head.header("Last-Event-Id");
    const int first = after.empty() ? 1 : std::stoi(std::string(after)) + 1;
    Answer answer = {{AnswerStep::Kind::Send, streamHead(ownHeaders), {}}};
    for (int id = first; id <= last; ++id)
        answer.push_back(chunkStep(eventText(id, "token" + std::to_string(id)), pause));
    if (whole)
        answer.push_back({AnswerStep::Kind::Send, "0\r\n\r\n", {}});
    else
        answer.push_back({AnswerStep::Kind::Reset, "", 50ms});
    return answer;
}

// An engine that makes events slowly and copies its run when told to.
Answer movingEngine(const SeenRequest &request)
{
    if (isRun(request))
        return eventsAfter(request, eventCount, 20ms, true);
    if (request.head.path() == "/jaytrack/kv-move")
        return wholeAnswer(200, "Content-Type: application/json\r\n",
                           R"({"KvHandle":"h7","Created":2})");
    return wholeAnswer(200, "", "{}");
}

// An engine that dies after two events.
Answer dyingEngine(const SeenRequest &request)
{
    return isRun(request) ? eventsAfter(request, 2, 5ms, false) : wholeAnswer(200, "", "{}");
}

Answer quickEngine(const SeenRequest &request)
{
    return isRun(request) ? eventsAfter(request, eventCount, 2ms, true)
                          : wholeAnswer(200, "", "{}");
}

RouteSpec resumableRoute()
{
    RouteSpec route;
    route.resumable = true;
    route.attempts = 3;
    return route;
}

bool isWhole(const std::string &bytes)
{
    return bytes.find("token" + std::to_string(eventCount) + "\n") != std::string::npos &&
           bytes.ends_with("0\r\n\r\n");
}

struct SiblingCase
{
    char name[32];
    bool hasSibling; // another engine has the version that began the stream
};

} // namespace

// Guards against a hand-over to an engine of another version, whichever has more room.
ParameterizedTestParameters(streamVersions, handOverKeepsToTheVersion)
{
    static SiblingCase cases[] = {{"the version has another engine", true},
                                  {"the version has no other engine", false}};
    return cr_make_param_array(SiblingCase, cases, std::size(cases));
}

ParameterizedTest(SiblingCase *one, streamVersions, handOverKeepsToTheVersion)
{
    ScriptedServer first(movingEngine);
    ScriptedServer sibling(quickEngine);
    ScriptedServer newer(quickEngine);
    EntryFixture entry({RouteSpec()});
    entry.list("e1", first);
    std::thread announcer([&] {
        std::this_thread::sleep_for(150ms);
        entry.store.put("servers/e2", targetOfVersion(newer.address(), "v2"));
        if (one->hasSibling)
            entry.store.put("servers/e3", targetOfVersion(sibling.address(), "v1"));
        entry.store.put("servers/e1", targetJson(first.address(), "draining"));
    });
    const CallerView view = callOnce(entry.port(), requestText({}));
    announcer.join();
    cr_expect(isWhole(view.bytes), "%s: %s", one->name, view.bytes.c_str());
    cr_expect(runsOf(newer) == 0, "%s", one->name);
    cr_expect(runsOf(sibling) == (one->hasSibling ? 1 : 0), "%s", one->name);
}

// Guards against a run that is begun anew at another version within its answer.
ParameterizedTestParameters(streamVersions, runBegunAnewKeepsToTheVersion)
{
    static SiblingCase cases[] = {{"the version has another engine", true},
                                  {"the version has no other engine", false}};
    return cr_make_param_array(SiblingCase, cases, std::size(cases));
}

ParameterizedTest(SiblingCase *one, streamVersions, runBegunAnewKeepsToTheVersion)
{
    ScriptedServer first(dyingEngine);
    ScriptedServer sibling(quickEngine);
    ScriptedServer newer(quickEngine);
    EntryFixture entry({resumableRoute()});
    entry.list("e1", first);
    std::thread announcer([&] {
        std::this_thread::sleep_for(20ms);
        entry.store.put("servers/e2", targetOfVersion(newer.address(), "v2"));
        if (one->hasSibling)
            entry.store.put("servers/e3", targetOfVersion(sibling.address(), "v1"));
    });
    const CallerView view = callOnce(entry.port(), requestText({}));
    announcer.join();
    cr_expect(runsOf(newer) == 0, "%s", one->name);
    cr_expect(isWhole(view.bytes) == one->hasSibling, "%s: %s", one->name, view.bytes.c_str());
}

// Guards against a stream that goes on at its own engine after that came back under its name with
// another version, whether or not it tells when it started.
Test(streamVersions, engineRebornAtAnotherVersionIsAnotherEngine)
{
    for (const std::int64_t born : {0, 2000}) {
        ScriptedServer engine([](const SeenRequest &request) {
            return request.head.header("Last-Event-Id").empty() ? dyingEngine(request)
                                                                : quickEngine(request);
        });
        EntryFixture entry({resumableRoute()});
        entry.store.put("servers/e1",
                        targetOfVersion(engine.address(), "v1", "ready", born == 0 ? 0 : 1000));
        cr_assert(entry.becomesReady());
        std::thread announcer([&] {
            std::this_thread::sleep_for(30ms);
            entry.store.put("servers/e1", targetOfVersion(engine.address(), "v2", "ready", born));
        });
        const CallerView view = callOnce(entry.port(), requestText({}));
        announcer.join();
        cr_expect(runsOf(engine) == 1, "born %ld", static_cast<long>(born));
        cr_expect(view.bytes.find("token2\n") != std::string::npos);
        cr_expect(!isWhole(view.bytes));
    }
}

// Guards against refusing, for want of a version, a run of which the caller has no event yet.
Test(streamVersions, runWithoutEventsMayBeginAtAnyVersion)
{
    ScriptedServer first([](const SeenRequest &request) -> Answer {
        if (isRun(request))
            return wholeAnswer(503, ownHeaders + "X-Not-Executed: 1\r\n", "");
        return wholeAnswer(200, "", "{}");
    });
    ScriptedServer newer(quickEngine);
    EntryFixture entry({resumableRoute()});
    entry.list("e1", first);
    std::thread announcer([&] {
        std::this_thread::sleep_for(100ms);
        entry.store.put("servers/e2", targetOfVersion(newer.address(), "v2"));
    });
    bool served = false;
    for (int i = 0; i < 50 && !served; ++i)
        served = isWhole(callOnce(entry.port(), requestText({}), 400ms).bytes);
    announcer.join();
    cr_expect(served);
}
