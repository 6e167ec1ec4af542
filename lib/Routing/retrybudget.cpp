#include "jaytrack/Routing/retrybudget.h"

#include <algorithm>

namespace jaytrack {

double RetryBudget::freeShare() const
{
    return std::min(mostFree, this->bound.slack * freePart / static_cast<double>(this->instances));
}

// Tokens saved up may not exceed what one window earns: a storm after a calm minute would otherwise
// spend the savings of several windows within one. In a large fleet an instance sees a request in
// two seconds, which earn a whole repeat only over some windows; it may save up that one.
double RetryBudget::mostTokens(const Account &account) const
{
    static constexpr double windowsForOne = 4;
    const double lately = account.earnedBefore + account.earnedInWindow;
    const double one = std::min(1.0, windowsForOne * lately);
    return std::max({this->freeShare(), account.earnedBefore, account.earnedInWindow, one});
}

RetryBudget::Account &RetryBudget::accountOf(std::string_view service)
{
    Account &account = this->accounts[std::string(service)];
    const Duration since = this->clock.now() - account.windowStart;
    if (since < this->bound.window)
        return account;
    account.earnedBefore = since < 2 * this->bound.window ? account.earnedInWindow : 0;
    account.earnedInWindow = 0;
    account.windowStart = this->clock.now();
    account.tokens = std::min(account.tokens, this->mostTokens(account));
    return account;
}

void RetryBudget::earn(std::string_view service)
{
    Account &account = this->accountOf(service);
    const double earned = this->bound.ratio * usedPart;
    account.earnedInWindow += earned;
    account.tokens = std::min(account.tokens + earned, this->mostTokens(account));
}

bool RetryBudget::take(std::string_view service)
{
    Account &account = this->accountOf(service);
    // Not before the first repeat, by when the other instances are known.
    if (!account.freeGranted) {
        account.freeGranted = true;
        account.tokens += this->freeShare();
    }
    if (account.tokens < 1)
        return false;
    account.tokens -= 1;
    return true;
}

} // namespace jaytrack
