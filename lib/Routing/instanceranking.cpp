#include "jaytrack/Routing/instanceranking.h"

#include "jaytrack/Support/digest.h"

#include <boost/functional/hash.hpp>

#include <algorithm>
#include <functional>
#include <utility>

namespace jaytrack {

namespace {

// Targets come and go under new names; what was found for the old ones is dropped with the rest.
constexpr std::size_t mostPlaces = 16'384;

std::uint64_t rank(std::uint64_t keyHash, std::uint64_t instanceHash)
{
    std::size_t combined = keyHash;
    boost::hash_combine(combined, instanceHash);
    return combined;
}

} // namespace

InstanceRanking::InstanceRanking(std::string ownName)
{
    const std::uint64_t hash = placementHash(ownName);
    this->instances.push_back({hash, std::move(ownName)});
}

// Of hundreds of names one or two differ from those before, so hashes are kept.
void InstanceRanking::setOthers(std::span<const std::string> names)
{
    std::unordered_map<std::string, std::uint64_t> hashes;
    for (Instance &known : this->instances)
        hashes.emplace(known.name, known.hash);
    this->instances.resize(1);
    this->instances.reserve(names.size() + 1);
    for (const std::string &other : names) {
        const auto known = hashes.find(other);
        const std::uint64_t hash = known == hashes.end() ? placementHash(other) : known->second;
        this->instances.push_back({hash, other});
    }
    this->places.clear();
}

std::size_t InstanceRanking::ownRank(std::string_view key) const
{
    std::string text(key);
    const auto found = this->places.find(text);
    if (found != this->places.end())
        return found->second;
    if (this->places.size() >= mostPlaces)
        this->places.clear();
    const std::uint64_t hash = placementHash(key);
    const std::uint64_t own = rank(hash, this->instances.front().hash);
    const auto higher = std::count_if(
            this->instances.begin(), this->instances.end(),
            [hash, own](const Instance &other) { return rank(hash, other.hash) > own; });
    const auto place = static_cast<std::size_t>(higher);
    this->places.emplace(std::move(text), place);
    return place;
}

std::vector<std::string> InstanceRanking::first(std::string_view key, std::size_t most) const
{
    const std::uint64_t hash = placementHash(key);
    std::vector<std::pair<std::uint64_t, const Instance *>> ranked;
    ranked.reserve(this->instances.size());
    for (const Instance &instance : this->instances)
        ranked.emplace_back(rank(hash, instance.hash), &instance);
    const std::size_t taken = std::min(most, ranked.size());
    const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(taken);
    std::partial_sort(ranked.begin(), end, ranked.end(), std::greater<>());
    std::vector<std::string> names;
    names.reserve(taken);
    for (auto it = ranked.begin(); it != end; ++it)
        names.push_back(it->second->name);
    return names;
}

} // namespace jaytrack
