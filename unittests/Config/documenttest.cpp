#include "jaytrack/Config/documentstore.h"
#include "jaytrack/Config/inventory.h"
#include "jaytrack/Config/settings.h"

#include "temporaryfile.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <algorithm>

using namespace jaytrack;
using namespace jaytrack::test;

namespace {

const std::string goodDocument = R"({"models":[],"engines":[],"services":[],"customers":[]})";

bool contains(const Problems &problems, ResultCode code, std::string_view key)
{
    return std::any_of(problems.begin(), problems.end(), [&](const Problem &problem) {
        return problem.code == code && problem.key == key && problem.line > 0;
    });
}

} // namespace

struct BadDocument
{
    char text[400];
    ResultCode code;
};

ParameterizedTestParameters(document, rejectsFaultyDocument)
{
    static BadDocument cases[] = {
            {"", ResultCode::DocumentMalformed},
            {"{", ResultCode::DocumentMalformed},
            {"[]", ResultCode::DocumentMalformed},
            {R"({"models":[]})", ResultCode::DocumentMalformed},
            {R"({"models":7,"engines":[],"services":[],"customers":[]})",
             ResultCode::DocumentMalformed},
            {R"({"models":[],"engines":[{"name":"e","dc":"d","address":"a","model":"m","slots":1,)"
             R"("memory":1,"leaving":false,"can":[]}],"services":[],"customers":[]})",
             ResultCode::DocumentDanglingName},
            {R"({"models":[],"engines":[],"services":[],"customers":[)"
             R"({"name":"c","keys":[],"weight":1,"max_concurrent":1},)"
             R"({"name":"c","keys":[],"weight":1,"max_concurrent":1}]})",
             ResultCode::DocumentDuplicateName},
            {R"({"models":[],"engines":[],"services":[{"name":"v1","targets":[],"routes":[],)"
             R"("deduplicates":false,"timeout_ms":1}],"customers":[]})",
             ResultCode::DocumentMalformed},
    };
    return cr_make_param_array(BadDocument, cases, std::size(cases));
}

// A faulty document is rejected and leaves the current one in effect, whatever the fault.
ParameterizedTest(BadDocument *param, document, rejectsFaultyDocument)
{
    const auto parsed = Document::parse(param->text, 2);
    cr_assert(!parsed);
    cr_assert(parsed.error().code == param->code, "got %d: %s",
              static_cast<int>(parsed.error().code), parsed.error().detail.c_str());
    DocumentStore store;
    cr_assert(store.offer(goodDocument, 1, "test") == OfferVerdict::Accepted);
    cr_assert(store.offer(param->text, 2, "test") == OfferVerdict::Faulty);
    cr_assert(store.revision() == 1);
    cr_assert(store.current()->revision == 1);
}

// Guards against a revoked rule taking effect again: a lagging replica or a peer that was paused
// offers its older document, and the store accepts the latest offer instead of the highest
// revision.
Test(documentstore, neverReverts)
{
    DocumentStore store;
    cr_assert(store.offer(goodDocument, 5, "service") == OfferVerdict::Accepted);
    cr_assert(store.offer(goodDocument, 4, "replica") == OfferVerdict::Stale);
    cr_assert(store.offer(goodDocument, 5, "peer") == OfferVerdict::Same);
    cr_assert(store.revision() == 5);
    cr_assert(store.current()->revision == 5);
}

Test(documentstore, requestsKeepTheirRevision)
{
    DocumentStore store;
    store.offer(goodDocument, 1, "test");
    const auto held = store.current();
    store.offer(goodDocument, 2, "test");
    cr_assert(held->revision == 1);
    cr_assert(store.current()->revision == 2);
}

Test(service, defaultsToNotIdempotent)
{
    Service service;
    service.routes = {{"GET", "/", true}, {"GET", "/pay", false}, {"POST", "/read", true}};
    cr_assert(service.isIdempotent("GET", "/anything"));
    cr_assert(!service.isIdempotent("GET", "/pay/now"), "the longer route decides");
    cr_assert(service.isIdempotent("POST", "/read"));
    cr_assert(!service.isIdempotent("POST", "/order"));
    cr_assert(!service.isIdempotent("DELETE", "/read"));
}

struct BadSettings
{
    char line[80]; // added to otherwise valid settings
    ResultCode code;
    char key[40];
};

ParameterizedTestParameters(settings, reportsEachFault)
{
    static BadSettings cases[] = {
            {"[limits]\nunknown = 1\n", ResultCode::SettingsUnknownKey, "limits.unknown"},
            {"[limits]\nrequests = \"many\"\n", ResultCode::SettingsWrongType, "limits.requests"},
            {"[limits]\nrequests = 0\n", ResultCode::SettingsOutOfRange, "limits.requests"},
            {"[targets]\nthreads = 1.5\n", ResultCode::SettingsWrongType, "targets.threads"},
            {"[limits]\nabandon_grace_ms = -1\n", ResultCode::SettingsOutOfRange,
             "limits.abandon_grace_ms"},
    };
    return cr_make_param_array(BadSettings, cases, std::size(cases));
}

ParameterizedTest(BadSettings *param, settings, reportsEachFault)
{
    const TemporaryFile file(std::string("name = \"a\"\ndata_centre = \"d\"\n"
                                         "[callers]\naddress = \"127.0.0.1\"\nport = 1\n"
                                         "[peers]\naddress = \"127.0.0.1\"\nport = 2\n"
                                         "keys = [\"0123456789abcdef\"]\n"
                                         "[platform]\nconfig_url = \"http://127.0.0.1:3/\"\n") +
                             param->line);
    Problems problems;
    readSettings(file.name(), problems);
    cr_assert(problems.size() == 1, "%zu problems", problems.size());
    cr_assert(contains(problems, param->code, param->key), "%s", problems[0].text().c_str());
}

// All faults of a file are reported in one run, so that operators need not restart once per fault.
Test(settings, reportsAllFaults)
{
    const TemporaryFile file("name = 7\nwhat = 1\n[peers]\naddress = \"x\"\nport = 99999\n");
    Problems problems;
    readSettings(file.name(), problems);
    cr_assert(contains(problems, ResultCode::SettingsWrongType, "name"));
    cr_assert(contains(problems, ResultCode::SettingsUnknownKey, "what"));
    cr_assert(contains(problems, ResultCode::SettingsOutOfRange, "peers.port"));
    cr_assert(contains(problems, ResultCode::SettingsMissing, "data_centre"));
}

Test(settings, rejectsInvalidToml)
{
    const TemporaryFile file("name = \n");
    Problems problems;
    readSettings(file.name(), problems);
    cr_assert(problems.size() == 1);
    cr_assert(problems[0].code == ResultCode::SettingsUnreadable);
    cr_assert(problems[0].line == 1);
}

Test(inventory, reportsFaultsInBothFiles)
{
    const TemporaryFile inventory("data_centres = [\"falun\"]\n"
                                  "[[engines]]\nname = \"e\"\ndata_centre = \"mora\"\n"
                                  "address = \"1\"\nmodel = \"m\"\nmemory_tokens = 5000\n"
                                  "supports = [\"flight\"]\n"
                                  "[[customers]]\nname = \"c\"\nkey_digests = [\"short\"]\n");
    const TemporaryFile rules("[[customers]]\nname = \"nobody\"\n");
    Problems problems;
    compileInventory(inventory.name(), rules.name(), problems);
    cr_assert(contains(problems, ResultCode::DocumentDanglingName, "engines[0].data_centre"));
    cr_assert(contains(problems, ResultCode::SettingsOutOfRange, "engines[0].supports"));
    cr_assert(contains(problems, ResultCode::DocumentDanglingName, "engines[0].model"));
    cr_assert(contains(problems, ResultCode::SettingsOutOfRange, "customers[0].key_digests"));
    cr_assert(contains(problems, ResultCode::DocumentDanglingName, "customers[0].name"));
}

Test(inventory, examplesCompileReproducibly)
{
    for (const char *name : {"weavers", "mould"}) {
        const std::string folder = std::string(JAYTRACK_EXAMPLES) + "/" + name;
        Problems problems;
        const Document document =
                compileInventory(folder + "/inventory.toml", folder + "/rules.toml", problems);
        cr_assert(problems.empty());
        cr_assert(document.engines.size() == 20 && document.customers.size() == 10);
        const auto parsed = Document::parse(document.serialise(), 1);
        cr_assert(parsed);
        cr_assert_eq(parsed.value()->serialise(), document.serialise());
        cr_assert(describeChanges(document, *parsed.value()).empty());
    }
}

Test(document, describesChanges)
{
    Document from;
    from.customers.push_back({"dyers", {}, 1, 100});
    from.customers.push_back({"weavers", {}, 1, 100});
    Document to;
    to.customers.push_back({"weavers", {}, 5, 100});
    to.customers.push_back({"spinners", {}, 1, 100});
    const std::vector<std::string> lines = describeChanges(from, to);
    cr_assert(lines.size() == 3);
    cr_assert_eq(lines[0], std::string("customer dyers is removed"));
    cr_assert_eq(lines[1], std::string("customer weavers: weight changes from 1 to 5"));
    cr_assert_eq(lines[2], std::string("customer spinners is added"));
}
