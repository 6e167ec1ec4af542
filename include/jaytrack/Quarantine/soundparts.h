// Remembers which parts of prompts targets have run without ending. Requests that crash their
// targets share most of their parts with sound ones; what tells the crashing part from the others
// is that it never runs well.
#ifndef JAYTRACK_QUARANTINE_SOUNDPARTS_H
#define JAYTRACK_QUARANTINE_SOUNDPARTS_H

#include "jaytrack/Support/clock.h"

#include <boost/multi_index/composite_key.hpp>
#include <boost/multi_index/member.hpp>
#include <boost/multi_index/ordered_index.hpp>
#include <boost/multi_index/sequenced_index.hpp>
#include <boost/multi_index_container.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace jaytrack {

struct SoundPartsOptions
{
    // Parts that have run well longest ago are forgotten first. An entry takes about 200 bytes.
    std::size_t maxParts = 2048;
    std::size_t maxSoftware = 64;

    // A part that has not run for this long is treated as unknown.
    Duration lifetime = std::chrono::minutes(10);
};

// All times are those at which the target began to answer. Software names the targets' service and
// the version of their software, because a part may crash one version and not another.
class SoundParts
{
public:
    explicit SoundParts(const Clock &time, SoundPartsOptions tuning = {})
        : clock(time)
        , options(tuning)
    {
    }

    void record(std::string_view software, std::string_view part, TimePoint beganAt);

    // Records that a target began to answer some request, whatever its parts.
    void recordRun(std::string_view software, TimePoint beganAt);

    // Returns when the part ran well last; empty if that is not known.
    std::optional<TimePoint> lastRun(std::string_view software, std::string_view part) const;

    // Returns when a target began to answer any request last; empty if that is not known.
    std::optional<TimePoint> lastRunOfAny(std::string_view software) const;

    // Whether the part is known to run well with other software than this.
    bool runsElsewhere(std::string_view software, std::string_view part) const;

    std::size_t size() const { return this->parts.size(); }

private:
    struct Entry
    {
        std::string part;
        std::string software;
        TimePoint beganAt;
    };
    using Entries = boost::multi_index_container<
            Entry,
            boost::multi_index::indexed_by<
                    boost::multi_index::ordered_unique<
                            boost::multi_index::composite_key<
                                    Entry,
                                    boost::multi_index::member<Entry, std::string, &Entry::part>,
                                    boost::multi_index::member<Entry, std::string,
                                                               &Entry::software>>,
                            boost::multi_index::composite_key_compare<std::less<>, std::less<>>>,
                    boost::multi_index::sequenced<>>>; // by the time of recording

    bool isCurrent(TimePoint beganAt) const
    {
        return this->clock.now() - beganAt <= this->options.lifetime;
    }

    const Clock &clock;
    SoundPartsOptions options;
    Entries parts;
    std::map<std::string, TimePoint, std::less<>> runs; // by software
};

} // namespace jaytrack

#endif
