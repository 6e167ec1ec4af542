// Which connections an instance reads while the balancer hands it more than it can carry.
#include "jaytrack/Net/acceptgate.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <algorithm>
#include <deque>
#include <iterator>
#include <random>
#include <vector>

using namespace jaytrack;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t descriptors = 4100;
constexpr std::size_t memoryLimit = 64U << 20U;

struct DecisionCase
{
    char name[48];
    int delayBeforeMs;
    int lastDelayMs;
    std::size_t connections;
    std::size_t memoryUsed;
    double draw;
    AcceptDecision decision;
};

} // namespace

// Guards against requests read where they cannot be served, and against connections closed by an
// instance that has room: one stall that is over, the usual rest of a machine with a quota.
ParameterizedTestParameters(acceptGate, readsWhatTheInstanceCanCarry)
{
    static DecisionCase cases[] = {
            {"idle", 0, 0, 0, 0, 0, AcceptDecision::Read},
            {"usual rest of a quota", 80, 90, 0, 0, 0, AcceptDecision::Read},
            {"one long stall", 0, 5000, 0, 0, 0, AcceptDecision::Read},
            {"late, small draw", 175, 175, 0, 0, 0.3, AcceptDecision::LoopIsLate},
            {"late, large draw", 175, 175, 0, 0, 0.6, AcceptDecision::Read},
            {"very late", 5000, 5000, 0, 0, 0.89, AcceptDecision::LoopIsLate},
            {"very late, yet some are read", 5000, 5000, 0, 0, 0.95, AcceptDecision::Read},
            {"many connections", 0, 0, 1800, 0, 0, AcceptDecision::Read},
            {"no descriptors left", 0, 0, 1850, 0, 0, AcceptDecision::DescriptorsAreShort},
            {"half of the memory", 0, 0, 0, memoryLimit / 2, 0, AcceptDecision::Read},
            {"more of the memory", 0, 0, 0, memoryLimit / 2 + 1, 0, AcceptDecision::MemoryIsShort},
    };
    return cr_make_param_array(DecisionCase, cases, std::size(cases));
}

ParameterizedTest(DecisionCase *param, acceptGate, readsWhatTheInstanceCanCarry)
{
    AcceptGate gate(descriptors);
    gate.recordLoopDelay(milliseconds(param->delayBeforeMs));
    gate.recordLoopDelay(milliseconds(param->lastDelayMs));
    const AcceptDecision decision =
            gate.decide({param->connections, param->memoryUsed, memoryLimit}, param->draw);
    cr_assert_eq(decision, param->decision, "%s: %s", param->name,
                 std::string(nameOf(decision)).c_str());
}

namespace {

// Instances that each carry so many requests a second, in the order of their arrival, and the
// balancer that hands most new connections to one of them.
struct Flood
{
    char name[40];
    std::size_t instances;
    double requestsPerSecond; // of all callers
    double carriedPerSecond;  // by one instance
    double floodedShare;      // of first tries at one instance
};

struct FloodResult
{
    double servedShare = 0;   // of the requests that were read, at their first reading
    double closedShare = 0;   // of all first tries
    double unservedShare = 0; // of all requests, with all tries
};

// A request is served if it is carried within this time; a caller tries this often elsewhere.
constexpr milliseconds aim{300};
constexpr int maxTries = 3;
constexpr milliseconds tick{100};

FloodResult play(const Flood &flood, bool gated)
{
    std::mt19937_64 random(flood.instances);
    std::uniform_real_distribution<double> draw(0, 1);
    std::vector<AcceptGate> gates(flood.instances, AcceptGate(descriptors));
    std::vector<double> backlog(flood.instances, 0); // requests read and not carried yet
    std::size_t sent = 0;
    std::size_t closed = 0;
    std::size_t read = 0;
    std::size_t served = 0;
    const double perTick = std::chrono::duration<double>(tick).count();
    for (int step = 0; step < 100; ++step) {
        std::poisson_distribution<int> arrivals(flood.requestsPerSecond * perTick);
        for (int i = arrivals(random); i > 0; --i) {
            ++sent;
            for (int attempt = 0; attempt < maxTries; ++attempt) {
                const bool flooded = attempt == 0 && draw(random) < flood.floodedShare;
                const std::size_t at = flooded ? 0 : random() % flood.instances;
                const AcceptDecision decision = gates[at].decide({0, 0, memoryLimit}, draw(random));
                if (gated && decision != AcceptDecision::Read) {
                    closed += attempt == 0 ? 1 : 0;
                    continue;
                }
                ++read;
                backlog[at] += 1;
                const double waits = backlog[at] / flood.carriedPerSecond;
                served += waits <= std::chrono::duration<double>(aim).count() ? 1 : 0;
                break;
            }
        }
        for (std::size_t at = 0; at < flood.instances; ++at) {
            backlog[at] = std::max(0.0, backlog[at] - flood.carriedPerSecond * perTick);
            const double delay = backlog[at] / flood.carriedPerSecond;
            gates[at].recordLoopDelay(
                    std::chrono::duration_cast<Duration>(std::chrono::duration<double>(delay)));
        }
    }
    const auto total = static_cast<double>(sent);
    return {static_cast<double>(served) / static_cast<double>(read),
            static_cast<double>(closed) / total, 1 - static_cast<double>(served) / total};
}

} // namespace

// Guards against an instance that reads all that the balancer hands to it while the others are
// idle: what it has read is then served late, or not at all.
ParameterizedTestParameters(acceptGate, floodedInstanceServesWhatItReads)
{
    static Flood floods[] = {{"small fleet, far too much", 7, 400, 100, 0.9},
                             {"small fleet, twice what it carries", 7, 220, 100, 0.9},
                             {"small fleet, within what it carries", 7, 80, 100, 0.9},
                             {"large fleet", 195, 2000, 100, 0.9},
                             {"whole fleet", 584, 2000, 100, 0.8}};
    return cr_make_param_array(Flood, floods, std::size(floods));
}

ParameterizedTest(Flood *param, acceptGate, floodedInstanceServesWhatItReads)
{
    const FloodResult open = play(*param, false);
    const FloodResult gated = play(*param, true);
    cr_log_info("%s: served of read %.2f (%.2f without), closed %.2f, unserved %.2f (%.2f)",
                param->name, gated.servedShare, open.servedShare, gated.closedShare,
                gated.unservedShare, open.unservedShare);
    // The users ask for three quarters of what was served at the first reading before.
    cr_assert_geq(gated.servedShare, 0.75, "%s: %.2f", param->name, gated.servedShare);
    cr_assert_leq(gated.unservedShare, open.unservedShare, "%s", param->name);
}
