// Checks which requests are admitted, refused or denied, depending on route, key and the age of the
// last confirmation.
#include "jaytrack/Routing/admission.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace jaytrack;

namespace {

RoutingTable makeTable()
{
    RoutingTable table;
    table.version = 3;
    table.hasCustomers = true;
    table.holders.emplace("good", KeyHolder{"weavers", std::nullopt});
    RouteRule wideRoute;
    wideRoute.host = "site.example";
    wideRoute.prefix = "/a/";
    wideRoute.kind = RequestKind::Idempotent;
    wideRoute.services = {{"svc", 1}};
    wideRoute.timeout = std::chrono::milliseconds(3000);
    RouteRule narrowRoute = wideRoute;
    narrowRoute.prefix = "/a/b/";
    narrowRoute.kind = RequestKind::OnceStream;
    RouteRule keylessRoute = wideRoute;
    keylessRoute.prefix = "/open/";
    keylessRoute.needsKey = false;
    keylessRoute.timeout = std::chrono::milliseconds(0); // unbounded
    table.routes = {wideRoute, narrowRoute, keylessRoute};
    return table;
}

struct AdmissionCase
{
    char host[24];
    char path[24];
    char key[8];
    char id[4];
    int ageMs;
    bool hasTable;
    int endsInMs; // for a stopping instance; -1 for one that is not stopping
    int deadlineMs;
    int code;
};

} // namespace

ParameterizedTestParameters(admission, admitsRefusesAndDenies)
{
    static AdmissionCase cases[] = {
            {"site.example", "/a/x", "good", "i", 0, true, -1, 0, 0},
            {"site.example:80", "/a/x", "good", "i", 0, true, -1, 0, 0},
            {"site.example", "/a/x", "good", "i", 4400, true, -1, 0, 0},
            // The key may have been revoked since the last confirmation.
            {"site.example", "/a/x", "good", "i", 4600, true, -1, 0, 209},
            {"site.example", "/open/x", "", "i", 60000, true, -1, 0, 0},
            // A denial requires a confirmation no older than the time within which changes are in
            // force.
            {"site.example", "/a/x", "bad", "i", 100, true, -1, 0, 105},
            {"site.example", "/a/x", "", "i", 100, true, -1, 0, 105},
            {"site.example", "/a/x", "bad", "i", 2500, true, -1, 0, 209},
            {"site.example", "/none/", "good", "i", 100, true, -1, 0, 111},
            {"other.example", "/a/x", "good", "i", 100, true, -1, 0, 111},
            {"site.example", "/none/", "good", "i", 2500, true, -1, 0, 209},
            {"site.example", "/a/x", "good", "i", 0, false, -1, 0, 205},
            {"site.example", "/a/x", "good", "", 0, true, -1, 0, 101},
            {"", "/a/x", "good", "i", 0, true, -1, 0, 101},
            // A stopping instance still answers short requests but starts no stream.
            {"site.example", "/a/x", "good", "i", 0, true, 5000, 1000, 0},
            {"site.example", "/a/b/x", "good", "i", 0, true, 5000, 1000, 204},
            // A request that might not complete before the instance exits is refused at once, so
            // that its caller retries elsewhere.
            {"site.example", "/a/x", "good", "i", 0, true, 900, 1000, 204},
            {"site.example", "/a/x", "good", "i", 0, true, 2900, 0, 204},
            {"site.example", "/a/x", "good", "i", 0, true, 3100, 0, 0},
            {"site.example", "/open/x", "good", "i", 0, true, 3100, 0, 204},
    };
    return cr_make_param_array(AdmissionCase, cases, std::size(cases));
}

ParameterizedTest(AdmissionCase *param, admission, admitsRefusesAndDenies)
{
    const RoutingTable table = makeTable();
    RequestFacts facts;
    facts.attemptId = param->id;
    facts.key = param->key;
    AdmissionInputs inputs;
    inputs.table = param->hasTable ? &table : nullptr;
    inputs.age = std::chrono::milliseconds(param->ageMs);
    if (param->endsInMs >= 0)
        inputs.endsIn = std::chrono::milliseconds(param->endsInMs);
    if (param->deadlineMs > 0)
        facts.timeLeft = std::chrono::milliseconds(param->deadlineMs);
    inputs.host = param->host;
    inputs.path = param->path;
    inputs.facts = &facts;
    const Admission admission = admit(inputs, {});
    cr_assert_eq(static_cast<int>(admission.code), param->code, "%s%s age %d: got %d", param->host,
                 param->path, param->ageMs, static_cast<int>(admission.code));
}

Test(routingTable, longestPrefixWins)
{
    const RoutingTable table = makeTable();
    cr_assert_eq(table.match("site.example", "/a/b/c")->prefix, std::string("/a/b/"));
    cr_assert_eq(table.match("site.example", "/a/c")->prefix, std::string("/a/"));
    cr_assert_null(table.match("site.example", "/a"));
}

Test(routingTable, servicesAreDrawnByWeight)
{
    RouteRule route;
    route.services = {{"large", 90}, {"small", 10}};
    cr_assert_eq(RoutingTable::pickService(route, 0.0), std::string("large"));
    cr_assert_eq(RoutingTable::pickService(route, 0.89), std::string("large"));
    cr_assert_eq(RoutingTable::pickService(route, 0.91), std::string("small"));
    cr_assert_eq(RoutingTable::pickService(route, 0.999), std::string("small"));
}
