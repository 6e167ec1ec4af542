#include "jaytrack/Peers/datagrampacer.h"

#include <algorithm>
#include <chrono>

namespace jaytrack {

bool DatagramPacer::take(std::size_t bytes)
{
    if (this->isSmall(bytes))
        return true;
    const TimePoint now = this->clock.now();
    const double passed = std::chrono::duration<double>(now - this->countedAt).count();
    this->countedAt = now;
    this->allowance = std::min(this->options.burstBytes,
                               this->allowance + passed * this->options.bytesPerSecond);
    // A datagram larger than a whole burst is sent when the bucket is full.
    const double needed = std::min(static_cast<double>(bytes), this->options.burstBytes);
    if (this->allowance < needed)
        return false;
    this->allowance -= needed;
    return true;
}

} // namespace jaytrack
