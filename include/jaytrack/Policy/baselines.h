// Well-known ways to place generations, kept to measure the production policy against. Each knows
// only what one instance of such a system would know.
#ifndef JAYTRACK_POLICY_BASELINES_H
#define JAYTRACK_POLICY_BASELINES_H

#include "jaytrack/Policy/placement.h"

#include <memory>
#include <string_view>

namespace jaytrack {

enum class Baseline {
    RoundRobin,       // engines in turn
    LeastOutstanding, // the engine with the fewest of this instance's own generations
    PowerOfTwo,       // the less loaded of two random engines, by their reports
    StaticThreshold,  // least outstanding below a fixed share of memory, else wait
    Oracle // knows every length and every instance's load at once: the limit, not a competitor
};

// All that the oracles of one simulated fleet see together.
class OracleBoard;
std::shared_ptr<OracleBoard> makeOracleBoard();

// Makes a baseline. The board is needed by the oracle only.
std::unique_ptr<PlacementPolicy> makeBaseline(Baseline kind, const Clock &clock, std::uint64_t seed,
                                              PlacementListener &listener,
                                              std::shared_ptr<OracleBoard> board = nullptr);

// The baseline's name in measurements, for example "round_robin".
std::string_view baselineName(Baseline kind);

} // namespace jaytrack

#endif
