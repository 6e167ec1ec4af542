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
        , maxLines(linesInSpan)
        , spanDuration(spanLength)
    {
    }

    // Returns whether one more line may be written now; if not, the line counts as suppressed.
    bool take()
    {
        const TimePoint now = this->clock.now();
        if (now - this->spanStart >= this->spanDuration) {
            this->spanStart = now;
            this->writtenLines = 0;
        }
        if (this->writtenLines >= this->maxLines) {
            ++this->suppressedLines;
            return false;
        }
        ++this->writtenLines;
        return true;
    }

    // Whether no further line is allowed in the current span.
    bool isExhausted() const { return this->writtenLines >= this->maxLines; }

    // Returns the number of lines suppressed since the last call, once their span is over; until
    // then 0.
    std::size_t takeSuppressedCount()
    {
        if (this->clock.now() - this->spanStart < this->spanDuration)
            return 0;
        return std::exchange(this->suppressedLines, 0);
    }

private:
    const Clock &clock;
    std::size_t maxLines;
    Duration spanDuration;
    TimePoint spanStart;
    std::size_t writtenLines = 0; // in the current span
    std::size_t suppressedLines = 0;
};

} // namespace jaytrack

#endif
