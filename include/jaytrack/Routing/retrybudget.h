// How often an instance may send a request to a further target. All instances draw on one bound of
// the operators, which they cannot count together, so each keeps to a share that holds in sum.
#ifndef JAYTRACK_ROUTING_RETRYBUDGET_H
#define JAYTRACK_ROUTING_RETRYBUDGET_H

#include "jaytrack/Support/clock.h"

#include <algorithm>
#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>

namespace jaytrack {

// The operators' bound: in any window, repeats to a service stay within ratio x requests + slack,
// over all instances.
struct RetryBound
{
    double ratio = 0.1;
    Duration window = std::chrono::seconds(10);
    double slack = 20;
};

class RetryBudget
{
public:
    // What one window earned may be saved up and be spent in the next one beside what that earns,
    // so each earns half of the ratio.
    static constexpr double usedPart = 0.5;

    // The part of the slack that all instances together may spend out of nothing. An instance that
    // starts again has forgotten what it spent, and a fleet may lose its power and start twice
    // within one window; a fleet that is split in two halves shares each its own count.
    static constexpr double freePart = 0.4;

    // Repeats that one instance may send out of nothing, where few share the slack: enough for a
    // request that meets two broken targets.
    static constexpr double mostFree = 2;

    RetryBudget(const Clock &time, RetryBound given)
        : clock(time)
        , bound(given)
    {
    }

    // How many instances share the bound, this one among them.
    void setInstances(std::size_t count) { this->instances = std::max<std::size_t>(1, count); }

    // A caller's request for a service arrived.
    void earn(std::string_view service);

    // Takes one repeat to the service if the share has one left.
    bool take(std::string_view service);

private:
    struct Account
    {
        double tokens = 0;
        bool freeGranted = false;
        TimePoint windowStart{};
        double earnedInWindow = 0;
        double earnedBefore = 0; // in the window before
    };

    Account &accountOf(std::string_view service);
    double freeShare() const;
    double mostTokens(const Account &account) const;

    const Clock &clock;
    RetryBound bound;
    std::size_t instances = 1;
    std::unordered_map<std::string, Account> accounts;
};

} // namespace jaytrack

#endif
