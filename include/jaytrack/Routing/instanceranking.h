// An order of the instances for each key, by which they share out targets without talking about it:
// all that know the same instances find the same order.
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

    // The names of the other instances. When one goes, only its places are taken by others.
    void setOthers(std::span<const std::string> names);

    // How many there are, this one among them.
    std::size_t count() const { return this->instances.size(); }

    const std::string &ownName() const { return this->instances.front().name; }

    // This instance's place among all for the key; the first one is 0.
    std::size_t ownRank(std::string_view key) const;

    // The names of the first instances for the key, at most so many.
    std::vector<std::string> first(std::string_view key, std::size_t most) const;

private:
    struct Instance
    {
        std::uint64_t hash = 0;
        std::string name;
    };

    std::vector<Instance> instances;                             // this one first
    mutable std::unordered_map<std::string, std::size_t> places; // as found so far
};

} // namespace jaytrack

#endif
