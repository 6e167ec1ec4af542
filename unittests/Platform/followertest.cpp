// What a follower of the store believes of what other instances read.
#include "platformdialect.h"
#include "platformstandin.h"

#include "jaytrack/Net/socket.h"
#include "jaytrack/Peers/peerlink.h"
#include "jaytrack/Store/storefollower.h"

#include <criterion/criterion.h>

#include <random>

using namespace jaytrack;
using namespace jaytrack::testing;

namespace {

class Recorder final : public StoreFollowerListener, public StoreReadListener
{
public:
    void onListing(const std::vector<StoreItem> &items, TimePoint) override { this->add(items); }
    void onChanges(const std::vector<StoreItem> &items, TimePoint) override { this->add(items); }
    void onSharedChanges(const std::vector<StoreItem> &items, bool) override { this->add(items); }
    void onStoreLost(std::string_view) override { ++this->lost; }
    void onStoreRegained(Duration) override { ++this->regained; }
    void onStoreRestored() override { ++this->returned; }
    void onStoreRead(std::uint64_t, std::uint64_t, const std::vector<StoreItem> &) override {}

    std::vector<std::string> storedKeys() const override { return this->keys; }

    std::vector<std::string> keys;
    int lost = 0;
    int regained = 0;
    int returned = 0;

private:
    void add(const std::vector<StoreItem> &items)
    {
        for (const StoreItem &item : items)
            this->keys.push_back(item.key);
    }
};

StoreItem itemOf(const std::string &key, std::uint64_t revision)
{
    return {key, "v", revision, false};
}

// A follower that has read the store and then asks nothing by itself.
struct Follower
{
    Follower()
    {
        this->store.put("a", "1");
        StoreFollowerOptions options;
        options.store = parseEndpoint(this->store.address()).value();
        this->follower =
                std::make_shared<StoreFollower>(this->loop, this->clock, *this->dialect, options, 1,
                                                this->recorder, this->recorder);
        this->follower->start();
        this->follower->setActive(false);
        this->loop.run_for(std::chrono::milliseconds(200));
        cr_assert_eq(this->recorder.keys.size(), 1);
    }

    StoreStandin store;
    asio::io_context loop;
    ManualClock clock;
    std::unique_ptr<Dialect> dialect = makePlatformDialect();
    Recorder recorder;
    std::shared_ptr<StoreFollower> follower;
};

// A follower that has just started and is to get from another instance what does not fit into the
// first page.
struct StartingFollower
{
    explicit StartingFollower(int items)
    {
        for (int i = 0; i < items; ++i)
            this->store.put("servers/t" + std::to_string(i), "ready");
        this->store.limitPages(1);
        StoreFollowerOptions options;
        options.store = parseEndpoint(this->store.address()).value();
        this->follower =
                std::make_shared<StoreFollower>(this->loop, this->clock, *this->dialect, options, 1,
                                                this->recorder, this->recorder);
        this->follower->setAwaitsSnapshot(true);
        this->follower->start();
        this->follower->setActive(false);
    }

    void runFor(std::chrono::milliseconds time)
    {
        this->loop.restart();
        this->loop.run_for(time);
    }

    StoreStandin store;
    asio::io_context loop;
    SystemClock clock;
    std::unique_ptr<Dialect> dialect = makePlatformDialect();
    Recorder recorder;
    std::shared_ptr<StoreFollower> follower;
};

} // namespace

Test(storeFollower, firstPageIsAllThatAWaitingFollowerReads)
{
    StartingFollower waiting(3);
    waiting.runFor(std::chrono::milliseconds(300));
    cr_assert_eq(waiting.store.calls(), 1U);
    cr_assert_not(waiting.follower->hasListed());
    StartingFollower small(1);
    small.runFor(std::chrono::milliseconds(300));
    cr_assert(small.follower->hasListed(), "a store of one page is known with it");
    waiting.follower->setActive(true);
    waiting.runFor(std::chrono::milliseconds(300));
    cr_assert(waiting.follower->hasListed(), "its turn to list has come");
}

// Guards against changes that are lost because they arrive while a snapshot is on its way, so that
// each instance that starts asks the store for them.
Test(storeFollower, changesThatComeBeforeTheSnapshotAreApplied)
{
    StartingFollower own(3);
    own.runFor(std::chrono::milliseconds(300));
    own.follower->applyShared(10, 11, {itemOf("b", 11)}, false);
    own.follower->applyShared(11, 13, {itemOf("c", 13)}, false);
    own.follower->adoptSnapshot(own.follower->knownEra(), 10);
    cr_assert_eq(own.follower->knownRevision(), 13U);
    const std::vector<std::string> expected = {"b", "c"};
    cr_assert(own.recorder.keys == expected);
    own.runFor(std::chrono::milliseconds(300));
    cr_assert_eq(own.store.calls(), 1U, "nothing is asked for again");
}

// Guards against a page that is asked for again and again, since each answer takes longer than it
// is waited for.
Test(storeFollower, slowPagesAreWaitedForLonger)
{
    StartingFollower own(1);
    own.store.limitCapacity(std::chrono::milliseconds(800));
    own.runFor(std::chrono::milliseconds(100));
    own.follower->setActive(true);
    own.runFor(std::chrono::milliseconds(6000));
    cr_assert(own.follower->hasListed());
}

// Guards against an instance that the store refuses while it lists again: it ignored what others
// told, and nothing confirmed its configuration any more.
Test(storeFollower, refusedListingIsReplacedByASnapshot)
{
    constexpr std::chrono::milliseconds timePerPage{200};
    constexpr std::chrono::milliseconds listingTime{1200};
    StartingFollower own(3);
    own.follower->setActive(true);
    own.runFor(std::chrono::milliseconds(300));
    own.store.takeCopy();
    own.store.comeBackFromCopy();
    cr_assert(own.follower->updateEra(own.store.currentEra()));
    own.store.limitCapacity(timePerPage);
    own.runFor(listingTime);
    const std::uint64_t known = own.follower->knownRevision();
    cr_assert_gt(known, 0U);
    own.runFor(restoreTime - listingTime + timePerPage);
    own.store.failWith(503);
    own.runFor(std::chrono::milliseconds(1000));
    cr_assert_not(own.follower->hasListed(), "it looks for a snapshot");
    const std::size_t heard = own.recorder.keys.size();
    const std::vector<StoreItem> changes = {itemOf("new", known + 1),
                                            itemOf("servers/t1", known + 1)};
    own.follower->applyShared(known, known + 1, changes, false);
    cr_assert_eq(own.recorder.keys.size(), heard + 1, "the new one waits for the listing");
    cr_assert_eq(own.recorder.keys.back(), std::string("servers/t1"));
    cr_assert(own.follower->holdsNewer(known - 1), "an older snapshot takes something back");
    cr_assert_not(own.follower->holdsNewer(known));
    own.follower->adoptSnapshot(own.follower->knownEra(), known);
    cr_assert(own.follower->hasListed());
    cr_assert_eq(own.follower->knownRevision(), known + 1);
    cr_assert_eq(own.recorder.keys.size(), heard + 1 + changes.size());
}

Test(storeFollower, changesOfOthersAreTakenOnceAndInOrder)
{
    Follower own;
    const std::uint64_t known = own.follower->knownRevision();
    own.follower->applyShared(known, known + 2, {itemOf("b", known + 1), itemOf("c", known + 2)},
                              false);
    own.follower->applyShared(known, known + 1, {itemOf("b", known + 1)}, false);
    own.follower->applyShared(known + 1, known + 3,
                              {itemOf("c", known + 2), itemOf("d", known + 3)}, false);
    cr_assert_eq(own.follower->knownRevision(), known + 3);
    const std::vector<std::string> expected = {"a", "b", "c", "d"};
    cr_assert(own.recorder.keys == expected);
}

// Symptom: drafts break off at an instance that the store turns away, though its peers know that
// their engines are leaving. Events: one change was too large to be passed on; every later one
// comes after that gap. Cause: what came after a gap was put aside until the store answered.
Test(storeFollower, whatComesAfterAGapIsBelievedButNotClaimed)
{
    Follower own;
    own.store.failWith(429);
    const std::uint64_t known = own.follower->knownRevision();
    own.follower->applyShared(known, known + 1, {}, true);
    own.follower->applyShared(known + 1, known + 2, {itemOf("leaving", known + 2)}, false);
    cr_assert_eq(own.recorder.keys.back(), std::string("leaving"));
    cr_assert_eq(own.follower->knownRevision(), known);
}

// A change that nobody passes on is read from the store after a moment.
Test(storeFollower, whatOthersKnowIsCaughtUpWith)
{
    Follower own;
    own.store.put("b", "2");
    own.follower->catchUp(own.follower->knownRevision() + 1);
    own.clock.advance(std::chrono::milliseconds(100));
    own.follower->tick();
    own.loop.restart();
    own.loop.run_for(std::chrono::milliseconds(100));
    cr_assert_eq(own.recorder.keys.back(), std::string("a"), "a notice may still be on its way");
    own.clock.advance(std::chrono::milliseconds(100));
    own.follower->tick();
    own.loop.restart();
    own.loop.run_for(std::chrono::milliseconds(200));
    cr_assert_eq(own.recorder.keys.back(), std::string("b"));
}

Test(storeFollower, outageIsToldOnceAndItsEndToo)
{
    Follower own;
    own.store.failWith(503);
    own.follower->setActive(true);
    own.loop.restart();
    own.loop.run_for(std::chrono::milliseconds(600));
    cr_assert_eq(own.recorder.lost, 1);
    own.store.failWith(0);
    own.loop.restart();
    own.loop.run_for(std::chrono::milliseconds(1800));
    cr_assert_eq(own.recorder.regained, 1);
}

// Symptom: a store in trouble is asked four times a second by each of sixty instances.
// Events: the store refuses for seconds; others read it for this instance and will tell it.
Test(storeFollower, asksSeldomInTroubleIfOthersTellIt)
{
    std::size_t calls[2] = {};
    for (const bool told : {false, true}) {
        Follower own;
        own.follower->setReceivesUpdates(told);
        own.store.failWith(503);
        const std::size_t before = own.store.calls();
        own.follower->setActive(true);
        own.loop.restart();
        own.loop.run_for(std::chrono::milliseconds(2500));
        calls[told ? 1 : 0] = own.store.calls() - before;
    }
    cr_assert(calls[0] >= 8, "%zu calls if nobody tells it", calls[0]);
    cr_assert(calls[1] <= 8 && calls[1] >= 2, "%zu calls if others tell it", calls[1]);
}

namespace {

// Values are compressed on their way, so sizes hold only for bytes without a pattern.
std::string incompressible(std::size_t size)
{
    std::mt19937 random(7);
    std::string bytes;
    for (std::size_t i = 0; i < size; ++i)
        bytes += static_cast<char>(random());
    return bytes;
}

} // namespace

// Symptom: each change of the configuration makes every instance of the fleet ask the store.
// Events: a configuration of fifty routes, 12 KB, is read by one instance for all.
// Cause: it was larger than a notice between instances may be, so it was left out.
Test(storeFollower, configurationOfFiftyRoutesIsPassedOn)
{
    std::string routes;
    for (int i = 0; i < 50; ++i) {
        routes += R"({"Name":"r-)" + std::to_string(i * 7919) +
                  R"(","Host":"site.example","Prefix":"/jobs/)" + std::to_string(i) +
                  R"(/","Type":"stream","TimeoutMs":39000,"SloMs":1800,"Priority":1,"Service":"s",
                  "MaxAttempts":1,"Public":false,"Sticky":true,"Resumable":false})";
    }
    cr_assert_gt(routes.size(), 10000);
    const SharedChanges changes{10, 11, {{"op/config", routes, 11, false}}, false};
    const std::vector<SharedChanges> parts = splitChanges(changes, 4096);
    cr_assert_eq(parts.size(), 1);
    cr_assert_not(parts.front().incomplete);
    cr_assert_eq(parts.front().items.front().value, routes);
}

// Symptom: whenever several engines leave at once, every instance asks the store what changed.
// Events: ten entries of 250 bytes change together. Cause: the changes were passed on as one
// notice, which was too large, so their items were left out.
Test(storeFollower, changesArePassedOnInPartsThatJoin)
{
    struct Case
    {
        std::vector<std::size_t> sizes;
        std::size_t parts;
        std::size_t incomplete;
    };
    const std::vector<Case> cases = {{{}, 1, 0},
                                     {{100}, 1, 0},
                                     {{400, 400, 400}, 2, 0},
                                     {{100, 5000, 100}, 1, 1},
                                     {{5000}, 1, 1},
                                     {{900, 5000, 900}, 2, 1}};
    for (const Case &one : cases) {
        SharedChanges changes{10, 10 + one.sizes.size() + 3, {}, false};
        for (std::size_t i = 0; i < one.sizes.size(); ++i)
            changes.items.push_back({"k", incompressible(one.sizes[i]), 11 + i, false});
        std::reverse(changes.items.begin(), changes.items.end());
        const std::vector<SharedChanges> parts = splitChanges(changes, 1000);
        cr_assert_eq(parts.size(), one.parts, "%zu items", one.sizes.size());
        std::uint64_t at = changes.from;
        std::size_t incomplete = 0;
        std::size_t items = 0;
        for (const SharedChanges &part : parts) {
            cr_assert_eq(part.from, at, "each part goes on where the one before ends");
            at = part.to;
            incomplete += part.incomplete ? 1 : 0;
            items += part.items.size();
            for (const StoreItem &item : part.items)
                cr_assert(item.revision > part.from && item.revision <= part.to);
        }
        cr_assert_eq(at, changes.to);
        cr_assert_eq(incomplete, one.incomplete);
        const auto large = static_cast<std::size_t>(
                std::count(one.sizes.begin(), one.sizes.end(), std::size_t{5000}));
        cr_assert_eq(items + large, one.sizes.size());
    }
}

// Guards against a notice with more changes than its receivers decode: six thousand targets may
// leave the store at once.
Test(storeFollower, manyChangesArePassedOnInPartsThatCanBeDecoded)
{
    static constexpr std::size_t decodedAtMost = 4096;
    SharedChanges changes{10, 6010, {}, false};
    for (std::uint64_t i = 0; i < 6000; ++i)
        changes.items.push_back({"servers/" + std::to_string(i), "", 11 + i, true});
    std::size_t items = 0;
    for (const SharedChanges &part : splitChanges(changes, 131'072)) {
        cr_assert_lt(part.items.size(), decodedAtMost);
        items += part.items.size();
    }
    cr_assert_eq(items, 6000);
}
