// Answers without a length or chunks, which end with their connection.
#include "entryfixture.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <atomic>

using namespace jaytrack;
using namespace jaytrack::testing;

namespace {

struct UnframedCase
{
    char name[40];
    char version[8];
    char body[96]; // of the first engine's answer
    AnswerStep::Kind end;
    bool resumable;
    bool whole;        // whether the caller gets a whole answer
    char expected[64]; // text that the caller gets; "-" for none in particular
};

std::string unframedHead(const std::string &version, const std::string &headers)
{
    return "HTTP/" + version + " 200 OK\r\nX-Attempt-Id: a1\r\nX-Server-Stamp: s\r\n" + headers +
           "\r\n";
}

bool endsWhole(const std::string &bytes)
{
    return bytes.ends_with("\r\n0\r\n\r\n");
}

RouteSpec streamRoute(bool resumable)
{
    RouteSpec route;
    route.resumable = resumable;
    route.attempts = 2;
    return route;
}

} // namespace

// Guards against a broken stream that looks whole, or a whole one that looks broken, where only the
// end of the connection marks the end.
ParameterizedTestParameters(unframedAnswer, streamEndsWithItsConnection)
{
    using Kind = AnswerStep::Kind;
    static UnframedCase cases[] = {
            {"whole", "1.1", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", Kind::Close, false, true,
             "data: b"},
            {"whole, older version", "1.0", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", Kind::Close,
             false, true, "data: b"},
            {"inside an event", "1.1", "id: 1\ndata: a\n\nid: 2\nda", Kind::Close, false, false,
             "data: a"},
            {"inside a character", "1.1", "id: 1\ndata: a\n\nid: 2\ndata: \xc3", Kind::Close, false,
             false, "data: a"},
            {"before the blank line", "1.1", "id: 1\ndata: a\n\nid: 2\ndata: b\n", Kind::Close,
             false, false, "data: a"},
            {"before any event", "1.1", "", Kind::Close, false, false, "-"},
            {"by a reset", "1.1", "id: 1\ndata: a\n\n", Kind::Reset, false, false, "data: a"},
            {"inside an event, goes on", "1.1", "id: 1\ndata: a\n\nid: 2\nda", Kind::Close, true,
             true, "data: rest"},
            {"before any event, begins anew", "1.1", "", Kind::Close, true, true, "data: rest"},
            {"by a reset, goes on", "1.1", "id: 1\ndata: a\n\n", Kind::Reset, true, true,
             "data: rest"},
    };
    return cr_make_param_array(UnframedCase, cases, std::size(cases));
}

ParameterizedTest(UnframedCase *param, unframedAnswer, streamEndsWithItsConnection)
{
    std::atomic<int> runs{0};
    const auto script = [param, &runs](const SeenRequest &request) -> Answer {
        if (isReport(request))
            return wholeAnswer(200, "", "{}");
        const bool first = runs++ == 0;
        const std::string head =
                unframedHead(param->version, "Content-Type: text/event-stream\r\n");
        if (!first) {
            const int next = request.head.header("Last-Event-Id").empty() ? 1 : 2;
            return {{AnswerStep::Kind::Send, head + eventText(next, "rest"), {}},
                    {AnswerStep::Kind::Close, "", {}}};
        }
        return {{AnswerStep::Kind::Send, head + param->body, {}},
                {param->end, "", std::chrono::milliseconds(50)}};
    };
    ScriptedServer engine(script);
    ScriptedServer second(script);
    EntryFixture entry({streamRoute(param->resumable)});
    entry.list("e1", engine);
    entry.list("e2", second);
    const CallerView view = callOnce(entry.port(), requestText({}));
    cr_assert_eq(endsWhole(view.bytes), param->whole, "%s: %s", param->name, view.bytes.c_str());
    const std::string expected = param->expected;
    if (expected != "-")
        cr_assert(view.bytes.find(expected) != std::string::npos, "%s: %s", param->name,
                  view.bytes.c_str());
    if (!param->whole)
        cr_assert(view.bytes.find("data: b") == std::string::npos, "%s", param->name);
}

// The same for single answers, of which only a reset shows that they are not whole.
ParameterizedTestParameters(unframedAnswer, singleAnswerEndsWithItsConnection)
{
    using Kind = AnswerStep::Kind;
    static UnframedCase cases[] = {
            {"whole", "1.1", "body", Kind::Close, false, true, "body"},
            {"whole, older version", "1.0", "body", Kind::Close, false, true, "body"},
            {"by a reset", "1.1", "bo", Kind::Reset, false, false, "HTTP/1.1 502"},
            {"by a reset, may be repeated", "1.1", "bo", Kind::Reset, true, true, "body"},
    };
    return cr_make_param_array(UnframedCase, cases, std::size(cases));
}

ParameterizedTest(UnframedCase *param, unframedAnswer, singleAnswerEndsWithItsConnection)
{
    std::atomic<int> runs{0};
    const auto script = [param, &runs](const SeenRequest &request) -> Answer {
        if (isReport(request))
            return wholeAnswer(200, "", "{}");
        const std::string head = unframedHead(param->version, "");
        if (runs++ > 0)
            return {{AnswerStep::Kind::Send, head + "body", {}}, {AnswerStep::Kind::Close, "", {}}};
        return {{AnswerStep::Kind::Send, head + param->body, {}},
                {param->end, "", std::chrono::milliseconds(50)}};
    };
    ScriptedServer target(script);
    ScriptedServer second(script);
    RouteSpec route;
    route.type = param->resumable ? "safe" : "unsafe";
    route.attempts = 2;
    EntryFixture entry({route});
    entry.list("e1", target);
    entry.list("e2", second);
    const CallerView view = callOnce(entry.port(), requestText({}));
    cr_assert_eq(view.bytes.starts_with("HTTP/1.1 200"), param->whole, "%s: %s", param->name,
                 view.bytes.c_str());
    cr_assert(view.bytes.find(param->expected) != std::string::npos, "%s: %s", param->name,
              view.bytes.c_str());
}
