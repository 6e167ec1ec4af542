// Which targets name a limit, in requests a second over all instances together.
//
// Load that it answers: a target in need says in its answers how much it takes, for as long as it
// says so. Its answers overtake each other and reach instances at different moments, so what is
// known is ordered by time: when a limit was last named, and when the latest request was sent whose
// answer named none.
#ifndef JAYTRACK_LIMITS_ADVERTISEDLIMITS_H
#define JAYTRACK_LIMITS_ADVERTISEDLIMITS_H

#include "jaytrack/Support/clock.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jaytrack {

class NamedLimits
{
public:
    // What is known of one target.
    struct Word
    {
        std::string target;
        double perSecond = 0;
        Duration namedAgo{0};
        std::optional<Duration> endedAgo; // nothing if no answer without a limit is known of

        bool isLimited() const { return !this->endedAgo || *this->endedAgo > this->namedAgo; }
    };

    explicit NamedLimits(const Clock &time)
        : clock(time)
    {
    }

    // The target named a limit so long ago. Returns whether others had better know: it named none
    // before, or another one.
    bool recordLimit(std::string_view target, double perSecond, Duration ago = Duration(0));

    // The target named none in its answer to a request that was sent so long ago. Returns whether
    // that ends a limit.
    bool recordNoLimit(std::string_view target, Duration sentAgo);

    // The limit that holds; nothing if there is none.
    std::optional<double> find(std::string_view target) const;

    // All that is known of a target that named a limit lately; nothing if it did not.
    std::optional<Word> wordOf(std::string_view target) const;

    // Targets with a limit.
    std::vector<std::string> limited() const;

    // The target's life ended.
    void forget(std::string_view target);

private:
    struct Entry
    {
        double perSecond = 0;
        TimePoint namedAt;
        std::optional<TimePoint> endedAt;

        bool isLimited() const { return !this->endedAt || *this->endedAt < this->namedAt; }
    };

    void dropOld();

    const Clock &clock;
    std::map<std::string, Entry, std::less<>> entries;
};

} // namespace jaytrack

#endif
