// Works out how many requests per second a brittle target may be given.
//
// An overloaded target may announce that it is brittle: it crashes if it has to refuse more than a
// given number of requests within a second because it has no room. It does not say how many it can
// serve. The first refusal yields an estimate from the target's slots and the time that it takes
// for a request; each further refusal lowers the rate, which grows again with time.
#ifndef JAYTRACK_LIMITS_REFUSALCONTROL_H
#define JAYTRACK_LIMITS_REFUSALCONTROL_H

#include "jaytrack/Limits/targetlimits.h"
#include "jaytrack/Support/clock.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jaytrack {

struct RefusalControlOptions
{
    // Part of the estimated rate that is used first. The estimate is too high for a target that
    // slows down when it is full.
    double firstShare = 0.8;

    // Factor by which the rate grows in a second.
    double growth = 1.10;

    // The rate is lowered so much by a refusal that this fraction of the refusals that the target
    // tolerates keeps it constant.
    double plannedRefusals = 0.10;

    // A target that has not announced it for this long is no longer brittle.
    Duration memory = std::chrono::seconds(10);
};

class RefusalControl
{
public:
    explicit RefusalControl(const Clock &time, RefusalControlOptions initialOptions = {});

    // Records that the target announced how many refusals within a second it tolerates. Returns
    // true if it was not known to be brittle.
    bool recordBrittle(std::string_view target, double toleratedRefusals);

    // Records an answer without that announcement to a request that was sent this long ago. Returns
    // true if the target was known to be brittle.
    bool recordSound(std::string_view target, Duration sentAgo);

    bool isBrittle(std::string_view target) const;

    // Records how long a request took that a target of the service served. Returns the targets
    // whose first rate was estimated before that time was known, once each: the caller should
    // replace their rate by correctedRate().
    std::vector<std::string> recordServed(std::string_view service, int slots, Duration took);

    // Returns the rate from now on, after the target has refused a request: below the one in force,
    // if there is one. Records the target for a later correction if the service's time is not
    // known.
    double rateAfterRefusal(std::string_view target, std::string_view service,
                            std::optional<double> inForce);

    // Returns the corrected rate of a target whose first rate was estimated before the service's
    // time was known; nullopt if none is in force or it is high enough.
    std::optional<double> correctedRate(std::string_view service,
                                        std::optional<double> inForce) const;

    // Returns the options under which permits for requests to brittle targets are granted.
    static TargetLimitOptions permitOptions(const RefusalControlOptions &options = {});

    void forget(std::string_view target);

private:
    struct Announcement
    {
        double tolerated = 0;
        TimePoint at;
    };

    struct Performance
    {
        double secondsPerRequest = 0; // smoothed
        int slots = 0;
    };

    double decreaseFor(std::string_view target) const;
    double estimatedRate(std::string_view service) const;

    const Clock &clock;
    RefusalControlOptions options;
    std::map<std::string, Announcement, std::less<>> announcements; // by target
    std::map<std::string, Performance, std::less<>> services;
    std::map<std::string, std::string, std::less<>> estimatedTargets; // service by target
};

} // namespace jaytrack

#endif
