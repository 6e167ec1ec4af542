// Instances that have lost their links to all targets, while callers, the store and the other
// instances still reach them.
#include "cutsite.h"

#include "jaytrack/Calls/relaymessage.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <map>
#include <memory>

using namespace jaytrack;
using namespace jaytrack::testing;
using namespace std::chrono_literals;

namespace {

constexpr int requestsSent = 6;

const std::string ownHeaders = "X-Attempt-Id: a1\r\nX-Server-Stamp: s\r\n";

Answer answerTo(const std::string &type, const SeenRequest &request)
{
    if (isReport(request))
        return wholeAnswer(200, "", "{}");
    if (type == "cut") // a stream whose engine ends before the first event
        return {{AnswerStep::Kind::Send,
                 "HTTP/1.1 200 OK\r\n" + ownHeaders + "Content-Type: text/event-stream\r\n\r\n",
                 {}},
                {AnswerStep::Kind::Close, "", 20ms}};
    if (type != "stream")
        return wholeAnswer(200, ownHeaders, "good");
    return {{AnswerStep::Kind::Send, streamHead(ownHeaders), {}},
            chunkStep(eventText(1, "good")),
            chunkStep(eventText(2, "good"), 20ms),
            {AnswerStep::Kind::Send, "0\r\n\r\n", {}}};
}

RouteSpec routeOf(const std::string &type)
{
    RouteSpec route;
    route.type = type == "cut" ? "stream" : type;
    route.attempts = type == "safe" ? 3 : 1;
    return route;
}

struct LossCase
{
    char type[8];
    LinkLoss loss;
};

} // namespace

// Guards against an instance that refuses its callers because its own links to all targets are
// gone.
ParameterizedTestParameters(lostLinks, callersAreServedThroughAnotherInstance)
{
    static LossCase cases[] = {{"safe", LinkLoss::Refused},   {"safe", LinkLoss::Silent},
                               {"unsafe", LinkLoss::Refused}, {"unsafe", LinkLoss::Silent},
                               {"stream", LinkLoss::Refused}, {"stream", LinkLoss::Silent}};
    return cr_make_param_array(LossCase, cases, std::size(cases));
}

ParameterizedTest(LossCase *one, lostLinks, callersAreServedThroughAnotherInstance)
{
    const std::string type = one->type;
    const CutSite site(
            routeOf(type), [type](const SeenRequest &request) { return answerTo(type, request); },
            one->loss);
    for (int i = 0; i < requestsSent; ++i) {
        const std::string answer = callOnce(site.cut->port(), requestText({})).bytes;
        cr_expect(answer.starts_with("HTTP/1.1 200"), "%s: %s", one->type, answer.c_str());
        cr_expect(answer.find("good") != std::string::npos, "%s: %s", one->type, answer.c_str());
    }
    cr_expect(site.runs() == requestsSent, "%s: %zu runs", one->type, site.runs());
}

// Guards against requests that are passed back and forth between instances without links, and
// against waiting in vain when the targets are down for all.
ParameterizedTestParameters(lostLinks, nobodyReachesTheTargets)
{
    static LossCase cases[] = {{"safe", LinkLoss::Refused}, {"unsafe", LinkLoss::Silent}};
    return cr_make_param_array(LossCase, cases, std::size(cases));
}

ParameterizedTest(LossCase *one, lostLinks, nobodyReachesTheTargets)
{
    const std::string first = freeDatagramAddress();
    const std::string second = freeDatagramAddress();
    const UnreachablePort port(one->loss);
    EntryFixture entry({routeOf(one->type)}, memberOf("first", first, second));
    EntryFixture other({routeOf(one->type)}, memberOf("second", second, first));
    for (EntryFixture *each : {&entry, &other})
        each->store.put("servers/i-1", targetJson(port.address()));
    cr_assert(entry.becomesReady() && other.becomesReady());
    std::this_thread::sleep_for(acquaintance);
    for (int i = 0; i < 3; ++i) {
        const auto began = std::chrono::steady_clock::now();
        const std::string answer = callOnce(entry.port(), requestText({})).bytes;
        cr_expect(answer.starts_with("HTTP/1.1 503"), "%s", answer.c_str());
        cr_expect(answer.find("not-run") != std::string::npos, "%s", answer.c_str());
        cr_expect(std::chrono::steady_clock::now() - began < 1s);
    }
}

// Guards against an answer that looks complete because the instance in between has ended.
Test(lostLinks, endOfTheInstanceInBetweenBreaksTheAnswer)
{
    const std::string first = freeDatagramAddress();
    const std::string second = freeDatagramAddress();
    const ScriptedServer target([](const SeenRequest &request) -> Answer {
        if (isReport(request))
            return wholeAnswer(200, "", "{}");
        return {{AnswerStep::Kind::Send, "HTTP/1.1 200 OK\r\n" + ownHeaders + "\r\nhalf", {}},
                {AnswerStep::Kind::Close, "", 2000ms}};
    });
    const UnreachablePort port(LinkLoss::Refused);
    EntryFixture cut({routeOf("unsafe")},
                     memberWith("cut", first, second, {{"i-1", port.address()}}));
    auto sound = std::make_unique<EntryFixture>(
            std::vector<RouteSpec>{routeOf("unsafe")},
            memberWith("sound", second, first, {{"i-1", target.address()}}));
    cr_assert(cut.becomesReady() && sound->becomesReady());
    std::this_thread::sleep_for(acquaintance);
    std::thread ender([&sound] {
        std::this_thread::sleep_for(500ms);
        sound.reset();
    });
    const std::string answer = callOnce(cut.port(), requestText({})).bytes;
    ender.join();
    cr_expect(answer.starts_with("HTTP/1.1 502"), "%s", answer.c_str());
}

// Guards against calls by strangers through the port that instances use among themselves.
Test(lostLinks, refusesUnsignedCalls)
{
    const std::string address = freeDatagramAddress();
    const ScriptedServer target(goodAnswer);
    EntryFixture entry({routeOf("safe")}, memberOf("one", address, freeDatagramAddress()));
    entry.list("i-1", target);
    const auto port = static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1)));
    const std::string text = "GET /jobs/1 HTTP/1.1\r\nHost: x\r\nJaytrack-Relay-Target: i-1\r\n"
                             "Connection: close\r\n\r\n";
    cr_expect(callOnce(port, text).bytes.starts_with("HTTP/1.1 400"));
    cr_expect(workSeen(target) == 0);
}

// Guards against new work that reaches a leaving target through an instance that knows better.
Test(lostLinks, passesNoNewWorkToALeavingTarget)
{
    const std::string first = freeDatagramAddress();
    const std::string second = freeDatagramAddress();
    const ScriptedServer target(goodAnswer);
    const UnreachablePort port(LinkLoss::Refused);
    EntryFixture cut({routeOf("safe")},
                     memberWith("cut", first, second, {{"i-1", port.address()}}));
    EntryFixture sound({routeOf("safe")},
                       memberWith("sound", second, first, {{"i-1", target.address()}}));
    cr_assert(cut.becomesReady() && sound.becomesReady());
    std::this_thread::sleep_for(acquaintance);
    sound.store.put("servers/i-1", targetJson(target.address(), "draining"));
    std::this_thread::sleep_for(1500ms);
    cr_expect(callOnce(cut.port(), requestText({})).bytes.starts_with("HTTP/1.1 503"));
    cr_expect(workSeen(target) == 0);
}

namespace {

const std::string leavingHeader = "Server-Leaving: 1\r\n";

std::uint16_t portOf(const std::string &address)
{
    return static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1)));
}

// A call that another instance of the fleet asks to be passed on.
std::string relayRequest(const std::string &target, bool isNewWork)
{
    const KeyRing keys({fleetKeyOfTest()});
    const RelayOrder order{target, isNewWork, 100ms};
    std::string text = "GET /jobs/1 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n";
    for (const HttpHeader &header : encodeOrder(order, "GET", "/jobs/1", {}, keys))
        text += header.name + ": " + header.value + "\r\n";
    return text + "\r\n";
}

} // namespace

// Guards against requests to a target whose answer, passed on for another instance, said that it
// leaves.
Test(lostLinks, instanceInBetweenReadsWhatItPassesOn)
{
    const std::string address = freeDatagramAddress();
    const ScriptedServer target([](const SeenRequest &request) {
        return isReport(request) ? wholeAnswer(200, "", "{}")
                                 : wholeAnswer(200, ownHeaders + leavingHeader, "good");
    });
    EntryFixture entry({routeOf("unsafe")}, memberOf("one", address, freeDatagramAddress()));
    entry.list("i-1", target);
    const std::string passedOn = callOnce(portOf(address), relayRequest("i-1", true)).bytes;
    cr_assert(passedOn.find("good") != std::string::npos, "%s", passedOn.c_str());
    cr_expect(callOnce(entry.port(), requestText({})).bytes.starts_with("HTTP/1.1 503"));
    cr_expect(workSeen(target) == 1);
}

// Guards against runs that are lost because nobody passes the order to copy them to an engine that
// left by the removal of its entry and still serves what it has.
Test(lostLinks, ordersReachATargetThatIsNoLongerListed)
{
    const std::string address = freeDatagramAddress();
    const ScriptedServer target(goodAnswer);
    EntryFixture entry({routeOf("unsafe")}, memberOf("one", address, freeDatagramAddress()));
    entry.list("i-1", target);
    entry.store.remove("servers/i-1");
    // An instance that waits for others does not follow the store at first.
    const auto isRemoved = [&entry] {
        return callOnce(entry.port(), requestText({})).bytes.starts_with("HTTP/1.1 503");
    };
    for (int i = 0; i < 100 && !isRemoved(); ++i)
        std::this_thread::sleep_for(50ms);
    cr_assert(isRemoved());
    const std::string order = callOnce(portOf(address), relayRequest("i-1", false)).bytes;
    cr_expect(order.find("good") != std::string::npos, "%s", order.c_str());
    const std::size_t before = workSeen(target);
    callOnce(portOf(address), relayRequest("i-1", true));
    cr_expect(workSeen(target) == before, "no new work");
}

namespace {

// Both instances see the same targets until the first one's links to them are reset.
Answer resetOrReport(const SeenRequest &request)
{
    if (isReport(request))
        return wholeAnswer(200, "", "{}");
    return {{AnswerStep::Kind::Reset, "", 20ms}};
}

// Returns the target that has begun to work; empty if none has within some time.
std::string awaitWork(const std::map<std::string, std::unique_ptr<ScriptedServer>> &targets)
{
    for (int i = 0; i < 100; ++i) {
        for (const auto &[id, target] : targets) {
            if (workSeen(*target) > 0)
                return id;
        }
        std::this_thread::sleep_for(2ms);
    }
    return {};
}

} // namespace

// Guards against requests that are barred because links that were reset look like targets that
// ended.
Test(lostLinks, resetLinksAreNotTakenForTargetsThatEnded)
{
    constexpr int maxCalls = 40;
    const std::string first = freeDatagramAddress();
    const std::string second = freeDatagramAddress();
    RouteSpec route = routeOf("safe");
    route.attempts = 1;
    const ScriptedServer alive(goodAnswer);
    // Each resets its first connection, and refuses connections from then on.
    std::map<std::string, std::unique_ptr<ScriptedServer>> dying;
    std::map<std::string, std::string> seenByCut;
    std::map<std::string, std::string> seenBySound;
    for (int i = 0; i < 4; ++i) {
        const std::string id = "i-" + std::to_string(i);
        dying[id] = std::make_unique<ScriptedServer>(resetOrReport);
        seenByCut[id] = dying[id]->address();
        seenBySound[id] = alive.address();
    }
    EntryFixture cut({route}, memberWith("cut", first, second, seenByCut));
    EntryFixture sound({route}, memberWith("sound", second, first, seenBySound));
    cr_assert(cut.becomesReady() && sound.becomesReady());
    std::this_thread::sleep_for(acquaintance);
    for (int i = 0; i < maxCalls && !dying.empty(); ++i) {
        std::thread caller([&cut] { callOnce(cut.port(), requestText({})); });
        const std::string hit = awaitWork(dying);
        dying.erase(hit);
        caller.join();
        if (hit.empty())
            continue;
        std::this_thread::sleep_for(600ms);
        cut.store.remove("servers/" + hit);
        sound.store.remove("servers/" + hit);
        std::this_thread::sleep_for(600ms);
    }
    cr_assert(dying.empty(), "%zu targets got no request", dying.size());
    sound.store.put("servers/i-last", targetJson(alive.address()));
    cut.store.put("servers/i-last", targetJson(alive.address()));
    std::this_thread::sleep_for(1200ms);
    const std::string answer = callOnce(cut.port(), requestText({})).bytes;
    cr_expect(answer.starts_with("HTTP/1.1 200"), "%s", answer.c_str());
}

// Guards against a stream that looks whole because the instance that passed the call on gave it an
// end, while its engine had closed the connection before the first event.
Test(lostLinks, streamCutBeforeItsFirstEventIsNotWhole)
{
    const CutSite site(
            routeOf("cut"), [](const SeenRequest &request) { return answerTo("cut", request); },
            LinkLoss::Refused);
    const CallerView view = callOnce(site.cut->port(), requestText({}));
    cr_assert_gt(site.runs(), 0);
    cr_assert(!view.bytes.ends_with("\r\n0\r\n\r\n"), "%s", view.bytes.c_str());
}
