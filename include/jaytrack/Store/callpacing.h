// Spaces calls that repeat one another because their answers bring nothing new. Unlike failures,
// such answers are usable, so that the next call could follow at once, and the answer to it as
// well.
#ifndef JAYTRACK_STORE_CALLPACING_H
#define JAYTRACK_STORE_CALLPACING_H

#include "jaytrack/Support/clock.h"

#include <chrono>
#include <random>

namespace jaytrack {

class CallPacing
{
public:
    // Repeats further apart than this are not related to each other. It is longer than the largest
    // interval that is asked for, with the time that an answer takes.
    static constexpr Duration quietTime = std::chrono::seconds(3);

    // The first interval applies to the second repeat, and doubles with each further one.
    CallPacing(const Clock &time, std::chrono::milliseconds first, std::mt19937_64 &source);

    // Records that a call has to be repeated. Returns the least time between its start and that of
    // the next one: zero for the first repeat, later at most the maximum and at least half of it.
    // The random part keeps instances apart.
    std::chrono::milliseconds repeat(std::chrono::milliseconds maxInterval);

    // Returns whether a series of repeats has become one worth telling of; true once in a series.
    bool takeReport();

private:
    const Clock &clock;
    std::chrono::milliseconds firstInterval;
    std::mt19937_64 &random;
    TimePoint lastRepeat;
    int repeats = 0; // of the current series
    bool reported = false;
};

} // namespace jaytrack

#endif
