#include "jaytrack/Routing/departurereserve.h"

#include <algorithm>
#include <cmath>

namespace jaytrack {

namespace {

// Time over which the rate of departures is averaged: long enough for several shutdowns of a fleet
// whose engines are replaced every few seconds, and short enough that the reserve is gone half a
// minute after the last one.
constexpr std::chrono::duration<double> rateWindow{10.0};

} // namespace

void DepartureReserve::decayRate(Service &service) const
{
    const TimePoint now = this->clock.now();
    const std::chrono::duration<double> elapsed = now - service.updatedAt;
    service.tokensPerSecond *= std::exp(-elapsed / rateWindow);
    service.updatedAt = now;
}

void DepartureReserve::record(std::string_view service, double tokens)
{
    Service &state = this->services[std::string(service)];
    this->decayRate(state);
    this->dropOld(state);
    state.tokensPerSecond += tokens / rateWindow.count();
    state.recent.push_back({tokens, this->clock.now()});
}

void DepartureReserve::dropOld(Service &service) const
{
    const TimePoint oldest = this->clock.now() - this->options.evacuationTime;
    std::erase_if(service.recent, [oldest](const Departure &one) { return one.at <= oldest; });
}

// Returns the memory that the runs of recently departed engines still need. It decreases linearly
// to zero over the evacuation time, as the runs move.
double DepartureReserve::recentTokens(Service &service) const
{
    this->dropOld(service);
    const TimePoint now = this->clock.now();
    const Duration time = this->options.evacuationTime;
    double tokens = 0;
    for (const Departure &one : service.recent) {
        const double passed = std::chrono::duration<double>(now - one.at) / time;
        tokens += one.tokens * (1 - passed);
    }
    return tokens;
}

double DepartureReserve::share(std::string_view service, double capacity)
{
    const auto found = this->services.find(service);
    if (found == this->services.end() || capacity <= 0)
        return 0;
    Service &state = found->second;
    const double recent = std::min(this->options.maxShare, this->recentTokens(state) / capacity);
    if (!this->options.expectsDepartures)
        return recent;
    this->decayRate(state);
    const std::chrono::duration<double> time = this->options.evacuationTime;
    const double expected = state.tokensPerSecond * time.count() / capacity;
    return recent + std::min(this->options.maxShare, expected);
}

} // namespace jaytrack
