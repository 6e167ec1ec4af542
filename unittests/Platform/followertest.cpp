// What a follower of the store believes of what other instances read.
#include "platformdialect.h"
#include "platformstandin.h"

#include "jaytrack/Net/socket.h"
#include "jaytrack/Proxy/storefollower.h"

#include <criterion/criterion.h>

using namespace jaytrack;
using namespace jaytrack::testing;

namespace {

class Recorder final : public StoreFollowerListener, public StoreReadListener
{
public:
    void onListing(const std::vector<StoreItem> &items, TimePoint) override { this->add(items); }
    void onChanges(const std::vector<StoreItem> &items, TimePoint) override { this->add(items); }
    void onStoreLost(std::string_view) override { ++this->lost; }
    void onStoreRegained(Duration) override { ++this->regained; }
    void onStoreRead(std::uint64_t, std::uint64_t, const std::vector<StoreItem> &) override {}

    std::vector<std::string> keys;
    int lost = 0;
    int regained = 0;

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

} // namespace

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
