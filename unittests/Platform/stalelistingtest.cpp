// Listings of many targets that are read from replicas of the store.
#include "platformdialect.h"
#include "platformstandin.h"

#include "jaytrack/Net/socket.h"
#include "jaytrack/Store/storefollower.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <map>

using namespace jaytrack;
using namespace jaytrack::testing;

namespace {

constexpr int targetCount = 9;
constexpr std::size_t pageItems = 2;
constexpr std::size_t pageCount = 5; // of the configuration and the targets

std::string targetKey(int index)
{
    return "servers/t" + std::to_string(index);
}

// Keeps what a follower has read, as a directory of targets would.
class Contents final : public StoreFollowerListener, public StoreReadListener
{
public:
    void onListing(const std::vector<StoreItem> &items, TimePoint) override
    {
        this->values.clear();
        this->apply(items);
        ++this->listings;
        this->firstConfiguration = this->values["op/config"];
    }
    void onChanges(const std::vector<StoreItem> &items, TimePoint) override { this->apply(items); }
    void onSharedChanges(const std::vector<StoreItem> &, bool) override {}
    void onStoreLost(std::string_view) override {}
    void onStoreRegained(Duration) override {}
    void onStoreRestored() override {}
    void onStoreRead(std::uint64_t, std::uint64_t, const std::vector<StoreItem> &) override {}

    std::map<std::string, std::string> values;
    std::string firstConfiguration;
    int listings = 0;

private:
    void apply(const std::vector<StoreItem> &items)
    {
        for (const StoreItem &item : items) {
            if (item.deleted)
                this->values.erase(item.key);
            else
                this->values[item.key] = item.value;
        }
    }
};

// A follower that lists the store, reads targets from replicas, and then asks nothing by itself.
struct ListingFollower
{
    explicit ListingFollower(const StoreStandin &store)
    {
        StoreFollowerOptions options;
        options.store = parseEndpoint(store.address()).value();
        options.stalePrefix = this->dialect->targetsPrefix();
        this->follower =
                std::make_shared<StoreFollower>(this->loop, this->clock, *this->dialect, options, 1,
                                                this->contents, this->contents);
        this->follower->start();
        this->follower->setActive(false);
    }

    asio::io_context loop;
    ManualClock clock;
    std::unique_ptr<Dialect> dialect = makePlatformDialect();
    Contents contents;
    std::shared_ptr<StoreFollower> follower;
};

enum class StaleReplica {
    Current,
    Lags,
    AnswersFromOlderHistory,
    LagsBeyondHistory,
    HoldsOtherKeys
};

struct StaleCase
{
    char name[48];
    StaleReplica replica;
    int listings;
};

StaleCase staleCases[] = {
        {"replicas are current", StaleReplica::Current, 1},
        {"replicas lag", StaleReplica::Lags, 1},
        {"replicas answer from an older history", StaleReplica::AnswersFromOlderHistory, 1},
        {"replicas lag beyond the history", StaleReplica::LagsBeyondHistory, 2},
        {"other keys among those of targets", StaleReplica::HoldsOtherKeys, 1},
};

// Freezes what replicas hold, then changes the store.
void prepare(StoreStandin &store, StaleReplica replica)
{
    if (replica == StaleReplica::AnswersFromOlderHistory)
        store.takeCopy();
    if (replica == StaleReplica::HoldsOtherKeys)
        store.put("settings/x", "old");
    store.freezeReplica();
    if (replica == StaleReplica::Current)
        return;
    if (replica == StaleReplica::AnswersFromOlderHistory)
        store.comeBackFromCopy();
    store.put("op/config", "new");
    store.remove(targetKey(1));
    store.remove(targetKey(7));
    store.put(targetKey(8), "draining");
    store.put("servers/t95", "ready");
    if (replica == StaleReplica::HoldsOtherKeys)
        store.put("settings/x", "new");
    if (replica == StaleReplica::LagsBeyondHistory)
        store.compact();
}

} // namespace

ParameterizedTestParameters(staleListing, endsWithWhatTheStoreHolds)
{
    return cr_make_param_array(StaleCase, staleCases, std::size(staleCases));
}

// Guards against an instance that goes on believing what a replica of the store told it: targets
// that have left, a configuration with a revoked key, or a revision that it knows only in part.
ParameterizedTest(StaleCase *param, staleListing, endsWithWhatTheStoreHolds)
{
    StoreStandin store;
    store.limitPages(pageItems);
    store.put("op/config", "old");
    for (int i = 0; i < targetCount; ++i)
        store.put(targetKey(i), "ready");
    prepare(store, param->replica);

    ListingFollower follower(store);
    const Contents &contents = follower.contents;
    while (contents.listings == 0)
        follower.loop.run_one();
    const bool changed = param->replica != StaleReplica::Current;
    cr_assert_eq(contents.firstConfiguration, std::string(changed ? "new" : "old"),
                 "the configuration is never read from a replica");
    // A listing that had to be repeated is current.
    const bool isStale = param->replica != StaleReplica::AnswersFromOlderHistory;
    cr_assert_eq(follower.follower->knownRevision() == 0, isStale,
                 "changes may be missing until a watch answers");
    follower.loop.run_for(std::chrono::milliseconds(1600));

    cr_assert_eq(contents.listings, param->listings);
    std::map<std::string, std::string> expected;
    expected["op/config"] = changed ? "new" : "old";
    for (int i = 0; i < targetCount; ++i)
        expected[targetKey(i)] = "ready";
    if (changed) {
        expected.erase(targetKey(1));
        expected.erase(targetKey(7));
        expected[targetKey(8)] = "draining";
        expected["servers/t95"] = "ready";
    }
    follower.contents.values.erase("settings/x");
    cr_assert(contents.values == expected, "%s", param->name);
    cr_assert_gt(follower.follower->knownRevision(), 0);
}

// Guards against a fleet that starts together and uses up the store's rate limit with its listings.
Test(staleListing, onlyTheFirstPageCountsTowardsTheRateLimit)
{
    StoreStandin store;
    store.limitPages(pageItems);
    store.put("op/config", "c");
    for (int i = 0; i < targetCount; ++i)
        store.put(targetKey(i), "ready");
    ListingFollower follower(store);
    follower.loop.run_for(std::chrono::milliseconds(1600));
    cr_assert_eq(follower.contents.listings, 1);
    cr_assert_eq(store.staleCalls(), pageCount - 1);
    cr_assert_eq(store.calls(), pageCount + 1,
                 "and one watch, which brings the listing up to date");
}
