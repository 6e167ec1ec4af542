// Limits the requests that this instance sends to a cold target.
//
// A target that has just started, or a whole data centre that returns to service, looks idle to
// every instance at once and is overloaded if all of them send it what it could serve when warm.
// The operators' bound applies to the sum over all instances, and the instances cannot count
// together within the one second for which it applies. Therefore a few instances, which are the
// same for all that know the same fleet, each send a part of the bound, and the others send the
// target nothing until it is warm.
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

// The operators' bound: a cold target receives at most its own rate x overage + extra requests in
// any second, summed over all instances.
struct ColdBound
{
    double overage = 1;
    double extra = 0;
};

struct ColdTargetOptions
{
    // The part of the bound that the instances known to each other use together. The rest is
    // reserved for instances with a different view of the fleet: when instances join or leave, the
    // first-ranked instances of a target change, and those of the old and of the new view may both
    // send within one second.
    double usablePart = 0.5;

    // Longer than the one second of the bound by the amount by which the transit times of two
    // requests may differ.
    Duration window = std::chrono::milliseconds(1100);

    // After its start an instance waits this long, because it does not know the other instances
    // yet.
    Duration settleTime = std::chrono::seconds(3);

    // Interval at which an instance that does not know the fleet yet checks again.
    Duration recheckInterval = std::chrono::milliseconds(200);
};

class ColdTargets
{
public:
    // An instance that expects others sends nothing to cold targets until it has discovered at
    // least one other instance.
    ColdTargets(const Clock &time, std::string ownName, ColdBound coldBound, bool expectsOthers,
                ColdTargetOptions initialOptions = {});

    // Sets the names of the other instances that are up.
    void setInstances(std::span<const std::string> others);

    // Records that the target is cold for the given time from now on. An earlier record that lasts
    // longer stays in force, since entries, notices and answers may arrive out of order. Returns
    // whether the cold period became noticeably longer.
    bool recordCold(std::string_view target, Duration remaining);

    // Returns how long the target stays cold; zero if it is warm.
    Duration coldFor(std::string_view target) const;

    bool isCold(std::string_view target) const { return this->coldFor(target) > Duration(0); }

    // Returns the time until this instance may send the target a request; zero if it may do so now.
    // A target without a rate of its own is not limited.
    Duration wait(std::string_view target, double ownRate) const;

    // Records that this instance sends the target a request.
    void recordSend(std::string_view target);

    // Returns how many requests this instance may send the target within one window.
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
    InstanceRanking ranking; // of all known instances
    std::map<std::string, Account, std::less<>> accounts;
};

} // namespace jaytrack

#endif
