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
    static std::array<ReportCase, 7> cases = {{{{R"({"memory_used":7,"running":1})"}, true, 7},
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
