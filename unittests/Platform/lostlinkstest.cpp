// Instances that have lost their links to all targets, while callers, the store and the other
// instances still reach them.
#include "entryfixture.h"
#include "unreachableport.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <memory>

using namespace jaytrack;
using namespace jaytrack::testing;
using namespace std::chrono_literals;

namespace {

// Instances know each other after this.
constexpr std::chrono::milliseconds acquaintance{1500};

constexpr int requestsSent = 6;

const std::string ownHeaders = "X-Attempt-Id: a1\r\nX-Server-Stamp: s\r\n";

Answer answerTo(const std::string &type, const SeenRequest &request)
{
    if (isReport(request))
        return wholeAnswer(200, "", "{}");
    if (type != "stream")
        return wholeAnswer(200, ownHeaders, "good");
    return {{AnswerStep::Kind::Send, streamHead(ownHeaders), {}},
            chunkStep(eventText(1, "good")),
            chunkStep(eventText(2, "good"), 20ms),
            {AnswerStep::Kind::Send, "0\r\n\r\n", {}}};
}

RouteSpec routeOf(const std::string &type)
{
    RouteSpec route;
    route.type = type;
    route.attempts = type == "safe" ? 3 : 1;
    return route;
}

// Two instances before two targets; the first one's links to the targets lead nowhere.
struct CutSite
{
    CutSite(const std::string &type, LinkLoss loss)
        : near([type](const SeenRequest &request) { return answerTo(type, request); })
        , far([type](const SeenRequest &request) { return answerTo(type, request); })
        , deadNear(loss)
        , deadFar(loss)
    {
        const std::string first = freeDatagramAddress();
        const std::string second = freeDatagramAddress();
        const std::vector<RouteSpec> routes = {routeOf(type)};
        this->cut = std::make_unique<EntryFixture>(routes, memberOf("cut", first, second));
        this->sound = std::make_unique<EntryFixture>(routes, memberOf("sound", second, first));
        this->sound->list("i-near", this->near);
        this->sound->list("i-far", this->far);
        this->cut->store.put("servers/i-near", targetJson(this->deadNear.address()));
        this->cut->store.put("servers/i-far", targetJson(this->deadFar.address()));
        cr_assert(this->cut->becomesReady());
        std::this_thread::sleep_for(acquaintance);
    }

    std::size_t runs() const { return workSeen(this->near) + workSeen(this->far); }

    ScriptedServer near;
    ScriptedServer far;
    UnreachablePort deadNear;
    UnreachablePort deadFar;
    std::unique_ptr<EntryFixture> cut;
    std::unique_ptr<EntryFixture> sound;
};

struct LossCase
{
    char type[8];
    LinkLoss loss;
};

} // namespace

// Guards against an instance that refuses its callers because its own links to all targets are gone.
ParameterizedTestParameters(lostLinks, callersAreServedThroughAnotherInstance)
{
    static LossCase cases[] = {{"safe", LinkLoss::Refused},   {"safe", LinkLoss::Silent},
                               {"unsafe", LinkLoss::Refused}, {"unsafe", LinkLoss::Silent},
                               {"stream", LinkLoss::Refused}, {"stream", LinkLoss::Silent}};
    return cr_make_param_array(LossCase, cases, std::size(cases));
}

ParameterizedTest(LossCase *one, lostLinks, callersAreServedThroughAnotherInstance)
{
    const CutSite site(one->type, one->loss);
    for (int i = 0; i < requestsSent; ++i) {
        const std::string answer = callOnce(site.cut->port(), requestText({})).bytes;
        cr_expect(answer.starts_with("HTTP/1.1 200"), "%s: %s", one->type, answer.c_str());
        cr_expect(answer.find("good") != std::string::npos, "%s: %s", one->type, answer.c_str());
    }
    cr_expect(site.runs() == requestsSent, "%s: %zu runs", one->type, site.runs());
}
