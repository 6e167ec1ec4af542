// How many lines of one kind may be written in a span of time.
//
// Load that it answers: an instance that starts lists a thousand targets in one moment, or a writer
// gone wrong spoils as many entries. Their lines fill what waits to be written, and the lines that
// tell what the instance decides are dropped with the rest.
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

    // Whether one more line may be written now; if not, it counts as left out.
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

    // Whether the span allows no further line.
    bool isSpent() const { return this->taken >= this->most; }

    // How many lines were left out since this was last asked, once their span is over; else 0.
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
    std::size_t taken = 0; // in the span that runs
    std::size_t leftOut = 0;
};

} // namespace jaytrack

#endif
