// Tests the shutdown of the program jaytrackd.
#include "daemonprocess.h"
#include "site.h"
#include "slowcaller.h"

#include <criterion/criterion.h>

#include <csignal>

using namespace jaytrack;
using namespace jaytrack::test;
using std::chrono::milliseconds;

namespace {

SitePlan planWithoutInstances()
{
    SitePlan plan;
    plan.instances = 0;
    plan.stepMs = 0.05;
    return plan;
}

void awaitReady(const DaemonProcess &program)
{
    cr_assert(eventually([&program] { return program.logged("event=instance_ready"); }));
}

// Sends the second signal only after the daemon has handled the first.
void signalTwice(const DaemonProcess &program)
{
    program.signal(SIGTERM);
    cr_assert(eventually([&program] { return program.logged("event=drain_began"); }));
    program.signal(SIGTERM);
}

} // namespace

// Guards against losing the error event of a stream that a second signal cuts. The event and the
// tokens before it are queued on the caller's connection; a program that exits immediately loses
// them.
Test(program, sendsErrorEventAfterSecondSignal)
{
    const Site site(planWithoutInstances());
    DaemonProcess program(site.configUrl());
    awaitReady(program);
    asio::io_context context;
    asio::ip::tcp::socket socket = jaytrack::testing::connectNarrow(context, program.callersPort());
    const std::string body = Site::prompt(20'000, true); // more than the socket buffers hold
    asio::write(socket, asio::buffer("POST /v1/chat/completions HTTP/1.1\r\nHost: jaytrack\r\n"
                                     "Authorization: Bearer " +
                                     weaverKey + "\r\nContent-Length: " +
                                     std::to_string(body.size()) + "\r\n\r\n" + body));
    std::this_thread::sleep_for(milliseconds(2500)); // until the stream is blocked by its caller
    signalTwice(program);
    std::this_thread::sleep_for(milliseconds(200)); // an exit without waiting would be complete
    const std::string seen = jaytrack::testing::readToEnd(socket);
    cr_assert(seen.find("event: error") != std::string::npos, "%zu bytes", seen.size());
    cr_assert(seen.ends_with("\r\n0\r\n\r\n"), "%zu bytes", seen.size());
    cr_assert(program.endsWithin(std::chrono::seconds(5)));
    cr_assert_eq(program.exitCode(), 0);
    cr_assert(program.logged("unsent_answers=0"), "%s", program.log().c_str());
}

// A second signal must end the program soon even while a slow target still works on a request.
Test(program, endsSoonAfterSecondSignal)
{
    SitePlan plan = planWithoutInstances();
    plan.service.takes = std::chrono::seconds(30);
    plan.serviceTimeout = std::chrono::seconds(60);
    const Site site(plan);
    DaemonProcess program(site.configUrl());
    awaitReady(program);
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect({asio::ip::make_address("127.0.0.1"), program.callersPort()});
    asio::write(socket, asio::buffer("GET /account/readings HTTP/1.1\r\nHost: jaytrack\r\n"
                                     "Authorization: Bearer " +
                                     weaverKey + "\r\n\r\n"));
    std::this_thread::sleep_for(milliseconds(500)); // until the target has the request
    signalTwice(program);
    cr_assert(program.endsWithin(std::chrono::seconds(5)));
    cr_assert_eq(program.exitCode(), 0);
    cr_assert(program.logged("event=request_cut"), "%s", program.log().c_str());
    cr_assert(program.logged("unsent_answers=1"), "%s", program.log().c_str());
}

// Guards against closing connections without a response when a suspended program resumes with a
// pending stop signal. Requests that arrived meanwhile have not been read yet, so the program sees
// no request in service and could exit before it answers them.
Test(program, answersRequestsReceivedWhileSuspended)
{
    constexpr std::size_t callers = 400;
    const Site site(planWithoutInstances());
    DaemonProcess program(site.configUrl());
    awaitReady(program);
    program.signal(SIGSTOP);
    asio::io_context context;
    std::vector<asio::ip::tcp::socket> sockets;
    for (std::size_t i = 0; i < callers; ++i) {
        sockets.emplace_back(context);
        sockets.back().connect({asio::ip::make_address("127.0.0.1"), program.callersPort()});
        asio::write(sockets.back(), asio::buffer("GET /v1/models HTTP/1.1\r\nHost: jaytrack\r\n"
                                                 "Authorization: Bearer " +
                                                 weaverKey + "\r\n\r\n"));
    }
    std::this_thread::sleep_for(milliseconds(100)); // so that its next check is due when it resumes
    program.signal(SIGTERM);
    program.signal(SIGCONT);
    std::size_t answered = 0;
    for (asio::ip::tcp::socket &socket : sockets) {
        if (jaytrack::testing::readToEnd(socket).find("Jaytrack-Outcome: ") != std::string::npos)
            ++answered;
    }
    cr_assert_eq(answered, callers, "%zu of %zu", answered, callers);
    cr_assert(program.endsWithin(std::chrono::seconds(5)));
}
