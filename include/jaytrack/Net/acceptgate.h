// Decides whether an instance reads a new connection. The balancer may hand most new connections of
// a data centre to one instance while the others are idle. A connection that is closed unread
// meets another instance at its caller's next try; a request that has been read and then waits or
// is refused does not. So the decision stands before the first byte is read, and depends on what
// this instance can carry now.
#ifndef JAYTRACK_NET_ACCEPTGATE_H
#define JAYTRACK_NET_ACCEPTGATE_H

#include "jaytrack/Support/clock.h"

#include <cstddef>
#include <string_view>

namespace jaytrack {

struct AcceptGateOptions
{
    // Delay of the event loop from which connections are closed unread, and from which on the
    // largest part of them is. A machine with a quota of a core may rest for most of a tenth of a
    // second in any case.
    Duration tolerableLoopDelay = std::chrono::milliseconds(100);
    Duration excessiveLoopDelay = std::chrono::milliseconds(250);

    // A part is always read, because the other instances may be no better off, or gone.
    double maxClosedShare = 0.9;

    // Share of the memory for requests being read, from which on no more are begun. A request that
    // finds no memory halfway has been read and must be refused.
    double maxMemoryShare = 0.5;

    // Each connection may need a descriptor for its caller and one for a target.
    std::size_t descriptorsPerConnection = 2;

    // Descriptors for files, and the share of all for the store, peers and load probes.
    std::size_t reservedDescriptors = 200;
    double reservedShare = 0.05;
};

struct AcceptLoad
{
    std::size_t connections = 0; // of callers, open
    std::size_t memoryUsed = 0;  // by requests being read or served
    std::size_t memoryLimit = 0;
};

enum class AcceptDecision { Read, LoopIsLate, MemoryIsShort, DescriptorsAreShort };

// Returns the name of the decision for logs and metrics.
std::string_view nameOf(AcceptDecision decision);

class AcceptGate
{
public:
    explicit AcceptGate(std::size_t descriptorLimit, AcceptGateOptions tuning = {})
        : descriptors(descriptorLimit)
        , options(tuning)
    {
    }

    // Records how late the event loop ran a timer. One late timer may follow a stall that is over;
    // the load is too high if the next one is late, too.
    void recordLoopDelay(Duration delay);

    // The draw is uniformly distributed between 0 and 1.
    AcceptDecision decide(const AcceptLoad &load, double draw) const;

    Duration loopDelay() const;

private:
    double closedShare() const;
    std::size_t usableDescriptors() const;

    std::size_t descriptors;
    AcceptGateOptions options;
    Duration lastDelay{0};
    Duration delayBefore{0};
};

} // namespace jaytrack

#endif
