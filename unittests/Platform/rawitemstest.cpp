// The stand-in of the store sends items whose text the test gives, beside items of its own.
#include "platformstandin.h"

#include "jaytrack/Net/socket.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <string>

using namespace jaytrack;
using namespace jaytrack::testing;
using namespace std::chrono_literals;

namespace {

constexpr int nesting = 100000;

// Returns the body of the store's answer to one call.
std::string askStore(const StoreStandin &store, const std::string &target)
{
    const std::uint16_t port = parseEndpoint(store.address()).value().port();
    const CallerView view = callOnce(port, "GET " + target + " HTTP/1.1\r\nHost: s\r\n\r\n", 200ms);
    const std::size_t headEnd = view.bytes.find("\r\n\r\n");
    return headEnd == std::string::npos ? "" : view.bytes.substr(headEnd + 4);
}

std::string itemText(const std::string &key, const std::string &revision, const std::string &lease)
{
    return R"({"Key":")" + key + R"(","Value":"eA==","Revision":)" + revision + R"(,"Lease":)" +
           lease + "}";
}

struct RawCase
{
    char name[32];
    char key[32];
    char revision[32];
    bool nestedLease = false;
};

RawCase rawCases[] = {
        {"revision 1e999", "servers/b", "1e999"},
        {"negative revision", "servers/b", "-5"},
        {"revision beyond 64 bits", "servers/b", "18446744073709551616"},
        {"nested lease", "servers/b", "7", true},
        {"lone surrogate", "servers/\\ud800", "7"},
        {"no UTF-8", "servers/\xff\xc3", "7"},
};

} // namespace

ParameterizedTestParameters(storeStandin, sendsRawItems)
{
    return cr_make_param_array(RawCase, rawCases, std::size(rawCases));
}

// Guards against tests of unreadable items that pass because the stand-in did not send the item.
ParameterizedTest(RawCase *raw, storeStandin, sendsRawItems)
{
    const std::string lease =
            raw->nestedLease ? std::string(nesting, '[') + std::string(nesting, ']') : "0";
    const std::string text = itemText(raw->key, raw->revision, lease);
    StoreStandin store;
    store.put("servers/a", "x");
    store.putRaw("servers/b", text);
    store.put("servers/c", "x");

    const std::string page = askStore(store, "/jaytrack/kv-range?Prefix=servers%2F&After=");
    cr_assert_eq(page, R"({"At":4,"Entries":[)"
                       R"({"Created":2,"Key":"servers/a","Lease":0,"Revision":2,"Value":"eA=="},)" +
                               text +
                               R"(,{"Created":4,"Key":"servers/c","Lease":0,"Revision":4,)"
                               R"("Value":"eA=="}],"HasMore":false})");
    const std::string changes =
            askStore(store, "/jaytrack/kv-watch?Prefix=servers%2F&After=1&WaitMs=0");
    cr_assert_eq(changes, R"({"At":4,"events":[)"
                          R"({"Key":"servers/a","Revision":2,"Value":"eA=="},)" +
                                  text + R"(,{"Key":"servers/c","Revision":4,"Value":"eA=="}]})");
}

// Guards against a raw item that outlives its removal or a later write under its key.
Test(storeStandin, replacesAndRemovesRawItems)
{
    StoreStandin store;
    store.putRaw("servers/a", "raw");
    store.put("servers/a", "x");
    cr_assert_eq(askStore(store, "/jaytrack/kv-range?Prefix=servers%2F&After="),
                 R"({"At":3,"Entries":[{"Created":3,"Key":"servers/a","Lease":0,"Revision":3,)"
                 R"("Value":"eA=="}],"HasMore":false})");
    store.putRaw("servers/a", "raw");
    store.remove("servers/a");
    cr_assert_eq(askStore(store, "/jaytrack/kv-range?Prefix=servers%2F&After="),
                 R"({"At":5,"Entries":[],"HasMore":false})");
    cr_assert_eq(askStore(store, "/jaytrack/kv-watch?Prefix=servers%2F&After=3&WaitMs=0"),
                 R"({"At":5,"events":[raw,{"Deleted":true,"Key":"servers/a","Revision":5}]})");
}
