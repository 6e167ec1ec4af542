// Requests from a caller's first byte to its last, with targets that answer, refuse, break and lie.
#include "entryfixture.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <atomic>

using namespace jaytrack;
using namespace jaytrack::testing;

namespace {

// What a target does with a request.
enum Deed {
    Good,
    Refuses,
    Misdirected,
    Fails,
    Resets,
    CutsBody,
    Garbles,
    OtherId,
    Unframed,
    UnframedReset,
    StatusZero
};

Answer perform(Deed deed)
{
    const std::string own = "X-Attempt-Id: a1\r\nX-Server-Stamp: s\r\n";
    switch (deed) {
    case Good:
        return wholeAnswer(200, own, "good");
    case Refuses:
        return wholeAnswer(503, own + "X-Not-Executed: 1\r\n", "");
    case Misdirected:
        return wholeAnswer(421, "X-Instance: another\r\n", "");
    case Fails:
        return wholeAnswer(500, own, "bad");
    case Resets:
        return {{AnswerStep::Kind::Reset, "", {}}};
    case CutsBody:
        return {{AnswerStep::Kind::Send,
                 "HTTP/1.1 200 OK\r\n" + own + "Content-Length: 9\r\n\r\ngo",
                 {}},
                {AnswerStep::Kind::Close, "", std::chrono::milliseconds(10)}};
    case Garbles:
        return {{AnswerStep::Kind::Send, "what is this\r\n\r\n", {}}};
    case OtherId:
        return wholeAnswer(200, "X-Attempt-Id: other\r\nX-Server-Stamp: s\r\n", "not yours");
    case Unframed:
        return {{AnswerStep::Kind::Send, "HTTP/1.1 200 OK\r\n" + own + "\r\ngood", {}},
                {AnswerStep::Kind::Close, "", std::chrono::milliseconds(10)}};
    case UnframedReset:
        return {{AnswerStep::Kind::Send, "HTTP/1.1 200 OK\r\n" + own + "\r\ngo", {}},
                {AnswerStep::Kind::Reset, "", std::chrono::milliseconds(10)}};
    case StatusZero:
        return {{AnswerStep::Kind::Send, "HTTP/1.1 000 S\r\n" + own + "\r\ngood", {}},
                {AnswerStep::Kind::Close, "", std::chrono::milliseconds(10)}};
    }
    return {};
}

struct DeedCase
{
    char name[24];
    char type[8];
    int attempts;
    Deed first; // what the first target that is asked does; the other one is good
    int status;
    std::size_t sends;
};

} // namespace

// Symptom: a payment runs twice, or its caller is told "not run" though it may have run.
// Events: the target refuses, fails, breaks off or answers nonsense, for each kind of request.
// Cause: each case states what may be concluded from what the target did.
ParameterizedTestParameters(request, concludesFromWhatTheTargetDid)
{
    static DeedCase cases[] = {
            {"once good", "unsafe", 1, Good, 200, 1},
            {"once refused", "unsafe", 1, Refuses, 200, 2},
            {"once misdirected", "unsafe", 1, Misdirected, 200, 2},
            {"once refused, two", "unsafe", 2, Refuses, 200, 2},
            {"safe refused, one", "safe", 1, Refuses, 200, 2},
            {"once failed", "unsafe", 2, Fails, 500, 1},
            {"once reset", "unsafe", 2, Resets, 502, 1},
            {"once cut", "unsafe", 2, CutsBody, 502, 1},
            {"once garbled", "unsafe", 2, Garbles, 502, 1},
            {"once foreign", "unsafe", 2, OtherId, 502, 1},
            {"once unframed", "unsafe", 1, Unframed, 200, 1},
            {"once unframed reset", "unsafe", 2, UnframedReset, 502, 1},
            {"once status 000", "unsafe", 2, StatusZero, 502, 1},
            {"safe status 000", "safe", 2, StatusZero, 200, 2},
            {"stream status 000", "stream", 2, StatusZero, 502, 1},
            {"safe failed", "safe", 2, Fails, 200, 2},
            {"safe reset", "safe", 2, Resets, 200, 2},
            {"safe cut", "safe", 2, CutsBody, 200, 2},
            {"safe foreign", "safe", 2, OtherId, 200, 2},
            {"safe reset, one", "safe", 1, Resets, 502, 1},
            {"safe failed, one", "safe", 1, Fails, 500, 1},
    };
    return cr_make_param_array(DeedCase, cases, std::size(cases));
}

ParameterizedTest(DeedCase *param, request, concludesFromWhatTheTargetDid)
{
    std::atomic<int> asked{0};
    const auto script = [&asked, param](const SeenRequest &request) -> Answer {
        if (isReport(request))
            return wholeAnswer(200, "", "{}");
        return perform(asked++ == 0 ? param->first : Good);
    };
    ScriptedServer one(script);
    ScriptedServer two(script);
    RouteSpec route;
    route.type = param->type;
    route.attempts = param->attempts;
    EntryFixture entry({route});
    entry.list("t1", one);
    entry.list("t2", two);
    const CallerView view = callOnce(entry.port(), requestText({}));
    cr_assert(view.bytes.starts_with("HTTP/1.1 " + std::to_string(param->status)), "%s: %s",
              param->name, view.bytes.c_str());
    cr_assert_eq(workSeen(one) + workSeen(two), param->sends, "%s", param->name);
    if (param->status == 503)
        cr_assert(view.bytes.find("Retry-After: ") != std::string::npos, "%s", param->name);
}

namespace {

struct SeriesCase
{
    char name[40];
    char type[8];
    int attempts;
    Deed deeds[3]; // of the targets, in the order in which they are asked
    int status;
    std::size_t sends;
};

} // namespace

// Symptom: a request is refused though targets are free, or runs at more of them than its route
// allows. Events: a target vouches that it did not run the request; the next ones refuse, fail or
// answer. Cause: what counts against the route is where a request may have run; what was sent
// counts against the budget of repeats alone.
ParameterizedTestParameters(request, refusalsUseUpNoAttempt)
{
    static SeriesCase cases[] = {
            {"all refuse", "unsafe", 1, {Refuses, Refuses, Misdirected}, 503, 3},
            {"refused twice", "unsafe", 1, {Refuses, Misdirected, Good}, 200, 3},
            {"refused, then reset", "unsafe", 1, {Refuses, Resets, Good}, 502, 2},
            {"refused, then failed", "unsafe", 1, {Refuses, Fails, Good}, 500, 2},
            {"refused, then foreign", "unsafe", 2, {Misdirected, OtherId, Good}, 502, 2},
            {"safe refused, then reset", "safe", 1, {Refuses, Resets, Good}, 502, 2},
            {"safe reset, then refused", "safe", 2, {Resets, Refuses, Good}, 200, 3},
            {"safe reset, then failed", "safe", 2, {Resets, Fails, Good}, 500, 2}};
    return cr_make_param_array(SeriesCase, cases, std::size(cases));
}

ParameterizedTest(SeriesCase *param, request, refusalsUseUpNoAttempt)
{
    std::atomic<int> asked{0};
    const auto script = [&asked, param](const SeenRequest &request) -> Answer {
        if (isReport(request))
            return wholeAnswer(200, "", "{}");
        return perform(param->deeds[std::min(asked++, 2)]);
    };
    ScriptedServer one(script);
    ScriptedServer two(script);
    ScriptedServer three(script);
    RouteSpec route;
    route.type = param->type;
    route.attempts = param->attempts;
    EntryFixture entry({route});
    entry.list("t1", one);
    entry.list("t2", two);
    entry.list("t3", three);
    const CallerView view = callOnce(entry.port(), requestText({}));
    cr_assert(view.bytes.starts_with("HTTP/1.1 " + std::to_string(param->status)), "%s: %s",
              param->name, view.bytes.c_str());
    cr_assert_eq(workSeen(one) + workSeen(two) + workSeen(three), param->sends, "%s", param->name);
}

// Symptom: a caller that is refused comes back too late to be served in time.
// Events: every engine is full; the caller waits at the door, is refused, waits as it was told, and
// its first token may take another second. Cause: it waited for an eighth of its objective.
Test(request, fullEnginesAreToldEarly)
{
    ScriptedServer target([](const SeenRequest &request) {
        return isReport(request) ? wholeAnswer(200, "", R"({"KvInUse":29900,"KvSize":30000})")
                                 : perform(Good);
    });
    RouteSpec route;
    route.objectiveMs = 1800;
    EntryFixture entry({route});
    entry.list("t1", target);
    const auto began = std::chrono::steady_clock::now();
    const std::string bytes = callOnce(entry.port(), requestText({})).bytes;
    const auto took = std::chrono::steady_clock::now() - began;
    cr_assert(bytes.starts_with("HTTP/1.1 503"), "%s", bytes.c_str());
    cr_assert_eq(workSeen(target), 0);
    cr_assert(took < std::chrono::milliseconds(220), "told after %lld ms",
              static_cast<long long>(
                      std::chrono::duration_cast<std::chrono::milliseconds>(took).count()));
    const std::size_t at = bytes.find("Retry-After: ");
    cr_assert(at != std::string::npos);
    const double delay = std::stod(bytes.substr(at + 13));
    cr_assert(delay > 0 && delay <= 0.45, "%f s", delay);
}

// Symptom: an engine that restarted under its name is named to nobody any more, or a bad entry
// takes a good engine's requests with it. Events: the target drains and comes back under its name,
// told by its start; another writer leaves an entry beside it, and one over it, which the target
// writes anew.
Test(request, restartedTargetServesAgain)
{
    ScriptedServer target([](const SeenRequest &request) {
        return isReport(request) ? wholeAnswer(200, "", "{}") : perform(Good);
    });
    RouteSpec route;
    route.type = "unsafe";
    EntryFixture entry({route});
    const auto entryOf = [&target](std::int64_t born, const std::string &state) {
        nlohmann::json document = nlohmann::json::parse(targetJson(target.address(), state));
        document["born"] = born;
        return document.dump();
    };
    const auto statusSoon = [&entry](const std::string &wanted) {
        std::string last;
        for (int i = 0; i < 40 && !last.starts_with("HTTP/1.1 " + wanted); ++i) {
            last = callOnce(entry.port(), requestText({}), std::chrono::milliseconds(100)).bytes;
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
        return last.starts_with("HTTP/1.1 " + wanted);
    };
    cr_assert(entry.becomesReady());
    entry.store.put("servers/t1", entryOf(1000, "ready"));
    cr_assert(statusSoon("200"));
    entry.store.put("servers/t1", entryOf(1000, "draining"));
    cr_assert(statusSoon("503"), "a leaving target gets nothing");
    entry.store.put("servers/t1", entryOf(2000, "ready"));
    cr_assert(statusSoon("200"), "the new life gets work");
    entry.store.put("servers/forged", R"({"Service":"svc","Address":17})");
    entry.store.put("servers/t1", "torn");
    cr_assert(statusSoon("503"), "an unusable entry names no target");
    entry.store.put("servers/t1", entryOf(2000, "ready"));
    cr_assert(statusSoon("200"), "a good one names it again");
}

// The engine sees the caller's request, with the instance's own headers instead of the caller's.
Test(request, reachesTheTargetUnchanged)
{
    ScriptedServer target([](const SeenRequest &request) {
        return isReport(request) ? wholeAnswer(200, "", "{}") : perform(Good);
    });
    RouteSpec route;
    route.type = "unsafe";
    EntryFixture entry({route});
    entry.list("t1", target);
    RequestSpec spec;
    spec.path = "/jobs/x?q=1";
    spec.extraHeaders = "X-Tenant: forged\r\nConnection: X-Hop\r\nX-Hop: 1\r\n";
    const CallerView view = callOnce(entry.port(), requestText(spec));
    cr_assert(view.bytes.find("X-Server-Stamp: s") != std::string::npos);
    for (const SeenRequest &seen : target.seen()) {
        if (isReport(seen))
            continue;
        cr_assert_eq(seen.head.target, std::string("/jobs/x?q=1"));
        cr_assert_eq(seen.body, std::string("hello"));
        cr_assert_eq(seen.head.header("X-Tenant"), std::string_view("cust"));
        cr_assert_eq(seen.head.header("X-Expect-Instance"), std::string_view("t1"));
        cr_assert(seen.head.header("Authorization").empty());
        cr_assert(seen.head.header("X-Hop").empty());
        cr_assert(std::stoi(std::string(seen.head.header("X-Deadline-Ms"))) <= 3000);
    }
}

// Symptom: an engine works on for a caller who has left.
// Events: the caller closes its connection while the engine works.
Test(request, callersLeavingReachesTheEngine)
{
    ScriptedServer target([](const SeenRequest &request) -> Answer {
        if (isReport(request))
            return wholeAnswer(200, "", "{}");
        return {{AnswerStep::Kind::Hang, "", {}}};
    });
    EntryFixture entry({RouteSpec()});
    entry.list("t1", target);
    callOnce(entry.port(), requestText({}), std::chrono::milliseconds(150));
    for (int i = 0; i < 50 && target.closedByPeer() == 0; ++i)
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    cr_assert_eq(target.closedByPeer(), 1);
}

// Symptom: callers hang past the time that the operators allow.
Test(request, routeTimeoutIsKept)
{
    ScriptedServer target([](const SeenRequest &request) -> Answer {
        if (isReport(request))
            return wholeAnswer(200, "", "{}");
        return {{AnswerStep::Kind::Hang, "", {}}};
    });
    RouteSpec route;
    route.type = "unsafe";
    route.timeoutMs = 300;
    EntryFixture entry({route});
    entry.list("t1", target);
    const auto start = std::chrono::steady_clock::now();
    const CallerView view = callOnce(entry.port(), requestText({}));
    cr_assert(view.bytes.starts_with("HTTP/1.1 504"), "%s", view.bytes.c_str());
    cr_assert(std::chrono::steady_clock::now() - start < std::chrono::milliseconds(1500));
}

namespace {

struct RefusedCase
{
    char name[24];
    char text[220];
    int status;
};

} // namespace

ParameterizedTestParameters(request, unreadableOnesAreRefusedByNumber)
{
    static RefusedCase cases[] = {
            {"no route",
             "GET /none HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: a\r\nAuthorization: Token "
             "k1\r\n",
             404},
            {"other host",
             "GET /jobs/ HTTP/1.1\r\nHost: x\r\nX-Attempt-Id: a\r\nAuthorization: Token k1\r\n",
             404},
            {"no key", "GET /jobs/ HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: a\r\n", 401},
            {"unknown key",
             "GET /jobs/ HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: a\r\nAuthorization: Token "
             "zz\r\n",
             401},
            {"no id", "GET /jobs/ HTTP/1.1\r\nHost: site.example\r\nAuthorization: Token k1\r\n",
             400},
            {"no host", "GET /jobs/ HTTP/1.1\r\nX-Attempt-Id: a\r\nAuthorization: Token k1\r\n",
             400},
            {"two framings",
             "POST /jobs/ HTTP/1.1\r\nHost: site.example\r\nContent-Length: "
             "1\r\nTransfer-Encoding: chunked\r\n",
             400},
            {"large body",
             "POST /jobs/ HTTP/1.1\r\nHost: site.example\r\nContent-Length: 30000\r\n", 413},
            {"slow head", "GET /jobs/ HTTP/1.1\r\nHost: si", 408},
    };
    return cr_make_param_array(RefusedCase, cases, std::size(cases));
}

ParameterizedTest(RefusedCase *param, request, unreadableOnesAreRefusedByNumber)
{
    ScriptedServer target([](const SeenRequest &) { return perform(Good); });
    EntryFixture entry({RouteSpec()});
    entry.list("t1", target);
    std::string text = param->text;
    if (param->status != 408)
        text += "\r\n";
    if (param->status == 413)
        text += std::string(30000, 'x');
    const CallerView view = callOnce(entry.port(), text, std::chrono::milliseconds(1200));
    cr_assert(view.bytes.starts_with("HTTP/1.1 " + std::to_string(param->status)), "%s: %s",
              param->name, view.bytes.c_str());
}

// Guards against proper requests that are denied on connections which were opened before the limit
// of heads was raised, and against large heads that pass there after it was lowered.
Test(request, limitOfHeadsAppliesToOpenConnections)
{
    constexpr std::size_t between = 6000; // bytes; the limits are 4096 and 16384
    ScriptedServer target(goodAnswer);
    RouteSpec route;
    route.type = "safe";
    EntryFixture entry({route});
    entry.list("t1", target);
    asio::io_context context;
    RequestSpec spec;
    spec.keepOpen = true;
    const auto ask = [&](asio::ip::tcp::socket &socket) {
        asio::write(socket, asio::buffer(requestText(spec)));
        std::array<char, 4096> bytes{};
        std::string answer;
        while (!answer.ends_with("good") && !answer.ends_with("close\r\n\r\n"))
            answer.append(bytes.data(), socket.read_some(asio::buffer(bytes)));
        return answer;
    };
    const auto publish = [&](int version, int headBytes) {
        nlohmann::json configuration = configurationJson(version, {route});
        configuration["Limits"]["MaxHeaderBytes"] = headBytes;
        entry.publish(configuration);
        std::this_thread::sleep_for(std::chrono::milliseconds(1200));
    };
    asio::ip::tcp::socket opened(context);
    opened.connect({asio::ip::make_address("127.0.0.1"), entry.port()});
    cr_assert(ask(opened).starts_with("HTTP/1.1 200"));
    spec.extraHeaders = "X-Long: " + std::string(between, 'a') + "\r\n";
    publish(2, 16384);
    const std::string raised = ask(opened);
    cr_expect(raised.starts_with("HTTP/1.1 200"), "%s", raised.c_str());
    publish(3, 4096);
    const std::string lowered = ask(opened);
    cr_expect(lowered.starts_with("HTTP/1.1 431"), "%s", lowered.c_str());
}
