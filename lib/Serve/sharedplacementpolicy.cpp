#include "jaytrack/Serve/sharedplacementpolicy.h"

namespace jaytrack {

SharedPlacementPolicy::SharedPlacementPolicy(const MakePolicy &make, Post postStep)
    : post(std::move(postStep))
    , policy(make(*this))
{
}

void SharedPlacementPolicy::submit(const GenerationRequest &request, Placed placed)
{
    const std::lock_guard lock(this->mutex);
    this->pendingRequests.emplace(request.id, std::move(placed));
    this->policy->submit(request);
}

void SharedPlacementPolicy::withdraw(std::uint64_t id)
{
    const std::lock_guard lock(this->mutex);
    this->pendingRequests.erase(id);
    this->policy->withdraw(id);
}

void SharedPlacementPolicy::with(const std::function<void(PlacementPolicy &)> &action)
{
    const std::lock_guard lock(this->mutex);
    action(*this->policy);
}

void SharedPlacementPolicy::onPlacement(std::uint64_t id, const Placement &placement)
{
    const auto found = this->pendingRequests.find(id);
    if (found == this->pendingRequests.end())
        return;
    this->post([placed = std::move(found->second), placement] { placed(placement); });
    this->pendingRequests.erase(found);
}

} // namespace jaytrack
