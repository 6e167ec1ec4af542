// Who reads the store, in calm times and in its bad hours, and what the others believe meanwhile.
#include "platformdialect.h"

#include "jaytrack/Store/readduty.h"
#include "jaytrack/Store/storefeeds.h"
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

// Ages of knowledge.
constexpr std::chrono::milliseconds calm{500};
constexpr std::chrono::seconds old{10};

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
            duty->answered(nameOf(0), old);
    }

    ManualClock clock;
    std::mt19937_64 random{1};
    std::vector<std::unique_ptr<ReadDuty>> duties;
};

// What one instance believes of one target.
struct TargetBelief
{
    TargetBelief()
    {
        this->clock.advance(std::chrono::hours(1));
        TargetEntry entry;
        entry.id = entry.name = "t1";
        entry.service = "svc";
        this->feed.onListing({}, this->clock.now());
        this->directory.put(entry);
        this->removal.key = std::string(this->dialect->targetsPrefix()) + "t1";
        this->removal.deleted = true;
    }

    bool isUsed() const { return !this->directory.usable("svc").empty(); }

    class Events final : public TargetDirectoryListener
    {
    public:
        void onTargetLeaving(const TargetEntry &, std::string_view) override {}
        void onTargetCold(const TargetEntry &) override {}
        void onDataCentreUse(std::string_view, bool) override {}
        void onTargetListed(const TargetEntry &) override {}
        void onTargetRestarted(const TargetEntry &) override {}
    };

    asio::io_context loop;
    ManualClock clock;
    std::unique_ptr<Dialect> dialect = makePlatformDialect();
    Metrics metrics;
    Events events;
    TargetDirectory directory{this->events};
    TargetFeed feed{this->loop, this->clock, *this->dialect, this->metrics, this->directory};
    StoreItem removal;
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
        asked.insert(fleet.duties[0]->choosePeerToQuery(calm));
    cr_assert(asked.size() <= 3);
    for (int i = 0; i < 40; ++i)
        asked.insert(fleet.duties[0]->choosePeerToQuery(std::chrono::seconds(2)));
    cr_assert(asked.size() > 10);
}

// Symptom: instances whose readers the store turns away read for themselves, and refuse keys,
// though one reader in three knows the newest. Cause: asking all three alike, whatever they
// answered.
Test(readDuty, readerThatKnowsIsAskedAgain)
{
    Fleet fleet(195);
    ReadDuty &duty = *fleet.duties[0];
    const std::string good = duty.choosePeerToQuery(calm);
    duty.answered(good, calm);
    for (int i = 0; i < 20; ++i)
        cr_assert(duty.choosePeerToQuery(calm) == good);
    duty.answered(good, old);
    std::set<std::string> asked;
    for (int i = 0; i < 20; ++i)
        asked.insert(duty.choosePeerToQuery(calm));
    cr_assert(asked.size() > 1);
}

// Symptom: after an outage of the store the fleet has no targets for two seconds. Events: entries
// lapse while the store is away; an instance that is drawn to read just as it returns sees their
// removal, and none of its own calls has failed. Cause: only failed calls counted as an outage.
Test(targetFeed, lapsedEntriesArePassedOverAfterNothingWasConfirmed)
{
    TargetBelief belief;
    belief.feed.updateFreshness(belief.clock.now(), true);
    belief.feed.onChanges({belief.removal}, belief.clock.now());
    cr_assert(belief.isUsed(), "kept while nobody reached the store");
    cr_assert(belief.feed.inGrace(), "and others are told so");
    belief.feed.updateFreshness(belief.clock.now(), false);
    belief.loop.run_for(std::chrono::milliseconds(1900));
    cr_assert(belief.isUsed(), "kept until living targets had time to return");
    belief.loop.run_for(std::chrono::milliseconds(800));
    cr_assert_not(belief.isUsed(), "what is missing after that is gone");
}

// Symptom: as above, at instances that are told by others. Cause: they make no calls that could
// fail; the reader, whose calls failed, has to say so.
Test(targetFeed, whoeverReadTellsOfAnOutage)
{
    TargetBelief belief;
    belief.feed.updateFreshness(belief.clock.now(), false);
    belief.feed.onSharedChanges({belief.removal}, true);
    belief.loop.run_for(std::chrono::milliseconds(1900));
    cr_assert(belief.isUsed());
    belief.loop.run_for(std::chrono::milliseconds(800));
    cr_assert_not(belief.isUsed());
}

// Symptom: generations are cut at engines that left with notice, at instances that the store turns
// away; 11 of some 145 in fifteen seconds. Events: the store refuses a third of the instances and
// serves the others; an engine's entry is removed, readers pass it on, and the instance keeps the
// engine for one that has lapsed. Cause: taking its own failed calls for an outage.
Test(targetFeed, beingTurnedAwayIsNoOutage)
{
    TargetBelief belief;
    belief.feed.onStoreLost("reset");
    belief.clock.advance(std::chrono::seconds(2));
    belief.feed.updateFreshness(belief.clock.now(), false);
    belief.feed.onSharedChanges({belief.removal}, false);
    cr_assert_not(belief.isUsed(), "told as gone by one that the store serves");

    TargetBelief later;
    later.feed.onStoreLost("reset");
    later.clock.advance(std::chrono::seconds(2));
    later.feed.updateFreshness(later.clock.now(), false);
    later.feed.onStoreRegained(std::chrono::seconds(2));
    later.feed.onChanges({later.removal}, later.clock.now());
    cr_assert_not(later.isUsed(), "nothing has lapsed meanwhile");
}

// Guards against a target that is used for ever after it left: its removal was read beside an
// outage, and the store turned this instance away when the time to come back was over.
Test(targetFeed, missingTargetsGoAlsoWhereTheStoreTurnsAway)
{
    TargetBelief belief;
    belief.feed.updateFreshness(belief.clock.now(), false);
    belief.feed.onSharedChanges({belief.removal}, true);
    belief.feed.onStoreLost("reset");
    belief.loop.run_for(std::chrono::milliseconds(2500));
    belief.clock.advance(std::chrono::seconds(3));
    belief.feed.updateFreshness(belief.clock.now(), false);
    belief.feed.onStoreRegained(std::chrono::seconds(3));
    belief.loop.restart();
    belief.loop.run_for(std::chrono::milliseconds(2500));
    cr_assert_not(belief.isUsed());
}

// Symptom: a reader loses its targets when the store is back after two seconds. Cause: taking an
// outage for being turned away, though nobody has read the store since.
Test(targetFeed, outageOfAReaderIsOneIfNobodyElseReads)
{
    TargetBelief belief;
    belief.feed.updateFreshness(belief.clock.now(), false);
    belief.clock.advance(std::chrono::milliseconds(500));
    belief.feed.onStoreLost("no_answer");
    belief.clock.advance(std::chrono::milliseconds(1500));
    belief.feed.onStoreRegained(std::chrono::milliseconds(1500));
    belief.feed.onChanges({belief.removal}, belief.clock.now());
    cr_assert(belief.isUsed());
}
