// What one instance has granted of a target's limit, and when it may grant more.
//
// Load that it answers: all instances want the same target at once, at any moment, and the bound is
// on the sum over some seconds. Permits accrue at the rate that the target names; a few are saved,
// so that they are not lost while nobody asks for a moment.
#ifndef JAYTRACK_LIMITS_PERMITBUCKET_H
#define JAYTRACK_LIMITS_PERMITBUCKET_H

#include "jaytrack/Support/clock.h"

#include <map>
#include <string>
#include <string_view>

namespace jaytrack {

class LimitAccount
{
public:
    // How fast permits accrue, and how many are saved at most.
    struct Rate
    {
        double perSecond = 0;
        double saved = 1;
    };

    // An account opens empty: whoever kept it before may have spent all there was.
    explicit LimitAccount(TimePoint now)
        : accruedAt(now)
    {
    }

    // Takes one permit, if there is one.
    bool take(TimePoint now, const Rate &rate);

    // A request goes to the target in any case, so later ones wait for it.
    void spend(TimePoint now, const Rate &rate);

    // Until there is a permit again; zero if there is one.
    Duration untilNext(TimePoint now, const Rate &rate) const;

    // An instance wants a permit; returns how many did within the last seconds.
    std::size_t noteAsker(TimePoint now, std::string_view instance);

private:
    double permitsAt(TimePoint now, const Rate &rate) const;
    void accrue(TimePoint now, const Rate &rate);

    TimePoint accruedAt;
    double permits = 0;
    std::map<std::string, TimePoint, std::less<>> askers;
};

} // namespace jaytrack

#endif
