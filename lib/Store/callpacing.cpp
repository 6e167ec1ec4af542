#include "jaytrack/Store/callpacing.h"

#include <algorithm>

namespace jaytrack {

namespace {

// Prevents an overflow; the interval has reached its maximum long before.
constexpr int maxDoublings = 10;

// Two calls in a row may be repeated for unrelated reasons, such as a lost history and a restore.
constexpr int repeatsUntilReport = 4;

} // namespace

CallPacing::CallPacing(const Clock &time, std::chrono::milliseconds first, std::mt19937_64 &source)
    : clock(time)
    , firstInterval(first)
    , random(source)
{
}

std::chrono::milliseconds CallPacing::repeat(std::chrono::milliseconds maxInterval)
{
    const TimePoint now = this->clock.now();
    if (now - this->lastRepeat > quietTime) {
        this->repeats = 0;
        this->reported = false;
    }
    this->lastRepeat = now;
    ++this->repeats;
    if (this->repeats == 1)
        return std::chrono::milliseconds(0);
    const int doublings = std::min(this->repeats - 2, maxDoublings);
    const auto interval = std::min(this->firstInterval * (1 << doublings), maxInterval);
    std::uniform_int_distribution<std::int64_t> jitter(interval.count() / 2, interval.count());
    return std::chrono::milliseconds(jitter(this->random));
}

bool CallPacing::takeReport()
{
    if (this->reported || this->repeats < repeatsUntilReport)
        return false;
    this->reported = true;
    return true;
}

} // namespace jaytrack
