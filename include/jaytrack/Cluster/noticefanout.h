// Selects the recipients of a notice so that it reaches all other instances.
//
// About fifty generations per second are placed and ended, and every instance is notified of each.
// If each copy were sent directly, five of six would cross data centres: 0.45 GB in 48 s at 195
// instances in six data centres, and this traffic is charged for. Instead one copy is sent to each
// distant data centre, where its recipient passes it on to its neighbours.
#ifndef JAYTRACK_CLUSTER_NOTICEFANOUT_H
#define JAYTRACK_CLUSTER_NOTICEFANOUT_H

#include "jaytrack/Cluster/membership.h"

#include <map>
#include <random>
#include <span>
#include <string>
#include <vector>

namespace jaytrack {

class NoticeFanout
{
public:
    // In a data centre with fewer instances, each is notified directly: a relay would save
    // little, and if it failed, many of them would miss the notice.
    static constexpr std::size_t minInstancesForRelay = 4;

    explicit NoticeFanout(std::string ownDataCentre)
        : dataCentre(std::move(ownDataCentre))
    {
    }

    // Sets the other instances that are up.
    void setPeers(std::span<const Member> others);

    struct Recipients
    {
        std::vector<std::string> direct; // names of instances that only receive the notice
        std::vector<std::string> relays; // names of instances that also pass it on
    };

    // Selects the recipients of one notice. Relays are chosen at random for each notice, so
    // that until a slow or failed relay is detected, its data centre misses only a small part
    // of the notices.
    Recipients recipients(std::mt19937_64 &random) const;

    // The instances to which this instance passes on a notice that it relays.
    const std::vector<std::string> &neighbours() const { return this->near; }

private:
    std::string dataCentre;
    std::vector<std::string> near;
    std::map<std::string, std::vector<std::string>> distant; // instance names by data centre
};

} // namespace jaytrack

#endif
