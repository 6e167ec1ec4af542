// How fast service levels are used up: good and bad requests by customer, subject and objective, in
// time windows. Counts of several instances merge by addition.
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

// What a request was to keep to. Durations of zero are no objective.
struct ServiceLevel
{
    Duration firstToken{0};
    Duration stall{0};
    double share = 0.95; // of requests that must keep each objective
};

// What one request turned out to be.
struct LevelSample
{
    std::string customer;
    std::string subject; // model or service
    ServiceLevel level;
    bool answered = false; // with the whole answer
    Duration firstToken{0};
    Duration longestStall{0};
};

// The windows over which burn is told; the short ones wake people, the long ones confirm.
inline constexpr std::array<std::chrono::minutes, 3> burnWindows = {
        std::chrono::minutes(5), std::chrono::minutes(60), std::chrono::minutes(360)};

// Counts of one objective of one customer and subject, in each window.
struct BurnRow
{
    std::string customer;
    std::string subject;
    std::string objective;
    double share = 0.95;
    std::array<std::uint64_t, burnWindows.size()> total{};
    std::array<std::uint64_t, burnWindows.size()> bad{};

    // How many times faster than allowed the allowance of bad requests is used up; 1 uses it up
    // exactly.
    double burn(std::size_t window) const;
};

// Not safe for several threads at once.
class BurnMeter
{
public:
    explicit BurnMeter(const Clock &time)
        : clock(time)
    {
    }

    void add(const LevelSample &sample);
    std::vector<BurnRow> rows() const;

private:
    static constexpr std::size_t mostSeries = 8192;
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
        std::vector<Bucket> ring; // grows to its bound as time goes on
    };

    using Key = std::tuple<std::string, std::string, std::string>;

    std::int64_t bucketNow() const;
    void count(const LevelSample &sample, const char *objective, bool good);

    const Clock &clock;
    std::map<Key, Series> series;
};

// Adds the counts of another instance's rows.
void mergeBurn(std::vector<BurnRow> &into, const std::vector<BurnRow> &from);

} // namespace jaytrack

#endif
