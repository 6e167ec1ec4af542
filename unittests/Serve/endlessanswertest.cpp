// Targets that send bytes without end to the daemon's HTTP client.
#include "jaytrack/Http/client.h"

#include <asio.hpp>
#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <future>
#include <optional>
#include <thread>

using namespace jaytrack;

namespace {

constexpr std::size_t pieceBytes = 16U << 10U;
constexpr std::size_t maxBodyBytes = 1U << 20U;

// Far more than any bound, including what the system buffers.
constexpr std::size_t manyBytes = 32U << 20U;

struct EndlessCase
{
    char name[24];
    char start[96];
    char repeated[40];
    bool whole;  // whether the call ends with a complete answer
    int pauseMs; // between the start and the rest
};

} // namespace

// Guards against a call that lasts as long as the bytes of its target.
ParameterizedTestParameters(httpClient, endsEndlessAnswers)
{
    static EndlessCase cases[] = {
            {"header", "HTTP/1.1 200 OK\r\nA: ", "aaaaaaaa", false, 0},
            {"headers", "HTTP/1.1 200 OK\r\n", "A: b\r\n", false, 0},
            {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n", false, 0},
            {"trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n",
             false, 0},
            {"body", "HTTP/1.1 200 OK\r\n\r\n", "aaaaaaaa", false, 0},
            {"after an answer", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "aaaaaaaa", true,
             0},
            {"long after an answer", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "aaaaaaaa",
             true, 100},
    };
    return cr_make_param_array(EndlessCase, cases, std::size(cases));
}

ParameterizedTest(EndlessCase *param, httpClient, endsEndlessAnswers)
{
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
    std::size_t sent = 0;
    std::thread server([&] {
        asio::error_code failure;
        asio::ip::tcp::socket socket = acceptor.accept(failure);
        std::string piece;
        while (piece.size() < pieceBytes)
            piece += param->repeated;
        sent = asio::write(socket, asio::buffer(std::string(param->start)), failure);
        std::this_thread::sleep_for(std::chrono::milliseconds(param->pauseMs));
        while (!failure && sent < manyBytes)
            sent += asio::write(socket, asio::buffer(piece), failure);
    });
    std::optional<HttpClient> client(1);
    HttpCall call;
    call.url = "http://127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()) + "/";
    std::promise<FetchedAnswer> promise;
    fetchLater(*client, std::move(call), maxBodyBytes,
               [&](FetchedAnswer answer) { promise.set_value(std::move(answer)); });
    const FetchedAnswer answer = promise.get_future().get();
    // The client does not read idle connections, so the server's writes block until the client
    // closes its own.
    if (answer.end.whole)
        client.reset();
    server.join();
    cr_expect_eq(answer.end.whole, param->whole, "%s", param->name);
    cr_expect(answer.end.maySentBytes, "%s: reported as not sent", param->name);
    cr_expect_lt(sent, manyBytes, "%s: all was read", param->name);
    cr_expect_leq(answer.body.size(), maxBodyBytes, "%s", param->name);
}
