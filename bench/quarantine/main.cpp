// Compares what instances may do with requests before they know which part of prompts crashes
// engines, over simulated fleets. Prints one line for each fleet and policy, with means over the
// seeds.
#include "partfleet.h"

#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <array>
#include <iostream>

using namespace jaytrack::testing;

namespace {

struct Fleet
{
    std::size_t instances;
    std::size_t engines;
    double soundPerSecond;
    double deadlyPerSecond;
};

constexpr std::array<Fleet, 4> fleets = {
        {{7, 18, 16, 4}, {7, 18, 16, 12}, {195, 300, 60, 6}, {584, 900, 80, 8}}};

struct Policy
{
    std::string_view name;
    SuspicionPolicy policy;
};

constexpr std::array<Policy, 4> policies = {
        {{"retry-at-once", SuspicionPolicy::RetryAtOnce},
         {"retry-after-verdict", SuspicionPolicy::RetryAfterVerdict},
         {"never-retry", SuspicionPolicy::NeverRetry},
         {"hold-suspected", SuspicionPolicy::HoldSuspected}}};

void compare(const Fleet &fleet, const Policy &policy, int seeds, double chance)
{
    PartFleetResult sum;
    std::size_t mostEnds = 0;
    std::size_t mostLate = 0;
    for (int seed = 1; seed <= seeds; ++seed) {
        PartFleetPlan plan;
        plan.instances = fleet.instances;
        plan.engines = fleet.engines;
        plan.soundPerSecond = fleet.soundPerSecond;
        plan.deadlyPerSecond = fleet.deadlyPerSecond;
        plan.chanceEndsPerSecond = chance;
        plan.policy = policy.policy;
        plan.seed = static_cast<std::uint64_t>(seed);
        const PartFleetResult seen = PartFleet(plan).run(std::chrono::seconds(20));
        sum.deadlyEnds += seen.deadlyEnds;
        sum.soundLost += seen.soundLost;
        sum.soundHeld += seen.soundHeld;
        sum.soundRefused += seen.soundRefused;
        sum.messages += seen.messages;
        mostEnds = std::max(mostEnds, seen.deadlyEnds);
        mostLate = std::max(mostLate, seen.lateDeadlySends);
    }
    const auto mean = [seeds](std::size_t total) { return static_cast<double>(total) / seeds; };
    std::cout << fmt::format("{:>9} {:>8} {:>7} {:>20} {:>10.1f} {:>9} {:>9} {:>10.1f} {:>10.1f} "
                             "{:>13.1f} {:>10.0f}\n",
                             fleet.instances, fleet.deadlyPerSecond, chance, policy.name,
                             mean(sum.deadlyEnds), mostEnds, mostLate, mean(sum.soundLost),
                             mean(sum.soundHeld), mean(sum.soundRefused), mean(sum.messages));
}

} // namespace

int main(int argc, char **argv)
{
    namespace options = boost::program_options;
    int seeds = 20;
    options::options_description described("Options");
    described.add_options()("seeds", options::value(&seeds), "seeds of each fleet and policy");
    options::variables_map given;
    options::store(options::parse_command_line(argc, argv, described), given);
    options::notify(given);
    std::cout << fmt::format(
            "{:>9} {:>8} {:>7} {:>20} {:>10} {:>9} {:>9} {:>10} {:>10} {:>13} {:>10}\n",
            "instances", "deadly/s", "chance", "policy", "ends", "most-ends", "most-late",
            "sound-lost", "sound-held", "sound-refused", "messages");
    for (const double chance : {0.0, 1.0}) {
        for (const Fleet &fleet : fleets) {
            for (const Policy &policy : policies)
                compare(fleet, policy, seeds, chance);
        }
    }
    return 0;
}
