// What each field of an entry may hold, and what becomes of entries that another writer made up.
#include "platformdialect.h"
#include "platformdocuments.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <algorithm>

using namespace jaytrack;
using namespace jaytrack::testing;

namespace {

struct FieldCase
{
    char field[16];
    char text[64]; // as JSON
    bool good;
};

FieldCase fieldCases[] = {
        {"Address", R"("10.0.0.1:1")", true},
        {"Address", R"("10.0.0.1:65535")", true},
        {"Address", R"("127.0.0.1:80")", true},
        {"Address", R"("2001:db8::1:80")", true},
        {"Address", R"("10.0.0.1:0")", false},
        {"Address", R"("10.0.0.1:65536")", false},
        {"Address", R"("10.0.0.1:-1")", false},
        {"Address", R"("10.0.0.1:+80")", false},
        {"Address", R"("10.0.0.1: 80")", false},
        {"Address", R"("10.0.0.1:80 ")", false},
        {"Address", R"("10.0.0.1:80\r\nX-Injected: 1")", false},
        {"Address", R"("10.0.0.1\u0000\r\nX-Injected: 1:80")", false},
        {"Address", R"("::1%\r\nX-Injected: 1:80")", false},
        {"Address", R"("fe80::1%eth0:80")", false},
        {"Address", R"("0.0.0.0:80")", false},
        {"Address", R"("224.0.0.1:80")", false},
        {"Address", R"("239.255.255.255:80")", false},
        {"Address", R"("255.255.255.255:80")", false},
        {"Address", R"(":::80")", false},
        {"Address", R"("ff02::1:80")", false},
        {"Address", R"("::ffff:0.0.0.0:80")", false},
        {"Address", R"("::ffff:224.0.0.1:80")", false},
        {"Address", R"("::ffff:255.255.255.255:80")", false},
        {"Address", R"("localhost:80")", false},
        {"Service", R"("svc one")", true},
        {"Service", R"("s\u00e9")", true},
        {"Service", R"("s\u0000")", false},
        {"Service", R"("s\r\nX-Injected: 1")", false},
        {"Service", R"("s\u007f")", false},
        {"Zone", R"("")", true},
        {"Zone", R"("z\u0000")", false},
        {"Zone", R"("z\nlevel=error")", false},
        {"Zone", R"("z\u001b[2J")", false},
        {"Version", R"("")", true},
        {"Version", R"("v\u0000")", false},
        {"Version", R"("v\nlevel=error")", false},
        {"Version", R"("v\t1")", false},
        {"Slots", "1", true},
        {"Slots", "1000000", true},
        {"Slots", "1000001", false},
        {"Slots", "4294967297", false},
        {"Slots", "18446744073709551616", false},
        {"Slots", "1e999", false},
        {"Slots", "1.0", false},
        {"Seq", "0", true},
        {"Seq", "9223372036854775807", true},
        {"Seq", "9223372036854775808", false},
        {"Seq", "18446744073709551616", false},
        {"Seq", "1e999", false},
        {"Seq", "0.5", false},
        {"ColdLeftMs", "86400000", true},
        {"ColdLeftMs", "86400001", false},
        {"ColdLeftMs", "-0.5", false},
        {"ColdLeftMs", "1e308", false},
        {"ColdLeftMs", "1e999", false},
        {"ColdLeftMs", "18446744073709551616", false},
        {"born", "9223372036854775807", true},
        {"born", "9223372036854775808", false},
        {"born", "18446744073709551616", false},
        {"born", "1e999", false},
        {"born", "-1", false},
};

struct LengthCase
{
    char field[16];
    std::size_t bytes;
    bool good;
};

LengthCase lengthCases[] = {
        {"Service", 200, true}, {"Service", 201, false},     {"Service", 100'000, false},
        {"Zone", 200, true},    {"Zone", 201, false},        {"Zone", 100'000, false},
        {"Version", 200, true}, {"Version", 201, false},     {"Version", 100'000, false},
        {"Comment", 200, true}, {"Comment", 100'000, false}, {"Comment", 1U << 20U, false},
};

struct KeyCase
{
    char name[32];
    char key[48];
    std::size_t length; // to which the key is filled up with letters
    bool good;
};

KeyCase keyCases[] = {
        {"usual", "servers/i-1", 0, true},
        {"all bytes of a query", "servers/!$'()*,-./:=?@_~", 0, true},
        {"ampersand", "servers/i&1", 0, false},
        {"plus", "servers/i+1", 0, false},
        {"hash", "servers/i#1", 0, false},
        {"percent", "servers/i%1", 0, false},
        {"escaped letter", "servers/i%C3%A9", 0, false},
        {"semicolon", "servers/i;1", 0, false},
        {"quote", "servers/i\"1", 0, false},
        {"less", "servers/i<1", 0, false},
        {"greater", "servers/i>1", 0, false},
        {"opening bracket", "servers/i[1", 0, false},
        {"closing bracket", "servers/i]1", 0, false},
        {"backslash", "servers/i\\1", 0, false},
        {"caret", "servers/i^1", 0, false},
        {"backquote", "servers/i`1", 0, false},
        {"opening brace", "servers/i{1", 0, false},
        {"bar", "servers/i|1", 0, false},
        {"closing brace", "servers/i}1", 0, false},
        {"longest", "servers/i", 200, true},
        {"too long", "servers/i", 201, false},
        {"far too long", "servers/i", 100'000, false},
        {"no name", "servers/", 0, false},
        {"blank", "servers/i 1", 0, false},
        {"line break", "servers/i\r\nX-Injected: 1", 0, false},
        {"line feed", "servers/i\nlevel=error", 0, false},
        {"tab", "servers/i\t1", 0, false},
        {"control byte", "servers/i\x01", 0, false},
        {"delete byte", "servers/i\x7f", 0, false},
        {"letter beyond ASCII", "servers/i\xc3\xa9", 0, false},
        {"no UTF-8", "servers/i\xff", 0, false},
        {"name of an incarnation", "servers/i-1@1791614788022", 0, false},
        {"number in the name", "servers/i@2", 0, true},
};

} // namespace

ParameterizedTestParameters(entryFields, holdWhatTargetsWrite)
{
    return cr_make_param_array(FieldCase, fieldCases, std::size(fieldCases));
}

// Guards against requests to addresses that no target can have, and against request heads and log
// lines that hold bytes of another writer's choice.
ParameterizedTest(FieldCase *param, entryFields, holdWhatTargetsWrite)
{
    const std::string value = entryWith(param->field, param->text);
    const auto entry = makePlatformDialect()->decodeTarget("servers/i-1", value);
    cr_assert_eq(entry.has_value(), param->good, "%s = %s", param->field, param->text);
}

ParameterizedTestParameters(entryFields, areBounded)
{
    return cr_make_param_array(LengthCase, lengthCases, std::size(lengthCases));
}

// Guards against entries that fill the memory, the log and the notices of all instances.
ParameterizedTest(LengthCase *param, entryFields, areBounded)
{
    const std::string text = '"' + std::string(param->bytes, 'a') + '"';
    std::string value = entryWith(param->field, text);
    // A field that no target writes.
    if (std::string_view(param->field) == "Comment")
        value.insert(1, R"("Comment":)" + text + ",");
    const auto entry = makePlatformDialect()->decodeTarget("servers/i-1", value);
    cr_assert_eq(entry.has_value(), param->good, "%s: %zu bytes", param->field, param->bytes);
}

ParameterizedTestParameters(entryFields, nameHoldsCharactersOfAQuery)
{
    return cr_make_param_array(KeyCase, keyCases, std::size(keyCases));
}

// Guards against request heads with lines of another writer's choice, since a target's name goes
// into each request to it, and against requests to the address in an entry that is no target's.
ParameterizedTest(KeyCase *param, entryFields, nameHoldsCharactersOfAQuery)
{
    std::string key = param->key;
    key.resize(std::max(key.size(), param->length), 'a');
    const auto entry = makePlatformDialect()->decodeTarget(key, entryWith("", ""));
    cr_assert_eq(entry.has_value(), param->good, "%s", param->name);
}
