// What an instance thinks of each target from its own dealings: how many requests it has there,
// how fast it answers, whether it is to be left alone for a while, and how much repeating is
// allowed.
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

// Bounds of the judgement.
struct TargetHealthBounds
{
    int failuresToEject = 3;                     // in a row
    Duration ejectFor = std::chrono::seconds(5); // doubles with each ejection in a row
    Duration longestEjection = std::chrono::seconds(60);
    double slowFactor = 4.0; // slower than the median of its peers by this much is slow
    double retryShare = 0.1; // repeats allowed for each first attempt
    double retryBurst = 10;  // repeats allowed out of nothing
    double firstLimit = 16;  // concurrent requests to a target at first
    double mostLimit = 1024;
};

// Decides among the targets of plain services. Not safe for several threads at once.
class TargetHealth
{
public:
    TargetHealth(const Clock &time, std::uint64_t seed, TargetHealthBounds limits = {});

    // The better of two random usable targets, as an index into names; -1 if none may be used.
    // A target that is ejected or at its limit is not usable, unless all are ejected.
    int choose(std::span<const std::string_view> names);

    // A request to the target began. Targets of one group do the same work, so that their speeds
    // can be compared.
    void began(std::string_view target, std::string_view group);

    // A request to the target ended. Failure means that it did not answer, whatever it answered.
    void ended(std::string_view target, bool failed, Duration took);

    // The target is gone. What was learnt of it is dropped with the last request to it, or targets
    // that are long gone would stand in the median of their peers.
    void forget(std::string_view target);

    // Takes one repeat from the budget, if there is one left.
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
        double latency = 0;     // smoothed, seconds; 0 before the first answer
        double bestLatency = 0; // slowly forgotten minimum
        double limit = 0;
        bool gone = false;
    };

    State &stateOf(std::string_view target);
    double effectiveLimit(const State &state) const;
    bool usable(const State &state) const;
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
