// Targets that send bytes without end instead of an answer, or after it.
#include "jaytrack/Net/targetcall.h"

#include <asio/read_until.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>
#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <thread>

using namespace jaytrack;

namespace {

constexpr std::size_t pieceBytes = 16U << 10U;

// Far more than any bound on what is not a body.
constexpr std::size_t manyBytes = 8U << 20U;

struct EndlessCase
{
    char name[32];
    char method[8];
    char start[128];
    char repeated[96];
    bool whole; // whether the call ends with a complete answer
};

class Recorder final : public TargetCallListener
{
public:
    void onAnswerHead(MessageHead) override { ++this->heads; }
    void onAnswerBody(std::string_view) override {}
    void onCallEnd(const TargetCallEnd &ended) override { this->end = ended; }

    int heads = 0;
    std::optional<TargetCallEnd> end;
};

// Accepts one connection and sends the start and then the repeated text until the connection is
// closed or manyBytes are sent. Returns the bytes sent.
std::size_t serveEndlessly(asio::ip::tcp::acceptor &acceptor, const EndlessCase &scripted)
{
    asio::error_code failure;
    asio::ip::tcp::socket socket = acceptor.accept(failure);
    asio::streambuf request;
    asio::read_until(socket, request, "\r\n\r\n", failure);
    std::size_t sent = asio::write(socket, asio::buffer(std::string(scripted.start)), failure);
    std::string piece;
    while (piece.size() < pieceBytes)
        piece += scripted.repeated;
    while (!failure && sent < manyBytes)
        sent += asio::write(socket, asio::buffer(piece), failure);
    return sent;
}

} // namespace

// Guards against a call that never ends, or memory without a bound, because a target sends bytes
// without end outside a body.
ParameterizedTestParameters(endlessAnswer, endsTheCall)
{
    static EndlessCase cases[] = {
            {"status line", "GET", "HTTP/1.1 200 ", "aaaaaaaa", false},
            {"no protocol", "GET", "", "aaaaaaaa", false},
            {"blank lines first", "GET", "", "\r\n", false},
            {"header name", "GET", "HTTP/1.1 200 OK\r\nA", "aaaaaaaa", false},
            {"header value", "GET", "HTTP/1.1 200 OK\r\nA: ", "aaaaaaaa", false},
            {"blanks in a header", "GET", "HTTP/1.1 200 OK\r\nA:", "        ", false},
            {"headers", "GET", "HTTP/1.1 200 OK\r\n", "A: b\r\n", false},
            {"short headers", "GET", "HTTP/1.1 200 OK\r\n", "A:\r\n", false},
            {"interim answers", "GET", "", "HTTP/1.1 100 Continue\r\n\r\n", false},
            {"interim answers, early hints", "GET", "",
             "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", false},
            {"chunk size", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
             "00000000", false},
            {"chunk extension", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;",
             "aaaaaaaa", false},
            {"trailer", "GET",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: ", "aaaaaaaa", false},
            {"trailers", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
             "A: b\r\n", false},
            {"after an answer", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "aaaaaaaa",
             true},
            {"after chunks", "GET",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "aaaaaaaa", true},
            {"after no content", "GET", "HTTP/1.1 204 No Content\r\n\r\n", "aaaaaaaa", true},
            {"after a head alone", "HEAD", "HTTP/1.1 200 OK\r\n\r\n", "aaaaaaaa", true},
    };
    return cr_make_param_array(EndlessCase, cases, std::size(cases));
}

ParameterizedTest(EndlessCase *param, endlessAnswer, endsTheCall)
{
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
    std::size_t sent = 0;
    std::thread server([&] { sent = serveEndlessly(acceptor, *param); });
    const auto recorder = std::make_shared<Recorder>();
    TargetRequest request;
    request.endpoint = acceptor.local_endpoint();
    request.method = param->method;
    request.target = "/";
    TargetCall::start(context, request, recorder);
    context.run_for(std::chrono::seconds(5));
    server.join();
    cr_assert(recorder->end.has_value(), "%s: no end", param->name);
    cr_expect_eq(recorder->end->whole, param->whole, "%s", param->name);
    cr_expect(recorder->end->bytesSent, "%s: reported as not sent", param->name);
    cr_expect_lt(sent, manyBytes, "%s: all was read", param->name);
}
