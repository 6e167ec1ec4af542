// Tests which responses callers still receive from an instance that shuts down.
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

// Bytes of a response that stay queued in the instance because the socket buffers are full.
constexpr std::size_t queuedBytes = 256U << 10U;

// Lower bound of an event's size, used to compute how many events a long enough stream needs.
constexpr std::size_t minEventBytes = 256;

// Longer than an instance takes to shut down if it does not wait for its callers.
constexpr milliseconds immediateShutdownTime{800};

// A target with responses of a configurable size.
class LargeResponseHandler final : public HttpHandler
{
public:
    explicit LargeResponseHandler(std::size_t size)
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

// Ends an instance like its program does: polls drained(), then destroys the instance.
void awaitEnd(std::unique_ptr<Instance> &instance)
{
    while (!instance->drained())
        std::this_thread::sleep_for(milliseconds(50));
    instance.reset();
}

// Ends the instance, and starts reading only after the time in which an instance that does not wait
// for its callers would have ended.
std::string readWhileEnding(Site &site, asio::ip::tcp::socket &socket)
{
    auto ended = std::async(std::launch::async, [&site] { awaitEnd(site.instances[0]); });
    std::this_thread::sleep_for(immediateShutdownTime);
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
    char last[32]; // expected end of the response
};

struct WaitCase
{
    char name[24];
    int graceMs;
    bool disconnects;
    bool hasUnsentAnswers;
};

} // namespace

// Guards against losing the end of a response to a slow caller when the instance stops. A response
// that is queued on the connection no longer counts as in service. If drained() ignored it, the
// program would exit before the operating system has accepted the whole response.
ParameterizedTestParameters(stop, slowCallerReceivesWholeResponse)
{
    static LastAnswerCase cases[] = {{"whole answer", false, "the end"},
                                     {"stream", true, "data: [DONE]\n\n\r\n0\r\n\r\n"}};
    return cr_make_param_array(LastAnswerCase, cases, std::size(cases));
}

ParameterizedTest(LastAnswerCase *param, stop, slowCallerReceivesWholeResponse)
{
    const std::size_t taken = jaytrack::testing::unreadBytesTaken();
    SitePlan plan;
    plan.stepMs = 0.05;
    plan.streamBufferBytes = 64U << 20U; // large enough not to pause the engine's stream
    Site site(plan);
    LargeResponseHandler target(taken + queuedBytes);
    const auto server = std::move(startHttpServer({}, target).value());
    useTarget(site, server->port());
    const auto events = static_cast<std::uint32_t>((taken + queuedBytes) / minEventBytes);
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

// Guards against callers delaying the shutdown without limit. The instance waits for a caller that
// does not read at most for the delivery grace period, and does not wait for a caller that has
// disconnected.
ParameterizedTestParameters(stop, callersDoNotBlockShutdown)
{
    static WaitCase cases[] = {{"does not read", 1000, false, true},
                               {"has disconnected", 60'000, true, false}};
    return cr_make_param_array(WaitCase, cases, std::size(cases));
}

ParameterizedTest(WaitCase *param, stop, callersDoNotBlockShutdown)
{
    SitePlan plan;
    plan.deliveryGrace = milliseconds(param->graceMs);
    Site site(plan);
    LargeResponseHandler target(jaytrack::testing::unreadBytesTaken() + queuedBytes);
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
    if (param->disconnects)
        socket.close();
    cr_assert(eventually([&instance] { return instance.drained(); }), "%s", param->name);
    cr_assert_eq(instance.unsentAnswers() > 0, param->hasUnsentAnswers, "%s", param->name);
}

// Guards against losing the error event of a stream that is cut. The event and the tokens before it
// are queued on the caller's connection; an instance that ends immediately loses them.
Test(stop, cutStreamEndsWithErrorEvent)
{
    SitePlan plan;
    plan.stepMs = 0.05;
    Site site(plan);
    asio::io_context context;
    asio::ip::tcp::socket socket =
            jaytrack::testing::connectNarrow(context, site.instances[0]->callerPort());
    static constexpr int length = 20'000; // about 8 MB, more than the socket buffers hold
    asio::write(socket, asio::buffer(rawRequest("POST", "/v1/chat/completions",
                                                Site::prompt(length, true))));
    std::this_thread::sleep_for(milliseconds(2500));
    cr_assert(inService(site) == 1);
    site.instances[0]->drain();
    site.instances[0]->abortRequests();
    const std::string seen = readWhileEnding(site, socket);
    cr_assert(seen.find("event: error") != std::string::npos, "%zu bytes", seen.size());
    cr_assert(seen.ends_with("\r\n0\r\n\r\n"), "%zu bytes", seen.size());
}
