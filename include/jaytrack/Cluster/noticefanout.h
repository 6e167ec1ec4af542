// Selects the recipients of a notice so that it reaches all other instances.
//
// About fifty generations per second are placed and ended, and every instance is notified of each.
// If each copy were sent directly, five of six would cross data centres: 0.45 GB in 48 s at 195
// instances in six data centres, and this traffic is charged for. Instead one copy is sent to each
// distant data centre, where its recipient passes it on to its neighbours.
#ifndef JAYTRACK_CLUSTER_NOTICEFANOUT_H
#define JAYTRACK_CLUSTER_NOTICEFANOUT_H

#include "jaytrack/Cluster/membership.h"

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jaytrack {

// The part of a data centre to which the receiver of a large notice passes it on: the instances
// whose name's hash, less the offset, lies between first and last. Instances may know different
// members, so the part is given by hashes and not by names.
struct SpreadRange
{
    std::uint64_t offset = 0;
    std::uint64_t first = 0;
    std::uint64_t last = std::numeric_limits<std::uint64_t>::max();
};

struct SpreadTarget
{
    std::string name;
    std::optional<SpreadRange> passOn;
};

class NoticeFanout
{
public:
    // The number of instances of its data centre to which an instance passes on a large notice.
    // With six, three hops reach 258 instances, and four 1,554.
    static constexpr std::size_t maxSpreadTargets = 6;

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

    // Selects the recipients of a large notice of this instance, which is passed on along a tree in
    // each data centre, so that no instance sends it to more than a few others.
    std::vector<SpreadTarget> spread(std::mt19937_64 &random) const;

    // Selects the recipients to which this instance passes on a large notice of the origin.
    std::vector<SpreadTarget> passOn(const SpreadRange &range, std::string_view origin) const;

private:
    struct HashedName
    {
        std::uint64_t hash = 0;
        std::string name;
    };
    using HashedNames = std::vector<HashedName>;

    static std::vector<SpreadTarget> split(const HashedNames &among, const SpreadRange &range,
                                           std::string_view origin, std::size_t maxTargets);

    std::string dataCentre;
    std::vector<std::string> near;
    std::map<std::string, std::vector<std::string>> distant; // instance names by data centre
    HashedNames nearHashes;
    std::map<std::string, HashedNames> distantHashes; // by data centre
};

} // namespace jaytrack

#endif
