#include "jaytrack/Serve/placementdesk.h"

namespace jaytrack {

PlacementDesk::PlacementDesk(const MakePolicy &make, Post postStep)
    : post(std::move(postStep))
    , policy(make(*this))
{
}

void PlacementDesk::submit(const GenerationRequest &ask, Placed placed)
{
    const std::lock_guard lock(this->mutex);
    this->asked.emplace(ask.id, std::move(placed));
    this->policy->submit(ask);
}

void PlacementDesk::withdraw(std::uint64_t id)
{
    const std::lock_guard lock(this->mutex);
    this->asked.erase(id);
    this->policy->withdraw(id);
}

void PlacementDesk::with(const std::function<void(PlacementPolicy &)> &action)
{
    const std::lock_guard lock(this->mutex);
    action(*this->policy);
}

void PlacementDesk::onPlacement(std::uint64_t id, const Placement &placement)
{
    const auto found = this->asked.find(id);
    if (found == this->asked.end())
        return;
    this->post([placed = std::move(found->second), placement] { placed(placement); });
    this->asked.erase(found);
}

} // namespace jaytrack
