// What callers still get of an instance that is told to stop.
#include "site.h"
#include "slowcaller.h"

#include "jaytrack/Http/server.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <future>

using namespace jaytrack;
using namespace jaytrack::test;
using std::chrono::milliseconds;

namespace {

// Bytes that wait in the instance because the system takes no more of an answer.
constexpr std::size_t waitingBytes = 256U << 10U;

// Less than an event of a stream has, so that a stream of so many events is long enough.
constexpr std::size_t leastEventBytes = 256;

// Longer than it takes an instance to end that waits for nothing.
constexpr milliseconds endsWithin{800};

// A target whose answers are as large as a test wants them.
class LargeAnswers final : public HttpHandler
{
public:
    explicit LargeAnswers(std::size_t size)
        : bytes(size)
    {
    }

    void handle(HttpRequest, std::shared_ptr<ResponseWriter> writer) override
    {
        writer->respond(200, {}, std::string(this->bytes, 'x') + "the end");
    }

private:
    std::size_t bytes;
};

std::string rawRequest(const std::string &method, const std::string &path, const std::string &body)
{
    return method + " " + path + " HTTP/1.1\r\nHost: jaytrack\r\nAuthorization: Bearer " +
           weaverKey + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

int inService(Site &site)
{
    HttpCall call;
    call.url = "http://" + Site::addressOf(site.instances[0]->operatorPort()) + "/status";
    return nlohmann::json::parse(fetch(site.client, call).body)["in_service"].get<int>();
}

// Ends an instance as its program does: looks whether all is done, then lets it go.
void awaitEnd(std::unique_ptr<Instance> &instance)
{
    while (!instance->drained())
        std::this_thread::sleep_for(milliseconds(50));
    instance.reset();
}

// Lets the instance end, and reads only once one that waits for nothing has ended.
std::string readWhileEnding(Site &site, asio::ip::tcp::socket &socket)
{
    auto ended = std::async(std::launch::async, [&site] { awaitEnd(site.instances[0]); });
    std::this_thread::sleep_for(endsWithin);
    std::string seen = jaytrack::testing::readToEnd(socket);
    ended.get();
    return seen;
}

void useTarget(Site &site, std::uint16_t port)
{
    Document document = site.document();
    document.services[0].targets = {{"large", "falun", Site::addressOf(port), false}};
    site.publish(document);
    const auto reached = [&site] {
        return site.request("GET", "/account/readings").body.ends_with("the end");
    };
    cr_assert(eventually(reached));
}

struct LastAnswerCase
{
    char name[24];
    bool stream;
    char last[32]; // the end of what the caller must get
};

struct WaitCase
{
    char name[24];
    int graceMs;
    bool leaves;
    bool owedAtTheEnd;
};

} // namespace

// A caller behind a slow link lost the end of its answer when the instance stopped. The answer had
// been handed to the caller's connection, so its request was no longer in service and the instance
// said that all was done, while the system had not taken the answer whole; the program then ended
// with the rest still in it.
ParameterizedTestParameters(stop, slowCallerGetsTheRest)
{
    static LastAnswerCase cases[] = {{"whole answer", false, "the end"},
                                     {"stream", true, "data: [DONE]\n\n\r\n0\r\n\r\n"}};
    return cr_make_param_array(LastAnswerCase, cases, std::size(cases));
}

ParameterizedTest(LastAnswerCase *param, stop, slowCallerGetsTheRest)
{
    const std::size_t taken = jaytrack::testing::unreadBytesTaken();
    SitePlan plan;
    plan.stepMs = 0.05;
    plan.streamBufferBytes = 64U << 20U; // the engine is not held back
    Site site(plan);
    LargeAnswers target(taken + waitingBytes);
    const auto server = std::move(startHttpServer({}, target).value());
    useTarget(site, server->port());
    const auto events = static_cast<std::uint32_t>((taken + waitingBytes) / leastEventBytes);
    asio::io_context context;
    asio::ip::tcp::socket socket =
            jaytrack::testing::connectNarrow(context, site.instances[0]->callerPort());
    asio::write(socket, asio::buffer(param->stream ? rawRequest("POST", "/v1/chat/completions",
                                                                Site::prompt(events, true))
                                                   : rawRequest("GET", "/account/readings", "")));
    socket.wait(asio::ip::tcp::socket::wait_read);
    cr_assert(eventually([&site] { return inService(site) == 0; }));
    site.instances[0]->drain();
    const std::string seen = readWhileEnding(site, socket);
    cr_assert(seen.ends_with(param->last), "%s: %zu bytes", param->name, seen.size());
    cr_assert(seen.size() > taken, "%s: %zu bytes", param->name, seen.size());
}

// The wait for callers must not hold up the end of the program for ever: a caller that takes
// nothing is waited for as long as the delivery grace says, and one that has gone is not waited
// for.
ParameterizedTestParameters(stop, callersDoNotHoldTheEnd)
{
    static WaitCase cases[] = {{"takes nothing", 1000, false, true},
                               {"has gone", 60'000, true, false}};
    return cr_make_param_array(WaitCase, cases, std::size(cases));
}

ParameterizedTest(WaitCase *param, stop, callersDoNotHoldTheEnd)
{
    SitePlan plan;
    plan.deliveryGrace = milliseconds(param->graceMs);
    Site site(plan);
    LargeAnswers target(jaytrack::testing::unreadBytesTaken() + waitingBytes);
    const auto server = std::move(startHttpServer({}, target).value());
    useTarget(site, server->port());
    asio::io_context context;
    asio::ip::tcp::socket socket =
            jaytrack::testing::connectNarrow(context, site.instances[0]->callerPort());
    asio::write(socket, asio::buffer(rawRequest("GET", "/account/readings", "")));
    socket.wait(asio::ip::tcp::socket::wait_read);
    cr_assert(eventually([&site] { return inService(site) == 0; }));
    Instance &instance = *site.instances[0];
    instance.drain();
    cr_assert(!instance.drained(), "%s", param->name);
    if (param->leaves)
        socket.close();
    cr_assert(eventually([&instance] { return instance.drained(); }), "%s", param->name);
    cr_assert_eq(instance.unsentAnswers() > 0, param->owedAtTheEnd, "%s", param->name);
}

// A caller whose stream was cut by a second signal was not told so: the event that says it, and
// what the engine had made before, were handed to the caller's connection, and the program ended
// at once with them still in it.
Test(stop, callerIsToldThatItsStreamWasCut)
{
    SitePlan plan;
    plan.stepMs = 0.05;
    Site site(plan);
    asio::io_context context;
    asio::ip::tcp::socket socket =
            jaytrack::testing::connectNarrow(context, site.instances[0]->callerPort());
    static constexpr int length = 20'000; // some eight megabytes, which the sockets do not take
    asio::write(socket, asio::buffer(rawRequest("POST", "/v1/chat/completions",
                                                Site::prompt(length, true))));
    std::this_thread::sleep_for(milliseconds(2500));
    cr_assert(inService(site) == 1);
    site.instances[0]->drain();
    site.instances[0]->cut();
    const std::string seen = readWhileEnding(site, socket);
    cr_assert(seen.find("event: error") != std::string::npos, "%zu bytes", seen.size());
    cr_assert(seen.ends_with("\r\n0\r\n\r\n"), "%zu bytes", seen.size());
}
