#include "jaytrack/Support/boottimeclock.h"

#include <cassert>
#include <ctime>

namespace jaytrack {

TimePoint BoottimeClock::now() const
{
    timespec time{};
    const int failed = ::clock_gettime(CLOCK_BOOTTIME, &time);
    assert(failed == 0 && "every kernel that is supported has this clock");
    (void)failed;
    return TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace jaytrack
