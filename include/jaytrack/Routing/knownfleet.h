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
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jaytrack {

class KnownFleet
{
public:
    KnownFleet(const Clock &time, Duration rememberedFor)
        : clock(time)
        , remembered(rememberedFor)
    {
    }

    // The names of the other instances that are up.
    void setInstances(std::span<const std::string> others);

    // The others that are up, with the moment since which they have been.
    const std::map<std::string, TimePoint, std::less<>> &up() const { return this->upSince; }

    // The names of all others that are counted on.
    std::vector<std::string> names() const;

    // How many others are counted on.
    std::size_t count() const { return this->upSince.size() + this->lastUp.size(); }

private:
    const Clock &clock;
    Duration remembered;
    std::map<std::string, TimePoint, std::less<>> upSince;
    std::map<std::string, TimePoint, std::less<>> lastUp; // of those that are not
};

} // namespace jaytrack

#endif
