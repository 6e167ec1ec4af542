// A fleet whose instances all start at the same moment before one store: what each of them holds,
// reads and passes on. Messages between instances take no time; what they know of each other grows
// as it does in a large fleet that starts. All instances run on one thread and have one clock.
#ifndef JAYTRACK_TESTS_COMMONSTARTFLEET_H
#define JAYTRACK_TESTS_COMMONSTARTFLEET_H

#include "platformdialect.h"
#include "platformstandin.h"
#include "unreachableport.h"

#include "jaytrack/Routing/admission.h"
#include "jaytrack/Store/storesharing.h"
#include "jaytrack/Support/metrics.h"

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace jaytrack::testing {

class CommonStartFleet;

// The time of instances that take turns on one thread. What they do one after the other in a turn
// they would do side by side, so a turn counts as no more than maxTurn. A longer one would look to
// all of them like a pause of their processes.
class TurnClock final : public Clock
{
public:
    // Less than what an instance takes for a pause.
    static constexpr Duration maxTurn = std::chrono::milliseconds(200);

    TimePoint now() const override;
    void beginTurn();

private:
    SystemClock system;
    TimePoint turnBegin = this->system.now(); // by the system's clock
    TimePoint time = this->turnBegin;         // of this clock when the turn began
};

// Time within which service is back, as the sites with the least of it ask for it.
inline constexpr std::chrono::milliseconds recoveryTime{12'000};

// Time that a store in order takes for a call.
inline constexpr std::chrono::microseconds quickCall{100};

// What one instance knows of the store, and how it gets to know it.
class StartingInstance final : public StoreTransport, public TargetDirectoryListener
{
public:
    StartingInstance(CommonStartFleet &of, asio::io_context &loop, const Clock &time,
                     const std::string &ownName, std::uint64_t seed, const std::string &store);

    void start() { this->follower->start(); }
    void stop() { this->follower->stop(); }
    void tick() { this->sharing.tick(); }
    void setPeers(const std::vector<std::string> &names) { this->sharing.onPeersChanged(names); }

    // Whether it can serve callers.
    bool hasData() const
    {
        return this->configuration.table() && this->targets.isLoaded() &&
               this->configuration.age() <= AdmissionBounds().keyFreshness;
    }
    std::uint64_t configurationVersion() const { return this->configuration.table()->version; }
    bool maySendTo(std::string_view target) const { return this->directory.isOpen(target); }
    bool isOutOfUse(std::string_view dataCentre) const
    {
        return this->directory.isOutOfUse(dataCentre);
    }
    std::size_t targetCount() const { return this->directory.size(); }

    // Whether it holds all of the store as it is in this era.
    bool holdsHistory(std::uint64_t era) const
    {
        return this->follower->knownEra() == era && this->follower->knownRevision() > 0;
    }

    void shareStoreChanges(const SharedChanges &changes) override;
    void sendFreshnessQuery(std::string_view instance, std::int64_t requestedAt) override;
    void sendFreshnessAnswer(std::string_view instance, std::int64_t requestedAt,
                             const StoreFreshness &freshness) override;
    std::string randomInstance() override;
    void requestSnapshot(std::string_view instance) override;

    void onTargetLeaving(const TargetEntry &, std::string_view) override {}
    void onTargetListed(const TargetEntry &) override {}
    void onTargetRestarted(const TargetEntry &) override {}
    void onTargetCold(const TargetEntry &) override {}
    void onDataCentreUse(std::string_view, bool) override {}

    const std::string name;

private:
    CommonStartFleet &fleet;
    std::unique_ptr<Dialect> dialect = makePlatformDialect();
    std::mt19937_64 random;
    Metrics metrics;
    TargetDirectory directory{*this};
    ConfigurationFeed configuration;
    TargetFeed targets;
    StoreFeeds feeds{this->configuration, this->targets};
    StoreSharing sharing;
    std::shared_ptr<StoreFollower> follower;
};

struct CommonStartPlan
{
    std::size_t instances = 0;
    int targets = 300;
    std::size_t pageItems = 10;
    std::chrono::microseconds timePerCall{5000}; // that the store takes for each call
    int refused = 0; // instances in a hundred whose calls to the store all fail
    std::vector<std::string> otherKeys = {}; // items of the store that name no target
    StoreStandin::OtherAnswer otherAnswer = {};
};

class CommonStartFleet
{
public:
    explicit CommonStartFleet(const CommonStartPlan &startPlan);

    // Starts all instances and returns how long it took until this many in a hundred had data; the
    // limit if they had not by then.
    std::chrono::milliseconds timeUntilServing(std::size_t inAHundred,
                                               std::chrono::milliseconds limit);

    // Starts another instance, which knows all others.
    const StartingInstance &addInstance();

    // Replaces the process of an instance by one that holds nothing. It learns of the others as far
    // as they are known.
    void restart(std::size_t index);

    // What is known of the others grows again as after a common start.
    void forgetMembers();

    // Returns an instance that gets its data from others.
    const StartingInstance &nonReader() const;

    // Holds an instance up; none if empty.
    void pause(const std::string &instance) { this->pausedName = instance; }

    // Drops all messages of others to an instance; to none if empty.
    void cutOff(const std::string &instance) { this->cutName = instance; }

    // Runs the fleet for some time by its clock.
    void runFor(std::chrono::milliseconds time);

    TimePoint now() const { return this->clock.now(); }

    std::size_t serving() const;

    // Returns the name of another instance that is known; empty if none is.
    std::string randomInstance(const StartingInstance &except, std::mt19937_64 &random) const;

    // Calls a function of another instance, which gets the message with the next turn of the loop.
    void deliver(std::string_view to, std::function<void(StartingInstance &)> message);
    void deliverToAll(const StartingInstance &from,
                      const std::function<void(StartingInstance &)> &message);

    // Counts what an instance sends to one other for these changes.
    void countNotice(const SharedChanges &part);
    std::size_t noticeBytes() const { return this->sentBytes; }

    StoreStandin store;

private:
    StartingInstance &add(const std::string &storeAddress);
    void post(StartingInstance &to, std::function<void(StartingInstance &)> message);
    void discover();
    std::size_t knownPeers() const;
    std::vector<std::string> othersOf(const StartingInstance &one) const;

    CommonStartPlan plan;
    UnreachablePort unreachable{LinkLoss::Refused};
    asio::io_context loop; // outlives the instances and their calls
    TurnClock clock;
    std::unordered_map<std::string, StartingInstance *> byName;
    TimePoint startedAt; // what is known of the others grows by the clock that they decide by
    std::size_t known = 0;
    std::string pausedName;
    std::string cutName;
    std::size_t sentBytes = 0;
    std::vector<std::unique_ptr<StartingInstance>> ended; // calls and messages may refer to them

public:
    std::vector<std::unique_ptr<StartingInstance>> instances;
};

} // namespace jaytrack::testing

#endif
