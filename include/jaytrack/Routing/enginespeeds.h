// How fast the engines of a service generate, and how they compare with one another.
//
// Engines of one service differ in speed by a factor of two or more, and an engine may be replaced
// by another machine at any time. One instance serves too few streams to notice this by itself,
// but each engine reports the progress of all its runs, and the instance that polls an engine
// passes the result on with the engine's load.
#ifndef JAYTRACK_ROUTING_ENGINESPEEDS_H
#define JAYTRACK_ROUTING_ENGINESPEEDS_H

#include "jaytrack/Routing/dialect.h"
#include "jaytrack/Support/clock.h"

#include <map>
#include <span>
#include <string>
#include <string_view>

namespace jaytrack {

// Measures the time between two events of a run from successive load reports of one incarnation of
// an engine.
class EventIntervalMeter
{
public:
    explicit EventIntervalMeter(const Clock &time)
        : clock(time)
    {
    }

    // Records the progress of the engine's runs at its newest report. Returns the mean time between
    // two events of a run, weighted towards the last seconds; zero while too little is known.
    Duration record(std::span<const RunProgress> runs);

private:
    const Clock &clock;
    std::map<std::string, std::uint32_t> lastEvents; // by run
    TimePoint lastReportAt;
    double runSeconds = 0;      // summed over the runs; older ones count less
    double events = 0;          // made in that time
    double observedSeconds = 0; // between reports with the same run; older ones count less
};

class EngineSpeeds
{
public:
    // Records the mean time between two events of a run at the engine. Zero is ignored, because it
    // means that the reporter does not know.
    void record(std::string_view service, std::string_view engine, Duration eventInterval);

    void forget(std::string_view engine);

    // Returns the time between two events of a run at the engine; zero if no engine of the service
    // is known. An engine that is not known yet gets the upper quartile of its service: it has
    // just started and looks idle, and a long generation placed there by mistake stays slow to its
    // end.
    Duration eventInterval(std::string_view service, std::string_view engine) const;

    // Returns the engine's event interval divided by the service's median; 1 if no engine of the
    // service is known.
    double slowness(std::string_view service, std::string_view engine) const;

    bool isKnown(std::string_view service, std::string_view engine) const;

private:
    struct Service
    {
        std::map<std::string, Duration, std::less<>> intervals; // by engine
        bool changed = false;                                   // since the quantiles were computed
        Duration median{0};
        Duration upperQuartile{0};
    };

    const Service *find(std::string_view service) const;
    static void updateQuantiles(Service &service);

    // Reports arrive far more often than generations are placed, so the quantiles are computed when
    // they are needed.
    mutable std::map<std::string, Service, std::less<>> services;
};

} // namespace jaytrack

#endif
