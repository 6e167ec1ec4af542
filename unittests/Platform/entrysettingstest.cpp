// The settings of an entry instance: what is read, and which faults are told with which number.
#include "jaytrack/Proxy/entrysettings.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <cstdio>
#include <fstream>
#include <iterator>
#include <unistd.h>

using namespace jaytrack;

namespace {

const std::string required = "name = \"n\"\ndata_centre = \"dc\"\n"
                             "[listen]\ncallers = \"127.0.0.1:1\"\nreadiness = \"127.0.0.1:2\"\n"
                             "[store]\naddress = \"127.0.0.1:3\"\n";

EntrySettings readText(const std::string &text, Problems &problems)
{
    const std::string file = "/tmp/jaytrack-settings-" + std::to_string(::getpid()) + ".toml";
    std::ofstream(file) << text;
    EntrySettings settings = readEntrySettings(file, problems);
    std::remove(file.c_str());
    return settings;
}

struct FaultCase
{
    char text[128];
    ResultCode code;
};

FaultCase faultCases[] = {
        {"[bounds]\ncold_overage = 0.5\n", ResultCode::SettingsOutOfRange},
        {"[bounds]\ncold_extra = -1\n", ResultCode::SettingsOutOfRange},
        {"[[data_centres]]\nname = \"a\"\n", ResultCode::SettingsMissing},
        {"[[data_centres]]\nname = \"a\"\nregion = \"r\"\nmore = 1\n",
         ResultCode::SettingsUnknownKey},
        {"[[data_centres]]\nname = \"a\"\nregion = \"r\"\n"
         "[[data_centres]]\nname = \"a\"\nregion = \"s\"\n",
         ResultCode::SettingsContradiction},
};

} // namespace

Test(entrySettings, boundsAndRegionsAreRead)
{
    Problems problems;
    const EntrySettings settings =
            readText(required + "[bounds]\ncold_overage = 1.5\ncold_extra = 5\n"
                                "[[data_centres]]\nname = \"a\"\nregion = \"r\"\n",
                     problems);
    cr_assert(problems.empty());
    cr_assert_eq(settings.coldBound.overage, 1.5);
    cr_assert_eq(settings.coldBound.extra, 5);
    cr_assert_eq(settings.regions.at("a"), std::string("r"));
}

ParameterizedTestParameters(entrySettings, faultsAreNumbered)
{
    return cr_make_param_array(FaultCase, faultCases, std::size(faultCases));
}

ParameterizedTest(FaultCase *given, entrySettings, faultsAreNumbered)
{
    Problems problems;
    readText(required + given->text, problems);
    cr_assert_eq(problems.size(), 1, "%s", given->text);
    cr_assert_eq(problems.front().code, given->code, "%s", given->text);
}

// Guards against a template that the platform renders as something that is no TOML: the name of an
// entry of a table comes as plain text only, and as "null" in any other form.
Test(entrySettings, templateQuotesNamesItself)
{
    std::ifstream file(JAYTRACK_DOCS "/../deploy/entry.toml.in");
    const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    cr_assert_neq(text.find("[[data_centres]]"), std::string::npos);
    cr_assert_eq(text.find("{{@|"), std::string::npos);
}
