// What becomes of values that are nested deeper than the stack can follow.
#include "platformdialect.h"
#include "platformdocuments.h"

#include <criterion/criterion.h>

#include <string_view>

using namespace jaytrack;
using namespace jaytrack::testing;

// Guards against a process that ends at an entry or a configuration with deeply nested values,
// whose copies would exhaust the stack.
Test(platformDialect, deepNestingEndsNoProcess)
{
    static constexpr std::size_t depth = 300'000;
    const std::string deep = std::string(depth, '[') + std::string(depth, ']');
    const auto dialect = makePlatformDialect();
    for (const char *field :
         {"Service", "Address", "Zone", "Version", "Slots", "State", "ColdLeftMs", "Seq", "born"})
        cr_assert_not(dialect->decodeTarget("servers/i-1", entryWith(field, deep)).has_value());
    for (const char *field : {"Waiting", "Next", "State", "Runs", "born"}) {
        const std::string report = std::string("{\"") + field + "\":" + deep + "}";
        const bool concernsOneRun = std::string_view(field) == "Runs";
        cr_assert_eq(dialect->decodeLoad(report).has_value(), concernsOneRun, "%s", field);
    }
    const std::string start = R"({"Version":1,"Routes":[)";
    const std::string route = R"({"Host":"h","Prefix":"/","Type":"safe","Service":"s")";
    const std::string customer = R"("Tenants":[{"Name":"c")";
    for (const std::string &configuration :
         {start + deep + "]}", start + route + R"(,"AllowedRegions":)" + deep + "}]}",
          start + route + R"(,"Backends":)" + deep + "}]}", start + R"(],"Tenants":)" + deep + "}",
          start + R"(],"Services":)" + deep + "}", start + R"(],"Limits":)" + deep + "}",
          start + "]," + customer + R"(,"ApiKeys":)" + deep + "}]}",
          start + "]," + customer + R"(,"AllowedRegions":)" + deep + "}]}"})
        cr_assert_not(dialect->decodeConfiguration(configuration).has_value());
}
