// Data centres that the operators put out of use, as callers and targets see it.
#include "entryfixture.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <thread>

using namespace jaytrack;
using namespace jaytrack::testing;

namespace {

const std::string ownHeaders = "X-Attempt-Id: a1\r\nX-Server-Stamp: s\r\n";
const std::string recordOf = "op/evacuate/";

Answer streamAnswer(const SeenRequest &request)
{
    if (isReport(request))
        return wholeAnswer(200, "", "{}");
    return {{AnswerStep::Kind::Send, streamHead(ownHeaders), {}},
            chunkStep(eventText(1, "token1")),
            {AnswerStep::Kind::Send, "0\r\n\r\n", {}}};
}

std::string send(const EntryFixture &entry)
{
    return callOnce(entry.port(), requestText({})).bytes;
}

std::string entryIn(const ScriptedServer &target, const std::string &dataCentre)
{
    return targetJson(target.address(), "ready", "svc", dataCentre);
}

void listIn(EntryFixture &entry, const std::string &id, const ScriptedServer &target,
            const std::string &dataCentre)
{
    entry.list(id, target);
    entry.store.put("servers/" + id, entryIn(target, dataCentre));
}

// How long a change may take to be known in these tests.
constexpr std::chrono::milliseconds learnt{400};

void waitUntilLearnt()
{
    std::this_thread::sleep_for(learnt);
}

struct KindCase
{
    char type[8];
    bool alone; // no target elsewhere
};

KindCase kindCases[] = {
        {"safe", false}, {"unsafe", false}, {"stream", false},
        {"safe", true},  {"unsafe", true},  {"stream", true},
};

} // namespace

// Guards against new work at targets of a data centre that is out of use.
ParameterizedTestParameters(outOfUse, getsNoNewWork)
{
    return cr_make_param_array(KindCase, kindCases, std::size(kindCases));
}

ParameterizedTest(KindCase *given, outOfUse, getsNoNewWork)
{
    const bool stream = std::string(given->type) == "stream";
    RouteSpec route;
    route.type = given->type;
    route.attempts = 2;
    EntryFixture entry({route});
    ScriptedServer out(stream ? streamAnswer : goodAnswer);
    ScriptedServer in(stream ? streamAnswer : goodAnswer);
    listIn(entry, "i-out", out, "dc-out");
    if (!given->alone)
        listIn(entry, "i-in", in, "dc-in");
    entry.store.put(recordOf + "dc-out", "{}");
    waitUntilLearnt();
    for (int i = 0; i < 20; ++i) {
        const std::string answer = send(entry);
        cr_expect(answer.starts_with(given->alone ? "HTTP/1.1 503" : "HTTP/1.1 200"), "got %s",
                  answer.substr(0, 40).c_str());
    }
    cr_assert_eq(workSeen(out), 0);
    // And gets work again once it is put back.
    entry.store.remove(recordOf + "dc-out");
    waitUntilLearnt();
    for (int i = 0; i < 60 && workSeen(out) == 0; ++i)
        send(entry);
    cr_assert_gt(workSeen(out), 0);
}

// Guards against questions about load that go on while nothing may be sent there.
Test(outOfUse, isAskedNothing)
{
    EntryFixture entry({RouteSpec()});
    ScriptedServer out(streamAnswer);
    listIn(entry, "i-out", out, "dc-out");
    entry.store.put(recordOf + "dc-out", "{}");
    waitUntilLearnt();
    const std::size_t before = out.seen().size();
    std::this_thread::sleep_for(std::chrono::milliseconds(2500));
    cr_assert_eq(out.seen().size(), before);
    entry.store.remove(recordOf + "dc-out");
    std::this_thread::sleep_for(std::chrono::milliseconds(2500));
    cr_assert_gt(out.seen().size(), before);
}

enum class Event { Compact, ComeBackLater, ComeBackNever };

struct EventCase
{
    char name[32];
    Event event;
    bool outAfterwards;
};

EventCase eventCases[] = {
        {"history lost", Event::Compact, true},
        {"copy, written again", Event::ComeBackLater, true},
};

// Lets the store's bad hour pass and checks whether the data centre is out of use after it.
void checkAfterBadHour(const EventCase *given)
{
    RouteSpec route;
    route.type = "safe";
    route.attempts = 2;
    auto entry = std::make_unique<EntryFixture>(std::vector<RouteSpec>{route});
    ScriptedServer out(goodAnswer);
    ScriptedServer in(goodAnswer);
    listIn(*entry, "i-out", out, "dc-out");
    listIn(*entry, "i-in", in, "dc-in");
    entry->store.takeCopy();
    // Written again, the order has a smaller revision than it had.
    for (int i = 0; i < 5; ++i)
        entry->store.put("other/" + std::to_string(i), "x");
    entry->store.put(recordOf + "dc-out", "{}");
    waitUntilLearnt();
    if (given->event == Event::Compact)
        entry->store.compact();
    if (given->event == Event::ComeBackLater || given->event == Event::ComeBackNever)
        entry->store.comeBackFromCopy();
    for (int i = 0; i < 40; ++i) {
        send(*entry);
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    cr_assert_eq(workSeen(out), 0, "%s", given->name);
    if (given->event == Event::ComeBackLater)
        entry->store.put(recordOf + "dc-out", "{}");
    std::this_thread::sleep_for(std::chrono::milliseconds(3000));
    for (int i = 0; i < 40; ++i)
        send(*entry);
    cr_assert_eq(workSeen(out) == 0, given->outAfterwards, "%s", given->name);
}

// Guards against an instance that forgets, in a bad hour of the store, what is out of use.
ParameterizedTestParameters(outOfUse, holdsThroughTheStoresBadHours)
{
    return cr_make_param_array(EventCase, eventCases, std::size(eventCases));
}

ParameterizedTest(EventCase *given, outOfUse, holdsThroughTheStoresBadHours)
{
    checkAfterBadHour(given);
}

// Guards against a data centre that stays out of use though the order is not in the store any more.
Test(outOfUse, endsWithAnOrderThatTheCopyLacks)
{
    const EventCase never{"copy, never written again", Event::ComeBackNever, false};
    checkAfterBadHour(&never);
}

// Guards against a record without a readable name or value: the first names nothing, the second
// still names its data centre.
Test(outOfUse, recordsOfOtherWriters)
{
    RouteSpec route;
    route.type = "safe";
    EntryFixture entry({route});
    ScriptedServer out(goodAnswer);
    listIn(entry, "i-out", out, "dc-out");
    entry.store.put(recordOf, "{}");
    entry.store.put(recordOf + "elsewhere", "{}");
    waitUntilLearnt();
    cr_assert(send(entry).starts_with("HTTP/1.1 200"));
    entry.store.put(recordOf + "dc-out", "\xff not a document");
    waitUntilLearnt();
    const std::size_t before = workSeen(out);
    cr_assert(send(entry).starts_with("HTTP/1.1 503"));
    cr_assert_eq(workSeen(out), before);
}

// Guards against cutting off what runs there.
Test(outOfUse, whatRunsThereGoesOn)
{
    RouteSpec route;
    route.timeoutMs = 5000;
    EntryFixture entry({route});
    ScriptedServer out([](const SeenRequest &request) -> Answer {
        if (isReport(request))
            return wholeAnswer(200, "", "{}");
        return {{AnswerStep::Kind::Send, streamHead(ownHeaders), {}},
                chunkStep(eventText(1, "token1")),
                chunkStep(eventText(2, "token2"), std::chrono::milliseconds(1200)),
                {AnswerStep::Kind::Send, "0\r\n\r\n", {}}};
    });
    listIn(entry, "i-out", out, "dc-out");
    std::thread later([&entry] {
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        entry.store.put(recordOf + "dc-out", "{}");
    });
    const std::string answer = send(entry);
    later.join();
    cr_assert_neq(answer.find("token2"), std::string::npos);
    cr_assert(answer.ends_with("0\r\n\r\n"));
}

// Guards against an instance that learns of targets when it starts, but not that they are out of
// use.
Test(outOfUse, isKnownToAnInstanceThatStartsMeanwhile)
{
    ScriptedServer out(goodAnswer);
    RouteSpec route;
    route.type = "safe";
    FixtureOptions options;
    options.items = {{"servers/i-out", entryIn(out, "dc-out")}, {recordOf + "dc-out", "{}"}};
    EntryFixture entry({route}, options);
    cr_assert(entry.becomesReady());
    cr_assert(send(entry).starts_with("HTTP/1.1 503"));
    cr_assert_eq(workSeen(out), 0);
}
