#include "jaytrack/Routing/engineshares.h"

#include "jaytrack/Support/digest.h"

#include <boost/functional/hash.hpp>

#include <algorithm>
#include <bit>
#include <functional>
#include <utility>

namespace jaytrack {

namespace {

// Engines come and go under new names; what was found for the old ones is dropped with the rest.
constexpr std::size_t mostPlaces = 16'384;

std::uint64_t rank(std::uint64_t engineHash, std::uint64_t instanceHash)
{
    std::size_t combined = engineHash;
    boost::hash_combine(combined, instanceHash);
    return combined;
}

} // namespace

EngineShares::EngineShares(std::string ownName, EngineSharesOptions given)
    : name(std::move(ownName))
    , options(given)
{
    this->setInstances({});
}

void EngineShares::setInstances(std::span<const std::string> names)
{
    this->instances.clear();
    this->instances.reserve(names.size() + 1);
    this->instances.push_back({placementHash(this->name), this->name});
    for (const std::string &other : names)
        this->instances.push_back({placementHash(other), other});
    this->places.clear();
    this->countSharers();
}

void EngineShares::listed(std::string_view engine)
{
    this->engines.emplace(engine);
    this->countSharers();
}

void EngineShares::gone(std::string_view engine)
{
    const auto found = this->engines.find(engine);
    if (found == this->engines.end())
        return;
    this->engines.erase(found);
    this->countSharers();
}

// A power of two, so that it seldom changes as engines come and go.
void EngineShares::countSharers()
{
    const std::size_t all = this->instances.size();
    this->sharers = all;
    if (this->engines.size() <= this->options.leastEngines)
        return;
    const std::size_t wanted = this->options.leastEngines * all / this->engines.size() + 1;
    this->sharers = std::min(all, std::bit_ceil(wanted));
}

std::size_t EngineShares::placeOf(std::string_view engine) const
{
    const std::string key(engine);
    const auto found = this->places.find(key);
    if (found != this->places.end())
        return found->second;
    if (this->places.size() >= mostPlaces)
        this->places.clear();
    const std::uint64_t hash = placementHash(engine);
    const std::uint64_t own = rank(hash, this->instances.front().hash);
    const auto higher = std::count_if(
            this->instances.begin(), this->instances.end(),
            [hash, own](const Instance &other) { return rank(hash, other.hash) > own; });
    const auto place = static_cast<std::size_t>(higher);
    this->places.emplace(key, place);
    return place;
}

bool EngineShares::isMine(std::string_view engine) const
{
    return this->isWhole() || this->placeOf(engine) < this->sharers;
}

bool EngineShares::isMineToAsk(std::string_view engine) const
{
    return this->placeOf(engine) == 0;
}

std::vector<std::string> EngineShares::othersOf(std::string_view engine) const
{
    const std::uint64_t hash = placementHash(engine);
    std::vector<std::pair<std::uint64_t, const Instance *>> ranked;
    ranked.reserve(this->instances.size());
    for (const Instance &instance : this->instances)
        ranked.emplace_back(rank(hash, instance.hash), &instance);
    const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(this->sharers);
    std::partial_sort(ranked.begin(), end, ranked.end(), std::greater<>());
    std::vector<std::string> names;
    names.reserve(this->sharers);
    for (auto it = ranked.begin(); it != end; ++it) {
        if (it->second->name != this->name)
            names.push_back(it->second->name);
    }
    return names;
}

} // namespace jaytrack
