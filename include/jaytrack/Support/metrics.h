// Counters and latency summaries, kept with Boost.Accumulators and rendered as Prometheus text.
#ifndef JAYTRACK_SUPPORT_METRICS_H
#define JAYTRACK_SUPPORT_METRICS_H

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace jaytrack {

// All metrics of one process. Every function may be called from any thread.
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    // Adds to a counter. The name is a complete Prometheus series, labels included.
    void count(std::string_view series, std::uint64_t by = 1);

    // Sets a gauge.
    void gauge(std::string_view series, double value);

    // Adds one sample, in seconds, to a summary that reports the median, the 95th and the 99th
    // percentile.
    void observe(std::string_view series, double seconds);

    std::uint64_t counterValue(std::string_view series) const;

    // Returns the response text of /metrics.
    std::string render() const;

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace jaytrack

#endif
