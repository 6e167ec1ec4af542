#include "jaytrack/Routing/enginespeeds.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace jaytrack {

namespace {

// After this time an observation counts a third as much. Reports describe whole engine snapshots,
// so the progress between two of them is uncertain by the time of one snapshot, half a second.
constexpr std::chrono::duration<double> observationDecay{3.0};

// Minimum number of events for a mean. With fewer, the error caused by the timing of the reports
// dominates.
constexpr double minEvents = 12;

// Minimum observed time for a mean. All runs of an engine share the error of the report times, so
// more runs do not reduce it: with snapshots every 0.5 s and reports every 0.7 s, two intervals are
// wrong by up to 0.4, and three, which count as 1.7 s, by at most 0.25.
constexpr double minObservedSeconds = 1.5;

// Bounds of the slowness. Engines that differ by 2.7 and become 2.5 times slower for a while differ
// by 7; a larger figure is an error, and the times computed from it would overflow or keep the
// engine unused for minutes.
constexpr double minSlowness = 0.1;
constexpr double maxSlowness = 10;

} // namespace

Duration EventIntervalMeter::record(std::span<const RunProgress> runs)
{
    const TimePoint now = this->clock.now();
    const std::chrono::duration<double> elapsed = now - this->lastReportAt;
    double newRunSeconds = 0;
    double newEvents = 0;
    std::map<std::string, std::uint32_t> progress;
    for (const RunProgress &run : runs) {
        // Before its first event a run waits or its prompt is read.
        if (run.events == 0)
            continue;
        progress.emplace(run.run, run.events);
        const auto before = this->lastEvents.find(run.run);
        if (before == this->lastEvents.end() || run.events < before->second)
            continue;
        newRunSeconds += elapsed.count();
        newEvents += run.events - before->second;
    }
    // Without a new observation the earlier ones still hold.
    if (newRunSeconds > 0) {
        const double kept = std::exp(-elapsed / observationDecay);
        this->runSeconds = this->runSeconds * kept + newRunSeconds;
        this->events = this->events * kept + newEvents;
        this->observedSeconds = this->observedSeconds * kept + elapsed.count();
    }
    this->lastEvents = std::move(progress);
    this->lastReportAt = now;
    if (this->events < minEvents || this->observedSeconds < minObservedSeconds)
        return Duration(0);
    return std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(this->runSeconds / this->events));
}

void EngineSpeeds::record(std::string_view service, std::string_view engine, Duration eventInterval)
{
    if (eventInterval <= Duration(0))
        return;
    Service &group = this->services[std::string(service)];
    group.intervals.insert_or_assign(std::string(engine), eventInterval);
    group.changed = true;
}

void EngineSpeeds::forget(std::string_view engine)
{
    for (auto &[name, service] : this->services) {
        const auto found = service.intervals.find(engine);
        if (found == service.intervals.end())
            continue;
        service.intervals.erase(found);
        service.changed = true;
    }
}

void EngineSpeeds::updateQuantiles(Service &service)
{
    std::vector<Duration> intervals;
    intervals.reserve(service.intervals.size());
    for (const auto &[engine, interval] : service.intervals)
        intervals.push_back(interval);
    std::sort(intervals.begin(), intervals.end());
    const std::size_t count = intervals.size();
    service.median = count == 0 ? Duration(0) : intervals[count / 2];
    service.upperQuartile = count == 0 ? Duration(0) : intervals[count * 3 / 4];
    service.changed = false;
}

// Returns the service with its quantiles; null if none of its engines was ever known.
const EngineSpeeds::Service *EngineSpeeds::find(std::string_view service) const
{
    const auto group = this->services.find(service);
    if (group == this->services.end())
        return nullptr;
    if (group->second.changed)
        updateQuantiles(group->second);
    return &group->second;
}

bool EngineSpeeds::isKnown(std::string_view service, std::string_view engine) const
{
    const auto group = this->services.find(service);
    return group != this->services.end() && group->second.intervals.count(engine) > 0;
}

Duration EngineSpeeds::eventInterval(std::string_view service, std::string_view engine) const
{
    const Service *group = this->find(service);
    if (group == nullptr)
        return Duration(0);
    const auto found = group->intervals.find(engine);
    return found == group->intervals.end() ? group->upperQuartile : found->second;
}

double EngineSpeeds::slowness(std::string_view service, std::string_view engine) const
{
    const Service *group = this->find(service);
    if (group == nullptr || group->median <= Duration(0))
        return 1;
    const double slowness =
            std::chrono::duration<double>(this->eventInterval(service, engine)) / group->median;
    return std::clamp(slowness, minSlowness, maxSlowness);
}

} // namespace jaytrack
