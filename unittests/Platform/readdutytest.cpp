// Who reads the store, in calm times and in its bad hours, and what the others believe meanwhile.
#include "platformdialect.h"

#include "jaytrack/Proxy/readduty.h"
#include "jaytrack/Proxy/storefeeds.h"
#include "jaytrack/Support/metrics.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <memory>
#include <set>

using namespace jaytrack;

namespace {

struct ReadCase
{
    int instances;
    int leastReading; // in each span of three seconds of a bad hour
    int mostReading;
};

std::string nameOf(int index)
{
    return "instance-" + std::to_string(index);
}

// The duties of a whole fleet in which everybody knows everybody.
struct Fleet
{
    explicit Fleet(int instances)
    {
        this->clock.advance(std::chrono::hours(1));
        for (int i = 0; i < instances; ++i) {
            this->duties.push_back(std::make_unique<ReadDuty>(this->clock, nameOf(i),
                                                              ReadDutyOptions(), this->random));
            std::vector<std::string> others;
            for (int other = 0; other < instances; ++other) {
                if (other != i)
                    others.push_back(nameOf(other));
            }
            this->duties.back()->setPeers(others);
        }
    }

    int reading(Duration age)
    {
        int count = 0;
        for (const auto &duty : this->duties)
            count += duty->reads(age) ? 1 : 0;
        return count;
    }

    void answerAll()
    {
        for (const auto &duty : this->duties)
            duty->answered();
    }

    ManualClock clock;
    std::mt19937_64 random{1};
    std::vector<std::unique_ptr<ReadDuty>> duties;
};

constexpr std::chrono::milliseconds calm{500};
constexpr std::chrono::seconds old{10};

class NoTargets final : public TargetDirectoryListener
{
public:
    void onTargetLeaving(const TargetEntry &, std::string_view) override {}
    void onTargetListed(const TargetEntry &) override {}
    void onTargetRestarted(const TargetEntry &) override {}
};

} // namespace

ParameterizedTestParameters(readDuty, fewReadInABadHour)
{
    static ReadCase cases[] = {{7, 7, 7}, {16, 16, 16}, {73, 3, 48}, {195, 3, 48}, {340, 3, 48}};
    return cr_make_param_array(ReadCase, cases, std::size(cases));
}

// Symptom: while the store is away a fleet of 195 makes a hundred calls a second to it. Events:
// nobody's knowledge is confirmed for 2.8 s. Cause: each instance then reads for itself. Some
// sixteen are drawn; three times as many is the bound, so that the calls do not grow with the
// fleet.
ParameterizedTest(ReadCase *size, readDuty, fewReadInABadHour)
{
    Fleet fleet(size->instances);
    fleet.clock.advance(std::chrono::seconds(2));
    cr_assert(fleet.reading(calm) == 3);
    for (int span = 0; span < 20; ++span) {
        int most = 0;
        for (int step = 0; step < 30; ++step) {
            fleet.clock.advance(std::chrono::milliseconds(100));
            fleet.answerAll();
            most = std::max(most, fleet.reading(old));
        }
        cr_assert(most >= size->leastReading && most <= size->mostReading, "%d read", most);
    }
}

// Symptom: at each start of an instance, and 195 times at a common one, two or three calls go to
// the store that readers make already. Events: it has listed the store and does not know its peers
// yet. Cause: whoever knows nobody takes itself for a reader.
Test(readDuty, newcomerWaitsForItsPeers)
{
    ManualClock clock;
    clock.advance(std::chrono::hours(1));
    std::mt19937_64 random(1);
    ReadDuty duty(clock, nameOf(0), ReadDutyOptions(), random);
    cr_assert_not(duty.reads(old));
    clock.advance(std::chrono::milliseconds(300));
    std::vector<std::string> others;
    for (int i = 1; i < 195; ++i)
        others.push_back(nameOf(i));
    duty.setPeers(others);
    cr_assert(duty.reads(calm) == duty.isReader());

    ReadDuty alone(clock, nameOf(0), ReadDutyOptions(), random);
    clock.advance(std::chrono::milliseconds(1300));
    cr_assert(alone.reads(calm), "nobody else will");
}

// Symptom: an instance that is cut off from all others refuses keyed requests though it reaches the
// store. Cause: waiting to be drawn, while nobody can tell it anything.
Test(readDuty, whoeverNobodyAnswersReads)
{
    Fleet fleet(195);
    fleet.clock.advance(std::chrono::seconds(3));
    fleet.answerAll();
    fleet.duties[0]->reads(calm);
    fleet.clock.advance(std::chrono::milliseconds(1100));
    cr_assert(fleet.reading(old) == 195);
}

// Symptom: those who were drawn know the newest, and the rest grows too old all the same. Cause:
// asking only the readers, which are cut off.
Test(readDuty, anybodyIsAskedWhileKnowledgeGrowsOld)
{
    Fleet fleet(195);
    std::set<std::string> asked;
    for (int i = 0; i < 40; ++i)
        asked.insert(fleet.duties[0]->whomToAsk(calm));
    cr_assert(asked.size() <= 3);
    for (int i = 0; i < 40; ++i)
        asked.insert(fleet.duties[0]->whomToAsk(std::chrono::seconds(2)));
    cr_assert(asked.size() > 10);
}

// Symptom: after an outage of the store an instance that is told by others has no targets for two
// seconds. Events: entries lapse while the store is away, a reader passes their removal on, and
// they come back. Cause: only whoever calls the store notices that it is away.
Test(targetFeed, lapsedEntriesArePassedOverWhileNothingIsConfirmed)
{
    asio::io_context loop;
    ManualClock clock;
    clock.advance(std::chrono::hours(1));
    const std::unique_ptr<Dialect> dialect = makePlatformDialect();
    Metrics metrics;
    NoTargets listener;
    TargetDirectory directory(listener);
    TargetFeed feed(loop, clock, *dialect, metrics, directory);
    TargetEntry entry;
    entry.id = entry.name = "t1";
    entry.service = "svc";
    directory.put(entry);
    feed.setUnconfirmed(true);
    StoreItem removal;
    removal.key = std::string(dialect->targetsPrefix()) + "t1";
    removal.deleted = true;
    feed.onChanges({removal}, clock.now());
    cr_assert(directory.usable("svc").size() == 1, "kept while nobody reaches the store");
    feed.setUnconfirmed(false);
    loop.run_for(std::chrono::milliseconds(1900));
    cr_assert(directory.usable("svc").size() == 1, "kept until living targets had time to return");
    loop.run_for(std::chrono::milliseconds(800));
    cr_assert(directory.usable("svc").empty(), "what is missing after that is gone");
}
