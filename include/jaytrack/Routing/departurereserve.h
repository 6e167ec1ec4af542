// Determines how much engine memory new generations leave free for the runs of engines that are
// shutting down.
//
// A caller that is refused can retry, but a run that finds no memory elsewhere is lost with all its
// output. The reserve covers the engines that have just announced their shutdown and, unless
// switched off, those that are expected to do so next.
#ifndef JAYTRACK_ROUTING_DEPARTURERESERVE_H
#define JAYTRACK_ROUTING_DEPARTURERESERVE_H

#include "jaytrack/Support/clock.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace jaytrack {

struct DepartureReserveOptions
{
    // Runs of an engine that shuts down look for memory for about this long.
    Duration evacuationTime = std::chrono::milliseconds(1500);

    // The largest part of the memory of all engines that is kept free for the runs of engines that
    // have just left, and again for those that are expected to leave next.
    double maxShare = 0.15;

    // Whether memory is kept free for departures that are expected from the rate of earlier ones.
    bool expectsDepartures = true;
};

class DepartureReserve
{
public:
    explicit DepartureReserve(const Clock &time, DepartureReserveOptions initialOptions = {})
        : clock(time)
        , options(initialOptions)
    {
    }

    // Records that an engine of the service announced its shutdown while its runs held this many
    // tokens of memory.
    void record(std::string_view service, double tokens);

    // Returns the part of the memory of the service's other engines, which hold capacity tokens
    // together, that is kept free.
    double share(std::string_view service, double capacity);

private:
    struct Departure
    {
        double tokens;
        TimePoint at;
    };

    struct Service
    {
        std::vector<Departure> recent; // whose runs may still look for memory
        double tokensPerSecond = 0;    // mean over the last departures
        TimePoint updatedAt;
    };

    void decayRate(Service &service) const;
    void dropOld(Service &service) const;
    double recentTokens(Service &service) const;

    const Clock &clock;
    DepartureReserveOptions options;
    std::map<std::string, Service, std::less<>> services;
};

} // namespace jaytrack

#endif
