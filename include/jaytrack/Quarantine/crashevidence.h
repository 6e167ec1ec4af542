// Finds the request, or the part of prompts, that explains why targets ended.
#ifndef JAYTRACK_QUARANTINE_CRASHEVIDENCE_H
#define JAYTRACK_QUARANTINE_CRASHEVIDENCE_H

#include "jaytrack/Support/clock.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jaytrack {

class SoundParts;

// A part of a suspect's prompt that is not known to have run well since the suspect was sent.
struct SuspectPart
{
    std::string digest;
    bool ranWellBefore = false; // it ran well earlier
};

// A request that its target had not answered when it ended.
struct Suspect
{
    std::string digest;
    Duration timeAtTarget{0}; // between sending and the end
    std::vector<SuspectPart> parts = {};
};

// The end of a target with the requests to which it had sent no part of an answer.
struct TargetEnd
{
    std::string target; // identifies one incarnation of the target
    std::vector<Suspect> suspects;
    Duration ago{0};
    std::string software = {}; // the target's service and the version of its software
};

// An end as it is kept, with the suspects of all reports.
struct RecordedEnd
{
    struct Sent
    {
        TimePoint at;
        std::vector<SuspectPart> parts;
    };

    std::string target;
    std::string software;
    TimePoint endedAt;
    std::map<std::string, Sent, std::less<>> suspects; // by digest
    std::string explainedBy;                           // digest of a barred request or part
};

struct EvidenceOptions
{
    // Number of ends that bar a request which was the only suspect at one of them. Fewer may be a
    // coincidence: a request whose target ends is sent to another one, which may be ending too.
    std::size_t endsToBar = 3;

    // Number of ends that bar a request which was never the only suspect. A request that waits at
    // the same target as the crashing one is lost with it and sent to the next target by the same
    // rules, so it may be present at some of the same ends. A caller's attempts are used up before
    // it reaches this number.
    std::size_t endsToBarIfNeverAlone = 5;

    // Number of ends that bar a part which is not known to have run well, and number of different
    // requests in which it has to stand there. One request alone does not tell which of its parts
    // it was, or whether it was one of them.
    std::size_t endsToBarPart = 3;
    std::size_t requestsToBarPart = 2;

    // Number of ends that bar a part which ran well before the first of them, or which cannot be
    // told from another part that stood at the same ends.
    std::size_t endsToBarDoubtfulPart = 5;

    // Targets that end within this time of each other have a common cause, such as a rack's power
    // supply. They count as one end for a request that was at several of them, unless it was sent
    // to one of them after another had ended.
    Duration commonCauseWindow = std::chrono::milliseconds(100);

    // Maximum difference between the delays of two reports. A request that appears to have been
    // sent up to this long before another target ended may have been retried because of that end.
    Duration noticeJitter = std::chrono::milliseconds(20);
};

struct EvidenceContext
{
    const EvidenceOptions &options;
    const SoundParts &soundParts;
    std::function<bool(std::string_view digest)> wasBarred; // now or before, within the probation
};

struct CrashVerdict
{
    std::string digest;
    std::size_t ends = 0;
    std::string software = {}; // of the targets that ended under a part
    TimePoint lastEnd;
};

// Returns the request that the evidence suffices to bar, if there is one. The ends have settled and
// are ordered by time.
std::optional<CrashVerdict> findCrashingRequest(std::span<const RecordedEnd *const> ends,
                                                const EvidenceContext &context);

// Returns the part that the evidence suffices to bar, if there is one. Nothing is concluded before
// some target has begun to answer a request since the first of the ends, because otherwise the
// targets may be ending whatever they run.
std::optional<CrashVerdict> findCrashingPart(std::span<const RecordedEnd *const> ends,
                                             const EvidenceContext &context);

} // namespace jaytrack

#endif
