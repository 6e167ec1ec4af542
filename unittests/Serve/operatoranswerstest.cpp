// What an instance of another version, or something else, may answer to jaytrackctl.
#include "jaytrack/Serve/operatoranswers.h"
#include "jaytrack/Net/message.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <array>

using namespace jaytrack;

namespace {

constexpr std::size_t nestingDepth = 300'000; // more than the stack holds, one call a level

const std::string nestedMark = "@";

// Replaces the mark by a value that is nested deeply.
std::string expand(const char *body)
{
    std::string text = body;
    const std::size_t at = text.find(nestedMark);
    if (at == std::string::npos)
        return text;
    return text.replace(at, nestedMark.size(),
                        std::string(nestingDepth, '[') + std::string(nestingDepth, ']'));
}

struct TableCase
{
    std::array<char, 120> body;
    bool valid;
    std::array<char, 40> part; // of the table
};

struct BurnCase
{
    std::array<char, 130> body;
    bool valid;
};

} // namespace

ParameterizedTestParameters(operatorAnswers, tables)
{
    static std::array<TableCase, 18> cases = {{
            {{R"({"name":"a","ready":true})"}, true, {"name              a\n"}},
            {{R"({"members":[{"name":"a","callers":"c","self":true}]})"}, true, {"c  (asked)\n"}},
            {{R"({"members":[{"name":"a","callers":"c","self":"x"}]})"}, true, {"c\n"}},
            {{R"({"members":[{}]})"}, true, {"-"}},
            {{R"({"members":[5,{"name":"b"}]})"}, true, {"b "}},
            {{R"({"members":[{"name":@}]})"}, true, {"(nested)"}},
            {{R"({"a":{"b":@}})"}, true, {"(nested)"}},
            {{R"({"a":@,"b":1})"}, true, {"b                 1\n"}},
            {{R"({"a":"x\r\n\u001b[2J"})"}, true, {"x???[2J\n"}},
            {{R"({"x\ny":1})"}, true, {"x?y"}},
            {{R"({"members":5})"}, false, {}},
            {{R"({"members":{"a":7}})"}, false, {}},
            {{"[]"}, false, {}},
            {{"5"}, false, {}},
            {{""}, false, {}},
            {{"\xff"}, false, {}},
            {{R"({"a":1e999})"}, false, {}},
            {{R"({"a":"\ud800"})"}, false, {}},
    }};
    return cr_make_param_array(TableCase, cases.data(), cases.size());
}

// Guards against an answer that ends the operators' tool.
ParameterizedTest(TableCase *param, operatorAnswers, tables)
{
    const auto table = formatObjectTable(expand(param->body.data()));
    cr_assert_eq(table.has_value(), param->valid, "%s", param->body.data());
    if (!table) {
        cr_expect(table.error().code == ResultCode::TargetGarbled);
        return;
    }
    cr_expect(table.value().find(param->part.data()) != std::string::npos, "%s: %s",
              param->body.data(), table.value().c_str());
}

ParameterizedTestParameters(operatorAnswers, burnRows)
{
    static std::array<BurnCase, 19> cases = {{
            {{"[]"}, true},
            {{R"([{"customer":"c","subject":"s","objective":"o","share":1,"total":[1,2,3],"bad":[0,0,1]}])"},
             true},
            {{R"([{"customer":7,"subject":"s","objective":"o","share":1,"total":[1,2,3],"bad":[0,0,1]}])"},
             false},
            {{R"([{"customer":@,"subject":"s","objective":"o","share":1,"total":[1,2,3],"bad":[0,0,1]}])"},
             false},
            {{R"([{"customer":"c","subject":"s","objective":"o","share":"x","total":[1,2,3],"bad":[0,0,1]}])"},
             false},
            {{R"([{"customer":"c","subject":"s","objective":"o","share":1,"total":[1],"bad":[0,0,1]}])"},
             false},
            {{R"([{"customer":"c","subject":"s","objective":"o","share":1,"total":[1,2,3,4],"bad":[0,0,1]}])"},
             false},
            {{R"([{"customer":"c","subject":"s","objective":"o","share":1,"total":[-1,2,3],"bad":[0,0,1]}])"},
             false},
            {{R"([{"customer":"c","subject":"s","objective":"o","share":1,"total":[1e300,2,3],"bad":[0,0,1]}])"},
             false},
            {{R"([{"customer":"c","subject":"s","objective":"o","share":1,"total":[1,2,3],"bad":[0.5,0,1]}])"},
             false},
            {{R"([{"customer":"c","subject":"s","objective":"o","share":1,"total":[1,2,3]}])"},
             false},
            {{"[5]"}, false},
            {{"[{}]"}, false},
            {{"{}"}, false},
            {{"null"}, false},
            {{"\"x\""}, false},
            {{""}, false},
            {{"[1e999]"}, false},
            {{"[\"\xff\"]"}, false},
    }};
    return cr_make_param_array(BurnCase, cases.data(), cases.size());
}

// Guards against a burn report that ends the operators' tool, or whose numbers wrap round.
ParameterizedTest(BurnCase *param, operatorAnswers, burnRows)
{
    const auto rows = decodeBurnRows(expand(param->body.data()));
    cr_expect_eq(rows.has_value(), param->valid, "%s", param->body.data());
    if (!rows)
        cr_expect(rows.error().code == ResultCode::TargetGarbled);
}

namespace {

struct IdCase
{
    std::array<char, 32> id;
};

} // namespace

ParameterizedTestParameters(operatorAnswers, requestIsAskedForByItsId)
{
    static std::array<IdCase, 9> cases = {{
            {{"falun-1-1-17"}},
            {{"a&id=b-1-17"}},
            {{"a+b-1-17"}},
            {{"a#b-1-17"}},
            {{"a%b-1-17"}},
            {{"a%C3%A9-1-17"}},
            {{"a b-1-17"}},
            {{"\xc3\xa9-1-17"}},
            {{"a/b?c=d-1-17"}},
    }};
    return cr_make_param_array(IdCase, cases.data(), cases.size());
}

// Guards against the record of another request, or of none, where the name of an instance holds
// characters that separate or escape the parameters of a call.
ParameterizedTest(IdCase *param, operatorAnswers, requestIsAskedForByItsId)
{
    const std::string target = explainTarget(param->id.data());
    const std::string path = "/explain?";
    cr_assert(target.starts_with(path), "%s", target.c_str());
    HttpRequest request;
    request.query = target.substr(path.size());
    cr_assert_eq(request.queryValue("id"), param->id.data(), "%s", target.c_str());
    cr_assert_eq(target.find_first_of(" #+"), std::string::npos, "%s", target.c_str());
}
