#include "jaytrack/Routing/probeschedule.h"

#include <algorithm>

namespace jaytrack {

std::chrono::milliseconds ProbeSchedule::interval(int idleReports,
                                                  std::chrono::milliseconds limitInterval) const
{
    const int doublings = std::clamp(idleReports, 0, maxDoublings);
    return std::max(limitInterval, this->shortestInterval * (1 << doublings));
}

bool ProbeSchedule::isDue(const ProbeInputs &inputs, std::chrono::milliseconds limitInterval) const
{
    const std::chrono::milliseconds wanted = this->interval(inputs.idleReports, limitInterval);
    // The check runs once in the shortest interval, and the probe should be at the check nearest to
    // its time, not at the next one after it.
    if (inputs.isReporter)
        return inputs.reportAge + this->shortestInterval / 2 >= wanted;
    return inputs.reportAge > wanted + maxReportDelay;
}

} // namespace jaytrack
