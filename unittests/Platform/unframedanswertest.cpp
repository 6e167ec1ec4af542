// Answers without a length or chunks, which end with their connection.
#include "cutanswers.h"
#include "cutsite.h"

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

namespace {

// Answers each request before it has read the body, and resets the connection in the middle of the
// answer.
class ImpatientTarget
{
public:
    ImpatientTarget()
        : acceptor(this->context, {asio::ip::make_address("127.0.0.1"), 0})
        , thread([this] { this->serve(); })
    {
    }

    ~ImpatientTarget()
    {
        this->stopped = true;
        asio::io_context own;
        asio::ip::tcp::socket waker(own);
        waker.connect(this->acceptor.local_endpoint());
        waker.close();
        this->thread.join();
    }
    ImpatientTarget(const ImpatientTarget &) = delete;
    ImpatientTarget &operator=(const ImpatientTarget &) = delete;

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port());
    }

private:
    void serve()
    {
        while (!this->stopped)
            this->answer(this->acceptor.accept());
    }

    void answer(asio::ip::tcp::socket socket)
    {
        asio::error_code failure;
        std::string request;
        asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", failure);
        if (request.starts_with("GET /jaytrack/report")) {
            asio::write(socket, asio::buffer(wholeAnswer(200, "", "{}").front().bytes), failure);
            return;
        }
        asio::write(socket, asio::buffer(unframedPart), failure);
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        socket.set_option(asio::socket_base::linger(true, 0), failure);
    }

    asio::io_context context;
    asio::ip::tcp::acceptor acceptor;
    std::atomic<bool> stopped{false};
    std::thread thread;
};

nlohmann::json configurationForUploads(const RouteSpec &route)
{
    nlohmann::json configuration = configurationJson(2, {route});
    configuration["Limits"]["MaxBodyBytes"] = 2 * longUploadBytes;
    return configuration;
}

// Uploads until the instance has found a target, and returns the answer.
std::string uploadTo(const EntryFixture &entry)
{
    RequestSpec spec;
    spec.body = std::string(longUploadBytes, 'u');
    std::string answer;
    for (int i = 0; i < 40; ++i) {
        answer = callOnce(entry.port(), requestText(spec)).bytes;
        const bool isRefused =
                answer.starts_with("HTTP/1.1 503") || answer.starts_with("HTTP/1.1 413");
        if (!isRefused)
            break;
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    return answer;
}

RouteSpec uploadRoute(const std::string &type)
{
    RouteSpec route;
    route.type = type;
    return route;
}

} // namespace

// Guards against a caller that gets the part of an answer as the whole one, because its target
// reset the connection while the request was being sent.
Test(unframedAnswer, cutDuringTheUploadIsNotWhole)
{
    for (const char *type : {"unsafe", "safe", "stream"}) {
        const ImpatientTarget target;
        EntryFixture entry({uploadRoute(type)});
        entry.publish(configurationForUploads(uploadRoute(type)));
        entry.store.put("servers/t1", targetJson(target.address()));
        const std::string answer = uploadTo(entry);
        cr_expect(answer.starts_with("HTTP/1.1 502"), "%s: %s", type, answer.c_str());
    }
}

// The same where another instance calls the target.
Test(unframedAnswer, cutDuringTheUploadIsNotWholeThroughARelay)
{
    const ImpatientTarget target;
    const UnreachablePort dead(LinkLoss::Refused);
    const std::string first = freeDatagramAddress();
    const std::string second = freeDatagramAddress();
    const RouteSpec route = uploadRoute("unsafe");
    EntryFixture cut({route}, memberWith("cut", first, second, {{"t1", dead.address()}}));
    EntryFixture sound({route}, memberWith("sound", second, first, {{"t1", target.address()}}));
    cr_assert(cut.becomesReady() && sound.becomesReady());
    cut.publish(configurationForUploads(route));
    sound.publish(configurationForUploads(route));
    std::this_thread::sleep_for(acquaintance);
    const std::string answer = uploadTo(cut);
    cr_expect(answer.starts_with("HTTP/1.1 502"), "%s", answer.c_str());
}
