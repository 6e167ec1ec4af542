// A token bucket for the permits that one instance grants for a target. The rate limit of a target
// bounds the sum of the requests of all instances over some seconds, and all instances may request
// permits at the same moment. Permits accrue at the rate that the target advertises. The bucket
// stores a few of them, so that they are not lost while no instance requests one.
#ifndef JAYTRACK_LIMITS_PERMITBUCKET_H
#define JAYTRACK_LIMITS_PERMITBUCKET_H

#include "jaytrack/Support/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace jaytrack {

class PermitBucket
{
public:
    struct Rate
    {
        double perSecond = 0;
        double capacity = 1; // maximum number of stored permits
    };

    // A new bucket is empty, because the previous owner of the target's limit may have granted all
    // permits that had accrued.
    explicit PermitBucket(TimePoint now)
        : refilledAt(now)
    {
    }

    // Takes a permit that accrues within the given time, in advance. Returns the time until then,
    // which is zero if one is available now, or nullopt if there is none.
    std::optional<Duration> tryTake(TimePoint now, const Rate &rate, Duration within);

    // Charges a request that is sent without a permit. The balance may become negative, so that
    // later requests wait for it.
    void charge(TimePoint now, const Rate &rate);

    // Returns the time until a permit is available, or zero if one is available now.
    Duration timeToNextPermit(TimePoint now, const Rate &rate) const;

    // Records that the instance requested a permit. Returns how many instances have requested one
    // within the last 3 s.
    std::size_t recordRequester(TimePoint now, std::string_view instance);

    // Records the permit of the instance's request, so that the answer can be repeated if it is
    // lost. Only the last one of each instance is kept.
    void recordGrant(std::string_view instance, std::int64_t serial, TimePoint accruesAt);

    // Returns when the permit that the request got accrues, or nullopt if none is recorded.
    std::optional<TimePoint> grantOf(std::string_view instance, std::int64_t serial) const;

private:
    struct Requester
    {
        TimePoint at;
        std::int64_t grantedSerial = 0; // 0 if none
        TimePoint accruesAt;
    };

    double permitsAt(TimePoint now, const Rate &rate) const;
    void refill(TimePoint now, const Rate &rate);

    TimePoint refilledAt;
    double permits = 0;
    std::map<std::string, Requester, std::less<>> requesters;
};

} // namespace jaytrack

#endif
