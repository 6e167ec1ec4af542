// How many requests this instance may send to a target that is cold.
//
// Load that it answers: a target that has just started, or a whole data centre that comes back,
// looks empty to every instance at once, and breaks down when all send what it could serve warm.
// The operators' bound is on the sum over all instances, which cannot count together within the
// second that it is for. So a few instances, the same for all that know the same fleet, send each a
// part of it, and the others leave the target alone until it is warm.
#ifndef JAYTRACK_ROUTING_COLDTARGETS_H
#define JAYTRACK_ROUTING_COLDTARGETS_H

#include "jaytrack/Routing/instanceranking.h"
#include "jaytrack/Routing/knownfleet.h"
#include "jaytrack/Support/clock.h"

#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace jaytrack {

// The operators' bound: a cold target gets at most its own rate x overage + extra requests in any
// second, over all instances.
struct ColdBound
{
    double overage = 1;
    double extra = 0;
};

struct ColdTargetOptions
{
    // The part of the bound that the instances known to each other use together. The rest is for
    // instances that know the fleet otherwise: as some come and go, the first ones for a target
    // change, and those of before and after may both send within one second.
    double usedPart = 0.5;

    // Longer than the second of the bound by what one request may be slower than another on its
    // way.
    Duration window = std::chrono::milliseconds(1100);

    // An instance that has just started does not know the others yet.
    Duration settleTime = std::chrono::seconds(3);

    // How soon an instance that does not know the fleet looks again.
    Duration lookAgain = std::chrono::milliseconds(200);
};

class ColdTargets
{
public:
    // An instance that expects others sends nothing to cold targets before it has met one.
    ColdTargets(const Clock &time, std::string ownName, ColdBound given, bool expectsOthers,
                ColdTargetOptions options = {});

    // The names of the other instances that are up.
    void setInstances(std::span<const std::string> others);

    // The target is cold for so long from now on. What was told before holds on if it is longer,
    // since entries, notices and answers overtake each other. Returns whether it is news.
    bool recordCold(std::string_view target, Duration left);

    // How long the target stays cold; zero if it is warm.
    Duration coldFor(std::string_view target) const;

    bool isCold(std::string_view target) const { return this->coldFor(target) > Duration(0); }

    // The time until this instance may send the target a request; zero if it may now. A target
    // without a rate of its own bears any.
    Duration wait(std::string_view target, double ownRate) const;

    // A request of this instance goes to the target.
    void recordSend(std::string_view target);

    // Requests that this instance may send the target within one window.
    std::size_t allowance(std::string_view target, double ownRate) const;

private:
    struct Account
    {
        TimePoint coldUntil;
        std::deque<TimePoint> sends; // within the last window
    };

    bool knowsFleet() const;
    void dropWarm();

    const Clock &clock;
    ColdBound bound;
    bool othersExpected;
    ColdTargetOptions options;
    TimePoint startedAt;
    KnownFleet fleet;
    InstanceRanking ranking; // of all that are known
    std::map<std::string, Account, std::less<>> accounts;
};

} // namespace jaytrack

#endif
