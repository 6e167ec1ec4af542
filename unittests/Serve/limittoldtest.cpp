// Targets that name in their answers how many requests a second they take, at the daemon's own
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
constexpr std::chrono::milliseconds acquaintance{3200};
constexpr std::chrono::milliseconds heeded{500};
constexpr std::chrono::seconds played{6};

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

// Two instances in front of an engine and a target of a service that name limits, and perhaps of
// one more each that does not.
struct LimitedSite
{
    explicit LimitedSite(bool another)
        : site(emptyPlan())
    {
        Document document = this->site.document();
        addTo(document, "limited", this->engine.address(), this->desk.address());
        if (another)
            addTo(document, "free", this->free.address(), this->free.address());
        document.index();
        this->site.publish(document);
        for (int i = 0; i < 2; ++i)
            this->site.addInstance(this->site.configUrl());
        std::this_thread::sleep_for(acquaintance);
    }

    static void addTo(Document &document, const std::string &name, const std::string &engineAt,
                      const std::string &deskAt)
    {
        Engine engine;
        engine.name = "engine-" + name;
        engine.dataCentre = "falun";
        engine.address = engineAt;
        engine.model = "pattern";
        document.engines.push_back(engine);
        document.services[0].targets.push_back({"desk-" + name, "falun", deskAt, false});
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
    LimitedTarget desk{limitHeader, limit, answerTo};
    ScriptedServer free{[](const SeenRequest &request) { return answerTo(request, ""); }};
    Site site;
};

struct WorkCase
{
    char name[40];
    bool generation;
    bool another;
};

WorkCase workCases[] = {
        {"calls of a service", false, true},
        {"calls of a service, no other target", false, false},
        {"generations and questions", true, true},
        {"generations, no other engine", true, false},
};

} // namespace

// Guards against a target in need getting more from all instances than the limit in its answers.
ParameterizedTestParameters(limitTold, sumOfInstancesHolds)
{
    return cr_make_param_array(WorkCase, workCases, std::size(workCases));
}

ParameterizedTest(WorkCase *given, limitTold, sumOfInstancesHolds)
{
    LimitedSite limited(given->another);
    LimitedTarget &target = given->generation ? limited.engine : limited.desk;
    std::atomic<std::size_t> notServed{0};
    std::atomic<std::size_t> withoutReturn{0};
    target.nameLimit(true);
    {
        const auto ask = [&](std::size_t instance) {
            const FetchedAnswer answer = limited.send(given->generation, instance);
            notServed += answer.end.status == 200 ? 0 : 1;
            if (answer.end.status == 503 && findHeader(answer.headers, "Retry-After").empty())
                ++withoutReturn;
        };
        const Pressure first(15, 4, [&ask] { ask(0); });
        const Pressure second(15, 4, [&ask] { ask(1); });
        std::this_thread::sleep_for(played);
    }
    const auto worst = static_cast<double>(target.worstWindow(heeded));
    cr_log_info("%s: %.0f in the worst 4 s, %zu in the last 4 s", given->name, worst,
                target.gotWithin(4s));
    cr_expect_leq(worst, target.mostAllowed(), "%s: %.0f", given->name, worst);
    cr_expect_geq(static_cast<double>(target.gotWithin(4s)), limit * 4 / 2, "%s: left idle",
                  given->name);
    cr_expect_eq(withoutReturn, 0, "%s", given->name);
    if (given->another)
        cr_expect_eq(notServed, 0, "%s: %zu, the other target had room", given->name,
                     notServed.load());
}
