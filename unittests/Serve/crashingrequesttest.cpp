// Requests under which engines and targets of services end, at the daemon's own interface.
#include "site.h"

#include "platformstandin.h"

#include <criterion/parameterized.h>

using namespace jaytrack;
using namespace jaytrack::test;
using jaytrack::testing::Answer;
using jaytrack::testing::AnswerStep;
using jaytrack::testing::chunkStep;
using jaytrack::testing::ScriptedServer;
using jaytrack::testing::SeenRequest;
using jaytrack::testing::streamHead;
using jaytrack::testing::wholeAnswer;

namespace {

// As many targets may end as it takes to know the request, and one under what is on its way then.
constexpr std::size_t mostDeaths = 4;

bool isDeadly(const SeenRequest &request)
{
    return request.body.find("deadly") != std::string::npos ||
           request.head.target.find("deadly") != std::string::npos;
}

// An engine, and a target of a service, that ends soon after it began the deadly request.
Answer fragileAnswer(const SeenRequest &request)
{
    if (request.head.path() == "/load")
        return wholeAnswer(200, "", R"({"memory_used":0,"running":0,"waiting":0,"leaving":false})");
    if (isDeadly(request))
        return {{AnswerStep::Kind::Die, "", std::chrono::milliseconds(30)}};
    if (request.head.method == "GET")
        return wholeAnswer(200, "", "good");
    const std::string token =
            R"({"choices":[{"index":0,"delta":{"content":"x:0 "},"finish_reason":"stop"}]})";
    return {{AnswerStep::Kind::Send, streamHead("Engine-Generation: g1\r\n"), {}},
            chunkStep("id: 0\ndata: " + token + "\n\n"),
            chunkStep("data: [DONE]\n\n"),
            {AnswerStep::Kind::Send, "0\r\n\r\n", {}}};
}

struct FragileSite
{
    explicit FragileSite(std::size_t targetCount = 8)
        : site(emptyPlan())
    {
        Document document = this->site.document();
        for (std::size_t i = 0; i < targetCount; ++i) {
            this->servers.push_back(std::make_unique<ScriptedServer>(fragileAnswer));
            Engine engine;
            engine.name = "fragile-" + std::to_string(i);
            engine.dataCentre = "falun";
            engine.address = this->servers.back()->address();
            engine.model = "pattern";
            document.engines.push_back(engine);
            document.services[0].targets.push_back(
                    {"desk-" + std::to_string(i), "falun", this->servers.back()->address(), false});
        }
        document.index();
        this->site.publish(document);
        for (int i = 0; i < 2; ++i)
            this->site.addInstance(this->site.configUrl());
    }

    static SitePlan emptyPlan()
    {
        SitePlan plan;
        plan.engines = 0;
        plan.services = 0;
        plan.instances = 0;
        return plan;
    }

    FetchedAnswer generate(const std::string &content, std::size_t instance)
    {
        const nlohmann::json body = {{"model", "pattern"},
                                     {"stream", false},
                                     {"messages", {{{"role", "user"}, {"content", content}}}}};
        return this->site.request("POST", "/v1/chat/completions", body.dump(), {}, weaverKey,
                                  instance);
    }

    FetchedAnswer ask(const std::string &meter, std::size_t instance)
    {
        return this->site.request("GET", "/account/readings?meter=" + meter, "", {}, weaverKey,
                                  instance);
    }

    std::size_t dead() const
    {
        return static_cast<std::size_t>(
                std::count_if(this->servers.begin(), this->servers.end(),
                              [](const auto &server) { return server->isDead(); }));
    }

    std::vector<std::unique_ptr<ScriptedServer>> servers;
    Site site;
};

// The code that the caller of an idempotent call is told.
std::string_view codeOf(const FetchedAnswer &answer)
{
    return findHeader(answer.headers, "Jaytrack-Code");
}

struct WorkCase
{
    char name[16];
    bool generation;
};

} // namespace

// Engines end one after another, each soon after it was given the same prompt; the daemon itself
// starts the generation anew at another engine, since its caller has seen nothing, and the caller
// comes again, at another instance too. Nobody kept in mind what a request had done.
ParameterizedTestParameters(crashingRequest, endsNoMoreTargetsOnceItIsKnown)
{
    static WorkCase cases[] = {{"generation", true}, {"idempotent", false}};
    return cr_make_param_array(WorkCase, cases, std::size(cases));
}

ParameterizedTest(WorkCase *param, crashingRequest, endsNoMoreTargetsOnceItIsKnown)
{
    FragileSite fragile;
    const auto send = [&](const std::string &what, std::size_t instance) {
        return param->generation ? fragile.generate(what, instance) : fragile.ask(what, instance);
    };
    cr_assert_eq(send("harmless", 0).end.status, 200);
    FetchedAnswer last;
    for (int i = 0; i < 6; ++i) {
        last = send("deadly", static_cast<std::size_t>(i % 2));
        std::this_thread::sleep_for(std::chrono::milliseconds(500));
    }
    cr_assert_leq(fragile.dead(), mostDeaths, "%s: %zu targets ended", param->name, fragile.dead());
    cr_assert_eq(last.end.status, 503, "%s", param->name);
    cr_assert_eq(codeOf(last), std::string_view("213"));
    cr_assert(!findHeader(last.headers, "Retry-After").empty());
    for (std::size_t instance = 0; instance < 2; ++instance)
        cr_assert_eq(send("harmless", instance).end.status, 200, "%s: others are served",
                     param->name);
}

// A caller is told "not run" though its call had reached a target. The call went out on a kept
// connection, the target ended under it, and the HTTP client sent it again by itself on a new
// connection, which was refused: what it reported was that no connection could be made.
Test(service, lostOnAKeptConnectionIsNotCalledNotRun)
{
    FragileSite fragile(1);
    cr_assert_eq(fragile.ask("harmless", 0).end.status, 200);
    const FetchedAnswer answer = fragile.ask("deadly", 0);
    cr_assert_eq(fragile.dead(), 1);
    cr_assert_eq(codeOf(answer), std::string_view("301"), "code %s",
                 std::string(codeOf(answer)).c_str());
}
