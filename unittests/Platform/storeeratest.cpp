// The store comes back from an older copy: what it had acknowledged since is gone until it is
// written again, and revisions are given out a second time.
#include "entryfixture.h"

#include "jaytrack/Net/socket.h"
#include "jaytrack/Store/storefeeds.h"
#include "jaytrack/Store/storefollower.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace jaytrack;
using namespace jaytrack::testing;

namespace {

RouteSpec routeAt(const std::string &prefix)
{
    RouteSpec route;
    route.type = "unsafe";
    route.prefix = prefix;
    return route;
}

int statusOf(const EntryFixture &entry, const std::string &path)
{
    RequestSpec spec;
    spec.path = path;
    const CallerView view = callOnce(entry.port(), requestText(spec));
    return view.bytes.size() < 12 ? 0 : std::stoi(view.bytes.substr(9, 3));
}

bool becomes(const EntryFixture &entry, const std::string &path, int status,
             std::chrono::milliseconds within = std::chrono::milliseconds(3000))
{
    const auto end = std::chrono::steady_clock::now() + within;
    while (std::chrono::steady_clock::now() < end) {
        if (statusOf(entry, path) == status)
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return false;
}

// Away for a moment: the store answers nothing while it comes back and is written to.
template <typename Written>
void comeBack(StoreStandin &store, Written written)
{
    store.failWith(503);
    std::this_thread::sleep_for(std::chrono::milliseconds(1300));
    store.comeBackFromCopy();
    written();
    store.failWith(0);
}

} // namespace

// A target that was listed again after the store's return gets no work, and one that left goes on
// getting it. The instance followed the changes from the revision that it knew, which the store had
// reached a second time by then with other changes: those up to it were never seen.
Test(storeEra, whatIsWrittenUnderKnownRevisionsIsSeen)
{
    ScriptedServer gone(goodAnswer);
    ScriptedServer fresh(goodAnswer);
    EntryFixture entry({routeAt("/jobs/")});
    entry.list("t1", gone);
    entry.store.takeCopy();
    for (int i = 0; i < 4; ++i)
        entry.store.put("servers/other" + std::to_string(i), "{}");
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    comeBack(entry.store, [&] {
        entry.store.put("servers/t2", targetJson(fresh.address()));
        entry.store.put("servers/t1", targetJson(gone.address(), "draining"));
        for (int i = 0; i < 4; ++i)
            entry.store.put("servers/other" + std::to_string(i), "{}");
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    const std::size_t before = workSeen(gone);
    for (int i = 0; i < 10; ++i)
        cr_assert_eq(statusOf(entry, "/jobs/1"), 200);
    cr_assert_eq(workSeen(gone), before);
    cr_assert_eq(workSeen(fresh), 10);
}

// A route that every caller has used for seconds is denied, because the copy holds the
// configuration before it. What is in force never goes back; what is written again is taken.
Test(storeEra, configurationNeverGoesBack)
{
    ScriptedServer target(goodAnswer);
    EntryFixture entry({routeAt("/jobs/")});
    entry.list("t1", target);
    entry.store.takeCopy();
    entry.publish(configurationJson(2, {routeAt("/jobs/"), routeAt("/new/")}));
    cr_assert(becomes(entry, "/new/1", 200));
    comeBack(entry.store, [] {});
    for (int i = 0; i < 20; ++i) {
        cr_assert_eq(statusOf(entry, "/new/1"), 200);
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    entry.publish(configurationJson(2, {routeAt("/jobs/"), routeAt("/new/")}));
    entry.publish(configurationJson(3, {routeAt("/newer/")}));
    cr_assert(becomes(entry, "/newer/1", 200));
}

// An engine that was told to leave gets work again, because the copy lists it as it was before.
Test(storeEra, leavingIsNotTakenBack)
{
    ScriptedServer leaving(goodAnswer);
    ScriptedServer stays(goodAnswer);
    EntryFixture entry({routeAt("/jobs/")});
    entry.list("t1", leaving);
    entry.list("t2", stays);
    entry.store.takeCopy();
    entry.store.put("servers/t1", targetJson(leaving.address(), "draining"));
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    entry.store.remove("servers/t1");
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    const std::size_t before = workSeen(leaving);
    comeBack(entry.store, [] {});
    std::this_thread::sleep_for(std::chrono::milliseconds(1000));
    for (int i = 0; i < 20; ++i)
        cr_assert_eq(statusOf(entry, "/jobs/1"), 200);
    cr_assert_eq(workSeen(leaving), before);
}

// Guards against requests to a target that left by the removal of its entry, which the copy still
// holds. A target that only lapsed is used again once it has written its entry.
Test(storeEra, removalIsNotTakenBack)
{
    ScriptedServer leaving(goodAnswer);
    ScriptedServer stays(goodAnswer);
    EntryFixture entry({routeAt("/jobs/")});
    entry.list("t1", leaving);
    entry.list("t2", stays);
    entry.store.takeCopy();
    entry.store.remove("servers/t1");
    std::this_thread::sleep_for(std::chrono::milliseconds(800));
    const std::size_t before = workSeen(leaving);
    comeBack(entry.store, [] {});
    std::this_thread::sleep_for(std::chrono::milliseconds(1000));
    for (int i = 0; i < 20; ++i)
        cr_assert_eq(statusOf(entry, "/jobs/1"), 200);
    cr_assert_eq(workSeen(leaving), before);
    entry.store.put("servers/t1", targetJson(leaving.address()));
    std::this_thread::sleep_for(std::chrono::milliseconds(800));
    for (int i = 0; i < 40; ++i)
        cr_assert_eq(statusOf(entry, "/jobs/1"), 200);
    cr_assert_gt(workSeen(leaving), before);
    // Nor does a later listing of the restored store withhold it again.
    std::this_thread::sleep_for(std::chrono::milliseconds(1000));
    const std::size_t used = workSeen(leaving);
    for (int i = 0; i < 40; ++i)
        cr_assert_eq(statusOf(entry, "/jobs/1"), 200);
    cr_assert_gt(workSeen(leaving), used);
}

// All requests are refused for two seconds after the store's return, because the copy lacks targets
// that started after it was made. They write themselves again; one that does not is gone then.
Test(storeEra, targetsThatTheCopyLacksAreKeptUntilTheyAreWrittenAgain)
{
    ScriptedServer target(goodAnswer);
    EntryFixture entry({routeAt("/jobs/")});
    entry.store.takeCopy();
    entry.list("t1", target);
    cr_assert(becomes(entry, "/jobs/1", 200));
    // The copy lacks the configuration's key too, as one that is older than the fixture's would
    // not.
    entry.publish(configurationJson(1, {routeAt("/jobs/")}));
    comeBack(entry.store, [&] { entry.publish(configurationJson(1, {routeAt("/jobs/")})); });
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(1500);
    while (std::chrono::steady_clock::now() < end) {
        cr_assert_eq(statusOf(entry, "/jobs/1"), 200);
        std::this_thread::sleep_for(std::chrono::milliseconds(30));
    }
    cr_assert(becomes(entry, "/jobs/1", 503), "what never came back is gone");
}

namespace {

class EraRecorder final : public StoreFollowerListener, public StoreReadListener
{
public:
    void onListing(const std::vector<StoreItem> &items, TimePoint asOf) override
    {
        this->listedAsOf = asOf;
        ++this->listings;
        this->add(items);
    }
    void onChanges(const std::vector<StoreItem> &items, TimePoint) override { this->add(items); }
    void onSharedChanges(const std::vector<StoreItem> &items, bool) override { this->add(items); }
    void onStoreLost(std::string_view) override {}
    void onStoreRegained(Duration) override {}
    void onStoreRestored() override { ++this->returns; }
    void onStoreRead(std::uint64_t, std::uint64_t, const std::vector<StoreItem> &) override {}

    std::map<std::string, std::string> values;
    TimePoint listedAsOf;
    int listings = 0;
    int returns = 0;

private:
    void add(const std::vector<StoreItem> &items)
    {
        for (const StoreItem &item : items)
            this->values[item.key] = item.value;
    }
};

// Followers of one store, as the instances of a fleet have them.
struct Followers
{
    explicit Followers(std::size_t count)
    {
        this->store.put("a", "1");
        StoreFollowerOptions options;
        options.store = parseEndpoint(this->store.address()).value();
        this->recorders.resize(count);
        for (std::size_t i = 0; i < count; ++i) {
            this->all.push_back(std::make_shared<StoreFollower>(
                    this->loop, this->clock, *this->dialect, options, i, this->recorders[i],
                    this->recorders[i]));
            this->all.back()->start();
        }
    }

    void run(std::chrono::milliseconds time)
    {
        this->loop.restart();
        this->loop.run_for(time);
    }

    StoreStandin store;
    asio::io_context loop;
    SystemClock clock;
    std::unique_ptr<Dialect> dialect = makePlatformDialect();
    std::vector<EraRecorder> recorders;
    std::vector<std::shared_ptr<StoreFollower>> all;
};

constexpr std::chrono::milliseconds settle{300};

} // namespace

// What others tell of a history that is over is taken for news, or what they tell of the new one
// for old: notices of both cross each other on their way.
Test(storeEra, noticesAreOrderedByEraFirst)
{
    Followers fleet(1);
    StoreFollower &follower = *fleet.all[0];
    fleet.run(settle);
    const std::uint64_t era = follower.knownEra();
    cr_assert_eq(era, 1);
    cr_assert(follower.updateEra(era));
    cr_assert(follower.updateEra(0), "one that knows no number is heard");
    cr_assert(follower.updateEra(era + 1));
    cr_assert_eq(fleet.recorders[0].returns, 1);
    cr_assert_eq(follower.knownRevision(), 0, "nothing is claimed until it is listed");
    cr_assert_not(follower.updateEra(era), "late");
    cr_assert(follower.updateEra(era + 1));
    cr_assert_eq(fleet.recorders[0].returns, 1);
    cr_assert(follower.updateEra(era + 3), "two returns in a row");
    cr_assert_eq(fleet.recorders[0].returns, 2);
}

// Two returns in a row, a number that goes down, or an answer without one leave a follower deaf, or
// with what is gone. Whatever the numbers do, what the store holds in the end is known.
Test(storeEra, storeIsKnownAfterAnySeriesOfReturns)
{
    std::mt19937_64 random(32);
    for (int round = 0; round < 6; ++round) {
        Followers fleet(2);
        fleet.all[1]->setActive(round % 2 == 0);
        fleet.run(settle);
        for (int step = 0; step < 12; ++step) {
            switch (random() % 4) {
            case 0:
                fleet.store.takeCopy();
                break;
            case 1:
                fleet.store.comeBackFromCopy();
                break;
            case 2:
                fleet.store.put("a", std::to_string(step));
                break;
            default:
                fleet.store.put("b" + std::to_string(random() % 3), std::to_string(step));
            }
            if (random() % 2 == 0)
                fleet.run(std::chrono::milliseconds(random() % 40));
        }
        fleet.store.put("a", "last");
        fleet.all[1]->updateEra(fleet.store.currentEra());
        fleet.all[1]->setActive(true);
        fleet.run(std::chrono::milliseconds(1500));
        for (const EraRecorder &recorder : fleet.recorders)
            cr_assert_eq(recorder.values.at("a"), std::string("last"), "round %d", round);
    }
}

namespace {

struct FleetSize
{
    std::size_t instances;
};

} // namespace

// After a return all instances list the store in the same moment. Those that others tell spread
// their listings, a hundred a second at most, and each lists once.
ParameterizedTestParameters(storeEra, listingsAreSpreadOverTheFleet)
{
    static FleetSize cases[] = {{9}, {87}, {195}};
    return cr_make_param_array(FleetSize, cases, std::size(cases));
}

ParameterizedTest(FleetSize *param, storeEra, listingsAreSpreadOverTheFleet)
{
    Followers fleet(param->instances);
    fleet.run(std::chrono::milliseconds(800));
    for (const auto &follower : fleet.all) {
        follower->setReceivesUpdates(true);
        follower->setInstances(param->instances);
        follower->setActive(false);
    }
    fleet.run(std::chrono::milliseconds(1500));
    for (const EraRecorder &recorder : fleet.recorders)
        cr_assert_eq(recorder.listings, 1);
    fleet.store.takeCopy();
    fleet.store.comeBackFromCopy();
    const std::size_t before = fleet.store.calls();
    for (const auto &follower : fleet.all)
        follower->updateEra(2);
    static constexpr std::size_t mostInHalfASecond = 70;
    fleet.run(std::chrono::milliseconds(500));
    cr_assert_leq(fleet.store.calls() - before, mostInHalfASecond, "%zu calls at once",
                  fleet.store.calls() - before);
    fleet.run(std::chrono::milliseconds(2000));
    cr_assert_eq(fleet.store.calls() - before, param->instances, "%zu calls",
                 fleet.store.calls() - before);
    for (const EraRecorder &recorder : fleet.recorders)
        cr_assert_eq(recorder.listings, 2);
}

// Guards against callers that are refused for seconds after the store's return: nothing that was
// read before lost changes are written again confirms that keys still hold, nor does a watch that
// began before and ends later.
Test(storeEra, confirmsWhenLostChangesAreWrittenAgain)
{
    static constexpr std::chrono::milliseconds writtenAgainAfter(2200);
    static constexpr std::chrono::milliseconds confirmedWithin(300);
    Followers fleet(1);
    fleet.run(std::chrono::milliseconds(800));
    fleet.store.takeCopy();
    fleet.store.comeBackFromCopy();
    fleet.all[0]->updateEra(2);
    const TimePoint returned = fleet.clock.now();
    fleet.run(writtenAgainAfter + confirmedWithin);
    cr_expect(fleet.recorders[0].listedAsOf - returned >= writtenAgainAfter);
    const std::size_t calls = fleet.store.calls();
    fleet.run(std::chrono::milliseconds(1000));
    cr_expect(fleet.store.calls() - calls <= 1, "and goes on watching");
}

// A key works on for ever though it was taken away: the change was acknowledged and lost before it
// came here, the instance listed the copy, and took it for a confirmation that the key holds.
Test(storeEra, copyConfirmsNothingUntilLostChangesAreWrittenAgain)
{
    ManualClock clock;
    clock.advance(std::chrono::hours(1));
    const auto dialect = makePlatformDialect();
    ConfigurationFeed feed(clock, *dialect);
    feed.confirm(clock.now());
    clock.advance(std::chrono::milliseconds(800));
    feed.onStoreRestored();
    clock.advance(std::chrono::milliseconds(100));
    feed.confirm(clock.now());
    cr_assert_eq(feed.age(), Duration(std::chrono::milliseconds(900)),
                 "the copy may lack a change");
    clock.advance(std::chrono::milliseconds(2100));
    feed.confirm(clock.now());
    cr_assert_eq(feed.age(), Duration(0), "what was lost is written again by now");
}

// Guards against a return that is taken for another outage, since nothing is confirmed for a while:
// targets that were not written again were used for seconds more than the platform allows.
Test(storeEra, returnIsNotTakenForAnOutage)
{
    ManualClock clock;
    clock.advance(std::chrono::hours(1));
    const auto dialect = makePlatformDialect();
    ConfigurationFeed feed(clock, *dialect);
    feed.confirm(clock.now());
    clock.advance(std::chrono::milliseconds(2500));
    cr_assert_eq(feed.timeSinceContact(), feed.age());
    feed.onStoreRestored();
    clock.advance(restoreTime);
    cr_assert_eq(feed.age(), Duration(std::chrono::milliseconds(2500) + restoreTime));
    cr_assert_eq(feed.timeSinceContact(), Duration(0));
    clock.advance(std::chrono::milliseconds(1000));
    cr_assert_eq(feed.timeSinceContact(), Duration(std::chrono::milliseconds(1000)),
                 "silence after that is one");
}
