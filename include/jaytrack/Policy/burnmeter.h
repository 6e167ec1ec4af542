// Measures how fast service level objectives consume their error budgets: counts good and bad
// requests by customer, subject and objective in time windows. Counts of several instances are
// merged by addition.
#ifndef JAYTRACK_POLICY_BURNMETER_H
#define JAYTRACK_POLICY_BURNMETER_H

#include "jaytrack/Support/clock.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace jaytrack {

// The objectives of a request. A duration of zero means that there is no such objective.
struct ServiceLevel
{
    Duration firstToken{0};
    Duration stall{0};
    double share = 0.95; // share of requests that must meet each objective
};

// The measured outcome of one request.
struct LevelSample
{
    std::string customer;
    std::string subject; // model or service
    ServiceLevel level;
    bool answered = false; // the answer was complete
    Duration firstToken{0};
    Duration longestStall{0};
};

// The windows over which the burn rate is reported. The short windows trigger alerts, the long ones
// confirm them.
inline constexpr std::array<std::chrono::minutes, 3> burnWindows = {
        std::chrono::minutes(5), std::chrono::minutes(60), std::chrono::minutes(360)};

// The counts of one objective of one customer and subject in each window.
struct BurnRow
{
    std::string customer;
    std::string subject;
    std::string objective;
    double share = 0.95;
    std::array<std::uint64_t, burnWindows.size()> total{};
    std::array<std::uint64_t, burnWindows.size()> bad{};

    // The burn rate: the observed share of bad requests divided by the allowed share. At a rate
    // of 1 the error budget is used up exactly.
    double burn(std::size_t window) const;
};

// Counts request outcomes per minute. Not thread-safe.
class BurnMeter
{
public:
    explicit BurnMeter(const Clock &clockSource)
        : clock(clockSource)
    {
    }

    void add(const LevelSample &sample);
    std::vector<BurnRow> rows() const;

private:
    static constexpr std::size_t maxSeries = 8192;
    static constexpr Duration bucketLength = std::chrono::minutes(1);
    static constexpr std::size_t buckets = 360;

    struct Bucket
    {
        std::int64_t number = -1;
        std::uint32_t total = 0;
        std::uint32_t bad = 0;
    };

    struct Series
    {
        double share = 0.95;
        std::vector<Bucket> ring; // grows up to `buckets` entries
    };

    using Key = std::tuple<std::string, std::string, std::string>;

    std::int64_t currentBucket() const;
    void count(const LevelSample &sample, const char *objective, bool good);

    const Clock &clock;
    std::map<Key, Series> series;
};

// Adds the counts of another instance's rows to `into`.
void mergeBurn(std::vector<BurnRow> &into, const std::vector<BurnRow> &from);

} // namespace jaytrack

#endif
