// The instances that an instance knows of: those that are up, and for a while those that are not.
//
// Load that it answers: a fleet that is split. Each part takes the other for gone while both serve,
// so whatever is shared out among the instances that are up is given out twice. One that is no
// longer up is counted on until it has been gone for longer than partitions last.
#ifndef JAYTRACK_ROUTING_KNOWNFLEET_H
#define JAYTRACK_ROUTING_KNOWNFLEET_H

#include "jaytrack/Support/clock.h"

#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jaytrack {

struct KnownFleetOptions
{
    // Longer than regions lose each other.
    Duration remembered = std::chrono::hours(2);

    // An instance that is gone for less than this and comes back counts as never gone: news of
    // members are late, and overtake each other.
    Duration absence = std::chrono::seconds(2);
};

class KnownFleet
{
public:
    // What is known of another instance.
    struct Instance
    {
        TimePoint upSince;
        std::optional<TimePoint> goneSince; // nothing while it is up
    };
    using Instances = std::map<std::string, Instance, std::less<>>;

    explicit KnownFleet(const Clock &time, KnownFleetOptions given = {})
        : clock(time)
        , options(given)
    {
    }

    // The names of the other instances that are up.
    void setInstances(std::span<const std::string> others);

    // All others that are counted on.
    const Instances &instances() const { return this->known; }

    // Their names.
    std::vector<std::string> names() const;

    // How many of them are up.
    std::size_t countUp() const;

    bool isUp(std::string_view name) const;

    // When an instance that is gone now will count as gone.
    TimePoint absenceDeadline(const Instance &gone) const
    {
        return gone.goneSince.value_or(TimePoint::max() - this->options.absence) +
               this->options.absence;
    }

private:
    const Clock &clock;
    KnownFleetOptions options;
    Instances known;
};

} // namespace jaytrack

#endif
