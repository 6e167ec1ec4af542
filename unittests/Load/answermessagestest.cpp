// What anything that answers in place of jaytrack or a stand-in may send to the load generator.
#include "jaytrack/Load/answermessages.h"
#include "jaytrack/Load/runner.h"

#include <asio.hpp>
#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <array>
#include <atomic>
#include <thread>

using namespace jaytrack;

namespace {

constexpr std::size_t nestingDepth = 300'000; // more than the stack holds, one call a level

const std::string nestedMark = "@";

// Replaces the mark by a value that is nested deeply.
std::string expand(const char *body)
{
    std::string text = body;
    const std::size_t at = text.find(nestedMark);
    if (at == std::string::npos)
        return text;
    return text.replace(at, nestedMark.size(),
                        std::string(nestingDepth, '[') + std::string(nestingDepth, ']'));
}

struct BodyCase
{
    std::array<char, 80> body;
    bool valid;
};

// Answers each connection on loopback with the same bytes.
class FixedServer
{
public:
    explicit FixedServer(std::string response)
        : bytes(std::move(response))
        , acceptor(this->context, {asio::ip::make_address("127.0.0.1"), 0})
        , port(this->acceptor.local_endpoint().port())
        , thread([this] { this->serve(); })
    {
    }

    ~FixedServer()
    {
        this->ended = true;
        this->wake();
        this->thread.join();
    }

    FixedServer(const FixedServer &) = delete;
    FixedServer &operator=(const FixedServer &) = delete;

    std::string url() const { return "http://127.0.0.1:" + std::to_string(this->port); }

private:
    void wake()
    {
        asio::ip::tcp::socket last(this->context);
        asio::error_code ignored;
        last.connect({asio::ip::make_address("127.0.0.1"), this->port}, ignored);
    }

    void serve()
    {
        while (!this->ended) {
            asio::ip::tcp::socket socket(this->context);
            asio::error_code ec;
            this->acceptor.accept(socket, ec);
            std::string request;
            asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", ec);
            if (!ec)
                asio::write(socket, asio::buffer(this->bytes), ec);
            // Closing with unread bytes would reset the connection before the answer is read.
            socket.shutdown(asio::socket_base::shutdown_send, ec);
            std::array<char, 4096> rest;
            while (!ec)
                socket.read_some(asio::buffer(rest), ec);
        }
    }

    std::string bytes;
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor;
    std::uint16_t port;
    std::atomic<bool> ended{false};
    std::thread thread;
};

std::string responseWith(const std::string &headers, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nConnection: close\r\nJaytrack-Outcome: complete\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

LoadPlan planFor(const FixedServer &server, bool isStream)
{
    LoadPlan plan;
    plan.duration = std::chrono::milliseconds(300);
    plan.answerTimeout = std::chrono::seconds(2);
    plan.maxRequests = 4;
    plan.entries = {server.url()};
    plan.keys = {"key"};
    plan.countUrls = {server.url()};
    plan.generations.emplace_back().perSecond = 100;
    plan.generations.back().stream = isStream;
    ServiceLoad &service = plan.services.emplace_back();
    service.service = "account";
    service.method = "POST";
    service.perSecond = 100;
    return plan;
}

} // namespace

ParameterizedTestParameters(loadAnswers, contents)
{
    static std::array<BodyCase, 16> cases = {{
            {{R"({"choices":[{"delta":{"content":"a"}}]})"}, true},
            {{R"({"choices":[{"delta":{"content":null}}]})"}, true},
            {{R"({"choices":[{"delta":{}}]})"}, true},
            {{R"({"choices":[{"delta":{"content":"a"},"x":@}]})"}, true},
            {{R"({"choices":[{"delta":{"content":@}}]})"}, false},
            {{R"({"choices":[{"delta":{"content":5}}]})"}, false},
            {{R"({"choices":[{"delta":5}]})"}, false},
            {{R"({"choices":[{}]})"}, false},
            {{R"({"choices":[]})"}, false},
            {{R"({"choices":{"a":1}})"}, false},
            {{"{}"}, false},
            {{"5"}, false},
            {{""}, false},
            {{"\xff"}, false},
            {{R"({"choices":1e999})"}, false},
            {{R"({"choices":"\ud800"})"}, false},
    }};
    return cr_make_param_array(BodyCase, cases.data(), cases.size());
}

// Guards against an event or answer of another form that ends the load generator.
ParameterizedTest(BodyCase *param, loadAnswers, contents)
{
    const std::string body = expand(param->body.data());
    cr_expect_eq(decodeContent(body, "delta").has_value(), param->valid, "%s", param->body.data());
}

ParameterizedTestParameters(loadAnswers, counts)
{
    static std::array<BodyCase, 13> cases = {{
            {{R"({"runs":{"a":1},"by_user":{"b":2},"preempted":3})"}, true},
            {{"{}"}, true},
            {{R"({"x":@})"}, true},
            {{R"({"runs":{"a":"x"}})"}, false},
            {{R"({"runs":{"a":-1}})"}, false},
            {{R"({"runs":{"a":1e300}})"}, false},
            {{R"({"runs":[1]})"}, false},
            {{R"({"runs":5})"}, false},
            {{R"({"by_user":{"a":@}})"}, false},
            {{R"({"preempted":"x"})"}, false},
            {{R"({"preempted":0.5})"}, false},
            {{"[]"}, false},
            {{"\xff"}, false},
    }};
    return cr_make_param_array(BodyCase, cases.data(), cases.size());
}

// Guards against counts of another form that end the load generator with its report.
ParameterizedTest(BodyCase *param, loadAnswers, counts)
{
    const std::string body = expand(param->body.data());
    cr_expect_eq(decodeCounts(body).has_value(), param->valid, "%s", param->body.data());
}

// Guards against an error event or a service's answer of another form that ends the load generator.
Test(loadAnswers, errorsAndOrders)
{
    for (const char *body : {"", "5", "{}", R"({"error":5})", R"({"error":{"code":"x"}})",
                             R"({"error":{"code":1e300,"outcome":7}})", R"({"error":@})", "\xff"}) {
        const StreamError error = decodeStreamError(expand(body));
        cr_expect_eq(error.outcome, std::string("unknown"), "%s", body);
        cr_expect_eq(error.code, 0, "%s", body);
    }
    cr_expect_eq(decodeStreamError(R"({"error":{"code":301,"outcome":"not-run"}})").code, 301);
    for (const char *body : {"", "5", "{}", R"({"order":5})", R"({"order":@})", "\xff"})
        cr_expect_not(decodeOrder(expand(body)).has_value(), "%s", body);
    cr_expect(decodeOrder(R"({"order":"s1"})") == "s1");
}

ParameterizedTestParameters(loadAnswers, runsToItsReport)
{
    static std::array<BodyCase, 8> cases = {{
            {{"5"}, true},
            {{"{}"}, false},
            {{R"({"order":5,"preempted":"x"})"}, true},
            {{R"({"choices":[],"runs":5})"}, false},
            {{R"({"choices":[{"delta":{"content":5},"message":5}]})"}, true},
            {{R"({"choices":[{"message":{"content":@}}],"runs":{"a":@}})"}, false},
            {{"\xff"}, true},
            {{""}, false},
    }};
    return cr_make_param_array(BodyCase, cases.data(), cases.size());
}

// Guards against a run that ends without a report because of one answer.
ParameterizedTest(BodyCase *param, loadAnswers, runsToItsReport)
{
    const std::string body = expand(param->body.data());
    for (const char *event : {"", "event: error\n"}) {
        const std::string text = param->valid ? event + ("data: " + body) + "\n\n" : body;
        const FixedServer server(responseWith("Content-Type: text/event-stream\r\n", text));
        const LoadReport report = runLoad(planFor(server, param->valid));
        cr_expect_eq(report.complete + report.notRun + report.unknown, report.requests, "%s",
                     param->body.data());
        cr_expect_not(report.good(), "%s", param->body.data());
    }
}

// Guards against a caller that follows redirects without end.
Test(loadAnswers, redirectsAreBounded)
{
    const FixedServer server("HTTP/1.1 307 X\r\nConnection: close\r\nLocation: /account/\r\n"
                             "Content-Length: 0\r\n\r\n");
    LoadPlan plan = planFor(server, true);
    plan.generations.clear();
    plan.countUrls.clear();
    const LoadReport report = runLoad(plan);
    cr_expect_eq(report.unknown, report.requests);
    cr_expect_lt(report.seconds, 2.0);
}
