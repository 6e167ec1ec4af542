// How the program jaytrackd ends.
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

// The second signal counts only once the first was seen.
void signalTwice(const DaemonProcess &program)
{
    program.signal(SIGTERM);
    cr_assert(eventually([&program] { return program.logged("event=drain_began"); }));
    program.signal(SIGTERM);
}

} // namespace

// A caller whose stream was cut by a second signal was not told so: the event that says it, and
// what the engine had made before, were handed to the caller's connection, and the program returned
// in the same breath, with them still in it.
Test(program, tellsCallersWhatASecondSignalCuts)
{
    const Site site(planWithoutInstances());
    DaemonProcess program(site.configUrl());
    awaitReady(program);
    asio::io_context context;
    asio::ip::tcp::socket socket = jaytrack::testing::connectNarrow(context, program.callersPort());
    const std::string body = Site::prompt(20'000, true); // more than the sockets take
    asio::write(socket, asio::buffer("POST /v1/chat/completions HTTP/1.1\r\nHost: jaytrack\r\n"
                                     "Authorization: Bearer " +
                                     weaverKey + "\r\nContent-Length: " +
                                     std::to_string(body.size()) + "\r\n\r\n" + body));
    std::this_thread::sleep_for(milliseconds(2500)); // until the stream waits for its caller
    signalTwice(program);
    std::this_thread::sleep_for(milliseconds(200)); // a program that waits for nothing has ended
    const std::string seen = jaytrack::testing::readToEnd(socket);
    cr_assert(seen.find("event: error") != std::string::npos, "%zu bytes", seen.size());
    cr_assert(seen.ends_with("\r\n0\r\n\r\n"), "%zu bytes", seen.size());
    cr_assert(program.endsWithin(std::chrono::seconds(5)));
    cr_assert_eq(program.exitCode(), 0);
    cr_assert(program.logged("unsent_answers=0"), "%s", program.log().c_str());
}

// A second signal must end the program soon, whatever still runs: here a target that takes long.
Test(program, endsSoonAfterASecondSignal)
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
    std::this_thread::sleep_for(milliseconds(500)); // until the target has it
    signalTwice(program);
    cr_assert(program.endsWithin(std::chrono::seconds(5)));
    cr_assert_eq(program.exitCode(), 0);
    cr_assert(program.logged("event=request_cut"), "%s", program.log().c_str());
    cr_assert(program.logged("unsent_answers=1"), "%s", program.log().c_str());
}

// Callers got no answer at all, not even that their requests did not run, from a program that was
// held up and found on waking that it was to stop: their requests had arrived, nobody had looked at
// them yet, and the program saw nothing in service and ended.
Test(program, answersWhatArrivedWhileItWasHeldUp)
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
    std::this_thread::sleep_for(milliseconds(100)); // so that its next look is due on waking
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
