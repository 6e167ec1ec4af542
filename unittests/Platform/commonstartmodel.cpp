#include "commonstartmodel.h"

#include "jaytrack/Store/listingturn.h"
#include "jaytrack/Store/snapshotserver.h"
#include "jaytrack/Store/storesharing.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <queue>
#include <tuple>
#include <vector>

namespace jaytrack::testing {

namespace {

constexpr std::chrono::milliseconds startSpread{300};
constexpr std::chrono::milliseconds tickInterval{100};
constexpr std::chrono::milliseconds pageTimeout{700};
constexpr int maxTimeoutDoublings = 2;
constexpr std::chrono::milliseconds refusalTime{5};
constexpr std::chrono::milliseconds maxBackoff{250};
constexpr std::chrono::milliseconds maxBackoffOfOthers{1500};
constexpr std::size_t readers = 3;

// How many of the others an instance knows so long after a start of all.
struct Discovery
{
    std::chrono::milliseconds after;
    double share;
};

constexpr Discovery discoveries[] = {
        {std::chrono::milliseconds(100), 0.01},  {std::chrono::milliseconds(500), 0.04},
        {std::chrono::milliseconds(1000), 0.25}, {std::chrono::milliseconds(1500), 0.6},
        {std::chrono::milliseconds(2500), 0.95}, {std::chrono::milliseconds(3500), 1.0}};

Duration seconds(double count)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(count));
}

class Model
{
public:
    explicit Model(const CommonStartModelPlan &startPlan)
        : plan(startPlan)
        , random(startPlan.seed)
    {
        this->clock.advance(std::chrono::hours(1));
        this->startedAt = this->clock.now();
        this->busyUntil = this->startedAt;
        for (std::size_t i = 0; i < this->plan.instances; ++i)
            this->instances.push_back(std::make_unique<Instance>(*this, i));
    }

    CommonStartModelResult run(std::chrono::milliseconds limit)
    {
        std::uniform_int_distribution<std::int64_t> spread(0, startSpread.count());
        for (std::size_t i = 0; i < this->plan.instances; ++i)
            this->after(std::chrono::milliseconds(spread(this->random)), [this, i] {
                this->askPage(i);
                this->tick(i);
            });
        const TimePoint end = this->startedAt + limit;
        this->result.first = limit;
        this->result.half = limit;
        this->result.nineTenths = limit;
        while (!this->events.empty() && this->events.top().at <= end && !this->isDone()) {
            const Event event = this->events.top();
            this->events.pop();
            this->clock.advance(event.at - this->clock.now());
            event.happens();
        }
        return this->result;
    }

private:
    struct Instance
    {
        Instance(Model &model, std::size_t index)
            : random(model.plan.seed * 1000 + index)
            , turn(model.clock, {}, this->random)
            , isRefused(index < model.plan.refused * model.plan.instances / 100)
            , rank(model.random())
        {
        }

        std::mt19937_64 random;
        ListingTurn turn;
        bool isRefused;
        std::uint64_t rank; // orders the readers
        bool hasData = false;
        bool isAsking = false;
        bool isFetching = false;
        bool isCounted = false; // among the listers
        std::size_t page = 0;
        int failures = 0;
        int unanswered = 0;
        std::size_t known = 0;
        std::size_t transfers = 0;
        TimePoint nextSearch;
    };

    struct Event
    {
        TimePoint at;
        std::uint64_t order;
        std::function<void()> happens;

        bool operator<(const Event &other) const
        {
            return std::tie(other.at, other.order) < std::tie(this->at, this->order);
        }
    };

    void after(Duration delay, std::function<void()> happens)
    {
        this->events.push({this->clock.now() + delay, this->nextOrder++, std::move(happens)});
    }

    bool isDone() const { return this->holders * 10 >= this->plan.instances * 9; }

    std::size_t knownCount() const
    {
        const Duration passed = this->clock.now() - this->startedAt;
        double share = 0;
        for (const Discovery &step : discoveries) {
            if (passed >= step.after * this->plan.discoveryDelay)
                share = step.share;
        }
        const auto count = static_cast<std::size_t>(share * this->plan.instances);
        return share == 0 ? 0 : std::clamp<std::size_t>(count, 3, this->plan.instances);
    }

    bool isReader(std::size_t index, std::size_t known) const
    {
        std::size_t higher = 0;
        for (std::size_t i = 0; i < known; ++i)
            higher += this->instances[i]->rank > this->instances[index]->rank ? 1 : 0;
        return higher < readers;
    }

    void tick(std::size_t index)
    {
        Instance &instance = *this->instances[index];
        if (instance.hasData)
            return;
        const std::size_t known = this->knownCount();
        if (known != instance.known) {
            instance.known = known;
            instance.turn.setPeers(known, this->isReader(index, known));
        }
        if (known > 0)
            instance.turn.answered();
        if (instance.turn.cause() != ListingCause::None && !instance.isAsking)
            this->askPage(index);
        if (!instance.isFetching && this->clock.now() >= instance.nextSearch)
            this->search(index);
        this->after(tickInterval, [this, index] { this->tick(index); });
    }

    // Asks another instance, and gets a snapshot if that has one and is not busy.
    void search(std::size_t index)
    {
        Instance &instance = *this->instances[index];
        instance.nextSearch = this->clock.now() + StoreSharing::searchInterval;
        if (instance.known == 0)
            return;
        const std::size_t asked = instance.random() % instance.known;
        Instance &holder = *this->instances[asked];
        if (!holder.hasData || holder.transfers >= SnapshotServer::maxTransfers)
            return;
        instance.isFetching = true;
        ++holder.transfers;
        const double sharedLink = this->plan.linkBytesPerSecond / SnapshotServer::maxTransfers;
        const Duration transfer = seconds(this->plan.snapshotBytes / sharedLink);
        this->after(transfer, [this, index, asked] {
            --this->instances[asked]->transfers;
            this->after(this->plan.snapshotWork, [this, index] { this->obtain(index); });
        });
    }

    void obtain(std::size_t index)
    {
        Instance &instance = *this->instances[index];
        if (instance.hasData)
            return;
        instance.hasData = true;
        ++this->holders;
        const auto passed = std::chrono::duration_cast<std::chrono::milliseconds>(
                this->clock.now() - this->startedAt);
        if (this->holders == 1)
            this->result.first = passed;
        if (this->holders * 2 >= this->plan.instances)
            this->result.half = std::min(this->result.half, passed);
        if (this->isDone())
            this->result.nineTenths = std::min(this->result.nineTenths, passed);
    }

    void askPage(std::size_t index)
    {
        Instance &instance = *this->instances[index];
        if (instance.hasData)
            return;
        instance.isAsking = true;
        ++this->result.calls;
        if (instance.page > 0 && !instance.isCounted) {
            instance.isCounted = true;
            ++this->result.listers;
        }
        if (instance.isRefused)
            return this->after(refusalTime, [this, index] { this->fail(index); });
        const auto timeout =
                pageTimeout * (1 << std::min(instance.unanswered, maxTimeoutDoublings));
        const Duration wait = this->answerTime();
        if (wait > timeout) {
            return this->after(timeout, [this, index] {
                ++this->instances[index]->unanswered;
                this->fail(index);
            });
        }
        this->after(wait + this->plan.pageWork, [this, index] { this->onPage(index); });
    }

    // The store serves one call after the other, also those that nobody waits for any more.
    Duration answerTime()
    {
        const TimePoint now = this->clock.now();
        if (now < this->startedAt + this->plan.storeAwayFor)
            return std::chrono::hours(1);
        const Duration work =
                std::max(seconds(1 / this->plan.storeCallsPerSecond),
                         seconds(this->plan.pageBytes / this->plan.storeBytesPerSecond));
        this->result.storeBytes += this->plan.pageBytes;
        this->busyUntil = std::max(this->busyUntil, now) + work;
        const Duration link = seconds(this->plan.pageBytes / this->plan.linkBytesPerSecond);
        return this->busyUntil - now + this->plan.storeLatency + link;
    }

    void fail(std::size_t index)
    {
        Instance &instance = *this->instances[index];
        ++instance.failures;
        const bool lists = instance.turn.cause() != ListingCause::None;
        const auto longest = lists || instance.known == 0 ? maxBackoff : maxBackoffOfOthers;
        const auto backoff = std::min(
                std::chrono::milliseconds(30) * (1 << std::min(instance.failures - 1, 6)), longest);
        std::uniform_int_distribution<std::int64_t> jitter(backoff.count() / 2, backoff.count());
        this->after(std::chrono::milliseconds(jitter(instance.random)),
                    [this, index] { this->askPage(index); });
    }

    void onPage(std::size_t index)
    {
        Instance &instance = *this->instances[index];
        instance.isAsking = false;
        instance.failures = 0;
        instance.unanswered = 0;
        if (++instance.page == this->plan.pages)
            return this->obtain(index);
        if (instance.turn.cause() != ListingCause::None)
            this->askPage(index);
    }

    CommonStartModelPlan plan;
    ManualClock clock;
    std::mt19937_64 random;
    TimePoint startedAt;
    TimePoint busyUntil; // of the store
    std::vector<std::unique_ptr<Instance>> instances;
    std::priority_queue<Event> events;
    std::uint64_t nextOrder = 0;
    std::size_t holders = 0;
    CommonStartModelResult result;
};

} // namespace

CommonStartModelResult runCommonStart(const CommonStartModelPlan &plan,
                                      std::chrono::milliseconds limit)
{
    return Model(plan).run(limit);
}

} // namespace jaytrack::testing
