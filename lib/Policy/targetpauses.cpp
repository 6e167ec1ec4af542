#include "jaytrack/Policy/targetpauses.h"

#include <algorithm>

namespace jaytrack {

void TargetPauses::pause(std::string_view target, Duration time)
{
    const TimePoint now = this->clock.now();
    std::erase_if(this->until, [now](const auto &entry) { return entry.second <= now; });
    TimePoint &end = this->until[std::string(target)];
    end = std::max(end, now + time);
}

Duration TargetPauses::remaining(std::string_view target) const
{
    const auto found = this->until.find(target);
    if (found == this->until.end())
        return Duration(0);
    return std::max(Duration(0), found->second - this->clock.now());
}

} // namespace jaytrack
