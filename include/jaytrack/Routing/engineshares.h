// Assigns engines to the instances that place work there.
//
// Each placement, release and load report of an engine is sent to every instance that may place
// work there. If all instances used all engines, each of 302 instances with 3,001 engines would
// receive ten thousand notices per second and spend a CPU core on them. Beyond some hundred engines
// an instance does not place better by knowing more of them. Therefore each instance uses only a
// share of the engines, and each engine is used by a few instances, which alone receive its
// notices.
#ifndef JAYTRACK_ROUTING_ENGINESHARES_H
#define JAYTRACK_ROUTING_ENGINESHARES_H

#include "jaytrack/Routing/instanceranking.h"

#include <cstddef>
#include <cstdint>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jaytrack {

struct EngineSharesOptions
{
    // Up to this number of engines every instance uses all of them; beyond it every instance uses
    // at least this many. A new run compares six engines, and a run whose engine leaves looks for
    // memory in its own data centre, of which there are up to seven.
    std::size_t minEngines = 96;
};

class EngineShares
{
public:
    explicit EngineShares(std::string ownName, EngineSharesOptions initialOptions = {});

    // Sets the names of the other instances that are up.
    void setInstances(std::span<const std::string> names);

    void onListed(std::string_view engine);
    void onRemoved(std::string_view engine);

    // Returns whether every instance places work at every engine.
    bool usesAllEngines() const { return this->assignees >= this->ranking.count(); }

    // Returns a number that grows whenever engines listed before may have been reassigned.
    std::uint64_t assignmentVersion() const { return this->version; }

    // Returns whether this instance places work at the engine.
    bool isAssigned(std::string_view engine) const;

    // Returns whether this instance polls the engine's load. Each query costs the engine some work,
    // so only the instance whose hash with the engine is highest polls and informs the others. When
    // an instance leaves, only its own engines are reassigned.
    bool shouldPollLoad(std::string_view engine) const;

    // Returns the names of the other instances that place work at the engine.
    std::vector<std::string> otherAssignees(std::string_view engine) const;

private:
    void updateAssigneeCount();
    std::size_t wantedAssignees() const;

    EngineSharesOptions options;
    InstanceRanking ranking;
    std::set<std::string, std::less<>> engines;
    std::size_t assignees = 1; // instances assigned to each engine
    std::uint64_t version = 0;
};

} // namespace jaytrack

#endif
