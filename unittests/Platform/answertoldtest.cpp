// What targets tell of themselves in their answers, beside the answer: that they leave, and that
// they want no work for a while.
#include "entryfixture.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <atomic>

using namespace jaytrack;
using namespace jaytrack::testing;

namespace {

const std::string ownHeaders = "X-Attempt-Id: a1\r\nX-Server-Stamp: s\r\n";
const std::string leavingHeader = "Server-Leaving: 1\r\n";

Answer streamAnswer(const std::string &headers)
{
    return {{AnswerStep::Kind::Send, streamHead(ownHeaders + headers), {}},
            chunkStep(eventText(1, "token1")),
            {AnswerStep::Kind::Send, "0\r\n\r\n", {}}};
}

std::string send(const EntryFixture &entry)
{
    return callOnce(entry.port(), requestText({})).bytes;
}

std::string targetAt(const ScriptedServer &target, std::int64_t born)
{
    nlohmann::json document = nlohmann::json::parse(targetJson(target.address()));
    document["born"] = born;
    return document.dump();
}

// Sends requests until one has reached the target.
void reach(const EntryFixture &entry, const ScriptedServer &target)
{
    for (int i = 0; i < 200 && workSeen(target) == 0; ++i)
        send(entry);
    cr_assert_geq(workSeen(target), 1, "no request reached the target");
}

enum Carrier { Plain200, Plain500, Refusal, StreamHead, Report };

struct CarrierCase
{
    char name[24];
    char type[8];
    Carrier carrier;
};

Answer leavingAnswer(Carrier carrier, const SeenRequest &request)
{
    if (isReport(request))
        return wholeAnswer(200, carrier == Report ? leavingHeader : "", "{}");
    switch (carrier) {
    case Plain200:
        return wholeAnswer(200, ownHeaders + leavingHeader, "good");
    case Plain500:
        return wholeAnswer(500, ownHeaders + leavingHeader, "bad");
    case Refusal:
        return wholeAnswer(503, ownHeaders + leavingHeader + "X-Not-Executed: 1\r\n", "");
    case StreamHead:
        return streamAnswer(leavingHeader);
    case Report:
        return streamAnswer("");
    }
    return {};
}

} // namespace

// Requests reach a target seconds after it said in an answer that it leaves. The store was away, so
// its entry still said that it is ready, and the answer, which the instance had passed on, was the
// only word there was: the instance logged nothing of it and went on choosing the target. Whatever
// the answer is, and whatever is listed later, its word holds for this life of it.
ParameterizedTestParameters(answerTold, leavingIsHeededInAnyAnswer)
{
    static CarrierCase cases[] = {{"answer", "unsafe", Plain200},
                                  {"failure", "unsafe", Plain500},
                                  {"refusal", "unsafe", Refusal},
                                  {"stream", "stream", StreamHead},
                                  {"load report", "stream", Report}};
    return cr_make_param_array(CarrierCase, cases, std::size(cases));
}

ParameterizedTest(CarrierCase *param, answerTold, leavingIsHeededInAnyAnswer)
{
    std::atomic<bool> leaves{false};
    const auto script = [&leaves, param](const SeenRequest &request) {
        return leaves ? leavingAnswer(param->carrier, request) : goodAnswer(request);
    };
    ScriptedServer leaving(script);
    ScriptedServer stays([param](const SeenRequest &request) {
        const bool stream = std::string_view(param->type) == "stream" && !isReport(request);
        return stream ? streamAnswer("") : goodAnswer(request);
    });
    RouteSpec route;
    route.type = param->type;
    EntryFixture entry({route});
    entry.list("t1", leaving);
    entry.list("t2", stays);
    leaves = true;
    if (param->carrier == Report)
        std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    else
        reach(entry, leaving);
    entry.store.failWith(503);
    std::size_t before = workSeen(leaving);
    for (int i = 0; i < 12; ++i)
        cr_assert(send(entry).starts_with("HTTP/1.1 200"), "%s: others are served", param->name);
    cr_assert_eq(workSeen(leaving), before, "%s: sent while the store was away", param->name);
    // The store knows nothing of it yet: the entry lapses and is back as it was.
    entry.store.failWith(0);
    entry.store.remove("servers/t1");
    std::this_thread::sleep_for(std::chrono::milliseconds(800));
    entry.store.put("servers/t1", targetJson(leaving.address()));
    std::this_thread::sleep_for(std::chrono::milliseconds(1200));
    before = workSeen(leaving);
    for (int i = 0; i < 12; ++i)
        send(entry);
    cr_assert_eq(workSeen(leaving), before, "%s: sent after it was listed again", param->name);
}

// A target that left and started again under its name gets no work for ever, or one that has the
// address of a target that left, and says so when it gets that one's request, is taken for it.
Test(answerTold, leavingEndsWithTheLifeAndIsNotAnothers)
{
    std::atomic<int> served{0};
    ScriptedServer target([&served](const SeenRequest &request) -> Answer {
        if (isReport(request))
            return wholeAnswer(200, "", "{}");
        if (served++ == 0)
            return wholeAnswer(421, leavingHeader + "X-Instance: another\r\n", "");
        return wholeAnswer(200, ownHeaders + (served == 2 ? leavingHeader : ""), "good");
    });
    RouteSpec route;
    route.type = "unsafe";
    EntryFixture entry({route});
    entry.list("t1", target, targetAt(target, 1000));
    const auto becomes = [&entry](const std::string &status) {
        for (int i = 0; i < 40; ++i) {
            if (send(entry).starts_with("HTTP/1.1 " + status))
                return true;
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
        return false;
    };
    cr_assert(becomes("200"), "another's word does not count");
    cr_assert(becomes("503"), "its own does");
    entry.store.put("servers/t1", targetAt(target, 2000));
    cr_assert(becomes("200"), "the next life gets work");
}

namespace {

struct PauseCase
{
    char name[24];
    char type[8];
    char header[40];
    bool pauses;
};

} // namespace

// A target that turns requests away and says for how long it wants none is asked again at once and
// often, which keeps it busy with refusals. What it says holds for this instance alone and ends by
// itself; a refusal that says nothing, or nonsense, is no such wish.
ParameterizedTestParameters(answerTold, busyTargetIsLeftAloneForSoLong)
{
    static PauseCase cases[] = {{"seconds", "unsafe", "Retry-After: 2\r\n", true},
                                {"fraction", "safe", "Retry-After: 2.25\r\n", true},
                                {"stream", "stream", "Retry-After: 2\r\n", true},
                                {"nothing", "unsafe", "", false},
                                {"a word", "unsafe", "Retry-After: soon\r\n", false},
                                {"negative", "unsafe", "Retry-After: -3\r\n", false},
                                {"no number", "unsafe", "Retry-After: nan\r\n", false}};
    return cr_make_param_array(PauseCase, cases, std::size(cases));
}

ParameterizedTest(PauseCase *param, answerTold, busyTargetIsLeftAloneForSoLong)
{
    std::atomic<bool> busy{true};
    const bool stream = std::string_view(param->type) == "stream";
    const auto serve = [stream](const SeenRequest &request) {
        return stream && !isReport(request) ? streamAnswer("") : goodAnswer(request);
    };
    ScriptedServer target([&](const SeenRequest &request) {
        if (isReport(request) || !busy)
            return serve(request);
        return wholeAnswer(503, std::string(param->header) + "X-Not-Executed: 1\r\n", "");
    });
    RouteSpec route;
    route.type = param->type;
    EntryFixture entry({route});
    entry.list("t1", target);
    const std::string first = send(entry);
    cr_assert(first.starts_with("HTTP/1.1 503"));
    const std::size_t told = first.find("Retry-After: ");
    cr_assert(told != std::string::npos, "%s", param->name);
    cr_assert_eq(std::stod(first.substr(told + 13)) > 1.9, param->pauses, "%s", param->name);
    const std::size_t before = workSeen(target);
    const auto began = std::chrono::steady_clock::now();
    std::string refusal;
    while (std::chrono::steady_clock::now() - began < std::chrono::milliseconds(1700)) {
        refusal = send(entry);
        std::this_thread::sleep_for(std::chrono::milliseconds(60));
    }
    const std::size_t sent = workSeen(target) - before;
    cr_assert_eq(sent == 0, param->pauses, "%s: %zu requests", param->name, sent);
    cr_assert(refusal.starts_with("HTTP/1.1 503"), "%s: %s", param->name, refusal.c_str());
    if (!param->pauses)
        return;
    // The caller is told when it is worth to come back.
    const std::size_t at = refusal.find("Retry-After: ");
    cr_assert(at != std::string::npos, "%s", param->name);
    const double delay = std::stod(refusal.substr(at + 13));
    cr_assert(delay > 0.1 && delay < 1.0, "%s: %f s", param->name, delay);
    busy = false;
    std::this_thread::sleep_for(std::chrono::milliseconds(900));
    cr_assert(send(entry).starts_with("HTTP/1.1 200"), "%s: it is over", param->name);
}

// While one target asks to be left alone the others are used, and nobody waits for it.
Test(answerTold, othersServeWhileOneIsLeftAlone)
{
    ScriptedServer busy([](const SeenRequest &request) {
        return isReport(request) ? wholeAnswer(200, "", "{}")
                                 : wholeAnswer(503, "Retry-After: 3\r\nX-Not-Executed: 1\r\n", "");
    });
    ScriptedServer open(goodAnswer);
    RouteSpec route;
    route.type = "unsafe";
    EntryFixture entry({route});
    entry.list("t1", busy);
    entry.list("t2", open);
    reach(entry, busy);
    const std::size_t before = workSeen(busy);
    for (int i = 0; i < 30; ++i)
        cr_assert(send(entry).starts_with("HTTP/1.1 200"));
    cr_assert_eq(workSeen(busy), before);
}

// One instance learns from an answer that a target leaves; the others go on sending there until
// each has had such an answer itself. What one was told is told to all.
Test(answerTold, leavingIsToldToOtherInstances)
{
    std::atomic<bool> leaves{false};
    ScriptedServer leaving([&leaves](const SeenRequest &request) {
        return leaves ? leavingAnswer(Plain200, request) : goodAnswer(request);
    });
    ScriptedServer stays(goodAnswer);
    const std::string firstAddress = freeDatagramAddress();
    const std::string secondAddress = freeDatagramAddress();
    RouteSpec route;
    route.type = "unsafe";
    EntryFixture first({route}, memberOf("first", firstAddress, secondAddress));
    EntryFixture second({route}, memberOf("second", secondAddress, firstAddress));
    for (EntryFixture *entry : {&first, &second}) {
        entry->store.put("servers/t1", targetJson(leaving.address()));
        entry->store.put("servers/t2", targetJson(stays.address()));
        cr_assert(entry->becomesReady());
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    reach(second, leaving);
    leaves = true;
    const std::size_t atFirst = workSeen(leaving);
    for (int i = 0; i < 50 && workSeen(leaving) == atFirst; ++i)
        send(first);
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    const std::size_t before = workSeen(leaving);
    cr_assert_gt(before, atFirst);
    for (int i = 0; i < 20; ++i)
        cr_assert(send(second).starts_with("HTTP/1.1 200"));
    cr_assert_eq(workSeen(leaving), before);
}

// Guards against what a target says of itself being lost where the attempt has a long id.
Test(answerTold, namesOfAttemptsMayBeLong)
{
    const std::string id(64, 'a');
    ScriptedServer target([&id](const SeenRequest &request) {
        return isReport(request) ? wholeAnswer(200, "", "{}")
                                 : wholeAnswer(200,
                                               "X-Attempt-Id: " + id + "\r\nX-Server-Stamp: s\r\n" +
                                                       leavingHeader,
                                               "good");
    });
    RouteSpec route;
    route.type = "unsafe";
    EntryFixture entry({route});
    entry.list("i-1", target);
    RequestSpec spec;
    spec.id = id;
    cr_expect(callOnce(entry.port(), requestText(spec)).bytes.starts_with("HTTP/1.1 200"));
    cr_expect(callOnce(entry.port(), requestText(spec)).bytes.starts_with("HTTP/1.1 503"));
    cr_expect_eq(workSeen(target), 1);
}
