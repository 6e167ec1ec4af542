// Gives several threads access to one placement policy, which is not thread-safe itself.
#ifndef JAYTRACK_SERVE_SHAREDPLACEMENTPOLICY_H
#define JAYTRACK_SERVE_SHAREDPLACEMENTPOLICY_H

#include "jaytrack/Policy/placement.h"

#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace jaytrack {

// Serialises calls to the policy. Placement callbacks take locks of their own and may call this
// class again, so they are posted to another thread instead of being run under the caller's locks.
class SharedPlacementPolicy final : private PlacementListener
{
public:
    using Placed = std::function<void(const Placement &)>;
    using MakePolicy = std::function<std::unique_ptr<PlacementPolicy>(PlacementListener &)>;

    using Post = std::function<void(std::function<void()>)>;

    SharedPlacementPolicy(const MakePolicy &make, Post postStep);

    // Requests an engine. The callback is posted at most once; withdraw() discards it.
    void submit(const GenerationRequest &request, Placed placed);
    void withdraw(std::uint64_t id);

    // Calls the function with the policy while holding the lock.
    void with(const std::function<void(PlacementPolicy &)> &action);

private:
    void onPlacement(std::uint64_t id, const Placement &placement) override;

    Post post;
    std::mutex mutex;
    std::unique_ptr<PlacementPolicy> policy;
    std::unordered_map<std::uint64_t, Placed> pendingRequests;
};

} // namespace jaytrack

#endif
