// Well-known placement policies that the production policy is compared with in measurements. Except
// for the oracle, each uses only the information that one instance of such a system has.
#ifndef JAYTRACK_POLICY_BASELINES_H
#define JAYTRACK_POLICY_BASELINES_H

#include "jaytrack/Policy/placement.h"

#include <memory>
#include <string_view>

namespace jaytrack {

enum class Baseline {
    RoundRobin,       // uses the engines in turn
    LeastOutstanding, // the engine with the fewest generations placed by this instance
    PowerOfTwo,       // the less loaded of two random engines, by their reports
    StaticThreshold,  // least outstanding below a fixed share of memory, else wait
    Oracle // knows every length and the load of every instance: an upper bound, not a competitor
};

// The state that the oracles of all instances of one simulated fleet share.
class OracleBoard;
std::shared_ptr<OracleBoard> makeOracleBoard();

// Creates a baseline policy. Only the oracle needs the board.
std::unique_ptr<PlacementPolicy> makeBaseline(Baseline kind, const Clock &clock, std::uint64_t seed,
                                              PlacementListener &listener,
                                              std::shared_ptr<OracleBoard> board = nullptr);

// The baseline's name in measurements, for example "round_robin".
std::string_view baselineName(Baseline kind);

} // namespace jaytrack

#endif
