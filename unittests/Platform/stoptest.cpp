// Planned stops: whoever was taken in gets the whole answer before the process ends.
#include "entryfixture.h"
#include "slowcaller.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <atomic>
#include <future>

using namespace jaytrack;
using namespace jaytrack::testing;
using std::chrono::milliseconds;

namespace {

const std::string ownHeaders = "X-Attempt-Id: a1\r\nX-Server-Stamp: s\r\n";
const std::string streamEnd = "0\r\n\r\n";

// An instance that stops takes connections for 3 s more and may end soon afterwards.
constexpr milliseconds mayEnd{3400};

// Longer than the gap between two looks of the instance at what it still has to do.
constexpr milliseconds heldFor{250};

constexpr milliseconds callerPatience{12000};

bool isRun(const SeenRequest &request)
{
    return request.head.path().starts_with("/jobs/");
}

// Goes on with the rest of an answer once the test lets it.
AnswerStep whenLet(const std::atomic<bool> &let, Answer rest)
{
    AnswerStep look{AnswerStep::Kind::LookAgain, "", milliseconds(5)};
    look.again = [&let, rest = std::move(rest)]() -> Answer {
        return let ? rest : Answer{whenLet(let, rest)};
    };
    return look;
}

RouteSpec patientRoute(const std::string &type)
{
    RouteSpec route;
    route.type = type;
    route.timeoutMs = static_cast<int>(callerPatience.count());
    return route;
}

// A request that is answered soon if at all, so that a stopping instance still takes it.
RequestSpec briefRequest()
{
    RequestSpec request;
    request.deadlineMs = 2000;
    return request;
}

RequestSpec patientRequest()
{
    RequestSpec request;
    request.deadlineMs = static_cast<int>(callerPatience.count());
    return request;
}

void awaitRun(const ScriptedServer &engine)
{
    const auto runs = [&engine] {
        const auto seen = engine.seen();
        return std::any_of(seen.begin(), seen.end(), isRun);
    };
    const auto end = std::chrono::steady_clock::now() + callerPatience;
    while (!runs()) {
        cr_assert(std::chrono::steady_clock::now() < end, "the request never reached its target");
        std::this_thread::sleep_for(milliseconds(2));
    }
}

struct LastAnswerCase
{
    char name[24];
    char type[8];
    char last[24]; // the end of what the caller must get
};

} // namespace

// A caller's draft was cut in the middle although its engine had finished it: the engine's run
// ended well and 39 ms later the caller's connection was closed, 6 s after the instance had been
// told to stop, at no bound of the stop. The last event and the end of the stream arrived in one
// piece while the process was held up past its look at what is left to do. It then handed both to
// the caller's connection, where the second write waits for the first, saw that no request was in
// service, and ended with the second one unsent. An answer of a plain service is written in two
// parts as well and lost its body in the same way. The instance's last lines, 3 ms apart, settled
// it: "event=request_ended code=0 result=ok" and "event=instance_stopped in_service=0
// busy_connections=1 unsent_bytes=408".
ParameterizedTestParameters(stop, lastAnswerLeavesWhole)
{
    static LastAnswerCase cases[] = {{"end of a stream", "stream", "0\r\n\r\n"},
                                     {"plain answer", "safe", "\r\n\r\nthe answer"}};
    return cr_make_param_array(LastAnswerCase, cases, std::size(cases));
}

ParameterizedTest(LastAnswerCase *param, stop, lastAnswerLeavesWhole)
{
    std::atomic<bool> let{false};
    const bool stream = std::string_view(param->type) == "stream";
    ScriptedServer engine([&let, stream](const SeenRequest &request) -> Answer {
        if (!isRun(request))
            return wholeAnswer(200, "", "{}");
        if (!stream)
            return {whenLet(let, wholeAnswer(200, ownHeaders, "the answer"))};
        AnswerStep last = chunkStep(eventText(2, "second"));
        last.bytes += streamEnd;
        return {{AnswerStep::Kind::Send, streamHead(ownHeaders), {}},
                chunkStep(eventText(1, "first")),
                whenLet(let, {last})};
    });
    HeldClock clock;
    EntryFixture entry({patientRoute(param->type)}, {&clock, true});
    entry.list("e1", engine);
    auto caller = std::async(std::launch::async, [&entry] {
        return callOnce(entry.port(), requestText(patientRequest()), callerPatience);
    });
    awaitRun(engine);
    entry.orderStop();
    std::this_thread::sleep_for(mayEnd);
    clock.hold();
    let = true;
    std::this_thread::sleep_for(heldFor);
    clock.release();
    entry.awaitEnd();
    const std::string seen = caller.get().bytes;
    cr_assert(seen.ends_with(param->last), "%s: %s", param->name, seen.c_str());
}

// A caller behind a slow link lost the end of its answer when the instance stopped. The target had
// answered, so the request was no longer in service, and the process ended with what the caller
// had not taken yet: 62 to 95 kilobytes.
Test(stop, slowCallerGetsTheRest)
{
    // More than the system takes, and less than makes the instance pause its target.
    const std::size_t total = unreadBytesTaken() + (64U << 10U);
    const std::string data(4096, 'x');
    ScriptedServer engine([&data, total](const SeenRequest &request) -> Answer {
        if (!isRun(request))
            return wholeAnswer(200, "", "{}");
        Answer answer = {{AnswerStep::Kind::Send, streamHead(ownHeaders), {}}};
        for (std::size_t id = 1; id <= total / data.size(); ++id)
            answer.push_back(chunkStep(eventText(static_cast<int>(id), data)));
        answer.push_back({AnswerStep::Kind::Send, streamEnd, {}});
        return answer;
    });
    EntryFixture entry({patientRoute("stream")}, {nullptr, true});
    entry.list("e1", engine);
    asio::io_context context;
    asio::ip::tcp::socket socket = connectNarrow(context, entry.port());
    asio::write(socket, asio::buffer(requestText(patientRequest())));
    awaitRun(engine);
    entry.orderStop();
    std::this_thread::sleep_for(mayEnd);
    auto ended = std::async(std::launch::async, [&entry] { entry.awaitEnd(); });
    const std::string seen = readToEnd(socket);
    ended.get();
    cr_assert(seen.ends_with(streamEnd), "%zu bytes", seen.size());
}

// A caller whose request was half read when the last other one was answered got no answer at all:
// a request counts as in service only once it was read whole, so the process ended under it.
Test(stop, requestThatIsBeingReadIsAnswered)
{
    ScriptedServer target([](const SeenRequest &request) {
        return isRun(request) ? wholeAnswer(200, ownHeaders, "the answer")
                              : wholeAnswer(200, "", "{}");
    });
    EntryFixture entry({patientRoute("safe")}, {nullptr, true});
    entry.list("e1", target);
    entry.orderStop();
    std::this_thread::sleep_for(milliseconds(2500));
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect({asio::ip::make_address("127.0.0.1"), entry.port()});
    const std::string request = requestText(briefRequest());
    const std::size_t half = request.size() - 2;
    asio::write(socket, asio::buffer(request.data(), half));
    std::this_thread::sleep_for(milliseconds(1200));
    asio::error_code failure;
    asio::write(socket, asio::buffer(request.substr(half)), failure);
    auto ended = std::async(std::launch::async, [&entry] { entry.awaitEnd(); });
    const std::string seen = readToEnd(socket);
    ended.get();
    cr_assert(seen.ends_with("the answer"), "%s", seen.c_str());
}

// A caller lost the whole of its request when the instance was told to stop a second time, as
// happens where one round of restarts follows another within the grace: the second order ended the
// process at once.
Test(stop, furtherOrdersToStopCutNothing)
{
    ScriptedServer target([](const SeenRequest &request) -> Answer {
        if (!isRun(request))
            return wholeAnswer(200, "", "{}");
        Answer answer = wholeAnswer(200, ownHeaders, "the answer");
        answer.front().after = milliseconds(1000);
        return answer;
    });
    EntryFixture entry({patientRoute("unsafe")}, {nullptr, true});
    entry.list("e1", target);
    auto caller = std::async(std::launch::async, [&entry] {
        return callOnce(entry.port(), requestText(patientRequest()), callerPatience);
    });
    awaitRun(target);
    entry.orderStop();
    std::this_thread::sleep_for(milliseconds(300));
    entry.orderStop();
    entry.awaitEnd();
    const std::string seen = caller.get().bytes;
    cr_assert(seen.ends_with("the answer"), "%s", seen.c_str());
}

namespace {

struct ForcedEndCase
{
    char name[24];
    char type[8];
    bool whole;      // whether the caller sends all of its request
    char answer[16]; // how what it gets begins
};

// The grace of the case, and when its last part begins, in which the process ends by itself.
constexpr std::chrono::seconds shortGrace{5};
constexpr milliseconds leastGrace{4600};

} // namespace

// Callers whose targets were still at work as the grace ran out saw their connections end without
// a word, though nobody had told them that their requests may have run. The process ended with
// them open. Nor may any caller hold the process beyond its grace, after which it is killed.
ParameterizedTestParameters(stop, forcedEndAnswersWhoStillWaits)
{
    static ForcedEndCase cases[] = {{"plain request", "unsafe", true, "HTTP/1.1 502"},
                                    {"stream not begun", "stream", true, "HTTP/1.1 502"},
                                    {"half a request", "unsafe", false, ""}};
    return cr_make_param_array(ForcedEndCase, cases, std::size(cases));
}

ParameterizedTest(ForcedEndCase *param, stop, forcedEndAnswersWhoStillWaits)
{
    ScriptedServer target([](const SeenRequest &request) -> Answer {
        if (isRun(request))
            return {{AnswerStep::Kind::Hang, "", {}}};
        return wholeAnswer(200, "", "{}");
    });
    EntryFixture entry({patientRoute(param->type)}, {nullptr, true, shortGrace});
    entry.list("e1", target);
    const std::string request = requestText(patientRequest());
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect({asio::ip::make_address("127.0.0.1"), entry.port()});
    asio::write(socket, asio::buffer(request.data(), request.size() - (param->whole ? 0 : 2)));
    if (param->whole)
        awaitRun(target);
    const auto ordered = std::chrono::steady_clock::now();
    entry.orderStop();
    auto ended = std::async(std::launch::async, [&entry] {
        entry.awaitEnd();
        return std::chrono::steady_clock::now();
    });
    const std::string seen = readToEnd(socket);
    const auto took = ended.get() - ordered;
    const auto millis = std::chrono::duration_cast<milliseconds>(took).count();
    cr_expect(took > leastGrace && took < shortGrace, "%s: %lld ms", param->name,
              static_cast<long long>(millis));
    cr_expect(seen.starts_with(param->answer) && seen.empty() == !param->whole, "%s: %s",
              param->name, seen.c_str());
}

// Callers' connections were reset without an answer as an instance that stops ended its listening.
// The process was held up around that moment; eight callers connected and sent their requests
// meanwhile, and closing the listener resets what waits in its queue.
Test(stop, callersThatWaitToBeTakenAreAnswered)
{
    constexpr int callers = 8;
    ScriptedServer target([](const SeenRequest &request) {
        return isRun(request) ? wholeAnswer(200, ownHeaders, "the answer")
                              : wholeAnswer(200, "", "{}");
    });
    HeldClock clock;
    EntryFixture entry({patientRoute("safe")}, {&clock, true});
    entry.list("e1", target);
    entry.orderStop();
    std::this_thread::sleep_for(milliseconds(2800));
    clock.hold();
    asio::io_context context;
    std::vector<asio::ip::tcp::socket> sockets;
    for (int i = 0; i < callers; ++i) {
        asio::ip::tcp::socket &socket = sockets.emplace_back(context);
        socket.connect({asio::ip::make_address("127.0.0.1"), entry.port()});
        asio::write(socket, asio::buffer(requestText(briefRequest())));
    }
    std::this_thread::sleep_for(milliseconds(400));
    clock.release();
    auto ended = std::async(std::launch::async, [&entry] { entry.awaitEnd(); });
    for (asio::ip::tcp::socket &socket : sockets) {
        const std::string seen = readToEnd(socket);
        cr_expect(seen.ends_with("the answer"), "%s", seen.c_str());
    }
    ended.get();
}

namespace {

struct LateCase
{
    char name[32];
    char type[8];
    int deadlineMs;
    char answer[16];
    std::size_t runs;
};

// Time after the order to stop at which the last bytes of a request arrive, in a grace of five
// seconds.
constexpr milliseconds lateInGrace{3900};

} // namespace

// Guards against requests that are passed on so late in the grace that its end cuts them.
ParameterizedTestParameters(stop, lateRequestIsServedInTimeOrNotAtAll)
{
    static LateCase cases[] = {{"plain, may last", "unsafe", 10000, "HTTP/1.1 503", 0},
                               {"repeatable, may last", "safe", 10000, "HTTP/1.1 503", 0},
                               {"stream, short", "stream", 300, "HTTP/1.1 503", 0},
                               {"stream, may last", "stream", 10000, "HTTP/1.1 503", 0},
                               {"plain, short", "unsafe", 400, "HTTP/1.1 200", 1}};
    return cr_make_param_array(LateCase, cases, std::size(cases));
}

ParameterizedTest(LateCase *param, stop, lateRequestIsServedInTimeOrNotAtAll)
{
    ScriptedServer target([](const SeenRequest &request) -> Answer {
        if (!isRun(request))
            return wholeAnswer(200, "", "{}");
        Answer answer = wholeAnswer(200, ownHeaders, "the answer");
        answer.front().after = milliseconds(50);
        return answer;
    });
    EntryFixture entry({patientRoute(param->type)}, {nullptr, true, shortGrace});
    entry.list("e1", target);
    RequestSpec spec;
    spec.deadlineMs = param->deadlineMs;
    const std::string request = requestText(spec);
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect({asio::ip::make_address("127.0.0.1"), entry.port()});
    asio::write(socket, asio::buffer(request.data(), request.size() - 2));
    entry.orderStop();
    std::this_thread::sleep_for(lateInGrace);
    asio::write(socket, asio::buffer(request.data() + request.size() - 2, 2));
    const std::string seen = readToEnd(socket);
    entry.awaitEnd();
    cr_expect(seen.starts_with(param->answer), "%s: %s", param->name, seen.c_str());
    cr_expect_eq(workSeen(target), param->runs, "%s", param->name);
    if (param->runs == 0)
        cr_expect(seen.find("not-run") != std::string::npos, "%s: %s", param->name, seen.c_str());
}
