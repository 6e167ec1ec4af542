// Lets many threads use one placement policy, which itself is single-threaded decision code.
#ifndef JAYTRACK_SERVE_PLACEMENTDESK_H
#define JAYTRACK_SERVE_PLACEMENTDESK_H

#include "jaytrack/Policy/placement.h"

#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace jaytrack {

// Serialises calls to the policy. What a placement sets off takes locks of its own and may come
// back here, so it is posted to another thread instead of being run under the caller's locks.
class PlacementDesk final : private PlacementListener
{
public:
    using Placed = std::function<void(const Placement &)>;
    using MakePolicy = std::function<std::unique_ptr<PlacementPolicy>(PlacementListener &)>;

    using Post = std::function<void(std::function<void()>)>;

    PlacementDesk(const MakePolicy &make, Post postStep);

    // Asks for an engine; the function is called once, from this or another thread.
    void submit(const GenerationRequest &ask, Placed placed);
    void withdraw(std::uint64_t id);

    // Runs a function on the policy under the lock.
    void with(const std::function<void(PlacementPolicy &)> &action);

private:
    void onPlacement(std::uint64_t id, const Placement &placement) override;

    Post post;
    std::mutex mutex;
    std::unique_ptr<PlacementPolicy> policy;
    std::unordered_map<std::uint64_t, Placed> asked;
};

} // namespace jaytrack

#endif
