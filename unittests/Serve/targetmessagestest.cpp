// What engines and the platform's instance list may send.
#include "jaytrack/Serve/targetmessages.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <array>

using namespace jaytrack;

namespace {

struct PieceCase
{
    std::array<char, 96> data;
    bool chat;
    bool valid;
    std::array<char, 16> text;
};

struct ReportCase
{
    std::array<char, 64> body;
    bool valid;
    std::uint64_t memory;
};

} // namespace

ParameterizedTestParameters(targetMessages, piecesOfGenerations)
{
    static std::array<PieceCase, 17> cases = {{
            {{R"({"choices":[{"delta":{"content":"a"}}]})"}, true, true, {"a"}},
            {{R"({"choices":[{"delta":{"content":null}}]})"}, true, true, {""}},
            {{R"({"choices":[{"delta":{},"finish_reason":"stop"}]})"}, true, true, {""}},
            {{R"({"choices":[{"finish_reason":null}]})"}, true, true, {""}},
            {{R"({"choices":[{"text":"b"}]})"}, false, true, {"b"}},
            {{R"({"choices":[{"text":null}]})"}, false, true, {""}},
            {{R"({"choices":[{"delta":{"content":5}}]})"}, true, false, {""}},
            {{R"({"choices":[{"delta":5}]})"}, true, false, {""}},
            {{R"({"choices":[{"text":{}}]})"}, false, false, {""}},
            {{R"({"choices":[{"finish_reason":7}]})"}, true, false, {""}},
            {{R"({"choices":[5]})"}, true, false, {""}},
            {{R"({"choices":{"a":1}})"}, true, false, {""}},
            {{R"({"choices":[]})"}, true, false, {""}},
            {{R"([1])"}, true, false, {""}},
            {{"\xff"}, true, false, {""}},
            {{"{\"choices\":[{\"text\":\"\xff\"}]}"}, false, false, {""}},
            {{""}, true, false, {""}},
    }};
    return cr_make_param_array(PieceCase, cases.data(), cases.size());
}

// Guards against an engine whose event ends the process.
ParameterizedTest(PieceCase *param, targetMessages, piecesOfGenerations)
{
    const auto piece = decodePiece(param->data.data(), param->chat);
    cr_expect_eq(piece.has_value(), param->valid, "%s", param->data.data());
    if (piece)
        cr_expect_eq(piece->text, std::string(param->text.data()), "%s", param->data.data());
}

ParameterizedTestParameters(targetMessages, loadReports)
{
    static std::array<ReportCase, 22> cases = {
            {{{R"({"memory_used":7,"running":1})"}, true, 7},
             {{R"({"memory_used":-1})"}, false, 0},
             {{R"({"memory_used":1e300})"}, false, 0},
             {{R"({"memory_used":1e999})"}, false, 0},
             {{R"({"memory_used":18446744073709551615})"}, false, 0},
             {{R"({"memory_used":99999999999999999999999})"}, false, 0},
             {{R"({"memory_used":7.5})"}, true, 7},
             {{R"({"running":-1})"}, false, 0},
             {{R"({"running":4294967296})"}, false, 0},
             {{R"({"running":1e300})"}, false, 0},
             {{R"({"running":-0.5})"}, false, 0},
             {{R"({"waiting":-1})"}, false, 0},
             {{R"({"waiting":1e10})"}, false, 0},
             {{R"({"memory_used":null})"}, false, 0},
             {{R"({"memory_used":7,"x":"\ud800"})"}, false, 0},
             {{"{\"memory_used\":7,\"x\":\"\xff\"}"}, false, 0},
             {{R"({})"}, true, 0},
             {{R"({"memory_used":"x"})"}, false, 0},
             {{R"({"running":{}})"}, false, 0},
             {{R"({"leaving":"yes"})"}, false, 0},
             {{R"([])"}, false, 0},
             {{"\xff"}, false, 0}}};
    return cr_make_param_array(ReportCase, cases.data(), cases.size());
}

// Guards against an engine whose load report ends the process.
ParameterizedTest(ReportCase *param, targetMessages, loadReports)
{
    const auto report = decodeLoadReport(param->body.data());
    cr_expect_eq(report.has_value(), param->valid, "%s", param->body.data());
    if (report)
        cr_expect_eq(report->memoryUsed, param->memory, "%s", param->body.data());
}

// Guards against a list of instances that ends the process, and against one bad entry that costs
// the others.
Test(targetMessages, badEntriesOfTheInstanceListCostOnlyThemselves)
{
    const auto list = decodeInstances(
            R"([{"name":"a","peer":"1.2.3.4:5"},{"name":7},5,null,{"leaving":"x"},{"name":"b"}])");
    cr_assert(list && list->size() == 2);
    cr_expect_eq(list->back().name, std::string("b"));
    for (const char *bad : {"{}", "5", "", "\xff", "[\"\xff\"]"})
        cr_expect_not(decodeInstances(bad).has_value(), "%s", bad);
}

struct AddressCase
{
    std::array<char, 48> address;
    bool usable;
};

ParameterizedTestParameters(targetMessages, addressesOfInstances)
{
    static std::array<AddressCase, 15> cases = {{
            {{"127.0.0.1:1"}, true},
            {{"10.0.0.1:65535"}, true},
            {{""}, false},
            {{"10.0.0.1:0"}, false},
            {{"10.0.0.1:65536"}, false},
            {{"10.0.0.1:99999"}, false},
            {{"10.0.0.1:-1"}, false},
            {{"10.0.0.1"}, false},
            {{"0.0.0.0:80"}, false},
            {{":::80"}, false},
            {{"224.0.0.1:80"}, false},
            {{"ff02::1:80"}, false},
            {{"255.255.255.255:80"}, false},
            {{"instance.example:80"}, false},
            {{"10.0.0.1:80\\r\\nX: 1"}, false},
    }};
    return cr_make_param_array(AddressCase, cases.data(), cases.size());
}

// Guards against sending what is meant for one instance to a group of hosts or to nobody, for as
// long as the list of instances holds an entry with such an address.
ParameterizedTest(AddressCase *param, targetMessages, addressesOfInstances)
{
    const std::string odd = std::string("\"peer\":\"") + param->address.data() + "\"";
    const auto list = decodeInstances("[{\"name\":\"a\",\"peer\":\"10.0.0.2:7\"},{\"name\":\"b\"," +
                                      odd + "},{\"name\":\"c\",\"leaving\":true," + odd + "},{" +
                                      odd + "},{\"peer\":\"10.0.0.3:7\"}]");
    cr_assert(list.has_value());
    const std::vector<std::string> addresses = peerAddresses(*list);
    const std::size_t expected = param->usable ? 4 : 2;
    cr_assert_eq(addresses.size(), expected, "%s: %zu", param->address.data(), addresses.size());
    cr_expect_eq(addresses.front(), std::string("10.0.0.2:7"));
    cr_expect_eq(addresses.back(), std::string("10.0.0.3:7"));
}

namespace {

constexpr std::size_t nestingDepth = 300'000; // more than the stack holds, one call a level

std::string nested()
{
    return std::string(nestingDepth, '[') + std::string(nestingDepth, ']');
}

} // namespace

// Guards against a nested value that ends the process by its stack.
Test(targetMessages, deepNestingCostsOnlyTheMessage)
{
    cr_expect_not(decodePiece(nested(), true).has_value());
    cr_expect_not(decodePiece("{\"choices\":[{\"text\":" + nested() + "}]}", false).has_value());
    cr_expect(decodePiece("{\"choices\":[{\"text\":\"a\",\"x\":" + nested() + "}]}", false));
    cr_expect_not(decodeLoadReport("{\"running\":" + nested() + "}").has_value());
    cr_expect(decodeLoadReport("{\"running\":1,\"x\":" + nested() + "}").has_value());
    const auto list =
            decodeInstances("[{\"name\":" + nested() + "},{\"name\":\"b\",\"x\":" + nested() +
                            "}," + nested() + ",{\"leaving\":" + nested() + "}]");
    cr_assert(list && list->size() == 1);
}

// Guards against an address of 100,000 letters that is tried again and again.
Test(targetMessages, longAddressesAreNotUsed)
{
    const auto list = decodeInstances("[{\"name\":\"" + std::string(100'000, 'x') +
                                      "\",\"peer\":\"" + std::string(100'000, '1') +
                                      "\"},{\"name\":\"b\",\"peer\":\"10.0.0.3:7\"}]");
    cr_assert(list.has_value());
    cr_expect_eq(peerAddresses(*list).size(), 1U);
}
