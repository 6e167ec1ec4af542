#include "site.h"

#include "platformstandin.h"

#include <asio.hpp>
#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace jaytrack;
using namespace jaytrack::test;

namespace {

std::string codeOf(const FetchedAnswer &answer)
{
    return std::string(findHeader(answer.headers, "Jaytrack-Code"));
}

std::string outcomeOf(const FetchedAnswer &answer)
{
    return std::string(findHeader(answer.headers, "Jaytrack-Outcome"));
}

// Sends the bytes unchanged and returns the response up to the end of the connection, or what has
// arrived after 500 ms.
std::string rawExchange(std::uint16_t port, const std::string &bytes)
{
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect({asio::ip::make_address("127.0.0.1"), port});
    asio::write(socket, asio::buffer(bytes));
    std::string answer;
    std::array<char, 4096> part{};
    asio::steady_timer timer(context, std::chrono::milliseconds(500));
    timer.async_wait([&](const asio::error_code &) { socket.close(); });
    std::function<void()> readNext = [&] {
        socket.async_read_some(asio::buffer(part), [&](const asio::error_code &ec, std::size_t n) {
            answer.append(part.data(), n);
            if (!ec)
                readNext();
            else
                timer.cancel();
        });
    };
    readNext();
    context.run();
    return answer;
}

} // namespace

Test(service, retriesIdempotentRequestsAtOtherTargets)
{
    Site site;
    site.services[0].reset();
    for (int i = 0; i < 10; ++i) {
        const FetchedAnswer answer = site.request("GET", "/account/readings?meter=7");
        cr_assert(answer.end.status == 200);
        cr_assert_eq(outcomeOf(answer), std::string("complete"));
    }
}

// Guards against running a payment twice when the caller repeats it under one ticket, at the issuer
// and at another instance. This happens if each instance decides by itself whether the ticket has
// run.
Test(service, ticketedRequestRunsOnceAtAnyInstance)
{
    SitePlan plan;
    plan.instances = 2;
    Site site(plan);
    const FetchedAnswer offer = site.request("POST", "/account/pay", Site::payment("p1"));
    cr_assert(offer.end.status == 307);
    cr_assert_eq(outcomeOf(offer), std::string("not-run"));
    cr_assert(site.runsOf("p1") == 0);
    const std::string url(findHeader(offer.headers, "Location"));
    std::string first;
    for (std::size_t i = 0; i < 6; ++i) {
        const FetchedAnswer answer =
                site.request("POST", url, Site::payment("p1"), {}, weaverKey, i % 2);
        cr_assert(answer.end.status == 200, "status %d", answer.end.status);
        cr_assert_eq(outcomeOf(answer), std::string("complete"));
        if (i == 0)
            first = answer.body;
        cr_assert_eq(answer.body, first);
    }
    cr_assert(site.runsOf("p1") == 1);
}

Test(service, ticketsAreBoundToBodyCustomerAndPath)
{
    Site site;
    const std::string url = site.ticketUrl();
    cr_assert(site.request("POST", url, Site::payment("p1")).end.status == 200);
    const FetchedAnswer otherBody = site.request("POST", url, Site::payment("p2"));
    cr_assert_eq(codeOf(otherBody), std::string("107"));
    const FetchedAnswer otherCustomer = site.request("POST", url, Site::payment("p1"), {}, dyerKey);
    cr_assert_eq(codeOf(otherCustomer), std::string("106"));
    const std::string query = url.substr(url.find('?'));
    const FetchedAnswer otherPath =
            site.request("POST", "/account/order" + query, Site::payment("p1"));
    cr_assert_eq(codeOf(otherPath), std::string("106"));
    cr_assert(site.runsOf("p2") == 0);
}

// Guards against reporting "not run" for a payment that ran. The issuer runs it and ends, and the
// caller repeats it at another instance, where a missing record must not be taken as proof that it
// never ran.
Test(service, outcomeIsUnknownAfterIssuerEnded)
{
    SitePlan plan;
    plan.instances = 2;
    Site site(plan);
    const std::string url = site.ticketUrl(0);
    cr_assert(site.request("POST", url, Site::payment("p1"), {}, weaverKey, 0).end.status == 200);
    site.instances[0].reset();
    const FetchedAnswer answer = site.request("POST", url, Site::payment("p1"), {}, weaverKey, 1);
    cr_assert_eq(outcomeOf(answer), std::string("unknown"));
    cr_assert_eq(codeOf(answer), std::string("305"));
    cr_assert(site.runsOf("p1") == 1);
}

// Guards against running a payment twice after the target ran it and its response was lost. This
// happens if jaytrack or its HTTP library sends the request again.
Test(service, lostAnswerIsUnknownAndNotSentAgain)
{
    SitePlan plan;
    plan.serviceTimeout = std::chrono::milliseconds(300);
    Site site(plan);
    for (const auto &service : site.services)
        site.control(service, {{"die_after", 1}});
    site.request("GET", "/account/readings");
    site.request("GET", "/account/readings");
    const std::string url = site.ticketUrl();
    const FetchedAnswer answer = site.request("POST", url, Site::payment("p1"));
    cr_assert_eq(outcomeOf(answer), std::string("unknown"));
    const FetchedAnswer repeat = site.request("POST", url, Site::payment("p1"));
    cr_assert_eq(outcomeOf(repeat), std::string("unknown"));
    cr_assert(site.runsOf("p1") <= 1);
}

// Guards against reporting "unknown" for a payment that was never sent because no target is
// reachable. This happens if a refused connection is treated like a lost response.
Test(service, unreachableTargetsMeanNotRun)
{
    Site site;
    const std::string url = site.ticketUrl();
    for (auto &service : site.services)
        service.reset();
    const FetchedAnswer answer = site.request("POST", url, Site::payment("p1"));
    cr_assert_eq(outcomeOf(answer), std::string("not-run"));
    cr_assert_eq(codeOf(answer), std::string("207"));
}

Test(service, repeatsWhileRunningReceiveTheSameAnswer)
{
    SitePlan plan;
    plan.service.takes = std::chrono::milliseconds(300);
    Site site(plan);
    const std::string url = site.ticketUrl();
    std::vector<std::thread> callers;
    std::mutex mutex;
    std::vector<std::string> bodies;
    for (int i = 0; i < 4; ++i) {
        callers.emplace_back([&] {
            const FetchedAnswer answer = site.request("POST", url, Site::payment("p1"));
            const std::lock_guard lock(mutex);
            bodies.push_back(answer.body);
        });
    }
    for (std::thread &caller : callers)
        caller.join();
    for (const std::string &body : bodies)
        cr_assert_eq(body, bodies[0]);
    cr_assert(site.runsOf("p1") == 1);
}

Test(service, requiresDeduplicationForIdempotencyKeys)
{
    Site plain;
    const std::vector<HttpHeader> key = {{"Idempotency-Key", "k1"}};
    const FetchedAnswer refused = plain.request("POST", "/account/pay", Site::payment("p1"), key);
    cr_assert(refused.end.status == 428);
    cr_assert(plain.runsOf("p1") == 0);

    SitePlan plan;
    plan.deduplicates = true;
    plan.services = 1;
    Site site(plan);
    for (int i = 0; i < 3; ++i)
        cr_assert(site.request("POST", "/account/pay", Site::payment("p1"), key).end.status == 200);
    cr_assert(site.runsOf("p1") == 1);
    // The same key of another customer is a different key.
    site.request("POST", "/account/pay", Site::payment("p1"), key, dyerKey);
    cr_assert(site.runsOf("p1") == 2);
}

struct BadRequestCase
{
    char method[8];
    char path[40];
    char body[80];
    int status;
    char code[4];
};

ParameterizedTestParameters(gateway, refusesWithResultCode)
{
    static BadRequestCase cases[] = {
            {"POST", "/v1/chat/completions", "", 400, "101"},
            {"POST", "/v1/chat/completions", "{", 400, "101"},
            {"POST", "/v1/chat/completions", "[]", 400, "101"},
            {"POST", "/v1/chat/completions", R"({"model":7})", 400, "101"},
            {"POST", "/v1/chat/completions", R"({"model":"pattern","messages":[]})", 400, "101"},
            {"POST", "/v1/chat/completions", R"({"model":"pattern","messages":"x"})", 400, "101"},
            {"POST", "/v1/completions", R"({"model":"pattern"})", 400, "101"},
            {"POST", "/v1/completions", R"({"model":"pattern","prompt":"x","stream":1})", 400,
             "101"},
            {"POST", "/v1/completions", R"({"model":"none","prompt":"x"})", 404, "103"},
            {"GET", "/v1/streams/abc", "", 404, "110"},
            {"GET", "/v1/nothing", "", 404, "111"},
            {"GET", "/nothing/here", "", 404, "104"},
            {"POST", "/account/pay?jaytrack_ticket=abc", "{}", 400, "106"},
    };
    return cr_make_param_array(BadRequestCase, cases, std::size(cases));
}

ParameterizedTest(BadRequestCase *param, gateway, refusesWithResultCode)
{
    Site site;
    const FetchedAnswer answer = site.request(param->method, param->path, param->body);
    cr_assert(answer.end.status == param->status, "status %d", answer.end.status);
    cr_assert_eq(codeOf(answer), std::string(param->code));
    cr_assert_eq(outcomeOf(answer), std::string("not-run"));
    cr_assert(nlohmann::json::parse(answer.body)["error"]["code"] == std::stoi(param->code));
}

Test(gateway, identifiesCustomersByKey)
{
    Site site;
    cr_assert_eq(codeOf(site.request("GET", "/v1/models", "", {}, "wrong")), std::string("105"));
    cr_assert(site.request("GET", "/v1/models").end.status == 200);
}

Test(gateway, limitsRequestsPerCustomer)
{
    SitePlan plan;
    plan.maxConcurrent = 2;
    Site site(plan);
    const std::string url = site.base() + "/v1/chat/completions";
    StreamReader one(site, url, "", Site::prompt(2000, true));
    StreamReader two(site, url, "", Site::prompt(2000, true));
    cr_assert(eventually([&] { return one.status() == 200 && two.status() == 200; }));
    const FetchedAnswer third = site.request("GET", "/account/readings");
    cr_assert(third.end.status == 429);
    cr_assert_eq(codeOf(third), std::string("203"));
    cr_assert(site.request("GET", "/account/readings", "", {}, dyerKey).end.status == 200);
}

struct SmugglingCase
{
    char name[24];
    char head[240];
};

ParameterizedTestParameters(gateway, refusesSmuggling)
{
    static SmugglingCase cases[] = {
            {"no http", "hello\r\n\r\n"},
            {"length and chunked", "POST /account/pay HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n"
                                   "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
            {"two lengths", "POST /account/pay HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n"
                            "Content-Length: 6\r\n\r\nhello!"},
            {"bad length", "POST /account/pay HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n"},
            {"bad chunk",
             "POST /account/pay HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n"},
    };
    return cr_make_param_array(SmugglingCase, cases, std::size(cases));
}

// A malformed request must not reach a target, and the instance must continue to serve.
ParameterizedTest(SmugglingCase *param, gateway, refusesSmuggling)
{
    Site site;
    const std::string answer = rawExchange(site.instances[0]->callerPort(), param->head);
    cr_assert(answer.find(" 200 ") == std::string::npos, "%s: %s", param->name, answer.c_str());
    cr_assert(answer.find(" 307 ") == std::string::npos, "%s: %s", param->name, answer.c_str());
    cr_assert(site.request("GET", "/v1/models").end.status == 200);
}

// Guards against a body whose nesting exhausts the stack.
Test(gateway, deeplyNestedBodiesAreRefused)
{
    Site site;
    for (const std::size_t levels : {200U, 200'000U}) {
        const std::string body = R"({"model":"m","messages":[)" + std::string(levels, '[') +
                                 std::string(levels, ']') + R"(,{"role":"user","content":"a"}]})";
        const FetchedAnswer answer = site.request("POST", "/v1/chat/completions", body);
        cr_expect_eq(answer.end.status, 400, "%zu levels: %d", levels, answer.end.status);
    }
}

Test(gateway, refusesOversizedBodies)
{
    Site site;
    const std::string large(5U << 20U, 'x');
    const FetchedAnswer answer = site.request("POST", "/v1/chat/completions", large);
    cr_assert(answer.end.status != 200);
    cr_assert(site.request("GET", "/v1/models").end.status == 200);
}

Test(operators, statusMetricsAndExplanations)
{
    Site site;
    const FetchedAnswer served = site.request("GET", "/account/readings");
    const std::string base = "http://" + Site::addressOf(site.instances[0]->operatorPort());
    const auto sendRequest = [&](const std::string &path) {
        HttpCall call;
        call.url = base + path;
        return fetch(site.client, call);
    };
    const auto status = nlohmann::json::parse(sendRequest("/status").body);
    cr_assert(status["ready"] == true && status["revision"] == 1);
    cr_assert(sendRequest("/metrics").body.find("jaytrack_requests_total{outcome=\"complete\"") !=
              std::string::npos);
    const std::string id(findHeader(served.headers, "Jaytrack-Request"));
    const auto record = nlohmann::json::parse(sendRequest("/explain?id=" + id).body);
    cr_assert(record["reason"] == "idempotent");
    cr_assert(sendRequest("/explain?id=none").end.status == 404);
    const auto burn = nlohmann::json::parse(sendRequest("/burn").body);
    cr_assert(burn[0]["subject"] == "account" && burn[0]["total"][0] == 1);
}

// Guards against refusing a request although a target is available. Most targets of the service
// have ended and refuse connections. Three refused connections must not use up the attempts,
// because nothing has been sent.
Test(service, unreachableTargetsDoNotUseUpAttempts)
{
    SitePlan plan;
    plan.services = 1;
    Site site(plan);
    Document document = site.document();
    // Bound but not listening, so that connections are refused and no other process gets the port.
    asio::io_context context;
    std::vector<asio::ip::tcp::socket> ended;
    for (int i = 0; i < 7; ++i) {
        ended.emplace_back(context,
                           asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        document.services[0].targets.push_back(
                {"ended-" + std::to_string(i), "falun",
                 Site::addressOf(ended.back().local_endpoint().port()), false});
    }
    site.publish(document);
    site.addInstance(site.configUrl());
    for (int i = 0; i < 5; ++i) {
        const FetchedAnswer answer =
                site.request("GET", "/account/readings?meter=7", "", {}, weaverKey, 1);
        cr_assert_eq(answer.end.status, 200, "%d: code %s", i, codeOf(answer).c_str());
    }
}

// Guards against sending requests to a target that answered 503 with Retry-After while other
// targets are available. This instance must not use the target until that time has passed.
Test(service, busyTargetGetsNoRequestsUntilRetryAfter)
{
    std::atomic<int> busyRequests{0};
    jaytrack::testing::ScriptedServer busy([&busyRequests](const jaytrack::testing::SeenRequest &) {
        ++busyRequests;
        return jaytrack::testing::wholeAnswer(503, "Retry-After: 2\r\n", "");
    });
    SitePlan plan;
    plan.services = 1;
    Site site(plan);
    Document document = site.document();
    document.services[0].targets.push_back({"busy", "falun", busy.address(), false});
    site.publish(document);
    site.addInstance(site.configUrl());
    const auto sendRequest = [&site] {
        return site.request("GET", "/account/readings?meter=7", "", {}, weaverKey, 1).end.status;
    };
    for (int i = 0; i < 100 && busyRequests == 0; ++i)
        sendRequest();
    cr_assert_eq(busyRequests, 1);
    for (int i = 0; i < 40; ++i)
        cr_assert_eq(sendRequest(), 200);
    cr_assert_eq(busyRequests, 1);
    std::this_thread::sleep_for(std::chrono::milliseconds(2100));
    for (int i = 0; i < 100 && busyRequests == 1; ++i)
        sendRequest();
    cr_assert_eq(busyRequests, 2, "the busy target is not used again after Retry-After has passed");
}

// Guards against a repeat at a target that was put out of service while the first target kept the
// request waiting.
Test(service, repeatsAskTheNewestDocumentWhoLeaves)
{
    using namespace jaytrack::testing;
    using namespace std::chrono_literals;
    const auto dieLate = [](const SeenRequest &) -> Answer {
        return {{AnswerStep::Kind::Reset, "", 900ms}};
    };
    ScriptedServer first(dieLate);
    ScriptedServer second(dieLate);
    SitePlan plan;
    plan.services = 0;
    plan.instances = 0;
    Site site(plan);
    Document document = site.document();
    document.services[0].targets = {{"first", "falun", first.address(), false},
                                    {"second", "falun", second.address(), false}};
    document.index();
    site.publish(document);
    site.addInstance(site.configUrl());
    std::thread caller([&site] { site.request("GET", "/account/readings?meter=7"); });
    cr_assert(eventually([&] { return first.seen().size() + second.seen().size() == 1; }));
    const std::size_t other = first.seen().empty() ? 0 : 1;
    document.services[0].targets[other].leaving = true;
    site.publish(document);
    caller.join();
    cr_expect(first.seen().size() + second.seen().size() == 1);
}
