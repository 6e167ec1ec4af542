// Learns how often a generation pauses for longer than its route allows, by the speed of its
// engine.
//
// While an engine reads a prompt, the runs beside it generate more slowly. On an engine that is
// slow already, the pause becomes longer than the caller tolerates. An engine serves too few
// generations to learn this for each one before it is replaced, but engines of similar speed behave
// alike, and the instances tell each other how their generations went.
#ifndef JAYTRACK_ROUTING_PAUSERISK_H
#define JAYTRACK_ROUTING_PAUSERISK_H

#include "jaytrack/Support/clock.h"

#include <array>

namespace jaytrack {

class PauseRisk
{
public:
    explicit PauseRisk(const Clock &time)
        : clock(time)
    {
    }

    // Records that a generation ended at an engine of this slowness, and whether it paused for too
    // long there.
    void record(double slowness, bool paused);

    // Returns the share of generations that pause for too long at engines of this slowness; close
    // to zero while few have been recorded.
    double risk(double slowness) const;

private:
    // Engines of similar slowness.
    struct Band
    {
        double generations = 0; // older ones count less
        double paused = 0;
        TimePoint updatedAt;
    };

    // Narrow enough to keep apart engines that differ by a quarter, the accuracy of their measured
    // speeds.
    static constexpr double bandWidth = 0.25;
    static constexpr std::size_t bandCount = 16;

    static std::size_t bandOf(double slowness);
    double keptPart(const Band &band) const;

    const Clock &clock;
    std::array<Band, bandCount> bands;
};

} // namespace jaytrack

#endif
