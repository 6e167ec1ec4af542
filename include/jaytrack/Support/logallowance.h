// Limits the number of log lines of one kind per time span. An instance that starts lists a
// thousand targets at once, and a faulty writer may corrupt as many store entries. Without a limit,
// their lines fill the queue of the log, and the lines that record the decisions of the instance
// are dropped as well.
#ifndef JAYTRACK_SUPPORT_LOGALLOWANCE_H
#define JAYTRACK_SUPPORT_LOGALLOWANCE_H

#include "jaytrack/Support/clock.h"

#include <cstddef>
#include <utility>

namespace jaytrack {

class LogAllowance
{
public:
    LogAllowance(const Clock &time, std::size_t linesInSpan, Duration spanLength)
        : clock(time)
        , most(linesInSpan)
        , length(spanLength)
    {
    }

    // Returns whether one more line may be written now; if not, the line counts as suppressed.
    bool take()
    {
        const TimePoint now = this->clock.now();
        if (now - this->since >= this->length) {
            this->since = now;
            this->taken = 0;
        }
        if (this->taken >= this->most) {
            ++this->leftOut;
            return false;
        }
        ++this->taken;
        return true;
    }

    // Whether no further line is allowed in the current span.
    bool isSpent() const { return this->taken >= this->most; }

    // Returns the number of lines suppressed since the last call, once their span is over; until
    // then 0.
    std::size_t takeLeftOut()
    {
        if (this->clock.now() - this->since < this->length)
            return 0;
        return std::exchange(this->leftOut, 0);
    }

private:
    const Clock &clock;
    std::size_t most;
    Duration length;
    TimePoint since;
    std::size_t taken = 0; // in the current span
    std::size_t leftOut = 0;
};

} // namespace jaytrack

#endif
