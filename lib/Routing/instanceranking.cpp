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
    std::unordered_map<std::string, std::uint64_t> before;
    for (auto known = this->instances.begin() + 1; known != this->instances.end(); ++known)
        before.emplace(std::move(known->name), known->hash);
    this->instances.resize(1);
    this->instances.reserve(names.size() + 1);
    std::vector<std::uint64_t> added;
    for (const std::string &other : names) {
        const auto known = before.find(other);
        const bool isNew = known == before.end();
        const std::uint64_t hash = isNew ? placementHash(other) : known->second;
        this->instances.push_back({hash, other});
        if (isNew)
            added.push_back(hash);
        else
            before.erase(known);
    }
    std::vector<std::uint64_t> removed;
    removed.reserve(before.size());
    for (const auto &[name, hash] : before)
        removed.push_back(hash);
    this->adaptCachedRanks(added, removed);
}

void InstanceRanking::adaptCachedRanks(std::span<const std::uint64_t> added,
                                       std::span<const std::uint64_t> removed)
{
    if (added.empty() && removed.empty())
        return;
    if (added.size() + removed.size() >= this->instances.size())
        return this->cachedRanks.clear();
    const std::uint64_t ownHash = this->instances.front().hash;
    for (auto &[key, cached] : this->cachedRanks) {
        const std::uint64_t keyHash = cached.keyHash;
        const std::uint64_t own = combinedHash(keyHash, ownHash);
        const auto isHigher = [keyHash, own](std::uint64_t other) {
            return combinedHash(keyHash, other) > own;
        };
        cached.rank +=
                static_cast<std::size_t>(std::count_if(added.begin(), added.end(), isHigher));
        cached.rank -=
                static_cast<std::size_t>(std::count_if(removed.begin(), removed.end(), isHigher));
    }
}

std::size_t InstanceRanking::ownRank(std::string_view key) const
{
    std::string text(key);
    const auto found = this->cachedRanks.find(text);
    if (found != this->cachedRanks.end())
        return found->second.rank;
    if (this->cachedRanks.size() >= maxCachedRanks)
        this->cachedRanks.clear();
    const std::uint64_t hash = placementHash(key);
    const std::uint64_t own = combinedHash(hash, this->instances.front().hash);
    const auto higher = std::count_if(
            this->instances.begin(), this->instances.end(),
            [hash, own](const Instance &other) { return combinedHash(hash, other.hash) > own; });
    const auto rank = static_cast<std::size_t>(higher);
    this->cachedRanks.emplace(std::move(text), CachedRank{hash, rank});
    return rank;
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
