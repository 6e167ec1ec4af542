// What instances tell each other of requests that end targets, and its form on the wire.
#ifndef JAYTRACK_QUARANTINE_QUARANTINEMESSAGE_H
#define JAYTRACK_QUARANTINE_QUARANTINEMESSAGE_H

#include "jaytrack/Quarantine/crashquarantine.h"

namespace jaytrack {

namespace wire {
class QuarantineNotices;
} // namespace wire

// Instances that are told of what is barred each time. One that starts misses the telling of 340
// others three times in a row with a chance of one in ten thousand.
constexpr std::size_t gossipFanout = 3;

struct QuarantineMessage
{
    std::vector<TargetEnd> ends;
    std::vector<BarredRequest> barred;
    std::vector<std::string> ranWell; // digests

    bool isEmpty() const
    {
        return this->ends.empty() && this->barred.empty() && this->ranWell.empty();
    }
};

wire::QuarantineNotices toNotices(const QuarantineMessage &news);

// Times that no instance can mean are cut to the bounds.
QuarantineMessage fromNotices(const wire::QuarantineNotices &notices);

} // namespace jaytrack

#endif
