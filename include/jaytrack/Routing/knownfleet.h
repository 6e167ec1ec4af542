// Tracks the other instances: those that are up and, for a while, those that are not.
//
// During a network partition each side considers the other one gone while both keep serving, so
// whatever is divided among the instances that are up would be handed out twice. An instance that
// is no longer up therefore still counts until it has been gone for longer than partitions last.
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
    // Longer than a loss of connection between regions lasts.
    Duration retention = std::chrono::hours(2);

    // An instance that returns within this time is treated as if it had been up throughout, because
    // membership updates are delayed and may arrive out of order.
    Duration absence = std::chrono::seconds(2);
};

class KnownFleet
{
public:
    // State of another instance.
    struct Instance
    {
        TimePoint upSince;
        std::optional<TimePoint> goneSince; // empty while it is up
    };
    using Instances = std::map<std::string, Instance, std::less<>>;

    explicit KnownFleet(const Clock &time, KnownFleetOptions initialOptions = {})
        : clock(time)
        , options(initialOptions)
    {
    }

    // Sets the names of the other instances that are up.
    void setInstances(std::span<const std::string> others);

    // Returns all other instances that still count.
    const Instances &instances() const { return this->known; }

    std::vector<std::string> names() const;

    std::size_t countUp() const;

    bool isUp(std::string_view name) const;

    // Returns when an instance that is down now will be treated as absent.
    TimePoint absenceDeadline(const Instance &instance) const
    {
        return instance.goneSince.value_or(TimePoint::max() - this->options.absence) +
               this->options.absence;
    }

private:
    const Clock &clock;
    KnownFleetOptions options;
    Instances known;
};

} // namespace jaytrack

#endif
