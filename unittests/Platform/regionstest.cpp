// Requests whose route or customer may only be served in some regions.
#include "entryfixture.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace jaytrack;
using namespace jaytrack::testing;

namespace {

const std::string ownHeaders = "X-Attempt-Id: a1\r\nX-Server-Stamp: s\r\n";
const std::map<std::string, std::string, std::less<>> regionsOfTests = {{"dc-n", "north"},
                                                                        {"dc-s", "south"}};

Answer answerAs(const std::string &name, const SeenRequest &request)
{
    const bool isReport = request.head.path() == "/jaytrack/report";
    return wholeAnswer(200, isReport ? "" : ownHeaders, isReport ? "{}" : name);
}

ScriptedServer::Script targetNamed(const std::string &name)
{
    return [name](const SeenRequest &request) { return answerAs(name, request); };
}

std::string entryIn(const ScriptedServer &target, const std::string &dataCentre)
{
    return targetJson(target.address(), "ready", "svc", dataCentre);
}

struct RegionCase
{
    char name[48];
    char route[16];    // regions of the route, parted by a space; empty for all
    char customer[16]; // the same of the customer
    bool north;        // whether the target there may be used
    bool south;
    bool unknown; // one whose data centre the settings name no region for
};

RegionCase regionCases[] = {
        {"nothing is said", "", "", true, true, true},
        {"the route has one", "north", "", true, false, false},
        {"the customer has one", "", "south", false, true, false},
        {"both bind", "north", "south", false, false, false},
        {"both have several", "north south", "south", false, true, false},
        {"no such region", "west", "", false, false, false},
};

nlohmann::json namesOf(const std::string &text)
{
    nlohmann::json names = nlohmann::json::array();
    if (text.empty())
        return names;
    const std::size_t space = text.find(' ');
    names.push_back(text.substr(0, space));
    if (space != std::string::npos)
        names.push_back(text.substr(space + 1));
    return names;
}

} // namespace

// Guards against a request that is served outside of its regions, and against one that is refused
// where nothing forbids it.
ParameterizedTestParameters(allowedRegions, bind)
{
    return cr_make_param_array(RegionCase, regionCases, std::size(regionCases));
}

ParameterizedTest(RegionCase *given, allowedRegions, bind)
{
    RouteSpec route;
    route.type = "safe";
    FixtureOptions options;
    options.regions = regionsOfTests;
    EntryFixture entry({route}, options);
    nlohmann::json document = configurationJson(2, {route});
    document["Routes"][0]["AllowedRegions"] = namesOf(given->route);
    document["Tenants"][0]["AllowedRegions"] = namesOf(given->customer);
    entry.publish(document);
    ScriptedServer north(targetNamed("north"));
    ScriptedServer south(targetNamed("south"));
    ScriptedServer unknown(targetNamed("unknown"));
    entry.list("i-n", north, entryIn(north, "dc-n"));
    entry.list("i-s", south, entryIn(south, "dc-s"));
    entry.list("i-u", unknown, entryIn(unknown, "dc-u"));
    std::map<std::string, int> served;
    for (int i = 0; i < 60; ++i) {
        const std::string answer = callOnce(entry.port(), requestText({})).bytes;
        const bool refused = answer.starts_with("HTTP/1.1 503");
        ++served[refused ? "refused" : answer.substr(answer.rfind('\n') + 1)];
    }
    cr_expect_eq(served["north"] > 0, given->north, "%s", given->name);
    cr_expect_eq(served["south"] > 0, given->south, "%s", given->name);
    cr_expect_eq(served["unknown"] > 0, given->unknown, "%s", given->name);
    const bool any = given->north || given->south || given->unknown;
    cr_expect_eq(served["refused"], any ? 0 : 60, "%s", given->name);
}
