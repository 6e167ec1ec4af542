// Streams whose engines have several versions of their software: what two versions generate does
// not fit together.
#include "entryfixture.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace jaytrack;
using namespace jaytrack::testing;
using namespace std::chrono_literals;

namespace {

constexpr int eventCount = 40;

std::string ownHeaders(const SeenRequest &request)
{
    return "X-Attempt-Id: " + std::string(request.head.header("X-Attempt-Id")) +
           "\r\nX-Server-Stamp: s\r\n";
}

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
    Answer answer = {{AnswerStep::Kind::Send, streamHead(ownHeaders(request)), {}}};
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
        entry.list("e1", engine,
                   targetOfVersion(engine.address(), "v1", "ready", born == 0 ? 0 : 1000));
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

struct ReportCase
{
    std::array<char, 32> name;
    std::int64_t reportedStart; // by the engine that is chosen; 0: none, -1: no answer
    bool goesOnThere;
};

ParameterizedTestParameters(streamVersions, streamGoesOnAtTheListedIncarnationOnly)
{
    static std::array<ReportCase, 4> cases = {{{{"the one listed"}, 1000, true},
                                               {{"started since"}, 2000, false},
                                               {{"does not tell"}, 0, true},
                                               {{"does not answer"}, -1, false}}};
    return cr_make_param_array(ReportCase, cases.data(), cases.size());
}

// Guards against streams that go on at an engine which has started again under its name at another
// version, before its entry says so.
ParameterizedTest(ReportCase *param, streamVersions, streamGoesOnAtTheListedIncarnationOnly)
{
    ScriptedServer first(dyingEngine);
    std::atomic<bool> restarted = false;
    ScriptedServer second([&](const SeenRequest &request) -> Answer {
        if (!isReport(request))
            return quickEngine(request);
        if (restarted && param->reportedStart < 0)
            return {{AnswerStep::Kind::Hang, "", {}}};
        const std::int64_t born = restarted ? param->reportedStart : 1000;
        const std::string start = born == 0 ? "" : R"("born":)" + std::to_string(born) + ",";
        return wholeAnswer(
                200, "Content-Type: application/json\r\n",
                "{" + start + R"("Waiting":0,"Running":0,"KvInUse":0,"KvSize":9000,"Next":0})");
    });
    EntryFixture entry({resumableRoute()});
    entry.list("e1", first, targetOfVersion(first.address(), "v1", "ready", 1000));
    std::thread starter([&] {
        std::this_thread::sleep_for(10ms);
        entry.store.put("servers/e2", targetOfVersion(second.address(), "v1", "ready", 1000));
        restarted = true;
    });
    const CallerView view = callOnce(entry.port(), requestText({}));
    starter.join();
    cr_expect(runsOf(second) == (param->goesOnThere ? 1 : 0), "%s: %zu runs", param->name.data(),
              static_cast<std::size_t>(runsOf(second)));
    cr_expect(isWhole(view.bytes) == param->goesOnThere, "%s: %s", param->name.data(),
              view.bytes.c_str());
    cr_expect(view.bytes.find("token2\n") != std::string::npos, "%s", param->name.data());
}

// Guards against refusing, for want of a version, a run of which the caller has no event yet.
Test(streamVersions, runWithoutEventsMayBeginAtAnyVersion)
{
    ScriptedServer first([](const SeenRequest &request) -> Answer {
        if (isRun(request))
            return wholeAnswer(503, ownHeaders(request) + "X-Not-Executed: 1\r\n", "");
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

namespace {

// A caller's attempt to take up a stream after its second event.
std::string takeUpText(const std::string &id, const std::string &headers)
{
    RequestSpec spec;
    spec.id = id;
    spec.extraHeaders = headers;
    return requestText(spec);
}

// Two events, after which the engine keeps its caller waiting.
Answer stallingEngine(const SeenRequest &request)
{
    if (!isRun(request) || !request.head.header("Last-Event-Id").empty())
        return quickEngine(request);
    Answer answer = eventsAfter(request, 2, 5ms, false);
    answer.back() = {AnswerStep::Kind::Hang, "", {}};
    return answer;
}

// Begins a stream and leaves after its first events.
void beginStream(const EntryFixture &entry, const std::string &id)
{
    RequestSpec spec;
    spec.id = id;
    const std::string bytes = callOnce(entry.port(), requestText(spec), 300ms).bytes;
    cr_assert(bytes.find("token2\n") != std::string::npos, "%s", bytes.c_str());
}

struct TakeUpCase
{
    char name[40];
    char headers[56];
    bool hasSecondVersion;
    bool isServed;
};

} // namespace

// Guards against streams that go on at another version because a guess is taken for knowledge, and
// against refusing callers where there is nothing to guess.
ParameterizedTestParameters(streamVersions, takeUpNeedsARecordWhereVersionsDiffer)
{
    static TakeUpCase cases[] = {
            {"known", "Last-Event-Id: 2\r\nResumes: a1\r\n", true, true},
            {"never seen", "Last-Event-Id: 2\r\nResumes: a9\r\n", true, false},
            {"nonsense", "Last-Event-Id: 2\r\nResumes: ,;\\ %00\r\n", true, false},
            {"no Resumes", "Last-Event-Id: 2\r\n", true, false},
            {"no Last-Event-Id, known", "Resumes: a1\r\n", true, true},
            {"no Last-Event-Id, never seen", "Resumes: a9\r\n", true, false},
            {"nothing of it", "", true, true},
            {"one version, never seen", "Last-Event-Id: 2\r\nResumes: a9\r\n", false, true},
            {"one version, no Resumes", "Last-Event-Id: 2\r\n", false, true}};
    return cr_make_param_array(TakeUpCase, cases, std::size(cases));
}

ParameterizedTest(TakeUpCase *one, streamVersions, takeUpNeedsARecordWhereVersionsDiffer)
{
    ScriptedServer first(stallingEngine);
    ScriptedServer newer(quickEngine);
    EntryFixture entry({resumableRoute()});
    entry.list("e1", first);
    beginStream(entry, "a1");
    if (one->hasSecondVersion) {
        entry.store.put("servers/e2", targetOfVersion(newer.address(), "v2"));
        std::this_thread::sleep_for(800ms);
    }
    const bool isKnown = std::string_view(one->headers).find("a1") != std::string_view::npos;
    const std::string bytes = callOnce(entry.port(), takeUpText("b1", one->headers), 600ms).bytes;
    cr_expect(bytes.starts_with(one->isServed ? "HTTP/1.1 200" : "HTTP/1.1 503"), "%s: %s",
              one->name, bytes.c_str());
    if (!one->isServed) {
        cr_expect(bytes.find("not-run") != std::string::npos, "%s", one->name);
        cr_expect(runsOf(first) + runsOf(newer) == 1, "%s: nothing runs", one->name);
    }
    if (isKnown)
        cr_expect(runsOf(newer) == 0, "%s", one->name);
}

// Guards against a stream that goes on at another version, because an instance that nobody told
// takes the only version that it sees for the only one that there was.
Test(streamVersions, instanceStartedAgainDoesNotGuess)
{
    ScriptedServer engine(quickEngine);
    FixtureOptions options;
    options.firstStart = false;
    EntryFixture entry({resumableRoute()}, options);
    entry.list("e1", engine);
    cr_expect(isWhole(callOnce(entry.port(), requestText({})).bytes), "new streams begin");
    const std::string bytes =
            callOnce(entry.port(), takeUpText("b1", "Last-Event-Id: 2\r\nResumes: a9\r\n")).bytes;
    cr_expect(bytes.starts_with("HTTP/1.1 503"), "%s", bytes.c_str());
    cr_expect(bytes.find("not-run") != std::string::npos);
    cr_expect(runsOf(engine) == 1);
}

// Guards against callers who wait in vain, or get another version, when no engine of theirs is
// left.
Test(streamVersions, callerIsToldAtOnceThatItsVersionIsGone)
{
    ScriptedServer first(stallingEngine);
    ScriptedServer newer(quickEngine);
    EntryFixture entry({resumableRoute()});
    entry.list("e1", first);
    beginStream(entry, "a1");
    entry.store.put("servers/e2", targetOfVersion(newer.address(), "v2"));
    entry.store.put("servers/e1", targetJson(first.address(), "draining"));
    std::this_thread::sleep_for(800ms);
    const auto began = std::chrono::steady_clock::now();
    const std::string bytes =
            callOnce(entry.port(), takeUpText("b1", "Last-Event-Id: 2\r\nResumes: a1\r\n")).bytes;
    cr_expect(bytes.starts_with("HTTP/1.1 503"), "%s", bytes.c_str());
    cr_expect(bytes.find("not-run") != std::string::npos);
    cr_expect(runsOf(newer) == 0 && runsOf(first) == 1);
    cr_expect(std::chrono::steady_clock::now() - began < 3500ms);
}

// Guards against streams that end at, or are joined by, an instance that never saw the first
// attempt: the one that served it has been killed.
Test(streamVersions, otherInstancesKnowTheVersionOfAKilledOne)
{
    constexpr int streams = 5;
    ScriptedServer old(stallingEngine);
    std::vector<std::unique_ptr<ScriptedServer>> newer;
    const std::string first = freeDatagramAddress();
    const std::string second = freeDatagramAddress();
    auto killed = std::make_unique<EntryFixture>(std::vector<RouteSpec>{resumableRoute()},
                                                 memberOf("killed", first, second));
    EntryFixture other({resumableRoute()}, memberOf("other", second, first));
    for (EntryFixture *entry : {killed.get(), &other}) {
        entry->store.put("servers/e0", targetOfVersion(old.address(), "v1"));
        cr_assert(entry->becomesReady());
    }
    std::this_thread::sleep_for(1500ms);
    for (int i = 0; i < streams; ++i)
        beginStream(*killed, "a" + std::to_string(i));
    for (int i = 1; i <= 3; ++i) {
        newer.push_back(std::make_unique<ScriptedServer>(quickEngine));
        for (EntryFixture *entry : {killed.get(), &other})
            entry->store.put("servers/e" + std::to_string(i),
                             targetOfVersion(newer.back()->address(), "v2"));
    }
    std::this_thread::sleep_for(800ms);
    killed.reset();
    for (int i = 0; i < streams; ++i) {
        const std::string id = "a" + std::to_string(i);
        const std::string bytes =
                callOnce(other.port(),
                         takeUpText("b" + std::to_string(i),
                                    "Last-Event-Id: 2\r\nResumes: " + id + "\r\n"),
                         900ms)
                        .bytes;
        cr_expect(isWhole(bytes), "%s: %s", id.c_str(), bytes.c_str());
    }
    for (const auto &engine : newer)
        cr_expect(runsOf(*engine) == 0);
    cr_expect(runsOf(old) == 2 * streams);
}

// Guards against a stream that goes on at another version at an instance that is cut off from the
// others, which may have seen a version that it has not.
Test(streamVersions, nobodyToAskMeansThatAStreamIsNotTakenUp)
{
    ScriptedServer engine(quickEngine);
    EntryFixture entry({resumableRoute()},
                       memberOf("one", freeDatagramAddress(), freeDatagramAddress()));
    entry.list("e1", engine);
    for (const char *headers : {"Last-Event-Id: 2\r\nResumes: a9\r\n", "Last-Event-Id: 2\r\n"}) {
        const std::string bytes = callOnce(entry.port(), takeUpText("b1", headers), 600ms).bytes;
        cr_expect(bytes.starts_with("HTTP/1.1 503"), "%s", bytes.c_str());
        cr_expect(bytes.find("not-run") != std::string::npos, "%s", bytes.c_str());
    }
    cr_expect_eq(runsOf(engine), 0);
}
