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
    // Each place of the configuration that holds a list or an object, marked by '@'.
    for (const std::string_view text :
         {R"({"Version":1,"Routes":[@]})", R"({"Version":1,"Routes":[],"Tenants":@})",
          R"({"Version":1,"Routes":[],"Services":@})", R"({"Version":1,"Routes":[],"Limits":@})",
          R"({"Version":1,"Routes":[],"Tenants":[{"Name":"c","ApiKeys":@}]})",
          R"({"Version":1,"Routes":[],"Tenants":[{"Name":"c","AllowedRegions":@}]})",
          R"({"Version":1,"Routes":[{"Host":"h","Prefix":"/","Type":"safe","Service":"s",
          "AllowedRegions":@}]})",
          R"({"Version":1,"Routes":[{"Host":"h","Prefix":"/","Type":"safe","Service":"s",
          "Backends":@}]})"}) {
        std::string configuration(text);
        configuration.replace(configuration.find('@'), 1, deep);
        cr_assert_not(dialect->decodeConfiguration(configuration).has_value());
    }
}
