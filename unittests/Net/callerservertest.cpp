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
constexpr milliseconds arrival{30};

class Answering final : public CallerHandler
{
public:
    void onRequest(std::shared_ptr<CallerConnection> connection, CallerRequest) override
    {
        connection->respond(200, {}, this->body);
    }
    void onUnreadable(int status, std::string_view) override { this->unreadable = status; }
    ConnectionLimits connectionLimits() const override { return this->limits; }
    bool stopping() const override { return false; }
    bool reserveMemory(std::size_t) override { return true; }
    void releaseMemory(std::size_t) override {}

    std::string body = "the answer";
    ConnectionLimits limits;
    int unreadable = 0;
};

// A server with one connection, and the caller's end of it.
struct Line
{
    Line()
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
        std::this_thread::sleep_for(arrival);
    }

    // Runs the event loop and reads block by block with a pause in between, until the connection
    // ends or the time has passed.
    std::string readFor(milliseconds time, milliseconds pause = milliseconds(0))
    {
        const auto end = std::chrono::steady_clock::now() + time;
        std::string seen;
        std::array<char, 65536> buffer{};
        asio::error_code failure;
        this->socket.non_blocking(true);
        while (failure != asio::error::eof && std::chrono::steady_clock::now() < end) {
            this->loop.run_for(milliseconds(2));
            const std::size_t bytes = this->socket.read_some(asio::buffer(buffer), failure);
            seen.append(buffer.data(), bytes);
            std::this_thread::sleep_for(pause);
        }
        return seen;
    }

    SystemClock clock;
    Answering handler;
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
    Line line;
    line.write(request);
    line.server.closeIdle();
    const std::string seen = line.readFor(milliseconds(200));
    cr_assert(seen.ends_with("the answer"), "%s", seen.c_str());
}

Test(callerServer, idleConnectionIsClosed)
{
    Line line;
    line.server.closeIdle();
    cr_assert_eq(line.server.backlog().connections, 0);
}

// A caller on a slow link lost half of a large response on a kept-alive connection. The idle
// time-out was counted from the moment at which the response was queued, so it expired while the
// response was still being sent.
Test(callerServer, answerThatIsLeavingIsNotIdle)
{
    Line line;
    line.handler.limits.idleTimeout = milliseconds(200);
    line.handler.body.assign(24U << 20U, 'x');
    line.write(request);
    const std::string seen = line.readFor(milliseconds(5000), milliseconds(1));
    cr_assert(seen.size() > line.handler.body.size(), "%zu bytes", seen.size());
}

// A request was rejected as too slow (408) although it had just begun. The process stalled, and the
// idle time-out expired in the same iteration of the event loop that read the first part of the
// request.
Test(callerServer, timeThatNoLongerCountsEndsNothing)
{
    Line line;
    line.handler.limits.idleTimeout = milliseconds(100);
    line.write(request);
    const std::string first = line.readFor(milliseconds(50));
    cr_assert(first.ends_with("the answer"), "%s", first.c_str());
    std::this_thread::sleep_for(milliseconds(150));
    line.write(request.substr(0, 10));
    line.readFor(milliseconds(50));
    line.write(request.substr(10));
    const std::string second = line.readFor(milliseconds(200));
    cr_assert_eq(line.handler.unreadable, 0);
    cr_assert(second.ends_with("the answer"), "%s", second.c_str());
}
