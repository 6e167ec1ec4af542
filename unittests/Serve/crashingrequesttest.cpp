// Tests that a request which crashes engines or service targets is barred, using a daemon's own
// HTTP interface.
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

// The request may crash as many targets as it takes to bar it, and one more to which it has already
// been sent by then.
constexpr std::size_t maxEndedTargets = 4;

bool crashesTarget(const SeenRequest &request)
{
    return request.body.find("deadly") != std::string::npos ||
           request.head.target.find("deadly") != std::string::npos;
}

// Acts as an engine and as a service target that crashes shortly after it started the request.
Answer crashingTargetResponse(const SeenRequest &request)
{
    if (request.head.path() == "/load")
        return wholeAnswer(200, "", R"({"memory_used":0,"running":0,"waiting":0,"leaving":false})");
    if (crashesTarget(request))
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

struct CrashingSite
{
    explicit CrashingSite(std::size_t targetCount = 8)
        : site(emptyPlan())
    {
        Document document = this->site.document();
        for (std::size_t i = 0; i < targetCount; ++i) {
            this->servers.push_back(std::make_unique<ScriptedServer>(crashingTargetResponse));
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

    // A conversation of these messages, of which the last is the request's own.
    FetchedAnswer converse(const std::vector<std::string> &contents, std::size_t instance)
    {
        nlohmann::json messages = nlohmann::json::array();
        for (const std::string &content : contents)
            messages.push_back({{"role", "user"}, {"content", content}});
        const nlohmann::json body = {
                {"model", "pattern"}, {"stream", false}, {"messages", messages}};
        return this->site.request("POST", "/v1/chat/completions", body.dump(), {}, weaverKey,
                                  instance);
    }

    FetchedAnswer requestReading(const std::string &meter, std::size_t instance)
    {
        return this->site.request("GET", "/account/readings?meter=" + meter, "", {}, weaverKey,
                                  instance);
    }

    std::size_t endedTargets() const
    {
        return static_cast<std::size_t>(
                std::count_if(this->servers.begin(), this->servers.end(),
                              [](const auto &server) { return server->isDead(); }));
    }

    std::vector<std::unique_ptr<ScriptedServer>> servers;
    Site site;
};

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

// Guards against one request crashing all targets, one after another. The daemon restarts a
// generation on another engine as long as its caller has received nothing, and the caller retries,
// also at other instances. Without a record of crashes per request, every retry crashes another
// target.
ParameterizedTestParameters(crashingRequest, isBarredAfterCrashingTargets)
{
    static WorkCase cases[] = {{"generation", true}, {"idempotent", false}};
    return cr_make_param_array(WorkCase, cases, std::size(cases));
}

ParameterizedTest(WorkCase *param, crashingRequest, isBarredAfterCrashingTargets)
{
    CrashingSite crashing;
    const auto send = [&](const std::string &what, std::size_t instance) {
        return param->generation ? crashing.generate(what, instance)
                                 : crashing.requestReading(what, instance);
    };
    cr_assert_eq(send("harmless", 0).end.status, 200);
    FetchedAnswer last;
    for (int i = 0; i < 6; ++i) {
        last = send("deadly", static_cast<std::size_t>(i % 2));
        std::this_thread::sleep_for(std::chrono::milliseconds(500));
    }
    cr_assert_leq(crashing.endedTargets(), maxEndedTargets, "%s: %zu targets ended", param->name,
                  crashing.endedTargets());
    cr_assert_eq(last.end.status, 503, "%s", param->name);
    cr_assert_eq(codeOf(last), std::string_view("213"));
    cr_assert(!findHeader(last.headers, "Retry-After").empty());
    for (std::size_t instance = 0; instance < 2; ++instance)
        cr_assert_eq(send("harmless", instance).end.status, 200,
                     "%s: a harmless request is not served", param->name);
}

// Guards against conversations that share one message crashing one engine after the other, because
// each of them is new to what is known of requests that crash engines.
Test(crashingRequest, conversationsThatShareACrashingMessageAreBarred)
{
    CrashingSite crashing(12);
    const std::string style = "house style";
    cr_assert_eq(crashing.converse({style, "harmless"}, 0).end.status, 200);
    cr_assert_eq(crashing.converse({style, "harmless"}, 1).end.status, 200);
    FetchedAnswer last;
    int served = 0;
    for (int i = 0; i < 8; ++i) {
        const std::string own = "question " + std::to_string(i);
        const auto instance = static_cast<std::size_t>(i % 2);
        last = crashing.converse({style, "deadly", own}, instance);
        served += crashing.converse({style, own}, instance).end.status == 200 ? 1 : 0;
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
    }
    // The users accept five ends of targets for one part of prompts.
    cr_assert_leq(crashing.endedTargets(), 5, "%zu targets ended", crashing.endedTargets());
    cr_assert_eq(last.end.status, 503);
    cr_assert_eq(codeOf(last), std::string_view("213"));
    cr_assert_eq(served, 8, "%d of 8 sound conversations were served", served);
}

// Guards against the outcome "not run" for a request that reached a target. The request is sent on
// a reused connection and the target crashes. If the HTTP client then retries by itself on a new
// connection, which is refused, it reports only that it could not connect.
Test(service, lossOnReusedConnectionIsNotReportedAsNotRun)
{
    CrashingSite crashing(1);
    cr_assert_eq(crashing.requestReading("harmless", 0).end.status, 200);
    const FetchedAnswer answer = crashing.requestReading("deadly", 0);
    cr_assert_eq(crashing.endedTargets(), 1);
    cr_assert_eq(codeOf(answer), std::string_view("301"), "code %s",
                 std::string(codeOf(answer)).c_str());
}
