// A fleet that starts at once, in virtual time: the decisions are those of ListingTurn, the store,
// the links and the work of small machines are modelled. For sizes that no test can start for real.
#ifndef JAYTRACK_TESTS_COMMONSTARTMODEL_H
#define JAYTRACK_TESTS_COMMONSTARTMODEL_H

#include "jaytrack/Support/clock.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace jaytrack::testing {

// The defaults are those of a fleet of small machines with links of 20 Mbit/s.
struct CommonStartModelPlan
{
    std::size_t instances = 0;
    std::size_t pages = 31;
    double pageBytes = 66'000;
    double storeBytesPerSecond = 125e6;
    double storeCallsPerSecond = 16'000;
    std::chrono::milliseconds storeLatency{4};
    std::chrono::milliseconds storeAwayFor{0}; // from the start on, calls are not answered
    std::size_t refused = 0;                   // instances in a hundred that the store turns away
    int discoveryDelay = 1;                    // times as long to find the others as usual
    double linkBytesPerSecond = 2.5e6;
    std::chrono::milliseconds pageWork{12}; // to decode a page
    double snapshotBytes = 250'000;
    std::chrono::milliseconds snapshotWork{500}; // to decode a snapshot
    std::uint64_t seed = 1;
};

struct CommonStartModelResult
{
    // Since the start, until the first, half and nine tenths of the instances have the targets; the
    // limit if they do not.
    std::chrono::milliseconds first{0};
    std::chrono::milliseconds half{0};
    std::chrono::milliseconds nineTenths{0};

    std::size_t calls = 0;   // to the store, until nine tenths have the targets
    std::size_t listers = 0; // instances that listed beyond the first page
    double storeBytes = 0;
};

CommonStartModelResult runCommonStart(const CommonStartModelPlan &plan,
                                      std::chrono::milliseconds limit);

} // namespace jaytrack::testing

#endif
