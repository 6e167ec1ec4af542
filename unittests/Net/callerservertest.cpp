// Tests caller connections of a server whose process stalls. The test runs the event loop itself,
// so that input that arrives and timers that expire during the stall are handled in the same
// iteration.
#include "jaytrack/Net/callerconnection.h"
#include "jaytrack/Support/clock.h"

#include <asio/write.hpp>
#include <criterion/criterion.h>

#include <array>
#include <thread>

using namespace jaytrack;
using std::chrono::milliseconds;

namespace {

const std::string request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

// Time that suffices for bytes to arrive over loopback.
constexpr milliseconds arrivalDelay{30};

class FixedResponseHandler final : public CallerHandler
{
public:
    void onRequest(std::shared_ptr<CallerConnection> connection, CallerRequest) override
    {
        ++this->requests;
        connection->respond(200, {}, this->body);
    }
    bool mayRead(std::size_t) override { return this->reads; }
    void onRejectedRequest(int status, std::string_view) override { this->rejectedStatus = status; }
    ConnectionLimits connectionLimits() const override { return this->limits; }
    bool stopping() const override { return false; }
    bool reserveMemory(std::size_t) override { return true; }
    void releaseMemory(std::size_t) override {}

    std::string body = "the answer";
    bool reads = true;
    int requests = 0;
    ConnectionLimits limits;
    int rejectedStatus = 0;
};

// A server with one connection, and the caller's end of it.
struct ServerFixture
{
    ServerFixture()
    {
        cr_assert(this->server.listen({asio::ip::make_address("127.0.0.1"), 0}).has_value());
        this->socket.connect({asio::ip::make_address("127.0.0.1"), this->server.port()});
        while (this->server.backlog().connections == 0)
            this->loop.run_one();
        this->loop.poll();
    }

    void write(std::string_view bytes)
    {
        asio::write(this->socket, asio::buffer(bytes));
        std::this_thread::sleep_for(arrivalDelay);
    }

    // Runs the event loop and reads block by block with a pause in between, until the connection
    // ends or the time has passed.
    std::string readFor(milliseconds time, milliseconds pause = milliseconds(0))
    {
        const auto end = std::chrono::steady_clock::now() + time;
        std::string received;
        std::array<char, 65536> buffer{};
        asio::error_code failure;
        this->socket.non_blocking(true);
        while (failure != asio::error::eof && std::chrono::steady_clock::now() < end) {
            this->loop.run_for(milliseconds(2));
            const std::size_t bytes = this->socket.read_some(asio::buffer(buffer), failure);
            received.append(buffer.data(), bytes);
            std::this_thread::sleep_for(pause);
        }
        return received;
    }

    SystemClock clock;
    FixedResponseHandler handler;
    asio::io_context loop;
    CallerServer server{loop, clock, handler};
    asio::io_context callerLoop;
    asio::ip::tcp::socket socket{callerLoop};
};

} // namespace

// A caller that sent its next request on a kept-alive connection got no response. The process
// stalled before it checked for idle connections and closed this one although the request was
// waiting unread.
Test(callerServer, connectionWithAnArrivedRequestIsNotIdle)
{
    ServerFixture fixture;
    fixture.write(request);
    fixture.server.closeIdle();
    const std::string received = fixture.readFor(milliseconds(200));
    cr_assert(received.ends_with("the answer"), "%s", received.c_str());
}

// Guards against a request that is read where it cannot be served: its caller would not try another
// instance. Connections that are open go on being served.
Test(callerServer, connectionThatMayNotBeReadIsClosedUnread)
{
    ServerFixture fixture;
    fixture.handler.reads = false;
    asio::ip::tcp::socket second(fixture.callerLoop);
    second.connect({asio::ip::make_address("127.0.0.1"), fixture.server.port()});
    asio::write(second, asio::buffer(request));
    std::this_thread::sleep_for(arrivalDelay);
    fixture.loop.run_for(arrivalDelay);
    std::array<char, 64> buffer{};
    asio::error_code failure;
    cr_assert_eq(second.read_some(asio::buffer(buffer), failure), 0);
    cr_assert(failure == asio::error::connection_reset, "%s", failure.message().c_str());
    cr_assert_eq(fixture.handler.requests, 0);
    fixture.write(request);
    const std::string received = fixture.readFor(milliseconds(200));
    cr_assert(received.ends_with("the answer"), "%s", received.c_str());
}

Test(callerServer, idleConnectionIsClosed)
{
    ServerFixture fixture;
    fixture.server.closeIdle();
    cr_assert_eq(fixture.server.backlog().connections, 0);
}

// A caller on a slow link lost half of a large response on a kept-alive connection. The idle
// time-out was counted from the moment at which the response was queued, so it expired while the
// response was still being sent.
Test(callerServer, connectionSendingResponseIsNotIdle)
{
    ServerFixture fixture;
    fixture.handler.limits.idleTimeout = milliseconds(200);
    fixture.handler.body.assign(24U << 20U, 'x');
    fixture.write(request);
    const std::string received = fixture.readFor(milliseconds(5000), milliseconds(1));
    cr_assert(received.size() > fixture.handler.body.size(), "%zu bytes", received.size());
}

// A request was rejected as too slow (408) although it had just begun. The process stalled, and the
// idle time-out expired in the same iteration of the event loop that read the first part of the
// request.
Test(callerServer, expiredIdleTimerDoesNotRejectNewRequest)
{
    ServerFixture fixture;
    fixture.handler.limits.idleTimeout = milliseconds(100);
    fixture.write(request);
    const std::string first = fixture.readFor(milliseconds(50));
    cr_assert(first.ends_with("the answer"), "%s", first.c_str());
    std::this_thread::sleep_for(milliseconds(150));
    fixture.write(request.substr(0, 10));
    fixture.readFor(milliseconds(50));
    fixture.write(request.substr(10));
    const std::string second = fixture.readFor(milliseconds(200));
    cr_assert_eq(fixture.handler.rejectedStatus, 0);
    cr_assert(second.ends_with("the answer"), "%s", second.c_str());
}
