#include "jaytrack/Net/acceptgate.h"

#include <algorithm>

namespace jaytrack {

std::string_view nameOf(AcceptDecision decision)
{
    switch (decision) {
    case AcceptDecision::Read:
        return "read";
    case AcceptDecision::LoopIsLate:
        return "loop_is_late";
    case AcceptDecision::MemoryIsShort:
        return "memory_is_short";
    case AcceptDecision::DescriptorsAreShort:
        return "descriptors_are_short";
    }
    return "unknown";
}

void AcceptGate::recordLoopDelay(Duration delay)
{
    this->delayBefore = this->lastDelay;
    this->lastDelay = delay;
}

Duration AcceptGate::loopDelay() const
{
    return std::min(this->lastDelay, this->delayBefore);
}

double AcceptGate::closedShare() const
{
    const Duration excess = this->loopDelay() - this->options.tolerableLoopDelay;
    if (excess <= Duration(0))
        return 0;
    const Duration range = this->options.excessiveLoopDelay - this->options.tolerableLoopDelay;
    const double share = static_cast<double>(excess.count()) / static_cast<double>(range.count());
    return std::min(share, 1.0) * this->options.maxClosedShare;
}

std::size_t AcceptGate::usableDescriptors() const
{
    const auto share = static_cast<std::size_t>(static_cast<double>(this->descriptors) *
                                                this->options.reservedShare);
    const std::size_t reserved = this->options.reservedDescriptors + share;
    return this->descriptors > reserved ? this->descriptors - reserved : 0;
}

AcceptDecision AcceptGate::decide(const AcceptLoad &load, double draw) const
{
    const std::size_t wanted = (load.connections + 1) * this->options.descriptorsPerConnection;
    if (wanted > this->usableDescriptors())
        return AcceptDecision::DescriptorsAreShort;
    if (static_cast<double>(load.memoryUsed) >
        static_cast<double>(load.memoryLimit) * this->options.maxMemoryShare)
        return AcceptDecision::MemoryIsShort;
    return draw < this->closedShare() ? AcceptDecision::LoopIsLate : AcceptDecision::Read;
}

} // namespace jaytrack
