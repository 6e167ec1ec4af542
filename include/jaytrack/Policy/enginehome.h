// Decides which generations may use an engine. Exactly one instance, the engine's home, does so; it
// keeps the granted commitments, a forecast of the engine's memory, and the queue of waiting
// requests.
#ifndef JAYTRACK_POLICY_ENGINEHOME_H
#define JAYTRACK_POLICY_ENGINEHOME_H

#include "jaytrack/Policy/lengthestimator.h"
#include "jaytrack/Policy/placement.h"

#include <array>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace jaytrack {

// Identifies a request: the instance that sent it and that instance's own number for it.
using GrantKey = std::pair<std::string, std::int64_t>;

// A request for room on an engine, as the engine's home stores it.
struct RoomRequest
{
    GrantKey key;
    std::string customer;
    std::uint32_t weight = 1;
    int priority = 0;
    std::uint32_t promptTokens = 0;
    // Non-zero if the generation already decodes and was granted by the previous home.
    std::uint32_t producedTokens = 0;
    std::uint32_t maxTokens = 0;
    double overflowBound = 0.02;
    TimePoint since; // when the caller submitted it
    TimePoint deadline;
};

// Options that measurements vary.
struct EngineHomeOptions
{
    bool fairShares = true; // order by dominant share; otherwise first come, first served
    // Forecast memory by survival probabilities; otherwise use present memory and a fixed reserve.
    bool forecast = true;
};

// Grants room on one engine. Not thread-safe.
class EngineHome
{
public:
    EngineHome(EngineSpec engineSpec, const Clock &clockSource, LengthEstimator &estimator,
               EngineHomeOptions homeOptions);

    void setSpec(const EngineSpec &engineSpec) { this->spec = engineSpec; }
    void report(const EngineReport &latest);

    // Adds a request to the queue. A later call of grantRoom() grants it.
    void enqueue(const RoomRequest &request);

    // Commits room to a generation that already decodes.
    void adopt(const RoomRequest &request);

    void progress(const GrantKey &key, std::uint32_t producedTokens);
    void withdraw(const GrantKey &key);
    void departed(const GrantKey &key, Departure how, std::uint32_t producedTokens);

    // Drops all requests and commitments of an instance that has left.
    void forgetInstance(std::string_view instance);

    // Grants room to as many waiting requests as fit and returns them in the order in which
    // they were granted.
    std::vector<RoomRequest> grantRoom();

    // Removes and returns the requests whose deadline has passed.
    std::vector<RoomRequest> expire();

    bool acceptsWork() const;
    bool isAlive() const { return this->lastReport.alive; }
    bool isLeaving() const { return this->spec.leaving || this->lastReport.leaving; }
    bool isWaiting(const GrantKey &key) const;
    std::size_t queued() const { return this->waiting.size(); }
    std::size_t committed() const { return this->commitments.size(); }

    // The smallest free share of memory over all forecast horizons, or the free share of slots
    // if that is smaller, in thousandths. May be negative.
    int roomPerMille();

    // Removes and returns all waiting requests, for use when the engine accepts no more work.
    std::vector<RoomRequest> takeWaiting();

private:
    static constexpr std::size_t horizons = 12;
    using Sums = std::array<double, horizons>;

    // The contribution of one generation to the memory forecast.
    struct Forecast
    {
        Sums mean{};
        Sums variance{};
    };

    struct Commitment
    {
        RoomRequest request;
        std::uint32_t produced = 0;
        TimePoint grantedAt;
        TimePoint reportedAt; // when `produced` was last reported
        Forecast counted;     // its contribution to `sums`
    };

    double producedNow(const Commitment &commitment) const;
    Forecast forecastOf(const RoomRequest &request, double produced) const;
    void refresh();
    void addToSums(const Forecast &forecast, double sign);
    bool fits(const RoomRequest &request);
    bool fitsStatically(const RoomRequest &request) const;
    double dominantShare(const std::string &customer, std::uint32_t weight) const;
    std::deque<RoomRequest>::iterator choose();
    void commit(const RoomRequest &request);

    EngineSpec spec;
    const Clock &clock;
    LengthEstimator &lengths;
    EngineHomeOptions options;
    EngineReport lastReport;
    std::map<GrantKey, Commitment> commitments;
    std::deque<RoomRequest> waiting;
    // Memory and slots in use by customer.
    std::map<std::string, std::pair<double, double>, std::less<>> usage;
    Forecast sums;
    double unexplained = 0;      // reported memory in use that no commitment accounts for
    double tokensPerSecond = 30; // decoding speed of one sequence
    TimePoint sumsAt;
};

} // namespace jaytrack

#endif
