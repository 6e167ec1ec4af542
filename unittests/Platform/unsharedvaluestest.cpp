// What an instance passes on of values that mean nothing to the others.
#include "platformdialect.h"
#include "platformdocuments.h"

#include "jaytrack/Store/storesharing.h"
#include "jaytrack/Support/metrics.h"

#include "peer_types.h"

#include <criterion/criterion.h>

#include <memory>

using namespace jaytrack;
using namespace jaytrack::testing;

namespace {

constexpr std::size_t maxSharedBytes = 131'072;

// Changes that an instance passes on, and the questions that it asks.
class Sent final : public StoreTransport
{
public:
    void shareStoreChanges(const SharedChanges &changes) override { this->shared = changes; }
    void sendFreshnessQuery(std::string_view, std::int64_t) override {}
    void sendFreshnessAnswer(std::string_view, std::int64_t, const StoreFreshness &) override {}
    std::string randomInstance() override { return {}; }
    void requestSnapshot(std::string_view) override {}

    SharedChanges shared;
};

class NoEvents final : public TargetDirectoryListener
{
public:
    void onTargetLeaving(const TargetEntry &, std::string_view) override {}
    void onTargetCold(const TargetEntry &) override {}
    void onDataCentreUse(std::string_view, bool) override {}
    void onTargetListed(const TargetEntry &) override {}
    void onTargetRestarted(const TargetEntry &) override {}
};

// An instance that has listed the store up to revision 5, with the target "t1".
struct Instance
{
    Instance()
    {
        StoreFollowerOptions options;
        options.store = {asio::ip::make_address("127.0.0.1"), 1};
        this->follower = std::make_shared<StoreFollower>(this->loop, this->clock, *this->dialect,
                                                         options, 1, this->feeds, this->sharing);
        this->sharing.attach(this->follower);
        this->sharing.onPeersChanged({"second", "third"});
        this->follower->setActive(false);
        this->targets.onListing({{"servers/t1", entryWith("", ""), 4, false, false}},
                                this->clock.now());
        this->follower->adoptSnapshot(1, 5);
    }

    // Returns the notices in which changes up to revision 6 reach the others.
    std::vector<SharedChanges> share(const std::vector<StoreItem> &items)
    {
        this->sharing.onStoreRead(5, 6, items);
        return splitChanges(this->transport.shared, maxSharedBytes);
    }

    asio::io_context loop;
    ManualClock clock;
    std::unique_ptr<Dialect> dialect = makePlatformDialect();
    Metrics metrics;
    NoEvents events;
    TargetDirectory directory{this->events};
    ConfigurationFeed configuration{this->clock, *this->dialect};
    TargetFeed targets{this->loop, this->clock, *this->dialect, this->metrics, this->directory};
    StoreFeeds feeds{this->configuration, this->targets};
    Sent transport;
    std::mt19937_64 random{1};
    StoreSharing sharing{this->clock,         "first",       ReadDutyOptions(), this->random,
                         this->configuration, this->targets, this->transport};
    std::shared_ptr<StoreFollower> follower;
};

// Bytes that do not become smaller by compression.
std::string megabyte()
{
    std::mt19937 source(7);
    std::string bytes(1U << 20U, '\0');
    for (char &byte : bytes)
        byte = static_cast<char>(source());
    return bytes;
}

} // namespace

// Guards against hundreds of instances that each query the store at each change of an entry that
// names no target, since its value is too large to be passed on.
Test(unsharedValues, largeUnusableEntryCostsNoQuery)
{
    Instance reader;
    const auto parts = reader.share({{"servers/t1", megabyte(), 6, false, false}});
    cr_assert_eq(parts.size(), 1);
    cr_expect_not(parts.front().incomplete);
    cr_assert_eq(parts.front().items.size(), 1);
    cr_expect(parts.front().items.front().value.empty());
    Instance other;
    const auto received = fromNotice(toNotice(parts.front()));
    cr_assert(received.has_value());
    other.sharing.onStoreFromPeer(*received);
    cr_expect_eq(other.follower->knownRevision(), 6);
    cr_expect(other.directory.usable("svc").empty(), "the target is not suspended");
}

// Guards against notices without the values that others need, or with those that nobody reads.
Test(unsharedValues, onlyValuesThatAreReadAreShared)
{
    Instance reader;
    const std::string usable = entryWith("Slots", "25");
    const std::vector<StoreItem> items = {
            {"op/config", "{\"Version\":2}", 6, false, false},
            {"servers/t1", usable, 6, false, false},
            {"servers/t2", entryWith("Slots", "0"), 6, false, false},
            {"servers/t3", {}, 6, true, false},
            {std::string(reader.dialect->outOfUsePrefix()) + "dc", "anything", 6, false, false},
            {"other/key", megabyte(), 6, false, false}};
    const auto parts = reader.share(items);
    cr_assert_eq(parts.size(), 1);
    cr_expect_not(parts.front().incomplete);
    const std::vector<StoreItem> &shared = parts.front().items;
    cr_assert_eq(shared.size(), items.size());
    const std::vector<std::string> values = {items[0].value, usable, "", "", "", ""};
    for (std::size_t i = 0; i < items.size(); ++i) {
        cr_expect_eq(shared[i].key, items[i].key);
        cr_expect_eq(shared[i].value, values[i], "%s", items[i].key.c_str());
        cr_expect_eq(shared[i].deleted, items[i].deleted);
    }
}
