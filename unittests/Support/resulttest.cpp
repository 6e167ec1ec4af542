#include "jaytrack/Support/result.h"
#include "jaytrack/Support/digest.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <fstream>
#include <set>
#include <sstream>

using namespace jaytrack;

Test(result, codesAreUniqueAndAscending)
{
    std::set<std::string_view> names;
    int last = -1;
    for (const ResultCodeInfo &row : allResultCodes()) {
        cr_assert(static_cast<int>(row.code) > last);
        last = static_cast<int>(row.code);
        cr_assert(names.insert(row.name).second);
        cr_assert(&describe(row.code) == &row);
    }
}

// The table in docs/RESULTS.md must match the table in the code.
Test(result, docsListEveryCode)
{
    std::ifstream file(std::string(JAYTRACK_DOCS) + "/RESULTS.md");
    std::ostringstream text;
    text << file.rdbuf();
    for (const ResultCodeInfo &row : allResultCodes()) {
        const std::string line =
                "| " + std::to_string(static_cast<int>(row.code)) + " | " + std::string(row.name) +
                " | " + std::string(outcomeName(row.outcome)) + " | " +
                std::to_string(row.httpStatus) + " | " + std::string(row.meaning) + " |\n";
        cr_assert(text.str().find(line) != std::string::npos, "missing: %s", line.c_str());
    }
}

struct Base64Case
{
    char text[8];
    char encoded[16];
};

ParameterizedTestParameters(digest, base64)
{
    static Base64Case cases[] = {{"", ""},        {"f", "Zg"},         {"fo", "Zm8"},
                                 {"foo", "Zm9v"}, {"\xff\xfe", "__4"}, {"\xfb", "-w"}};
    return cr_make_param_array(Base64Case, cases, std::size(cases));
}

ParameterizedTest(Base64Case *param, digest, base64)
{
    cr_assert_eq(encodeBase64Url(param->text), std::string(param->encoded));
    cr_assert_eq(decodeBase64Url(param->encoded).value(), std::string(param->text));
}

Test(digest, knownValues)
{
    cr_assert_eq(sha256Hex("abc"), std::string("ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb"
                                               "410ff61f20015ad"));
    cr_assert(!decodeBase64Url("a"));
    cr_assert(!decodeBase64Url("a=b="));
    cr_assert(equalInConstantTime("abc", "abc"));
    cr_assert(!equalInConstantTime("abc", "abd"));
    cr_assert(!equalInConstantTime("abc", "ab"));
}
