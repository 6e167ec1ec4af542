// Records which targets advertise a rate limit, in requests per second over all instances together.
//
// An overloaded target advertises the rate that it accepts in its answers, for as long as the limit
// applies. Answers overtake each other and reach the instances at different times. The records are
// therefore ordered by time: the time at which a limit was last advertised, and the time at which
// the latest request was sent whose answer contained no limit.
#ifndef JAYTRACK_LIMITS_ADVERTISEDLIMITS_H
#define JAYTRACK_LIMITS_ADVERTISEDLIMITS_H

#include "jaytrack/Support/clock.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jaytrack {

class AdvertisedLimits
{
public:
    struct State
    {
        std::string target;
        double perSecond = 0;
        Duration namedAgo{0};
        std::optional<Duration> endedAgo; // nullopt if no answer without a limit is known

        bool isLimited() const { return !this->endedAgo || *this->endedAgo > this->namedAgo; }
    };

    explicit AdvertisedLimits(const Clock &time)
        : clock(time)
    {
    }

    // Records that the target advertised a limit this long ago. Returns true if other instances
    // have to be notified: the target had no limit before, or the rate changed by more than 5 %.
    bool recordLimit(std::string_view target, double perSecond, Duration ago = Duration(0));

    // Records an answer without a limit to a request that was sent this long ago. Returns true if
    // that ends a limit.
    bool recordNoLimit(std::string_view target, Duration sentAgo);

    // Returns the limit that is in force, or nullopt if there is none.
    std::optional<double> find(std::string_view target) const;

    // Returns the record of a target that advertised a limit recently, also if the limit has ended
    // since; nullopt if there is no record.
    std::optional<State> stateOf(std::string_view target) const;

    // Returns the targets whose limit is in force.
    std::vector<std::string> limited() const;

    // Removes the record of a target that has terminated.
    void forget(std::string_view target);

private:
    struct Entry
    {
        double perSecond = 0;
        TimePoint namedAt;
        std::optional<TimePoint> endedAt;

        bool isLimited() const { return !this->endedAt || *this->endedAt < this->namedAt; }
    };

    void removeExpired();

    const Clock &clock;
    std::map<std::string, Entry, std::less<>> entries;
};

} // namespace jaytrack

#endif
