// Streams that break: what the caller sees must never look like a whole answer, nor like none at
// all.
#include "entryfixture.h"
#include "slowcaller.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace jaytrack;
using namespace jaytrack::testing;

namespace {

std::size_t occurrences(const std::string &text, const std::string &part)
{
    std::size_t count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++count;
    return count;
}

struct BreakCase
{
    char name[32];
    AnswerStep::Kind end;
    int deadlineMs;
    bool resumable;
};

} // namespace

// Symptom: a caller reads a second status line in the middle of a stream's body.
// Events: an engine sends one event of a stream that may be resumed and is lost, no other engine is
// listed; or it falls silent and the caller's time ends.
// Cause: the final answer "no target" or "timeout" was written as if none had begun.
ParameterizedTestParameters(brokenStream, oneStatusLineOnly)
{
    static BreakCase cases[] = {{"reset", AnswerStep::Kind::Reset, 2000, true},
                                {"closed", AnswerStep::Kind::Close, 2000, true},
                                {"silent", AnswerStep::Kind::Hang, 400, true},
                                {"reset once", AnswerStep::Kind::Reset, 2000, false},
                                {"silent once", AnswerStep::Kind::Hang, 400, false}};
    return cr_make_param_array(BreakCase, cases, std::size(cases));
}

ParameterizedTest(BreakCase *param, brokenStream, oneStatusLineOnly)
{
    ScriptedServer engine([param](const SeenRequest &request) -> Answer {
        if (request.head.method == "GET")
            return wholeAnswer(200, "", "{}");
        return {{AnswerStep::Kind::Send,
                 streamHead("X-Attempt-Id: a1\r\nX-Server-Stamp: s\r\n"),
                 {}},
                chunkStep(eventText(1, "first")),
                {param->end, "", std::chrono::milliseconds(20)}};
    });
    RouteSpec route;
    route.resumable = param->resumable;
    route.attempts = 2;
    EntryFixture entry({route});
    entry.list("e1", engine);
    RequestSpec request;
    request.deadlineMs = param->deadlineMs;
    const CallerView view = callOnce(entry.port(), requestText(request));
    cr_assert(view.bytes.find("data: first") != std::string::npos, "%s", view.bytes.c_str());
    cr_assert_eq(occurrences(view.bytes, "HTTP/1.1"), 1, "%s: %s", param->name, view.bytes.c_str());
    cr_assert_eq(occurrences(view.bytes, "0\r\n\r\n"), 0, "%s: %s", param->name,
                 view.bytes.c_str());
}

// A caller behind a slow link lost events that its engine had made before it was lost: 64 kilobytes
// waited for the caller, and the connection was closed at once when the stream could not go on.
Test(brokenStream, eventsBeforeTheBreakAreDelivered)
{
    const std::string data(4096, 'x');
    const std::size_t events = (unreadBytesTaken() + (64U << 10U)) / data.size();
    ScriptedServer engine([&data, events](const SeenRequest &request) -> Answer {
        if (request.head.method == "GET")
            return wholeAnswer(200, "", "{}");
        Answer answer = {{AnswerStep::Kind::Send,
                          streamHead("X-Attempt-Id: a1\r\nX-Server-Stamp: s\r\n"),
                          {}}};
        for (std::size_t id = 1; id <= events; ++id)
            answer.push_back(chunkStep(eventText(static_cast<int>(id), data)));
        answer.push_back({AnswerStep::Kind::Reset, "", std::chrono::milliseconds(100)});
        return answer;
    });
    EntryFixture entry({RouteSpec()});
    entry.list("e1", engine);
    asio::io_context context;
    asio::ip::tcp::socket socket = connectNarrow(context, entry.port());
    asio::write(socket, asio::buffer(requestText({})));
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    const std::string seen = readToEnd(socket);
    cr_assert_eq(occurrences(seen, "data: "), events, "%zu bytes", seen.size());
    cr_assert_eq(occurrences(seen, "\r\n0\r\n"), 0);
}
