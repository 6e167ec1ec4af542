// Decides when the load of an engine is probed again.
//
// Each probe costs a connection to the engine, and its report is sent to every instance that places
// work there. With the same interval for every engine, a fleet of 5,720 engines pays for 8,000
// probes a second, each sent to 15 instances, even if one engine in twenty works. An idle engine's
// load is known until an instance places work there, which the instances tell each other within
// milliseconds. Therefore the interval of an idle engine doubles with each report that shows no
// work, and is the shortest again after a placement or a failure.
#ifndef JAYTRACK_ROUTING_PROBESCHEDULE_H
#define JAYTRACK_ROUTING_PROBESCHEDULE_H

#include "jaytrack/Support/clock.h"

#include <chrono>

namespace jaytrack {

// What this instance knows of the load of an engine at which it places work.
struct ProbeInputs
{
    Duration reportAge{0}; // since the last report, or since the engine was listed if there is none
    int idleReports = 0;   // consecutive ones without work, if none was placed since
    bool isReporter = false; // this instance probes the engine for all
};

class ProbeSchedule
{
public:
    // The interval of an idle engine is at most 2 to this power times the shortest. An engine that
    // ended without notice then still loses its entry in the store before the next probe.
    static constexpr int maxDoublings = 3;

    // An instance without a report for this long, beyond the interval of the engine, probes it
    // itself, because the reporter must be gone.
    static constexpr std::chrono::milliseconds maxReportDelay{1800};

    explicit ProbeSchedule(std::chrono::milliseconds shortest)
        : shortestInterval(shortest)
    {
    }

    // Returns the interval between two probes of an engine; limitInterval is the interval that the
    // rate limit of the engine allows.
    std::chrono::milliseconds interval(int idleReports,
                                       std::chrono::milliseconds limitInterval) const;

    // Whether this instance should probe the engine now.
    bool isDue(const ProbeInputs &inputs, std::chrono::milliseconds limitInterval) const;

private:
    std::chrono::milliseconds shortestInterval;
};

} // namespace jaytrack

#endif
