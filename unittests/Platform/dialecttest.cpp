// What the platform's words mean, and what becomes of input that means nothing.
#include "platformdialect.h"
#include "platformdocuments.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace jaytrack;
using jaytrack::testing::entryWith;

namespace {

std::string headerOf(const std::vector<HttpHeader> &headers, std::string_view name)
{
    return std::string(findHeader(headers, name));
}

struct BadInput
{
    char name[24];
    char text[160];
};

} // namespace

Test(platformDialect, requestIsDescribed)
{
    const auto dialect = makePlatformDialect();
    const std::vector<HttpHeader> headers = {
            {"X-Attempt-Id", "9c41"},       {"X-Model", "m"},
            {"X-Token-Count", "1460,80"},   {"X-Deadline-Ms", "39000"},
            {"Authorization", "Token k-1"}, {"X-Length-Hint", "55"},
            {"Last-Event-Id", "7"}};
    const RequestFacts facts = dialect->describe(headers);
    cr_assert_eq(facts.attemptId, std::string("9c41"));
    cr_assert_eq(facts.key, std::string("k-1"));
    cr_assert(facts.timeLeft == std::chrono::milliseconds(39000));
    cr_assert(facts.lastEventId == 7U);
    cr_assert_eq(facts.generation->promptTokens, 1460);
    cr_assert_eq(facts.generation->maxOutputTokens, 80);
    cr_assert(facts.generation->expectedOutputTokens == 55U);
}

namespace {

struct PartsCase
{
    char name[24];
    char list[64];
    char second[16]; // another header of the same name; empty for none
    char shared[32];
};

} // namespace

// Guards against a part of a prompt that is not recognised, or a request's own part taken for one
// that others share, where callers write the list in other ways.
ParameterizedTestParameters(platformDialect, sharedPartsAreAllButTheLast)
{
    static PartsCase cases[] = {
            {"usual", "5c1e07a2:800,91bd3f06:410,e4402b7d:250", "", "5c1e07a2 91bd3f06"},
            {"none", "", "", ""},
            {"its own only", "aa:1", "", ""},
            {"capitals and blanks", " AA:1 , bb:2, cc:3", "", "aa bb"},
            {"without tokens", "aa,bb,cc", "", "aa bb"},
            {"without ids", ":1,aa:1,,bb:2,:3", "", "aa"},
            {"in two headers", "aa:1,bb:1", "cc:1", "aa bb"}};
    return cr_make_param_array(PartsCase, cases, std::size(cases));
}

ParameterizedTest(PartsCase *param, platformDialect, sharedPartsAreAllButTheLast)
{
    const auto dialect = makePlatformDialect();
    std::vector<HttpHeader> headers = {{"X-Prefix-Hash", param->list}};
    if (param->second[0] != '\0')
        headers.push_back({"x-prefix-hash", param->second});
    std::string shared;
    for (const std::string &id : dialect->describe(headers).sharedParts)
        shared += (shared.empty() ? "" : " ") + id;
    cr_assert_eq(shared, std::string(param->shared), "%s: [%s]", param->name, shared.c_str());
}

// Guards against lists without end that take the memory of an instance.
Test(platformDialect, sharedPartsAreBounded)
{
    const auto dialect = makePlatformDialect();
    std::string list;
    for (int i = 0; i < 5000; ++i)
        list += std::to_string(i) + ":1,";
    const std::vector<HttpHeader> headers = {{"X-Prefix-Hash", list}};
    const std::vector<std::string> shared = dialect->describe(headers).sharedParts;
    cr_assert_eq(shared.size(), 64);
    cr_assert_eq(shared.front(), std::string("0"));
    cr_assert_eq(shared.back(), std::string("4998"));
}

// What a caller sets of the instance's own headers must never reach an engine.
Test(platformDialect, callersOwnOrdersAreDropped)
{
    const auto dialect = makePlatformDialect();
    const std::vector<HttpHeader> headers = {{"X-Attempt-Id", "a"},
                                             {"X-Tenant", "forged"},
                                             {"X-Retention", "h"},
                                             {"X-Pin-Ms", "9"},
                                             {"X-Kv-Backup", "x"},
                                             {"Kv-From", "1.2.3.4:5/h"},
                                             {"Kv-Fetch", "y"},
                                             {"Authorization", "Token secret"},
                                             {"x-request-priority", "0"},
                                             {"X-Expect-Instance", "other"},
                                             {"X-Own", "kept"}};
    ForwardOptions orders;
    orders.timeLeft = std::chrono::milliseconds(1234);
    orders.targetName = "i-1";
    orders.customer = "cust";
    orders.priority = 2;
    orders.resume = ResumePoint{"10.0.0.1:80", "h7"};
    orders.lastEventId = 5;
    const std::vector<HttpHeader> made = dialect->forwardHeaders(headers, orders);
    cr_assert_eq(headerOf(made, "X-Attempt-Id"), std::string("a"));
    cr_assert_eq(headerOf(made, "X-Own"), std::string("kept"));
    cr_assert_eq(headerOf(made, "X-Tenant"), std::string("cust"));
    cr_assert_eq(headerOf(made, "X-Deadline-Ms"), std::string("1234"));
    cr_assert_eq(headerOf(made, "X-Expect-Instance"), std::string("i-1"));
    cr_assert_eq(headerOf(made, "X-Request-Priority"), std::string("2"));
    cr_assert_eq(headerOf(made, "Kv-From"), std::string("10.0.0.1:80/h7"));
    cr_assert_eq(headerOf(made, "Last-Event-Id"), std::string("5"));
    for (const char *name : {"X-Retention", "X-Pin-Ms", "X-Kv-Backup", "Kv-Fetch", "Authorization"})
        cr_assert(headerOf(made, name).empty(), "%s", name);
}

Test(platformDialect, refusalsAreTold)
{
    const auto dialect = makePlatformDialect();
    const std::vector<HttpHeader> shed = {{"X-Not-Executed", "1"}};
    cr_assert(dialect->describeAnswer(503, shed).notExecuted);
    for (const HttpHeader &mark :
         {HttpHeader{"X-Instance", "i-2"}, HttpHeader{"X-Attempt-Id", "a1"},
          HttpHeader{"X-Not-Executed", "1"}}) {
        const std::vector<HttpHeader> misdirected = {mark};
        cr_assert(dialect->describeAnswer(421, misdirected).notExecuted, "%s", mark.name.c_str());
        cr_assert(dialect->describeAnswer(421, misdirected).misdirected, "%s", mark.name.c_str());
    }
    cr_assert_not(dialect->describeAnswer(421, {}).notExecuted);
    cr_assert_not(dialect->describeAnswer(421, {}).misdirected);
    cr_assert_not(dialect->describeAnswer(503, shed).misdirected);
    cr_assert_not(dialect->describeAnswer(503, {}).notExecuted);
    cr_assert_eq(dialect->retryAfterHeader(std::chrono::milliseconds(250)).value,
                 std::string("0.250"));
}

namespace {

struct SaidCase
{
    char name[24];
    int status;
    char header[16];
    char value[16];
    bool leaving;
    int restMs; // 0 for none
};

} // namespace

namespace {

struct LimitCase
{
    char name[24];
    int status;
    char value[16];
    double limit; // negative for none that can be read
    bool namesNone;
};

LimitCase limitCases[] = {
        {"whole", 200, "3", 3, false},
        {"part", 200, "2.5", 2.5, false},
        {"in a failure", 500, "0.4", 0.4, false},
        {"in a refusal", 503, "7", 7, false},
        {"nothing", 200, "0", 0, false},
        {"none named", 200, "", -1, true},
        {"another's", 421, "3", -1, false},
        {"another's, none", 421, "", -1, false},
        {"negative", 200, "-1", -1, false},
        {"no number", 200, "many", -1, false},
        {"infinite", 200, "inf", -1, false},
        {"nan", 200, "nan", -1, false},
        {"with a unit", 200, "3/s", -1, false},
        {"out of range", 200, "1e999", -1, false},
};

} // namespace

// Guards against a limit that is misread, taken from another target, or ended by a word that
// cannot be read.
ParameterizedTestParameters(platformDialect, limitsAreDecoded)
{
    return cr_make_param_array(LimitCase, limitCases, std::size(limitCases));
}

ParameterizedTest(LimitCase *param, platformDialect, limitsAreDecoded)
{
    std::vector<HttpHeader> headers;
    if (param->value[0] != 0)
        headers.push_back({"server-limit", param->value});
    const AnswerFacts said = makePlatformDialect()->describeAnswer(param->status, headers);
    cr_expect_float_eq(said.limitPerSecond.value_or(-1), param->limit, 1e-9, "%s", param->name);
    cr_expect_eq(said.reportsNoLimit, param->namesNone, "%s", param->name);
}

// What a target tells of itself beside its answer. Only its own word counts, and only a number.
ParameterizedTestParameters(platformDialect, selfReportsAreDecoded)
{
    static SaidCase cases[] = {{"leaving", 200, "server-leaving", "1", true, 0},
                               {"not leaving", 200, "Server-Leaving", "0", false, 0},
                               {"another's", 421, "Server-Leaving", "1", false, 0},
                               {"rest", 503, "Retry-After", "3", false, 3000},
                               {"part of a second", 503, "Retry-After", "0.25", false, 250},
                               {"for ever", 503, "Retry-After", "1e300", false, 600'000},
                               {"infinite", 503, "Retry-After", "inf", false, 600'000},
                               {"not turned away", 200, "Retry-After", "3", false, 0},
                               {"none", 503, "Retry-After", "0", false, 0},
                               {"negative", 503, "Retry-After", "-2", false, 0},
                               {"no number", 503, "Retry-After", "nan", false, 0},
                               {"a date", 503, "Retry-After", "Thu, 03 Dec", false, 0}};
    return cr_make_param_array(SaidCase, cases, std::size(cases));
}

ParameterizedTest(SaidCase *param, platformDialect, selfReportsAreDecoded)
{
    const auto dialect = makePlatformDialect();
    const std::vector<HttpHeader> headers = {{param->header, param->value}};
    const AnswerFacts said = dialect->describeAnswer(param->status, headers);
    cr_assert_eq(said.leaving, param->leaving, "%s", param->name);
    cr_assert_eq(said.backOffFor.value_or(std::chrono::milliseconds(0)).count(), param->restMs,
                 "%s", param->name);
}

Test(platformDialect, configurationIsDecoded)
{
    const auto dialect = makePlatformDialect();
    const Result<RoutingTable> table = dialect->decodeConfiguration(
            R"({"Version":7,"Routes":[{"Name":"r","Host":"h","Prefix":"/p/","Type":"stream","TimeoutMs":39000,
            "SloMs":1800,"Priority":1,"Backends":[{"Service":"s","Weight":90},{"Service":"t","Weight":10}],
            "MaxAttempts":1,"Public":false,"Resumable":true,"ItlTargetMs":180}],
            "Services":[{"Name":"s","MaxConns":242,"Engine":{"Slots":24,"KvCapacity":34232,"Moves":true,
            "Stride":4,"HandleTtlS":5.0}}],"Limits":{"MaxHeaderBytes":100},
            "Tenants":[{"Name":"c","ApiKeys":["k1","k2"],"Priority":3}]})");
    cr_assert(table.has_value());
    const RouteRule &route = table.value().routes.front();
    cr_assert(route.kind == RequestKind::ResumableStream);
    cr_assert(route.objective == std::chrono::milliseconds(1800));
    cr_assert(route.longestPause == std::chrono::milliseconds(180));
    cr_assert_eq(route.services.size(), 2);
    cr_assert_eq(table.value().serviceNamed("s")->engine->memoryTokens, 34232);
    cr_assert(table.value().serviceNamed("s")->engine->handleLifetime == std::chrono::seconds(5));
    cr_assert_eq(table.value().limits.headerBytes, 100);
    cr_assert_eq(table.value().limits.bodyBytes, CallerLimits().bodyBytes);
    cr_assert_eq(table.value().holderOf("k2")->customer, std::string("c"));
    cr_assert(table.value().holderOf("k2")->priority == 3);
    cr_assert_null(table.value().holderOf("k3"));
}

ParameterizedTestParameters(platformDialect, badConfigurationIsRefusedByNumber)
{
    static BadInput cases[] = {
            {"no json", "nonsense"},
            {"no version", R"({"Routes":[]})"},
            {"no routes", R"({"Version":1})"},
            {"version is text", R"({"Version":"1","Routes":[]})"},
            {"unknown type",
             R"({"Version":1,"Routes":[{"Host":"h","Prefix":"/","Type":"odd","Service":"s"}]})"},
            {"no service", R"({"Version":1,"Routes":[{"Host":"h","Prefix":"/","Type":"safe"}]})"},
            {"empty", ""}};
    return cr_make_param_array(BadInput, cases, std::size(cases));
}

ParameterizedTest(BadInput *param, platformDialect, badConfigurationIsRefusedByNumber)
{
    const auto table = makePlatformDialect()->decodeConfiguration(param->text);
    cr_assert_not(table.has_value(), "%s", param->name);
    cr_assert_eq(static_cast<int>(table.error().code), 501, "%s", param->name);
}

ParameterizedTestParameters(platformDialect, badStoreAnswersAreRefused)
{
    static BadInput cases[] = {{"no json", "<html>"},
                               {"no revision", R"({"events":[]})"},
                               {"no list", R"({"At":5})"},
                               {"list is an object", R"({"At":5,"events":{"Key":"a"}})"},
                               {"revision is text", R"({"At":"5","events":[]})"},
                               {"cut off", R"({"At":5,"events":[{"Key":"a")"}};
    return cr_make_param_array(BadInput, cases, std::size(cases));
}

ParameterizedTest(BadInput *param, platformDialect, badStoreAnswersAreRefused)
{
    cr_assert_not(makePlatformDialect()->decodeChanges(param->text).has_value(), "%s", param->name);
}

// Symptom: an instance hears of no change any more, neither of leaving engines nor of keys that
// were taken away. Events: another writer leaves one item that cannot be read; the watch answers
// with it among others. Cause: the whole answer was refused for it, and asked for again for ever.
ParameterizedTestParameters(platformDialect, badItemCostsOnlyItself)
{
    static BadInput cases[] = {
            {"no base64", R"({"Key":"bad","Value":"!!!!","Revision":5})"},
            {"cut base64", R"({"Key":"bad","Value":"abc","Revision":5})"},
            {"no value", R"({"Key":"bad","Revision":5})"},
            {"value is a number", R"({"Key":"bad","Value":7,"Revision":5})"},
            {"value is null", R"({"Key":"bad","Value":null,"Revision":5})"},
            {"no key", R"({"Value":"bm9kZS0x","Revision":5})"},
            {"key is a number", R"({"Key":5,"Value":"bm9kZS0x","Revision":5})"},
            {"deleted is text", R"({"Key":"bad","Deleted":"yes","Revision":5})"},
            {"revision is huge", R"({"Key":"bad","Value":"!","Revision":1e300})"},
            {"a number", "7"},
            {"a list", R"([{"Key":"bad"}])"},
            {"null", "null"}};
    return cr_make_param_array(BadInput, cases, std::size(cases));
}

ParameterizedTest(BadInput *param, platformDialect, badItemCostsOnlyItself)
{
    const std::string good = R"({"Key":"good","Value":"bm9kZS0x","Revision":4})";
    const std::string last = R"({"Key":"last","Revision":6,"Deleted":true})";
    const std::string body = R"({"At":6,"events":[)" + good + "," + param->text + "," + last + "]}";
    const auto page = makePlatformDialect()->decodeChanges(body);
    cr_assert(page.has_value(), "%s", param->name);
    const std::vector<StoreItem> &items = page.value().items;
    cr_assert_eq(items.size() + page.value().nameless, 3, "%s", param->name);
    cr_assert_eq(items.front().value, std::string("node-1"), "%s", param->name);
    cr_assert(items.back().deleted, "%s", param->name);
    if (items.size() == 3) {
        cr_assert_eq(items[1].key, std::string("bad"), "%s", param->name);
        cr_assert(items[1].unreadable, "%s", param->name);
    }
}

namespace {

struct EntryCase
{
    char field[16];
    char text[48];
    bool good;
};

} // namespace

// An entry that another writer left names no target, whichever field gives it away.
ParameterizedTestParameters(platformDialect, entriesOfOtherWritersNameNoTarget)
{
    static EntryCase cases[] = {{"", "", true},
                                {"born", "", true}, // deployments whose targets do not tell it
                                {"ColdLeftMs", "996.5", true},
                                {"State", R"("draining")", true},
                                {"Service", "", false},
                                {"Service", "7", false},
                                {"Service", R"("")", false},
                                {"Address", "", false},
                                {"Address", R"("nowhere")", false},
                                {"Address", R"("10.0.0.1")", false},
                                {"Address", R"("10.0.0.1:99999")", false},
                                {"Address", R"(["10.0.0.1:80"])", false},
                                {"Zone", "", false},
                                {"Zone", "null", false},
                                {"Version", "1", false},
                                {"Slots", "", false},
                                {"Slots", R"("24")", false},
                                {"Slots", "24.5", false},
                                {"Slots", "-1", false},
                                {"Slots", "0", false},
                                {"Slots", "1e300", false},
                                {"Slots", "18446744073709551615", false},
                                {"State", "", false},
                                {"State", R"("resting")", false},
                                {"State", "true", false},
                                {"State", R"(["ready"])", false},
                                {"ColdLeftMs", "", false},
                                {"ColdLeftMs", R"("0")", false},
                                {"ColdLeftMs", "1e300", false},
                                {"ColdLeftMs", "-1", false},
                                {"Seq", "", false},
                                {"Seq", R"("3")", false},
                                {"Seq", "-3", false},
                                {"born", R"("1791614788022")", false},
                                {"born", "1791614788022.5", false},
                                {"born", "0", false},
                                {"born", "-5", false},
                                {"born", "null", false}};
    return cr_make_param_array(EntryCase, cases, std::size(cases));
}

ParameterizedTest(EntryCase *param, platformDialect, entriesOfOtherWritersNameNoTarget)
{
    const auto entry = makePlatformDialect()->decodeTarget("servers/i-1",
                                                           entryWith(param->field, param->text));
    cr_assert_eq(entry.has_value(), param->good, "%s = %s", param->field, param->text);
    if (entry.has_value()) {
        cr_assert_eq(entry.value().name, std::string("i-1"));
        const bool told = std::string_view(param->field) != "born";
        cr_assert_eq(entry.value().id, std::string(told ? "i-1@1791614788022" : "i-1"));
    }
}

ParameterizedTestParameters(platformDialect, unreadableEntriesNameNoTarget)
{
    static BadInput cases[] = {{"empty", ""},
                               {"no json", "ready"},
                               {"a list", "[1,2]"},
                               {"a text", R"("ready")"},
                               {"null", "null"},
                               {"cut off", R"({"Service":"svc","Address":"10.0.0.1:80")"},
                               {"no utf-8", "{\"Service\":\"\xff\xfe\"}"},
                               {"zeros", "\x01\x02"}};
    return cr_make_param_array(BadInput, cases, std::size(cases));
}

ParameterizedTest(BadInput *param, platformDialect, unreadableEntriesNameNoTarget)
{
    cr_assert_not(makePlatformDialect()->decodeTarget("servers/i-1", param->text).has_value(), "%s",
                  param->name);
}

// A thousand open brackets must be refused like any other nonsense, not exhaust the stack.
Test(platformDialect, deepNestingIsRefused)
{
    const std::string deep(200000, '[');
    cr_assert_not(makePlatformDialect()->decodeTarget("servers/i-1", deep).has_value());
    cr_assert_not(makePlatformDialect()->decodeChanges(deep).has_value());
    cr_assert_not(makePlatformDialect()->decodeLoad(deep).has_value());
    const std::string closed = deep + std::string(200000, ']');
    cr_assert_not(makePlatformDialect()->decodeTarget("servers/i-1", closed).has_value());
}

ParameterizedTestParameters(platformDialect, reportsOfNonsenseAreRefused)
{
    static BadInput cases[] = {{"waiting is text", R"({"Waiting":"2"})"},
                               {"memory is huge", R"({"KvInUse":1e300})"},
                               {"running is negative", R"({"Running":-1})"},
                               {"start is text", R"({"born":"yesterday"})"},
                               {"a list", "[]"}};
    return cr_make_param_array(BadInput, cases, std::size(cases));
}

ParameterizedTest(BadInput *param, platformDialect, reportsOfNonsenseAreRefused)
{
    cr_assert_not(makePlatformDialect()->decodeLoad(param->text).has_value(), "%s", param->name);
}

namespace {

struct RunsCase
{
    char name[24];
    char text[160];
    char runs[32]; // ids and events of those that are read
};

} // namespace

// Guards against losing an engine's whole load report because of one of its runs, and against
// wrong speeds computed from numbers that are not counts of events.
ParameterizedTestParameters(platformDialect, unreadableRunsAreLeftOut)
{
    static RunsCase cases[] = {
            {"well-formed", R"({"Runs":[["a",3100,17,0],["b",2600,0,2]]})", "a:17 b:0"},
            {"missing", R"({"Running":2})", ""},
            {"empty", R"({"Runs":[]})", ""},
            {"null", R"({"Runs":null})", ""},
            {"an object", R"({"Runs":{"a":[3100,17,0]}})", ""},
            {"text", R"({"Runs":"a"})", ""},
            {"too short", R"({"Runs":[["a",3100,17,0],["b",2600],[],["c",1,5,0]]})", "a:17 c:5"},
            {"not lists", R"({"Runs":[7,null,"a",{"b":1},["c",1,5,0]]})", "c:5"},
            {"id is a number", R"({"Runs":[[4,3100,17,0],["c",1,5,0]]})", "c:5"},
            {"events are text", R"({"Runs":[["a",3100,"17",0],["c",1,5,0]]})", "c:5"},
            {"events are negative", R"({"Runs":[["a",3100,-1,0],["c",1,5,0]]})", "c:5"},
            {"events are fractions", R"({"Runs":[["a",3100,1.5,0],["c",1,5,0]]})", "c:5"},
            {"beyond 32 bits", R"({"Runs":[["a",3100,4294967301,0],["c",1,5,0]]})", "c:5"},
            {"beyond 64 bits", R"({"Runs":[["a",1,18446744073709551616,0],["c",1,5,0]]})", "c:5"},
            {"huge", R"({"Runs":[["a",3100,1e300,0],["c",1,5,0]]})", "c:5"},
            {"huge tokens", R"({"Runs":[["a",1e300,17,0],["c",1,5,0]]})", "a:17 c:5"}};
    return cr_make_param_array(RunsCase, cases, std::size(cases));
}

ParameterizedTest(RunsCase *param, platformDialect, unreadableRunsAreLeftOut)
{
    const auto load = makePlatformDialect()->decodeLoad(param->text);
    cr_assert(load.has_value(), "%s", param->name);
    std::string runs;
    for (const RunProgress &run : load.value().runs)
        runs += (runs.empty() ? "" : " ") + run.run + ":" + std::to_string(run.events);
    cr_assert_eq(runs, std::string(param->runs), "%s: [%s]", param->name, runs.c_str());
}

Test(platformDialect, storeAnswersAreDecoded)
{
    const auto dialect = makePlatformDialect();
    const auto page = dialect->decodeChanges(
            R"({"events":[{"Key":"my/leader","Value":"bm9kZS0x","Revision":412},{"Key":"my/old","Revision":413,"Deleted":true}],"At":413})");
    cr_assert(page.has_value());
    cr_assert_eq(page.value().items[0].value, std::string("node-1"));
    cr_assert(page.value().items[1].deleted);
    cr_assert_eq(page.value().revision, 413);
    const auto load = dialect->decodeLoad(
            R"({"Waiting":2,"Running":12,"KvInUse":41000,"KvSize":90000,"Next":3100,"State":"draining"})");
    cr_assert_eq(load.value().firstWaitingTokens, 3100);
    cr_assert(load.value().leaving);
    cr_assert_eq(dialect->decodeMove(R"({"KvHandle":17,"Created":40})").value().handle,
                 std::string("17"));
}
