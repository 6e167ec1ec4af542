// What an instance that reads the store concludes from time that it did not see pass.
#include "platformdialect.h"

#include "jaytrack/Store/storesharing.h"
#include "jaytrack/Support/metrics.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <memory>

using namespace jaytrack;

namespace {

constexpr std::chrono::milliseconds tickTime{100};

class SharedToOthers final : public StoreTransport
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

// A reader of the store with two other instances.
struct Reader
{
    Reader()
    {
        this->clock.advance(std::chrono::hours(1));
        StoreFollowerOptions options;
        options.store = {asio::ip::make_address("127.0.0.1"), 1};
        this->sharing.attach(std::make_shared<StoreFollower>(
                this->loop, this->clock, *this->dialect, options, 1, this->feeds, this->sharing));
        this->sharing.onPeersChanged({"second", "third"});
        this->targets.onListing({}, this->clock.now());
        this->configuration.confirm(this->clock.now());
        this->sharing.tick();
    }

    void run(Duration time)
    {
        for (Duration passed(0); passed < time; passed += tickTime) {
            this->clock.advance(tickTime);
            this->sharing.tick();
        }
    }

    // The clock goes on while the process does not.
    void pause(Duration time) { this->clock.advance(time); }

    // Whether the others are told of an outage with the next change that this instance reads.
    bool tellsOfOutage()
    {
        this->sharing.tick();
        this->sharing.onStoreRead(1, 2, {});
        return this->transport.shared.afterOutage;
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
    SharedToOthers transport;
    std::mt19937_64 random{1};
    StoreSharing sharing{this->clock,         "first",       ReadDutyOptions(), this->random,
                         this->configuration, this->targets, this->transport};
};

struct PauseCase
{
    int awakeBefore; // in milliseconds, without contact to the store
    int paused;
    int awakeAfter;
    bool outage;
};

} // namespace

ParameterizedTestParameters(storeSharing, pauseOfAReaderIsNoOutage)
{
    static PauseCase cases[] = {
            {1000, 5000, 0, false},   // the reader was paused
            {2400, 30000, 0, false},  // for long, with data as old as is normal
            {0, 5000, 3000, false},   // and has not reached the store yet
            {0, 5000, 4500, true},    // nor does it for long
            {4500, 0, 0, true},       // the store was away
            {4500, 5000, 0, true},    // and may still be
            {3000, 400, 1500, true},  // held up shortly
            {3000, 2000, 500, false}, // paused
    };
    return cr_make_param_array(PauseCase, cases, std::size(cases));
}

// Guards against targets that are used after their removal, because a reader that was paused takes
// its pause for an outage of the store and says so to instances that nothing happened to.
ParameterizedTest(PauseCase *param, storeSharing, pauseOfAReaderIsNoOutage)
{
    Reader reader;
    reader.run(std::chrono::milliseconds(param->awakeBefore));
    if (param->paused > 0)
        reader.pause(std::chrono::milliseconds(param->paused));
    reader.run(std::chrono::milliseconds(param->awakeAfter));
    cr_assert_eq(reader.tellsOfOutage(), param->outage, "awake %d ms, paused %d ms, awake %d ms",
                 param->awakeBefore, param->paused, param->awakeAfter);
}
