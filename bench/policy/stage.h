// Simulates one workload under one policy: several instances of the policy, each with a delayed
// view, in front of engine models, on a virtual clock.
#ifndef JAYTRACK_BENCH_POLICY_STAGE_H
#define JAYTRACK_BENCH_POLICY_STAGE_H

#include "workload.h"

#include "jaytrack/Policy/baselines.h"
#include "jaytrack/Policy/fleetpolicy.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace jaytrack::bench {

// The measurements of a run after its warm-up.
struct Figures
{
    double goodput = 0;  // tokens per second of requests that completed
    double stallP99 = 0; // seconds; of the longest time in which each request received nothing
    double itlP99 = 0;
    double ttftP95 = 0;
    double urgentTtftP99 = 0; // of kinds with priority
    std::uint64_t preemptions = 0;
    std::uint64_t requests = 0;
    double notRun = 0;       // share of requests
    double lost = 0;         // share that ended without an answer
    double fairMin = 0;      // worst small customer: completed divided by requested tokens
    double backlogAtEnd = 0; // requests waiting at the end, divided by requests per second
    double microsPerDecision = 0;
    double policyBytesPerSecond = 0; // of one instance
};

// Creates the policy of one instance.
using PolicyMaker = std::function<std::unique_ptr<PlacementPolicy>(
        const std::string &name, const Clock &clock, std::uint64_t seed, PolicyTransport &transport,
        PlacementListener &listener)>;

Figures runWorkload(const Workload &workload, const PolicyMaker &make);

} // namespace jaytrack::bench

#endif
