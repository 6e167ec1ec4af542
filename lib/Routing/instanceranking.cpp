#include "jaytrack/Routing/instanceranking.h"

#include "jaytrack/Support/digest.h"

#include <boost/functional/hash.hpp>

#include <algorithm>
#include <functional>
#include <utility>

namespace jaytrack {

namespace {

// Targets come and go under new names. At this size the whole cache is cleared, including the
// entries of targets that no longer exist.
constexpr std::size_t maxCachedRanks = 16'384;

std::uint64_t combinedHash(std::uint64_t keyHash, std::uint64_t instanceHash)
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

// Usually only one or two of hundreds of names change, so the known hashes are kept.
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
    this->cachedRanks.clear();
}

std::size_t InstanceRanking::ownRank(std::string_view key) const
{
    std::string text(key);
    const auto found = this->cachedRanks.find(text);
    if (found != this->cachedRanks.end())
        return found->second;
    if (this->cachedRanks.size() >= maxCachedRanks)
        this->cachedRanks.clear();
    const std::uint64_t hash = placementHash(key);
    const std::uint64_t own = combinedHash(hash, this->instances.front().hash);
    const auto higher = std::count_if(
            this->instances.begin(), this->instances.end(),
            [hash, own](const Instance &other) { return combinedHash(hash, other.hash) > own; });
    const auto ownRankForKey = static_cast<std::size_t>(higher);
    this->cachedRanks.emplace(std::move(text), ownRankForKey);
    return ownRankForKey;
}

std::vector<std::string> InstanceRanking::first(std::string_view key, std::size_t maxCount) const
{
    const std::uint64_t hash = placementHash(key);
    std::vector<std::pair<std::uint64_t, const Instance *>> ranked;
    ranked.reserve(this->instances.size());
    for (const Instance &instance : this->instances)
        ranked.emplace_back(combinedHash(hash, instance.hash), &instance);
    const std::size_t taken = std::min(maxCount, ranked.size());
    const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(taken);
    std::partial_sort(ranked.begin(), end, ranked.end(), std::greater<>());
    std::vector<std::string> names;
    names.reserve(taken);
    for (auto it = ranked.begin(); it != end; ++it)
        names.push_back(it->second->name);
    return names;
}

} // namespace jaytrack
