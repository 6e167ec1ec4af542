// The workloads of the placement policy benchmark.
#ifndef JAYTRACK_BENCH_POLICY_WORKLOAD_H
#define JAYTRACK_BENCH_POLICY_WORKLOAD_H

#include "jaytrack/Standin/batchengine.h"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace jaytrack::bench {

// One kind of generation.
struct Kind
{
    std::string name;
    double share = 1; // of all requests
    double medianTokens = 100;
    double sigma = 1;
    std::uint32_t maxTokens = 20'000;
    std::uint32_t promptTokens = 200; // without the prefix
    std::uint32_t prefixTokens = 0;
    std::uint32_t prefixes = 1;
    int priority = 0;
    bool mayWait = true;
};

struct BenchCustomer
{
    std::string name;
    std::uint32_t weight = 1;
    double share = 1;       // of all requests
    double burstFactor = 1; // multiplies the share during the burst
};

enum class FaultKind { None, EngineDies, EngineSlow, ReportsFreeze, InstanceLost };

struct Workload
{
    std::string name;  // of the deployment
    double load = 0.9; // of capacity
    std::size_t instances = 7;
    std::size_t engines = 20;
    BatchEngineSpec engine;
    std::vector<Kind> kinds;
    std::vector<BenchCustomer> customers;
    bool burst = false; // the first customer bursts in the middle of the run
    FaultKind fault = FaultKind::None;
    double seconds = 240;
    double warmUp = 60;
    double overflowBound = 0.02; // set by the operators
    double surgeLoad = 0;        // load during the first minute after the warm-up; 0: no surge
    std::uint64_t seed = 1;

    std::string caseName() const;

    // Returns how many requests per second the engines can serve, computed from the memory and
    // slots that requests occupy.
    double capacityPerSecond() const;
};

Workload weavers(double load);
Workload mould(double load);

// Draws an output length, in tokens, from the distribution of a kind.
std::uint32_t drawLength(const Kind &kind, std::mt19937_64 &random);

} // namespace jaytrack::bench

#endif
