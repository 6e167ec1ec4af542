#include "jaytrack/Routing/engineshares.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace jaytrack {

EngineShares::EngineShares(std::string ownName, EngineSharesOptions initialOptions)
    : options(initialOptions)
    , ranking(std::move(ownName))
{
}

void EngineShares::setInstances(std::span<const std::string> names)
{
    this->ranking.setOthers(names);
    ++this->version;
    this->updateAssigneeCount();
}

void EngineShares::onListed(std::string_view engine)
{
    this->engines.emplace(engine);
    this->updateAssigneeCount();
}

void EngineShares::onRemoved(std::string_view engine)
{
    const auto found = this->engines.find(engine);
    if (found == this->engines.end())
        return;
    this->engines.erase(found);
    this->updateAssigneeCount();
}

// The number of assignees is a power of two, so that it rarely changes as engines come and go.
void EngineShares::updateAssigneeCount()
{
    const std::size_t before = this->assignees;
    this->assignees = this->wantedAssignees();
    this->version += this->assignees != before ? 1 : 0;
}

std::size_t EngineShares::wantedAssignees() const
{
    const std::size_t instanceCount = this->ranking.count();
    if (this->engines.size() <= this->options.minEngines)
        return instanceCount;
    const std::size_t wanted = this->options.minEngines * instanceCount / this->engines.size() + 1;
    return std::min(instanceCount, std::bit_ceil(wanted));
}

bool EngineShares::isAssigned(std::string_view engine) const
{
    return this->usesAllEngines() || this->ranking.ownRank(engine) < this->assignees;
}

bool EngineShares::shouldPollLoad(std::string_view engine) const
{
    return this->ranking.ownRank(engine) == 0;
}

std::vector<std::string> EngineShares::otherAssignees(std::string_view engine) const
{
    std::vector<std::string> names = this->ranking.first(engine, this->assignees);
    std::erase(names, this->ranking.ownName());
    return names;
}

} // namespace jaytrack
