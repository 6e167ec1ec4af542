// Targets whose answers do not end.
#include "entryfixture.h"
#include "jaytrack/Routing/enginechoice.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <atomic>
#include <fstream>

using namespace jaytrack;
using namespace jaytrack::testing;

namespace {

constexpr std::size_t pieceBytes = 64U << 10U;

// An engine is avoided after so many failures; one alone may be chance.
const std::size_t failuresToAvoid = EngineChoiceOptions().failuresToAvoid;

// Enough that an engine that goes on being used is drawn again and again.
constexpr int laterRequests = 12;

struct EndlessCase
{
    char name[32];
    char type[8];
    char start[96];
    char repeated[40];
};

// The start and then the repeated text until the connection is closed.
Answer endlessAnswer(const std::string &start, const std::string &repeated)
{
    std::string piece;
    while (piece.size() < pieceBytes)
        piece += repeated;
    AnswerStep again{AnswerStep::Kind::LookAgain, "", {}, {}};
    again.again = [repeated] { return endlessAnswer("", repeated); };
    return {{AnswerStep::Kind::Send, start + piece, {}}, again};
}

Answer goodAnswerOf(const std::string &type)
{
    if (type != "stream")
        return wholeAnswer(200, "X-Attempt-Id: a1\r\nX-Server-Stamp: s\r\n", "good");
    return {{AnswerStep::Kind::Send, streamHead("X-Attempt-Id: a1\r\nX-Server-Stamp: s\r\n"), {}},
            chunkStep(eventText(1, "good")),
            {AnswerStep::Kind::Send, "0\r\n\r\n", {}}};
}

} // namespace

// Guards against a call that lasts as long as the bytes of its target, a request that runs twice or
// is reported as not run although it may have run, and a target that goes on being used.
ParameterizedTestParameters(endlessTarget, failsItsRequest)
{
    static EndlessCase cases[] = {
            {"head", "unsafe", "HTTP/1.1 200 OK\r\nA: ", "aaaaaaaa"},
            {"interim answers", "unsafe", "", "HTTP/1.1 100 Continue\r\n\r\n"},
            {"body", "unsafe", "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Server-Stamp: s\r\n\r\n",
             "aaaaaaaa"},
            {"body, may be repeated", "safe",
             "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Server-Stamp: s\r\n\r\n", "aaaaaaaa"},
            {"head of a stream", "stream", "HTTP/1.1 200 OK\r\nA: ", "aaaaaaaa"},
            {"event", "stream", "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Server-Stamp: s\r\n\r\n",
             "aaaaaaaa"},
            {"comments", "stream",
             "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Server-Stamp: s\r\n\r\n", ": comment\n\n"},
            {"error of an engine", "stream",
             "HTTP/1.1 500 Error\r\nX-Attempt-Id: a1\r\nX-Server-Stamp: s\r\n\r\n", "aaaaaaaa"},
            {"refusal of an engine", "stream",
             "HTTP/1.1 503 Busy\r\nX-Attempt-Id: a1\r\nX-Not-Executed: 1\r\n\r\n", "aaaaaaaa"},
    };
    return cr_make_param_array(EndlessCase, cases, std::size(cases));
}

ParameterizedTest(EndlessCase *param, endlessTarget, failsItsRequest)
{
    const std::string type = param->type;
    std::atomic<int> runs{0};
    std::atomic<int> endless{-1}; // the target that is asked first
    const auto scriptOf = [&](int target) {
        return [&, target](const SeenRequest &request) -> Answer {
            if (isReport(request))
                return wholeAnswer(200, "", "{}");
            if (runs++ == 0)
                endless = target;
            return endless == target ? endlessAnswer(param->start, param->repeated)
                                     : goodAnswerOf(type);
        };
    };
    ScriptedServer first(scriptOf(0));
    ScriptedServer second(scriptOf(1));
    RouteSpec route;
    route.type = param->type;
    route.attempts = 2;
    EntryFixture entry({route});
    entry.list("e1", first);
    entry.list("e2", second);
    const std::string answer = callOnce(entry.port(), requestText({})).bytes.substr(0, 400);
    if (type == "safe") {
        cr_assert(answer.starts_with("HTTP/1.1 200"), "%s: %s", param->name, answer.c_str());
        return;
    }
    cr_expect(answer.starts_with("HTTP/1.1 502"), "%s: %s", param->name, answer.c_str());
    cr_expect(answer.find("Jaytrack-Outcome: unknown") != std::string::npos, "%s: %s", param->name,
              answer.c_str());
    cr_expect_eq(runs.load(), 1, "%s: it ran twice", param->name);
    if (type != "stream")
        return;
    for (int i = 0; i < laterRequests; ++i)
        callOnce(entry.port(), requestText({}));
    cr_expect_leq(workSeen(endless == 0 ? first : second), failuresToAvoid,
                  "%s: the engine is used", param->name);
}

struct LongCase
{
    char name[16];
    char type[8];
};

// Guards against bounds that end long answers of sound targets.
ParameterizedTestParameters(endlessTarget, longAnswersPass)
{
    static LongCase cases[] = {{"body", "unsafe"}, {"stream", "stream"}};
    return cr_make_param_array(LongCase, cases, std::size(cases));
}

ParameterizedTest(LongCase *param, endlessTarget, longAnswersPass)
{
    static constexpr int events = 6000;
    const std::string text(1000, 'a');
    const bool stream = std::string(param->type) == "stream";
    const auto script = [&](const SeenRequest &request) -> Answer {
        if (isReport(request))
            return wholeAnswer(200, "", "{}");
        std::string body;
        for (int i = 1; i <= events; ++i)
            body += eventText(i, text);
        const std::string own = "X-Attempt-Id: a1\r\nX-Server-Stamp: s\r\n";
        if (!stream)
            return wholeAnswer(200, own, body);
        return {{AnswerStep::Kind::Send, streamHead(own), {}},
                chunkStep(body),
                {AnswerStep::Kind::Send, "0\r\n\r\n", {}}};
    };
    ScriptedServer target(script);
    RouteSpec route;
    route.type = param->type;
    EntryFixture entry({route});
    entry.list("e1", target);
    const std::string answer = callOnce(entry.port(), requestText({})).bytes;
    cr_expect(answer.starts_with("HTTP/1.1 200"), "%s", param->name);
    cr_expect_gt(answer.size(), events * text.size(), "%s", param->name);
}

namespace {

// The address sanitizer keeps memory that was freed, so that what the process uses tells nothing of
// what the instance holds. Builds without it check that.
#if defined(__SANITIZE_ADDRESS__)
constexpr bool keepsFreedMemory = true;
#else
constexpr bool keepsFreedMemory = false;
#endif

// Kilobytes of memory that the process uses, or has used at most, as the system counts them.
std::size_t memoryKilobytes(const std::string &field)
{
    std::ifstream status("/proc/self/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(field + ":"))
            return std::stoul(line.substr(field.size() + 1));
    }
    return 0;
}

} // namespace

// Guards against an instance that runs out of memory because a target sends bytes without end in
// all its answers.
ParameterizedTestParameters(endlessTarget, answersTogetherFitIntoMemory)
{
    static EndlessCase cases[] = {
            {"body", "unsafe", "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Server-Stamp: s\r\n\r\n",
             "aaaaaaaa"},
            {"page", "unsafe", "HTTP/1.1 200 OK\r\n\r\n", "aaaaaaaa"},
            {"event", "stream", "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Server-Stamp: s\r\n\r\n",
             "aaaaaaaa"},
            {"head", "unsafe", "HTTP/1.1 200 OK\r\nA: ", "aaaaaaaa"},
    };
    return cr_make_param_array(EndlessCase, cases, std::size(cases));
}

ParameterizedTest(EndlessCase *param, endlessTarget, answersTogetherFitIntoMemory)
{
    constexpr int callers = 60;
    constexpr std::size_t maxGrowthKilobytes = 64U << 10U;
    ScriptedServer target([param](const SeenRequest &request) {
        return isReport(request) ? wholeAnswer(200, "", "{}")
                                 : endlessAnswer(param->start, param->repeated);
    });
    RouteSpec route;
    route.type = param->type;
    EntryFixture entry({route});
    entry.list("e1", target);
    const std::size_t before = memoryKilobytes("VmRSS");
    std::vector<std::thread> threads;
    for (int i = 0; i < callers; ++i)
        threads.emplace_back([&entry] { callOnce(entry.port(), requestText({})); });
    for (std::thread &thread : threads)
        thread.join();
    const std::size_t growth = memoryKilobytes("VmHWM") - before;
    cr_expect(keepsFreedMemory || growth < maxGrowthKilobytes, "%s: %zu KB more", param->name,
              growth);
}
