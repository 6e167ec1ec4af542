// When large datagrams may leave.
//
// Load that it answers: a configuration of 5 KB goes to 37 instances at once, and each relay sends
// it to 32 more. 190 KB in one moment overflow the queue of a link of 20 Mbit/s: of 195 instances
// 168 did not get it and asked the store, 168 calls for one change.
#ifndef JAYTRACK_PROXY_DATAGRAMPACER_H
#define JAYTRACK_PROXY_DATAGRAMPACER_H

#include "jaytrack/Support/clock.h"

#include <cstddef>

namespace jaytrack {

struct DatagramPacerOptions
{
    // Datagrams up to this size leave at once: they are news of placements, a few hundred bytes
    // each, which are worth something only within milliseconds.
    std::size_t smallBytes = 1024;

    // Bytes a second of larger ones: the slowest links have 10 Mbit/s, most of it for callers. A
    // configuration then reaches a fleet of 195 within some 0.3 s of the 4 s that it may take.
    double bytesPerSecond = 1'000'000;

    // Bytes that may leave together, five parts of a table of members.
    double burstBytes = 24'000;
};

class DatagramPacer
{
public:
    explicit DatagramPacer(const Clock &time, DatagramPacerOptions given = {})
        : clock(time)
        , options(given)
        , allowance(given.burstBytes)
        , countedAt(time.now())
    {
    }

    // Whether a datagram of this size may leave now. If so, it is taken off the allowance.
    bool take(std::size_t bytes);

private:
    const Clock &clock;
    DatagramPacerOptions options;
    double allowance;
    TimePoint countedAt;
};

} // namespace jaytrack

#endif
