// The one place that hands out an engine's room: the commitments on it, a forecast of its memory,
// and the requests that wait for it.
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

// Who holds or wants room: an instance and its own number for the request.
using GrantKey = std::pair<std::string, std::int64_t>;

// One request for room, as its engine's home sees it.
struct RoomRequest
{
    GrantKey key;
    std::string customer;
    std::uint32_t weight = 1;
    int priority = 0;
    std::uint32_t promptTokens = 0;
    std::uint32_t producedTokens = 0; // not zero if it already decodes, granted by a former home
    std::uint32_t maxTokens = 0;
    double overflowBound = 0.02;
    TimePoint since; // when its caller asked
    TimePoint deadline;
};

// How the decision on room can be varied for measurements.
struct EngineHomeOptions
{
    bool fairShares = true; // by dominant share; else first come, first served
    bool forecast = true;   // by survival; else by present memory and a fixed reserve
};

// Decides about one engine. Not safe for several threads at once.
class EngineHome
{
public:
    EngineHome(EngineSpec engineSpec, const Clock &time, LengthEstimator &lengths,
               EngineHomeOptions chosen);

    void setSpec(const EngineSpec &engineSpec) { this->spec = engineSpec; }
    void report(const EngineReport &latest);

    // Takes a request in. It is granted in a later call of grantRoom().
    void ask(const RoomRequest &request);

    // Takes over a generation that already decodes.
    void adopt(const RoomRequest &request);

    void progress(const GrantKey &key, std::uint32_t producedTokens);
    void withdraw(const GrantKey &key);
    void departed(const GrantKey &key, Departure how, std::uint32_t producedTokens);

    // Forgets everything of an instance that is gone.
    void forgetInstance(std::string_view instance);

    // The requests that have room now, in the order in which they got it.
    std::vector<RoomRequest> grantRoom();

    // Those whose time to wait has run out.
    std::vector<RoomRequest> expire();

    bool takesWork() const;
    bool isAlive() const { return this->lastReport.alive; }
    bool isLeaving() const { return this->spec.leaving || this->lastReport.leaving; }
    bool isWaiting(const GrantKey &key) const;
    std::size_t queued() const { return this->waiting.size(); }
    std::size_t committed() const { return this->commitments.size(); }

    // The share of memory that is free at the worst moment foreseen, in thousandths; may be below
    // zero.
    int roomPerMille();

    // All that wait, taken out, when the engine takes no more work.
    std::vector<RoomRequest> takeWaiting();

private:
    static constexpr std::size_t horizons = 12;
    using Sums = std::array<double, horizons>;

    // What one generation adds to the forecast.
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
        TimePoint toldAt; // when produced was told
        Forecast counted; // its part of the sums
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
    std::map<std::string, std::pair<double, double>, std::less<>> usage; // memory, slots
    Forecast sums;
    double unexplained = 0;      // memory in use that no commitment accounts for
    double tokensPerSecond = 30; // of one sequence
    TimePoint sumsAt;
};

} // namespace jaytrack

#endif
