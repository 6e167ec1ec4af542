// Addresses and names in the inventory to which nothing can be sent.
#include "jaytrack/Config/inventory.h"

#include "temporaryfile.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <array>

using namespace jaytrack;
using namespace jaytrack::test;

struct AddressCase
{
    std::array<char, 40> address;
    bool usable;
};

ParameterizedTestParameters(inventory, reportsUnusableAddresses)
{
    static std::array<AddressCase, 15> cases = {{
            {{"127.0.0.1:1"}, true},
            {{"10.0.0.1:65535"}, true},
            {{"10.0.0.1:0"}, false},
            {{"10.0.0.1:65536"}, false},
            {{"10.0.0.1:99999"}, false},
            {{"10.0.0.1:-1"}, false},
            {{"10.0.0.1"}, false},
            {{"10.0.0.1:"}, false},
            {{"0.0.0.0:80"}, false},
            {{":::80"}, false},
            {{""}, false},
            {{"224.0.0.1:80"}, false},
            {{"engine.example:80"}, false},
            {{"10.0.0.1:80/x"}, false},
            {{"10.0.0.1:80 "}, false},
    }};
    return cr_make_param_array(AddressCase, cases.data(), cases.size());
}

// Guards against publishing an address to which no connection can be made.
ParameterizedTest(AddressCase *param, inventory, reportsUnusableAddresses)
{
    const std::string address = param->address.data();
    const TemporaryFile inventory("data_centres = [\"falun\"]\n"
                                  "[[engines]]\nname = \"e\"\ndata_centre = \"falun\"\n"
                                  "address = \"" +
                                  address +
                                  "\"\nmodel = \"m\"\nmemory_tokens = 5000\n"
                                  "[[services]]\nname = \"s\"\n"
                                  "targets = [{name = \"t\", data_centre = \"falun\", "
                                  "address = \"" +
                                  address + "\"}]\n");
    const TemporaryFile rules("[[models]]\nname = \"m\"\n[[services]]\nname = \"s\"\n");
    Problems problems;
    compileInventory(inventory.name(), rules.name(), problems);
    const std::size_t expected = param->usable ? 0 : 2;
    cr_assert_eq(problems.size(), expected, "%s: %zu problems", address.c_str(), problems.size());
    for (const Problem &problem : problems)
        cr_expect(problem.code == ResultCode::SettingsOutOfRange, "%s", problem.text().c_str());
}

// Guards against a document that is compiled without a problem and refused by each instance.
Test(inventory, reportsNamesThatInstancesRefuse)
{
    const TemporaryFile inventory("data_centres = []\n"
                                  "[[customers]]\nname = \"a\\r\\nX-Injected: 1\"\n"
                                  "key_digests = []\n");
    const TemporaryFile rules("");
    Problems problems;
    compileInventory(inventory.name(), rules.name(), problems);
    cr_assert_eq(problems.size(), 1U, "%zu problems", problems.size());
    cr_expect(problems[0].code == ResultCode::DocumentMalformed, "%s", problems[0].text().c_str());
}
