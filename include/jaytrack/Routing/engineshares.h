// Which instances give work to which engines.
//
// Load that it answers: each placement, release and report at an engine is told to every instance
// that may place there. If all may place everywhere, each of 302 instances before 3,001 engines
// hears of ten thousand a second and spends a core on it. Beyond some hundred engines an instance
// places no better for knowing more of them, so each gives work to a share of them only, and each
// engine gets it from a few instances, which alone hear of it.
#ifndef JAYTRACK_ROUTING_ENGINESHARES_H
#define JAYTRACK_ROUTING_ENGINESHARES_H

#include "jaytrack/Routing/instanceranking.h"

#include <cstddef>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jaytrack {

struct EngineSharesOptions
{
    // Up to so many engines every instance gives work to all, and beyond at least to so many. A new
    // run compares six; a run whose engine leaves looks for room in its own data centre, of which
    // there are up to seven.
    std::size_t leastEngines = 96;
};

class EngineShares
{
public:
    explicit EngineShares(std::string ownName, EngineSharesOptions given = {});

    // The names of the other instances that are up.
    void setInstances(std::span<const std::string> names);

    void onListed(std::string_view engine);
    void onRemoved(std::string_view engine);

    // Whether every instance gives work to every engine.
    bool usesAllEngines() const { return this->sharers >= this->ranking.count(); }

    // Whether this instance gives work to the engine.
    bool isAssigned(std::string_view engine) const;

    // Whether it falls to this instance to ask the engine for its load. Asking has a price at the
    // engine, so one instance asks for all: the one whose hash with the engine is highest. When one
    // goes, only its engines get another.
    bool shouldPollLoad(std::string_view engine) const;

    // The names of the other instances that give work to the engine.
    std::vector<std::string> otherAssignees(std::string_view engine) const;

private:
    void countSharers();

    EngineSharesOptions options;
    InstanceRanking ranking;
    std::set<std::string, std::less<>> engines;
    std::size_t sharers = 1; // of each engine
};

} // namespace jaytrack

#endif
