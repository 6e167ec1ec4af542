// The clock interface, which lets tests and randomised runs control the time.
#ifndef JAYTRACK_SUPPORT_CLOCK_H
#define JAYTRACK_SUPPORT_CLOCK_H

#include <atomic>
#include <chrono>
#include <cstdint>

namespace jaytrack {

using Duration = std::chrono::nanoseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

// Converts a duration to milliseconds, the unit of log lines.
inline std::int64_t toMillis(Duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

// A monotonic clock that keeps running while the process is stopped.
class Clock
{
public:
    virtual ~Clock() = default;
    virtual TimePoint now() const = 0;
};

// The operating system's monotonic clock.
class SystemClock final : public Clock
{
public:
    TimePoint now() const override { return std::chrono::steady_clock::now(); }
};

// A clock that advances only by calls of advance().
class ManualClock final : public Clock
{
public:
    TimePoint now() const override { return TimePoint(Duration(this->ticks.load())); }
    void advance(Duration by) { this->ticks.fetch_add(by.count()); }

private:
    std::atomic<Duration::rep> ticks{0};
};

} // namespace jaytrack

#endif
