#include "jaytrack/Routing/retrybudget.h"

#include <algorithm>

namespace jaytrack {

double RetryBudget::unearnedShare() const
{
    return std::min(maxUnearned,
                    this->bound.slack * unearnedSlackPart / static_cast<double>(this->instances));
}

// Returns the largest number of tokens that may be saved. It is limited to what one window earns:
// otherwise a surge of failures after a quiet minute could spend the savings of several windows
// within one. In a large fleet an instance may receive only one request every two seconds and needs
// several windows to earn one retry, so it may save up that one.
double RetryBudget::maxTokens(const Account &account) const
{
    static constexpr double windowsPerRetry = 4;
    const double recentEarnings = account.earnedBefore + account.earnedInWindow;
    const double oneRetry = std::min(1.0, windowsPerRetry * recentEarnings);
    return std::max(
            {this->unearnedShare(), account.earnedBefore, account.earnedInWindow, oneRetry});
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
    account.tokens = std::min(account.tokens, this->maxTokens(account));
    return account;
}

void RetryBudget::earn(std::string_view service)
{
    Account &account = this->accountOf(service);
    const double earned = this->bound.ratio * usableRatioPart;
    account.earnedInWindow += earned;
    account.tokens = std::min(account.tokens + earned, this->maxTokens(account));
}

bool RetryBudget::take(std::string_view service)
{
    Account &account = this->accountOf(service);
    // Granted only at the first retry, because the number of instances is known by then.
    if (!account.unearnedGranted) {
        account.unearnedGranted = true;
        account.tokens += this->unearnedShare();
    }
    if (account.tokens < 1)
        return false;
    account.tokens -= 1;
    return true;
}

} // namespace jaytrack
