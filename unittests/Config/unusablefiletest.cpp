// Files of operators with values that nothing can mean.
#include "jaytrack/Config/settings.h"

#include "temporaryfile.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <array>

using namespace jaytrack;
using namespace jaytrack::test;

namespace {

constexpr std::size_t nestingDepth = 300'000; // more than the stack holds, one call a level

std::string dottedKey(std::size_t levels)
{
    std::string key = "a";
    for (std::size_t i = 1; i < levels; ++i)
        key += ".a";
    return key;
}

std::string nestedFile(std::size_t number)
{
    switch (number) {
    case 0:
        return dottedKey(nestingDepth) + " = 1\n";
    case 1:
        return "[" + dottedKey(nestingDepth) + "]\nx = 1\n";
    case 2:
        return "[[" + dottedKey(nestingDepth) + "]]\nx = 1\n";
    case 3:
        return "x = {" + dottedKey(nestingDepth) + " = 1}\n";
    case 4:
        return dottedKey(nestingDepth) + " = 1\nnot TOML\n";
    default:
        return "x = " + std::string(nestingDepth, '[') + "\n";
    }
}

} // namespace

ParameterizedTestParameters(settings, deepNestingIsUnreadable)
{
    static std::array<std::size_t, 6> cases = {0, 1, 2, 3, 4, 5};
    return cr_make_param_array(std::size_t, cases.data(), cases.size());
}

// Guards against a file whose nested tables end the process as they are freed.
ParameterizedTest(std::size_t *param, settings, deepNestingIsUnreadable)
{
    const TemporaryFile file(nestedFile(*param));
    Problems problems;
    readSettings(file.name(), problems);
    cr_assert_eq(problems.size(), 1U, "case %zu: %zu problems", *param, problems.size());
    cr_expect(problems[0].code == ResultCode::SettingsUnreadable, "case %zu: %s", *param,
              problems[0].text().c_str());
}
