// Ranks the instances for each key by rendezvous hashing. Instances divide targets among themselves
// by rank without communication: all that know the same instances compute the same order.
#ifndef JAYTRACK_ROUTING_INSTANCERANKING_H
#define JAYTRACK_ROUTING_INSTANCERANKING_H

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace jaytrack {

class InstanceRanking
{
public:
    explicit InstanceRanking(std::string ownName);

    // Sets the names of the other instances. When one leaves, only its ranks pass to others. Ranks
    // already known are adapted to the instances that came and went; in a large fleet it would take
    // too long to work out each of them again for every change.
    void setOthers(std::span<const std::string> names);

    // Returns the number of instances including this one.
    std::size_t count() const { return this->instances.size(); }

    const std::string &ownName() const { return this->instances.front().name; }

    // Returns this instance's rank for the key; the highest rank is 0.
    std::size_t ownRank(std::string_view key) const;

    // Returns the names of the highest-ranked instances for the key, at most this many.
    std::vector<std::string> first(std::string_view key, std::size_t maxCount) const;

private:
    struct Instance
    {
        std::uint64_t hash = 0;
        std::string name;
    };

    // This instance's rank for a key.
    struct CachedRank
    {
        std::uint64_t keyHash = 0;
        std::size_t rank = 0;
    };

    void adaptCachedRanks(std::span<const std::uint64_t> added,
                          std::span<const std::uint64_t> removed);

    std::vector<Instance> instances;                                 // this one first
    mutable std::unordered_map<std::string, CachedRank> cachedRanks; // by key
};

} // namespace jaytrack

#endif
