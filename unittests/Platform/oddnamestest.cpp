// Listings that hold entries under names of another writer's choice, beside those of targets.
#include "commonstartfleet.h"
#include "platformdialect.h"
#include "platformstandin.h"

#include "jaytrack/Net/socket.h"
#include "jaytrack/Store/storefollower.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <restinio/uri_helpers.hpp>

#include <algorithm>
#include <cstdio>

using namespace jaytrack;
using namespace jaytrack::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t maxKeyBytes = 200;

// Returns what a strict reader of percent-encoding takes the value of a query's parameter for.
std::string readParameter(const std::string &target, const std::string &name)
{
    const std::string query = target.substr(target.find('?') + 1);
    const auto parsed =
            restinio::try_parse_query<restinio::parse_query_traits::javascript_compatible>(
                    restinio::string_view_t(query));
    if (!parsed)
        return "not readable: " + query;
    const auto value = parsed->get_param(restinio::string_view_t(name.data(), name.size()));
    return value ? std::string(value->data(), value->size()) : "missing";
}

// Collects what a follower lists.
class Listed final : public StoreFollowerListener, public StoreReadListener
{
public:
    void onListing(const std::vector<StoreItem> &items, TimePoint) override
    {
        for (const StoreItem &item : items)
            this->keys.push_back(item.key);
    }
    void onChanges(const std::vector<StoreItem> &, TimePoint) override {}
    void onSharedChanges(const std::vector<StoreItem> &, bool) override {}
    void onStoreLost(std::string_view) override {}
    void onStoreRegained(Duration) override {}
    void onStoreRestored() override {}
    void onStoreRead(std::uint64_t, std::uint64_t, const std::vector<StoreItem> &) override {}

    std::vector<std::string> keys;
};

// Lists a store once and returns the keys that were found; none if the listing did not end.
std::vector<std::string> listOnce(const StoreStandin &store, std::chrono::milliseconds limit)
{
    asio::io_context loop;
    ManualClock clock;
    const std::unique_ptr<Dialect> dialect = makePlatformDialect();
    Listed listed;
    StoreFollowerOptions options;
    options.store = parseEndpoint(store.address()).value();
    const auto follower =
            std::make_shared<StoreFollower>(loop, clock, *dialect, options, 1, listed, listed);
    follower->start();
    follower->setActive(false);
    loop.run_for(limit);
    return listed.keys;
}

struct NameCase
{
    char name[32];
    char text[64];
};

NameCase nameCases[] = {
        {"two-byte letter", "\xc3\xa9"
                            "37d8f"},
        {"three-byte letters", "\xe4\xb8\x96\xe7\x95\x8c"},
        {"four-byte letter", "\xf0\x9f\x98\x80"},
        {"percent and hash", "%#"},
        {"escaped letter", "%C3%A9"},
        {"ampersand and equals sign", "&b="},
        {"plus and blank", "+ "},
        {"slash and question mark", "/?"},
        {"quote and backslash", "\"\\"},
        {"line break", "\r\nX-Injected: 1"},
        {"control byte", "\x01"},
};

} // namespace

// Guards against keys that reach the store as others, since their bytes are escaped wrongly.
Test(platformDialect, eachByteOfAKeyReachesTheStore)
{
    const auto dialect = makePlatformDialect();
    const auto check = [&dialect](const std::string &key) {
        const std::string target = dialect->rangeTarget(key, key, ReadFreshness::Current);
        cr_assert_eq(readParameter(target, "After"), key, "%s", target.c_str());
        cr_assert_eq(readParameter(target, "Prefix"), key, "%s", target.c_str());
    };
    for (int ascii = 0; ascii < 0x80; ++ascii)
        check("servers/a" + std::string(1, static_cast<char>(ascii)) + "z");
    // The stand-in's reader takes UTF-8 only, so that the other bytes come in letters: all lead
    // bytes and all continuation bytes.
    for (int lead = 0xc2; lead <= 0xdf; ++lead) {
        for (int next = 0x80; next <= 0xbf; ++next)
            check({'a', static_cast<char>(lead), static_cast<char>(next)});
    }
    check("\xe4\xb8\x96\xef\xbf\xbd\xf0\x9f\x98\x80\xf4\x8f\xbf\xbf");
    for (std::size_t length = 1; length <= maxKeyBytes; ++length)
        check(std::string(length, '&'));
}

// Guards against bytes that are no UTF-8 and reach the store as something else.
Test(platformDialect, bytesAreEscapedWithoutASign)
{
    static constexpr char digits[] = "0123456789ABCDEF";
    const auto dialect = makePlatformDialect();
    for (int byte = 0x80; byte <= 0xff; ++byte) {
        const std::string escaped = {'%', digits[byte / 16], digits[byte % 16]};
        const std::string key(1, static_cast<char>(byte));
        const std::string target = dialect->rangeTarget("", key, ReadFreshness::Current);
        cr_assert(target.ends_with("After=" + escaped), "%s", target.c_str());
    }
}

ParameterizedTestParameters(storeFollower, listsBeyondOddNames)
{
    return cr_make_param_array(NameCase, nameCases, std::size(nameCases));
}

// Guards against a listing that begins anew for ever, since the key at the edge of a page is not
// the one that the store is asked to go on after.
ParameterizedTest(NameCase *odd, storeFollower, listsBeyondOddNames)
{
    for (const std::size_t itemsInPage : {std::size_t(1), std::size_t(2), std::size_t(3)}) {
        StoreStandin store;
        std::vector<std::string> keys;
        for (const char *digit : {"0", "1", "2", "3", "4", "5"})
            keys.push_back(std::string("servers/a") + digit);
        keys.push_back("servers/a2" + std::string(odd->text));
        keys.push_back("servers/a5" + std::string(odd->text));
        std::sort(keys.begin(), keys.end());
        for (const std::string &key : keys)
            store.put(key, "x");
        store.limitPages(itemsInPage);
        const std::vector<std::string> found = listOnce(store, 1s);
        cr_assert(found == keys, "%s, %zu in a page: %zu of %zu listed, %zu calls", odd->name,
                  itemsInPage, found.size(), keys.size(), store.calls());
    }
}

namespace {

struct MisreadCase
{
    char name[40];
    int status; // with which the store refuses odd keys; 0 if it reads them as none
    int itemsInPage;
    int odd; // odd keys in a row
};

MisreadCase misreadCases[] = {
        {"begins anew", 0, 3, 1},
        {"begins anew, odd keys in a row", 0, 4, 3},
        {"refuses the request", 400, 3, 1},
        {"refuses the length", 414, 3, 2},
};

} // namespace

ParameterizedTestParameters(storeFollower, goesOnAfterAnEarlierKey)
{
    return cr_make_param_array(MisreadCase, misreadCases, std::size(misreadCases));
}

// Guards against a listing that never ends, where the store does not understand the key that stands
// at the end of a page.
ParameterizedTest(MisreadCase *misread, storeFollower, goesOnAfterAnEarlierKey)
{
    StoreStandin store;
    store.limitPages(static_cast<std::size_t>(misread->itemsInPage));
    store.misreadOddKeys(misread->status);
    std::vector<std::string> keys;
    for (char digit = '0'; digit <= '9'; ++digit)
        keys.push_back(std::string("servers/a") + digit);
    for (int i = 0; i < misread->odd; ++i)
        keys.push_back("servers/a1&" + std::to_string(i));
    std::sort(keys.begin(), keys.end());
    for (const std::string &key : keys)
        store.put(key, "x");
    const std::vector<std::string> found = listOnce(store, 1s);
    cr_assert(found == keys, "%s: %zu of %zu listed, %zu calls", misread->name, found.size(),
              keys.size(), store.calls());
}

// Guards against calls without a pause to a store that tells of more and has nothing more.
Test(storeFollower, listingWithoutProgressIsSpaced)
{
    // Back-off after failures: 30 to 250 ms, at least half of it.
    static constexpr std::size_t maxCalls = 24;
    for (const int items : {0, 5}) {
        StoreStandin store;
        for (int i = 0; i < items; ++i)
            store.put("servers/a" + std::to_string(i), "x");
        store.alwaysTellMore();
        const std::vector<std::string> found = listOnce(store, 2s);
        cr_assert(found.empty());
        cr_assert_leq(store.calls(), maxCalls, "%d items: %zu calls", items, store.calls());
    }
}

namespace {

enum class PageEdge { First, Last };

struct RestartCase
{
    char name[48];
    int instances;
    PageEdge edge;
    int pageItems;
    int odd = 1;
};

RestartCase restartCases[] = {
        {"last in its page", 7, PageEdge::Last, 10},
        {"first in its page", 7, PageEdge::First, 10},
        {"alone in its page", 7, PageEdge::Last, 1},
        {"a page of them and more", 7, PageEdge::Last, 10, 25},
        {"last in its page, 33 instances", 33, PageEdge::Last, 10},
        {"last in its page, 195 instances", 195, PageEdge::Last, 10},
        {"last in its page, 584 instances", 584, PageEdge::Last, 50},
};

// Returns a key that stands at the edge of a page among these, which are in order.
std::string keyAtEdge(const std::vector<std::string> &keys, int pageItems, PageEdge edge)
{
    const auto size = static_cast<std::size_t>(pageItems);
    const std::size_t wanted = edge == PageEdge::Last ? size - 1 : 0;
    for (const std::string &before : keys) {
        const std::string key = before + "\xc3\xa9"
                                         "37d8f";
        const auto rank = static_cast<std::size_t>(std::upper_bound(keys.begin(), keys.end(), key) -
                                                   keys.begin());
        if (rank > size && rank % size == wanted)
            return key;
    }
    cr_assert_fail("no key stands at the edge of a page");
}

} // namespace

ParameterizedTestParameters(commonStart, isServedBesideOddNames)
{
    return cr_make_param_array(RestartCase, restartCases, std::size(restartCases));
}

// Guards against a fleet that serves nobody after a restart of all its instances, since none of
// them comes to the end of the list of targets.
ParameterizedTest(RestartCase *restart, commonStart, isServedBesideOddNames)
{
    CommonStartPlan plan;
    plan.instances = static_cast<std::size_t>(restart->instances);
    plan.targets = 100;
    plan.pageItems = static_cast<std::size_t>(restart->pageItems);
    plan.timePerCall = quickCall;
    std::vector<std::string> keys = {"op/config"};
    for (int i = 0; i < plan.targets; ++i)
        keys.push_back("servers/t" + std::to_string(i));
    std::sort(keys.begin(), keys.end());
    const std::string odd = keyAtEdge(keys, restart->pageItems, restart->edge);
    plan.otherKeys.push_back(odd);
    for (int i = 1; i < restart->odd; ++i)
        plan.otherKeys.push_back(odd + std::to_string(i));
    CommonStartFleet fleet(plan);
    const std::chrono::milliseconds half = fleet.timeUntilServing(50, recoveryTime);
    const std::chrono::milliseconds all = fleet.timeUntilServing(100, recoveryTime - half);
    std::printf("%s: half_ms=%lld all_ms=%lld calls=%zu\n", restart->name,
                static_cast<long long>(half.count()), static_cast<long long>((half + all).count()),
                fleet.store.calls());
    cr_assert_lt((half + all).count(), recoveryTime.count(), "%s: %zu of %d serve, %zu calls",
                 restart->name, fleet.serving(), restart->instances, fleet.store.calls());
    for (const auto &one : fleet.instances)
        cr_assert_eq(one->targetCount(), static_cast<std::size_t>(plan.targets));
}
