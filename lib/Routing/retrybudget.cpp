#include "jaytrack/Routing/retrybudget.h"

#include <algorithm>

namespace jaytrack {

// Tokens saved up may not exceed what one window earns: a storm after a calm minute would otherwise
// spend the savings of several windows within one.
RetryBudget::Account &RetryBudget::accountOf(std::string_view service)
{
    Account &account = this->accounts[std::string(service)];
    const TimePoint now = this->clock.now();
    if (now - account.windowStart >= this->bound.window) {
        account.windowStart = now;
        account.mostTokens = std::max(burst, account.earnedInWindow);
        account.earnedInWindow = 0;
        account.tokens = std::min(account.tokens, account.mostTokens);
    }
    return account;
}

void RetryBudget::earn(std::string_view service)
{
    Account &account = this->accountOf(service);
    const double earned = this->bound.ratio * usedPart;
    account.earnedInWindow += earned;
    account.mostTokens = std::max(account.mostTokens, account.earnedInWindow);
    account.tokens = std::min(account.tokens + earned, account.mostTokens);
}

bool RetryBudget::take(std::string_view service)
{
    Account &account = this->accountOf(service);
    if (account.tokens < 1)
        return false;
    account.tokens -= 1;
    return true;
}

} // namespace jaytrack
