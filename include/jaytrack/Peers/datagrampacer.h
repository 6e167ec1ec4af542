// Limits the rate at which large datagrams are sent, with a token bucket.
//
// A configuration of 5 KB is sent to 37 instances at once, and each relay sends it to 32 more.
// Without pacing, these 190 KB overflow the queue of a 20 Mbit/s link: 168 of 195 instances did not
// receive the configuration and queried the store, which made 168 calls for one change.
#ifndef JAYTRACK_PEERS_DATAGRAMPACER_H
#define JAYTRACK_PEERS_DATAGRAMPACER_H

#include "jaytrack/Support/clock.h"

#include <cstddef>

namespace jaytrack {

struct DatagramPacerOptions
{
    // Datagrams up to this size are sent immediately. They carry placement notices of a few hundred
    // bytes each, which are useful only within milliseconds.
    std::size_t smallBytes = 1024;

    // Rate of larger datagrams. The slowest links have 10 Mbit/s, most of which is needed for
    // callers. At this rate a configuration reaches a fleet of 195 instances within about 0.3 s of
    // the 4 s allowed.
    double bytesPerSecond = 1'000'000;

    // Bytes that may be sent in one burst: five parts of a member table.
    double burstBytes = 24'000;
};

class DatagramPacer
{
public:
    explicit DatagramPacer(const Clock &time, DatagramPacerOptions pacerOptions = {})
        : clock(time)
        , options(pacerOptions)
        , allowance(pacerOptions.burstBytes)
        , countedAt(time.now())
    {
    }

    // Whether a datagram of this size is always sent at once.
    bool isSmall(std::size_t bytes) const { return bytes <= this->options.smallBytes; }

    // Whether a datagram of this size may be sent now. If so, deducts it from the allowance.
    bool take(std::size_t bytes);

private:
    const Clock &clock;
    DatagramPacerOptions options;
    double allowance;
    TimePoint countedAt;
};

} // namespace jaytrack

#endif
