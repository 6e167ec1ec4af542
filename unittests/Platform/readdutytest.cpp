// Who reads the store, in calm times and in its bad hours, and what the others believe meanwhile.
#include "platformdialect.h"

#include "jaytrack/Store/readduty.h"
#include "jaytrack/Store/storefeeds.h"
#include "jaytrack/Support/metrics.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
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

// How the three readers of a fleet are lost.
enum class ReaderLoss { Together, OneAfterTheOther };

struct ReaderLossCase
{
    int instances;
    ReaderLoss loss;
    bool busyStore;  // changes confirm the data of the readers several times a second
    int percentLost; // of the messages between instances
    std::chrono::milliseconds bound;
};

// Plays a fleet whose readers are lost just before the store records a change: what each instance
// asks and reads, in steps of ten milliseconds. Membership does not drop the lost ones meanwhile.
class ReaderLossPlay
{
public:
    explicit ReaderLossPlay(const ReaderLossCase &readerLoss)
        : loss(readerLoss)
    {
        this->clock.advance(std::chrono::hours(1));
        ReadDutyOptions options;
        options.changeBound = readerLoss.bound;
        for (int i = 0; i < readerLoss.instances; ++i) {
            this->duties.push_back(
                    std::make_unique<ReadDuty>(this->clock, nameOf(i), options, this->random));
            std::vector<std::string> others;
            for (int other = 0; other < readerLoss.instances; ++other) {
                if (other != i)
                    others.push_back(nameOf(other));
            }
            this->duties.back()->setPeers(others);
            this->states.push_back({});
            this->states.back().phase = static_cast<int>(this->random() % 10);
            this->states.back().confirmedAt = this->clock.now();
            this->index[nameOf(i)] = i;
        }
    }

    void run(std::chrono::milliseconds time)
    {
        for (std::chrono::milliseconds passed{0}; passed < time; passed += step) {
            ++this->steps;
            this->clock.advance(step);
            for (std::size_t i = 0; i < this->states.size(); ++i) {
                if (this->states[i].alive && (this->steps + this->states[i].phase) % 10 == 0)
                    this->tick(static_cast<int>(i));
            }
        }
    }

    // Ends the readers, and has the store record a change right after the last one.
    void loseReaders()
    {
        for (std::size_t i = 0; i < this->duties.size(); ++i) {
            if (!this->duties[i]->isReader())
                continue;
            if (this->loss.loss == ReaderLoss::OneAfterTheOther)
                this->run(std::chrono::milliseconds(400));
            this->states[i].alive = false;
        }
        this->changedAt = this->clock.now();
    }

    // Returns how long the last instance took to know the change.
    Duration latest() const
    {
        Duration latest{0};
        for (const State &state : this->states) {
            if (state.alive)
                latest = std::max(latest,
                                  state.knownAt.value_or(TimePoint::max()) - *this->changedAt);
        }
        return latest;
    }

    int mostReading() const { return this->most; }

private:
    struct State
    {
        bool alive = true;
        int phase = 0; // of its ticks
        bool reading = false;
        TimePoint confirmedAt;
        TimePoint nextQuery;
        std::optional<TimePoint> knownAt;
    };

    static constexpr std::chrono::milliseconds step{10};
    static constexpr std::chrono::milliseconds storeTime{10};   // of a read and the way to others
    static constexpr std::chrono::milliseconds watchTime{1100}; // of a watch without a change

    bool arrives() { return static_cast<int>(this->random() % 100) >= this->loss.percentLost; }

    void learn(State &state, Duration after)
    {
        const TimePoint at = this->clock.now() + after;
        state.knownAt = std::min(state.knownAt.value_or(at), at);
    }

    bool knows(const State &state) const
    {
        return state.knownAt && *state.knownAt <= this->clock.now();
    }

    // How long an instance waits for a change that another one has before it asks the store.
    Duration catchUpTime() const
    {
        const std::chrono::milliseconds wait(150 + 2 * this->states.size());
        return std::min(wait, std::chrono::milliseconds(500)) + storeTime;
    }

    void read(int i)
    {
        State &state = this->states[static_cast<std::size_t>(i)];
        if (this->loss.busyStore)
            state.confirmedAt = this->clock.now();
        else if (this->clock.now() - state.confirmedAt > 2 * watchTime)
            state.confirmedAt = this->clock.now() - watchTime;
        if (!this->changedAt || state.knownAt)
            return;
        this->learn(state, storeTime);
        for (State &other : this->states) {
            if (other.alive && this->arrives())
                this->learn(other, storeTime);
        }
    }

    void tick(int i)
    {
        State &state = this->states[static_cast<std::size_t>(i)];
        ReadDuty &duty = *this->duties[static_cast<std::size_t>(i)];
        const Duration age = this->clock.now() - state.confirmedAt;
        state.reading = duty.reads(age);
        if (state.reading)
            this->read(i);
        this->most = std::max(this->most, this->countReading());
        if (duty.isReader() || this->clock.now() < state.nextQuery)
            return;
        state.nextQuery = this->clock.now() + duty.queryInterval();
        for (const std::string &peer : duty.choosePeersToQuery(age)) {
            duty.queried(peer);
            const State &asked = this->states[static_cast<std::size_t>(this->index[peer])];
            if (!asked.alive || !this->arrives() || !this->arrives())
                continue;
            duty.answered(peer, this->clock.now() - asked.confirmedAt);
            state.confirmedAt = std::max(state.confirmedAt, asked.confirmedAt);
            if (this->knows(asked) && !this->knows(state))
                this->learn(state, this->catchUpTime());
        }
    }

    int countReading() const
    {
        return static_cast<int>(
                std::count_if(this->states.begin(), this->states.end(),
                              [](const State &state) { return state.alive && state.reading; }));
    }

    ReaderLossCase loss;
    ManualClock clock;
    std::mt19937_64 random{7};
    std::vector<std::unique_ptr<ReadDuty>> duties;
    std::vector<State> states;
    std::map<std::string, int> index;
    std::optional<TimePoint> changedAt;
    int steps = 0;
    int most = 0;
};

ParameterizedTestParameters(readDuty, changeIsKnownInTimeWhenReadersAreLost)
{
    static const std::chrono::milliseconds shortest(2000);
    static const std::chrono::milliseconds longer(3000);
    static ReaderLossCase cases[] = {
            {7, ReaderLoss::Together, false, 1, shortest},
            {7, ReaderLoss::Together, true, 1, shortest},
            {7, ReaderLoss::OneAfterTheOther, true, 1, shortest},
            {7, ReaderLoss::Together, true, 1, std::chrono::milliseconds(1200)},
            {195, ReaderLoss::Together, false, 1, longer},
            {195, ReaderLoss::Together, true, 1, longer},
            {195, ReaderLoss::OneAfterTheOther, true, 1, longer},
            {195, ReaderLoss::Together, true, 1, shortest},
            {195, ReaderLoss::Together, true, 10, shortest},
            {584, ReaderLoss::Together, false, 1, shortest},
            {584, ReaderLoss::Together, true, 1, longer},
            {584, ReaderLoss::OneAfterTheOther, true, 1, longer},
            {1000, ReaderLoss::Together, true, 1, longer},
    };
    return cr_make_param_array(ReaderLossCase, cases, std::size(cases));
}

// Guards against targets that are used after they left, because the instances that read the store
// are lost at once and the others notice it by the age of their data.
ParameterizedTest(ReaderLossCase *param, readDuty, changeIsKnownInTimeWhenReadersAreLost)
{
    ReaderLossPlay play(*param);
    play.run(std::chrono::seconds(6));
    const int calm = play.mostReading();
    play.loseReaders();
    play.run(std::chrono::seconds(4));
    const Duration spare = param->bound / 10;
    cr_assert(play.latest() < param->bound - spare,
              "%d instances, loss %d, busy %d: known after %lld ms", param->instances,
              static_cast<int>(param->loss), param->busyStore ? 1 : 0,
              static_cast<long long>(toMillis(play.latest())));
    cr_assert(param->percentLost > 1 || calm == 3, "%d read", calm);
    cr_assert(play.mostReading() <= 48, "%d read", play.mostReading());
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
