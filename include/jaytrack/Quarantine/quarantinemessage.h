// Messages between instances about requests that crash targets, and their conversion to and from
// the wire format.
#ifndef JAYTRACK_QUARANTINE_QUARANTINEMESSAGE_H
#define JAYTRACK_QUARANTINE_QUARANTINEMESSAGE_H

#include "jaytrack/Quarantine/crashquarantine.h"

namespace jaytrack {

namespace wire {
class QuarantineNotices;
} // namespace wire

// Number of instances that receive each periodic message about barred requests. In a fleet of 340
// others, an instance that starts misses three rounds in a row with a probability of 1 in 10,000.
constexpr std::size_t gossipFanout = 3;

struct QuarantineMessage
{
    std::vector<TargetEnd> ends;
    std::vector<BarredRequest> barred;
    std::vector<std::string> safeRuns; // digests
    std::vector<SoundPart> soundParts;

    bool isEmpty() const
    {
        return this->ends.empty() && this->barred.empty() && this->safeRuns.empty() &&
               this->soundParts.empty();
    }
};

wire::QuarantineNotices toNotices(const QuarantineMessage &message);

// Clamps times that are outside the valid range.
QuarantineMessage fromNotices(const wire::QuarantineNotices &notices);

} // namespace jaytrack

#endif
