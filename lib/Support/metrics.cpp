#include "jaytrack/Support/metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <map>
#include <mutex>
#include <sstream>

namespace jaytrack {

namespace {

namespace acc = boost::accumulators;

using Quantile = acc::accumulator_set<double, acc::stats<acc::tag::p_square_quantile>>;
using Totals = acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum>>;

constexpr std::array quantilesKept = {0.5, 0.95, 0.99};

struct Summary
{
    Totals totals;
    std::array<Quantile, 3> quantiles = {
            Quantile(acc::quantile_probability = quantilesKept[0]),
            Quantile(acc::quantile_probability = quantilesKept[1]),
            Quantile(acc::quantile_probability = quantilesKept[2]),
    };
};

} // namespace

struct Metrics::State
{
    mutable std::mutex mutex;
    std::map<std::string, std::uint64_t, std::less<>> counters;
    std::map<std::string, double, std::less<>> gauges;
    std::map<std::string, Summary, std::less<>> summaries;
};

Metrics::Metrics()
    : state(std::make_unique<State>())
{
}

Metrics::~Metrics() = default;

void Metrics::count(std::string_view series, std::uint64_t by)
{
    const std::lock_guard lock(this->state->mutex);
    auto found = this->state->counters.find(series);
    if (found == this->state->counters.end())
        found = this->state->counters.emplace(std::string(series), 0).first;
    found->second += by;
}

void Metrics::gauge(std::string_view series, double value)
{
    const std::lock_guard lock(this->state->mutex);
    this->state->gauges.insert_or_assign(std::string(series), value);
}

void Metrics::observe(std::string_view series, double seconds)
{
    const std::lock_guard lock(this->state->mutex);
    auto found = this->state->summaries.find(series);
    if (found == this->state->summaries.end())
        found = this->state->summaries.try_emplace(std::string(series)).first;
    found->second.totals(seconds);
    for (Quantile &quantile : found->second.quantiles)
        quantile(seconds);
}

std::uint64_t Metrics::counterValue(std::string_view series) const
{
    const std::lock_guard lock(this->state->mutex);
    const auto found = this->state->counters.find(series);
    return found == this->state->counters.end() ? 0 : found->second;
}

std::string Metrics::render() const
{
    const std::lock_guard lock(this->state->mutex);
    std::ostringstream text;
    for (const auto &[series, value] : this->state->counters)
        text << series << ' ' << value << '\n';
    for (const auto &[series, value] : this->state->gauges)
        text << series << ' ' << value << '\n';
    for (const auto &[series, summary] : this->state->summaries) {
        for (std::size_t i = 0; i < quantilesKept.size(); ++i) {
            text << series << "{quantile=\"" << quantilesKept[i] << "\"} "
                 << acc::p_square_quantile(summary.quantiles[i]) << '\n';
        }
        text << series << "_sum " << acc::sum(summary.totals) << '\n';
        text << series << "_count " << acc::count(summary.totals) << '\n';
    }
    return text.str();
}

} // namespace jaytrack
