#include "jaytrack/Routing/engineshares.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace jaytrack {

EngineShares::EngineShares(std::string ownName, EngineSharesOptions given)
    : options(given)
    , ranking(std::move(ownName))
{
}

void EngineShares::setInstances(std::span<const std::string> names)
{
    this->ranking.setOthers(names);
    this->countSharers();
}

void EngineShares::onListed(std::string_view engine)
{
    this->engines.emplace(engine);
    this->countSharers();
}

void EngineShares::onRemoved(std::string_view engine)
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
    const std::size_t all = this->ranking.count();
    this->sharers = all;
    if (this->engines.size() <= this->options.leastEngines)
        return;
    const std::size_t wanted = this->options.leastEngines * all / this->engines.size() + 1;
    this->sharers = std::min(all, std::bit_ceil(wanted));
}

bool EngineShares::isAssigned(std::string_view engine) const
{
    return this->usesAllEngines() || this->ranking.ownRank(engine) < this->sharers;
}

bool EngineShares::shouldPollLoad(std::string_view engine) const
{
    return this->ranking.ownRank(engine) == 0;
}

std::vector<std::string> EngineShares::otherAssignees(std::string_view engine) const
{
    std::vector<std::string> names = this->ranking.first(engine, this->sharers);
    std::erase(names, this->ranking.ownName());
    return names;
}

} // namespace jaytrack
