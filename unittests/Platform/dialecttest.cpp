// What the platform's words mean, and what becomes of input that means nothing.
#include "platformdialect.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace jaytrack;

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
    ForwardOrders orders;
    orders.timeLeft = std::chrono::milliseconds(1234);
    orders.targetId = "i-1";
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
    cr_assert(dialect->describeAnswer(421, {}).notExecuted);
    cr_assert_not(dialect->describeAnswer(503, {}).notExecuted);
    cr_assert_eq(dialect->comeBackIn(std::chrono::milliseconds(250)).value, std::string("0.250"));
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
    cr_assert(table.value().serviceNamed("s")->engine->handleLife == std::chrono::seconds(5));
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
    static BadInput cases[] = {
            {"no json", "<html>"},
            {"no revision", R"({"events":[]})"},
            {"no list", R"({"At":5})"},
            {"no base64", R"({"At":5,"events":[{"Key":"a","Value":"!!!!","Revision":5}]})"},
            {"cut base64", R"({"At":5,"events":[{"Key":"a","Value":"abc","Revision":5}]})"},
            {"no key", R"({"At":5,"events":[{"Value":"","Revision":5}]})"}};
    return cr_make_param_array(BadInput, cases, std::size(cases));
}

ParameterizedTest(BadInput *param, platformDialect, badStoreAnswersAreRefused)
{
    cr_assert_not(makePlatformDialect()->decodeChanges(param->text).has_value(), "%s", param->name);
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
