// How often an instance may send a request to a further target. All instances draw on one bound of
// the operators, which they cannot count together, so each keeps to a share that holds in sum.
#ifndef JAYTRACK_ROUTING_RETRYBUDGET_H
#define JAYTRACK_ROUTING_RETRYBUDGET_H

#include "jaytrack/Support/clock.h"

#include <string>
#include <string_view>
#include <unordered_map>

namespace jaytrack {

// The operators' bound: in any window, repeats to a service stay within ratio x requests + slack.
struct RetryBound
{
    double ratio = 0.1;
    Duration window = std::chrono::seconds(10);
};

class RetryBudget
{
public:
    // A repeat may come at the end of the window in which its request counted, so a part of the
    // ratio is left unused to stay within the bound over any sliding window.
    static constexpr double usedPart = 0.75;

    // Repeats that an idle instance may send out of nothing. The slack is shared with an unknown
    // number of instances, so this stays small: 2 x 7 instances is a quarter of the least slack
    // seen.
    static constexpr double burst = 2;

    RetryBudget(const Clock &time, RetryBound given)
        : clock(time)
        , bound(given)
    {
    }

    // A caller's request for a service arrived.
    void earn(std::string_view service);

    // Takes one repeat to the service if the share has one left.
    bool take(std::string_view service);

private:
    struct Account
    {
        double tokens = burst;
        double mostTokens = burst;
        TimePoint windowStart{};
        double earnedInWindow = 0;
    };

    Account &accountOf(std::string_view service);

    const Clock &clock;
    RetryBound bound;
    std::unordered_map<std::string, Account> accounts;
};

} // namespace jaytrack

#endif
