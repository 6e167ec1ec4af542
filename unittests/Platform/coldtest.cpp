// Targets that are cold, as they see it themselves.
#include "entryfixture.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <thread>

using namespace jaytrack;
using namespace jaytrack::testing;

namespace {

constexpr int coldRate = 8;
constexpr int requests = 40;
const std::string ownHeaders = "X-Attempt-Id: a1\r\nX-Server-Stamp: s\r\n";

Answer answerWith(const SeenRequest &request, const std::string &said)
{
    if (isReport(request))
        return wholeAnswer(200, said, "{}");
    return wholeAnswer(200, ownHeaders, "good");
}

nlohmann::json configurationWithColdRate(const std::vector<RouteSpec> &routes)
{
    nlohmann::json document = configurationJson(2, routes);
    document["Services"][0]["ColdPerS"] = coldRate;
    document["Services"][0]["ColdStartS"] = 1.0;
    return document;
}

std::string entryWith(const ScriptedServer &target, int coldMillis)
{
    return targetJson(target.address(), "ready", "svc", "dc", coldMillis);
}

enum class Teller { Store, Answer, Nobody };

struct TellerCase
{
    char name[24];
    Teller teller;
    bool bounded;
};

TellerCase tellerCases[] = {
        {"its entry", Teller::Store, true},
        {"only its answers", Teller::Answer, true},
        {"nobody", Teller::Nobody, false},
};

} // namespace

// Guards against giving a cold target more than it bears, whoever tells that it is cold.
ParameterizedTestParameters(coldTarget, getsWhatItBears)
{
    return cr_make_param_array(TellerCase, tellerCases, std::size(tellerCases));
}

ParameterizedTest(TellerCase *given, coldTarget, getsWhatItBears)
{
    RouteSpec route;
    route.type = "safe";
    EntryFixture entry({route});
    entry.publish(configurationWithColdRate({route}));
    const std::string said = given->teller == Teller::Answer ? "X-Cold-Ms: 20000\r\n" : "";
    ScriptedServer target(
            [&said](const SeenRequest &request) { return answerWith(request, said); });
    entry.list("i-1", target);
    // The instance is to have known for a while that it is alone.
    std::this_thread::sleep_for(std::chrono::milliseconds(3100));
    entry.store.put("servers/i-1", entryWith(target, given->teller == Teller::Store ? 20000 : 0));
    std::this_thread::sleep_for(std::chrono::milliseconds(400));
    const std::size_t before = workSeen(target);
    std::size_t refused = 0;
    for (int i = 0; i < requests; ++i) {
        const std::string answer = callOnce(entry.port(), requestText({})).bytes;
        const bool turnedAway = answer.starts_with("HTTP/1.1 503");
        refused += turnedAway ? 1 : 0;
        cr_expect(!turnedAway || answer.find("Retry-After") != std::string::npos);
    }
    const std::size_t given1 = workSeen(target) - before;
    cr_expect_eq(given1 + refused, requests);
    if (given->bounded) {
        cr_expect_leq(given1, coldRate, "%s", given->name);
        cr_expect_gt(given1, 0, "%s: left idle", given->name);
    } else {
        cr_expect_eq(refused, 0, "%s", given->name);
    }
}
