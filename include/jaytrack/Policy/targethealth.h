// Tracks the health of each target from the requests of this instance: outstanding requests,
// latency, ejection after failures or slow answers, and the retry budget.
#ifndef JAYTRACK_POLICY_TARGETHEALTH_H
#define JAYTRACK_POLICY_TARGETHEALTH_H

#include "jaytrack/Support/clock.h"

#include <cstdint>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace jaytrack {

// Thresholds for ejection, retries and concurrency limits.
struct TargetHealthBounds
{
    int failuresToEject = 3;                          // consecutive failures
    Duration firstEjection = std::chrono::seconds(5); // doubles with each consecutive ejection
    Duration maxEjection = std::chrono::seconds(60);
    // A target is slow if its latency exceeds the median of its peers by this factor.
    double slowFactor = 4.0;
    double retryShare = 0.1;  // retries earned by each first attempt
    double retryBurst = 10;   // initial and maximum number of retries in the budget
    double initialLimit = 16; // initial limit of concurrent requests to a target
    double maxLimit = 1024;
};

// Chooses among the targets of plain services. Not thread-safe.
class TargetHealth
{
public:
    TargetHealth(const Clock &clockSource, std::uint64_t seed, TargetHealthBounds limits = {});

    // Returns the index in `names` of the less loaded of two random usable targets, or -1 if
    // none is usable. A target that is ejected or at its limit is not usable, unless all
    // targets are ejected.
    int choose(std::span<const std::string_view> names);

    // Records the start of a request to the target. Targets of one group do the same work, so
    // that their latencies can be compared.
    void began(std::string_view target, std::string_view group);

    // Records the end of a request to the target. `failed` means that the target did not
    // answer; any answer counts as success.
    void ended(std::string_view target, bool failed, Duration took);

    // Records the end of a request that did not reach the target for a reason that is not the
    // target's.
    void abandoned(std::string_view target);

    // Removes a target that has left. Its state is dropped when its last request ends;
    // otherwise targets that left long ago would still count in the median of their peers.
    void forget(std::string_view target);

    // Takes one retry from the budget. Returns false if the budget is empty.
    bool takeRetry();

    bool isEjected(std::string_view target) const;
    double limitOf(std::string_view target) const;

private:
    struct State
    {
        std::string group;
        int outstanding = 0;
        int failuresInRow = 0;
        int ejectionsInRow = 0;
        TimePoint ejectedUntil;
        TimePoint returnedAt;   // start of the slow start after an ejection
        double latency = 0;     // smoothed, in seconds; 0 before the first answer
        double bestLatency = 0; // minimum latency, which rises slowly over time
        double limit = 0;
        bool gone = false;
    };

    State &stateOf(std::string_view target);
    double effectiveLimit(const State &state) const;
    bool isUsable(const State &state) const;
    void adapt(State &state, double seconds, bool failed);
    void eject(State &state);
    void ejectIfSlow(State &state);

    const Clock &clock;
    std::mt19937_64 random;
    TargetHealthBounds bounds;
    double retryTokens;
    std::unordered_map<std::string, State> states;
};

} // namespace jaytrack

#endif
