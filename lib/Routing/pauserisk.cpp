#include "jaytrack/Routing/pauserisk.h"

#include <algorithm>
#include <cmath>

namespace jaytrack {

namespace {

// After this time an observation weighs 1/e. It spans several generations, and the effect of a
// burst of prompts fades within minutes.
constexpr std::chrono::duration<double> observationDecay{30.0};

// Assumed number of earlier generations without a pause. It keeps the risk after a single pause
// below 0.06, which costs less than the longer run time at an engine of the next slower group.
constexpr double priorGenerations = 16;

} // namespace

std::size_t PauseRisk::bandOf(double slowness)
{
    const double band = std::clamp(slowness / bandWidth, 0.0, static_cast<double>(bandCount - 1));
    return static_cast<std::size_t>(band);
}

double PauseRisk::keptPart(const Band &band) const
{
    const std::chrono::duration<double> elapsed = this->clock.now() - band.updatedAt;
    return std::exp(-elapsed / observationDecay);
}

void PauseRisk::record(double slowness, bool paused)
{
    Band &band = this->bands[bandOf(slowness)];
    const double kept = this->keptPart(band);
    band.generations = band.generations * kept + 1;
    band.paused = band.paused * kept + (paused ? 1 : 0);
    band.updatedAt = this->clock.now();
}

double PauseRisk::risk(double slowness) const
{
    const Band &band = this->bands[bandOf(slowness)];
    const double kept = this->keptPart(band);
    return band.paused * kept / (band.generations * kept + priorGenerations);
}

} // namespace jaytrack
