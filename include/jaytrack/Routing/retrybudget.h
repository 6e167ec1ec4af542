// Limits how often an instance retries requests at a further target. All instances share one bound
// set by the operators, which they cannot count together, so each instance keeps to a share such
// that the sum stays within the bound.
#ifndef JAYTRACK_ROUTING_RETRYBUDGET_H
#define JAYTRACK_ROUTING_RETRYBUDGET_H

#include "jaytrack/Support/clock.h"

#include <algorithm>
#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>

namespace jaytrack {

// The operators' bound: in any window, retries to a service stay within ratio x requests + slack,
// summed over all instances.
struct RetryBound
{
    double ratio = 0.1;
    Duration window = std::chrono::seconds(10);
    double slack = 20;
};

class RetryBudget
{
public:
    // The budget earned in one window may be saved and spent in the next one in addition to what
    // that window earns, so each window earns only half of the ratio.
    static constexpr double usableRatioPart = 0.5;

    // The part of the slack that is divided among the instances, to be spent without having been
    // earned. An instance that restarts has lost its count, a fleet may lose power and start twice
    // within one window, and in a fleet that is split into two halves each half counts separately.
    // The rest of the slack is granted by permits (RetryGate).
    static constexpr double unearnedSlackPart = 0.2;

    // Retries that one instance may send without having earned them, when few instances share the
    // slack. Two are enough for a request that meets two broken targets.
    static constexpr double maxUnearned = 2;

    RetryBudget(const Clock &time, RetryBound retryBound)
        : clock(time)
        , bound(retryBound)
    {
    }

    // Sets the number of instances that share the bound, including this one.
    void setInstances(std::size_t count) { this->instances = std::max<std::size_t>(1, count); }

    // Records the arrival of a caller's request for a service.
    void earn(std::string_view service);

    // Takes one retry to the service from the budget; returns whether one was available.
    bool take(std::string_view service);

private:
    struct Account
    {
        double tokens = 0;
        bool unearnedGranted = false;
        TimePoint windowStart{};
        double earnedInWindow = 0;
        double earnedBefore = 0; // in the previous window
    };

    Account &accountOf(std::string_view service);
    double unearnedShare() const;
    double maxTokens(const Account &account) const;

    const Clock &clock;
    RetryBound bound;
    std::size_t instances = 1;
    std::unordered_map<std::string, Account> accounts;
};

} // namespace jaytrack

#endif
