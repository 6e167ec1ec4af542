// Tests rate limits that targets announce in their responses, using the daemon's own HTTP
// interface.
#include "limitedtarget.h"
#include "site.h"

#include <criterion/parameterized.h>

using namespace jaytrack;
using namespace jaytrack::test;
using namespace std::chrono_literals;
using jaytrack::testing::Answer;
using jaytrack::testing::AnswerStep;
using jaytrack::testing::chunkStep;
using jaytrack::testing::LimitedTarget;
using jaytrack::testing::Pressure;
using jaytrack::testing::ScriptedServer;
using jaytrack::testing::SeenRequest;
using jaytrack::testing::streamHead;
using jaytrack::testing::wholeAnswer;

namespace {

const std::string limitHeader = "Target-Limit";
constexpr double limit = 2.5;
constexpr std::chrono::milliseconds instanceDiscoveryTime{3200};
constexpr std::chrono::milliseconds limitReactionTime{500};
constexpr std::chrono::seconds loadDuration{6};

Answer answerTo(const SeenRequest &request, const std::string &headers)
{
    if (request.head.path() == "/load")
        return wholeAnswer(200, headers,
                           R"({"memory_used":0,"running":0,"waiting":0,"leaving":false})");
    if (request.head.method != "POST")
        return wholeAnswer(200, headers, "good");
    const std::string token =
            R"({"choices":[{"index":0,"delta":{"content":"x:0 "},"finish_reason":"stop"}]})";
    return {{AnswerStep::Kind::Send, streamHead("Engine-Generation: g1\r\n" + headers), {}},
            chunkStep("id: 0\ndata: " + token + "\n\n"),
            chunkStep("data: [DONE]\n\n"),
            {AnswerStep::Kind::Send, "0\r\n\r\n", {}}};
}

// Two instances with an engine and a service target that announce rate limits, and optionally with
// another engine and target without a limit.
struct LimitedSite
{
    explicit LimitedSite(bool hasUnlimitedTarget)
        : site(emptyPlan())
    {
        Document document = this->site.document();
        addTargets(document, "limited", this->engine.address(), this->serviceTarget.address());
        if (hasUnlimitedTarget)
            addTargets(document, "free", this->unlimited.address(), this->unlimited.address());
        document.index();
        this->site.publish(document);
        for (int i = 0; i < 2; ++i)
            this->site.addInstance(this->site.configUrl());
        std::this_thread::sleep_for(instanceDiscoveryTime);
    }

    static void addTargets(Document &document, const std::string &name,
                           const std::string &engineAddress, const std::string &serviceAddress)
    {
        Engine engine;
        engine.name = "engine-" + name;
        engine.dataCentre = "falun";
        engine.address = engineAddress;
        engine.model = "pattern";
        document.engines.push_back(engine);
        document.services[0].targets.push_back({"desk-" + name, "falun", serviceAddress, false});
    }

    static SitePlan emptyPlan()
    {
        SitePlan plan;
        plan.engines = 0;
        plan.services = 0;
        plan.instances = 0;
        return plan;
    }

    FetchedAnswer send(bool generation, std::size_t instance)
    {
        if (!generation)
            return this->site.request("GET", "/account/readings", "", {}, weaverKey, instance);
        return this->site.request("POST", "/v1/chat/completions", Site::prompt(1, false), {},
                                  weaverKey, instance);
    }

    LimitedTarget engine{limitHeader, limit, answerTo};
    LimitedTarget serviceTarget{limitHeader, limit, answerTo};
    ScriptedServer unlimited{[](const SeenRequest &request) { return answerTo(request, ""); }};
    Site site;
};

struct WorkCase
{
    char name[40];
    bool generation;
    bool hasUnlimitedTarget;
};

WorkCase workCases[] = {
        {"calls of a service", false, true},
        {"calls of a service, no other target", false, false},
        {"generations and load polls", true, true},
        {"generations, no other engine", true, false},
};

} // namespace

// Guards against the instances together sending a target more requests than the rate limit in its
// responses allows.
ParameterizedTestParameters(targetLimit, holdsOverAllInstances)
{
    return cr_make_param_array(WorkCase, workCases, std::size(workCases));
}

ParameterizedTest(WorkCase *param, targetLimit, holdsOverAllInstances)
{
    LimitedSite limited(param->hasUnlimitedTarget);
    LimitedTarget &target = param->generation ? limited.engine : limited.serviceTarget;
    std::atomic<std::size_t> notServed{0};
    std::atomic<std::size_t> missingRetryAfter{0};
    target.nameLimit(true);
    {
        const auto sendRequest = [&](std::size_t instance) {
            const FetchedAnswer answer = limited.send(param->generation, instance);
            notServed += answer.end.status == 200 ? 0 : 1;
            if (answer.end.status == 503 && findHeader(answer.headers, "Retry-After").empty())
                ++missingRetryAfter;
        };
        const Pressure first(15, 4, [&sendRequest] { sendRequest(0); });
        const Pressure second(15, 4, [&sendRequest] { sendRequest(1); });
        std::this_thread::sleep_for(loadDuration);
    }
    const auto worst = static_cast<double>(target.worstWindow(limitReactionTime));
    cr_log_info("%s: %.0f in the worst 4 s, %zu in the last 4 s", param->name, worst,
                target.gotWithin(4s));
    cr_expect_leq(worst, target.mostAllowed(), "%s: %.0f", param->name, worst);
    cr_expect_geq(static_cast<double>(target.gotWithin(4s)), limit * 4 / 2,
                  "%s: less than half of the limit is used", param->name);
    cr_expect_eq(missingRetryAfter, 0, "%s", param->name);
    if (param->hasUnlimitedTarget)
        cr_expect_eq(notServed, 0,
                     "%s: %zu requests not served although the other target has no limit",
                     param->name, notServed.load());
}
