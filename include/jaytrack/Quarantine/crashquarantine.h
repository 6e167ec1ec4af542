// Identifies requests that crash the targets that run them, and bars them from all targets.
//
// One request that its caller sends repeatedly can crash one target after the other, each with some
// dozen other requests that it works on. So can requests that have nothing in common but one part
// of their prompts. Rating targets does not help, because each target is healthy until it gets such
// a request, so the records are kept per request and per part. When a target ends, every request
// that it had not answered yet is a suspect. A request that was a suspect at three ends with no
// other explanation is barred everywhere, and so is a part that stood at three ends in different
// requests, while other requests ran well and it never did. Requests that were only present at the
// ends of a barred request or part are cleared.
#ifndef JAYTRACK_QUARANTINE_CRASHQUARANTINE_H
#define JAYTRACK_QUARANTINE_CRASHQUARANTINE_H

#include "jaytrack/Quarantine/crashevidence.h"
#include "jaytrack/Quarantine/requestdigest.h"
#include "jaytrack/Quarantine/soundparts.h"
#include "jaytrack/Support/clock.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jaytrack {

struct CrashQuarantineOptions
{
    EvidenceOptions evidence;

    // Reports of other instances about an end arrive within this time: a datagram takes
    // milliseconds and is repeated after half of it.
    Duration settleTime = std::chrono::milliseconds(300);

    // Reports of one target's end that differ by less than this time are about the same end. A
    // later one is about another incarnation of the target.
    Duration sameEndWindow = std::chrono::seconds(1);

    // Ends that are older than this are ignored, because they are unlikely to be related.
    Duration evidenceLifetime = std::chrono::minutes(10);

    // How long a request or part stays barred. After that it may run again, because the targets may
    // have been fixed. If a target ends under it during the probation, that single end bars it
    // again.
    Duration barDuration = std::chrono::minutes(30);
    Duration probation = std::chrono::hours(24);

    // Memory bounds; a suspect takes about 40 bytes, and 40 more for each of its parts.
    std::size_t maxEnds = 128;
    std::size_t maxSuspects = 512;
    std::size_t maxPartsPerSuspect = 16;
    std::size_t maxBars = 256;
};

// Stands for the targets' software where a part crashed several.
inline constexpr std::string_view anySoftware = "*";

// A request, or all requests with a part, that no target may be given.
struct BarredRequest
{
    std::string digest; // of the request or the part
    Duration remaining{0};
    std::size_t ends = 0; // ends of targets that it caused

    // Empty for a request. For a part, the software of the targets that ended, or anySoftware.
    std::string software = {};
    Duration lastEndAgo{0};
};

// A part that a target has run without ending.
struct SoundPart
{
    std::string digest;
    std::string software;
    Duration beganAgo{0};
};

// A request that a target ran without ending.
struct SafeRun
{
    const RequestIdentity &request; // the digest may be empty if no request is suspected
    std::string_view software;
    TimePoint beganAt; // when the target began to answer
};

// What a safe run has changed and other instances may have to be told.
struct Cleared
{
    bool request = false;
    std::vector<SoundPart> parts;

    bool isEmpty() const { return !this->request && this->parts.empty(); }
};

class CrashQuarantine
{
public:
    explicit CrashQuarantine(const Clock &time, CrashQuarantineOptions tuning = {})
        : clock(time)
        , options(tuning)
        , soundParts(time)
    {
    }

    // Records an end. Several instances may report the same end, each with its own requests.
    void recordEnd(const TargetEnd &end);

    // Adds what this instance knows of the parts to an end that it reports: those that have run
    // well since the suspect was sent are left out.
    void describeParts(TargetEnd &end) const;

    // Records that a target has begun to answer some request, so that targets with this software do
    // not end whatever they run.
    void recordAnswerBegun(std::string_view software, TimePoint beganAt);

    // Clears a request and its parts. Returns what was suspected or barred.
    Cleared recordSafeRun(const SafeRun &run);

    // Clears a request that another instance reports to have run safely.
    bool clearRequest(std::string_view digest);

    // Clears a part that another instance reports to have run safely. Returns true if it was barred
    // and is not any more.
    bool clearPart(const SoundPart &part);

    // Evaluates the ends whose reports from all instances have arrived by now, if there are new
    // ones. Returns what is barred as a result.
    std::vector<BarredRequest> evaluate();

    // Adds what another instance has barred. Returns false if it was barred already, or is a part
    // that this instance knows to have run well since.
    bool bar(const BarredRequest &request);

    // Returns when this instance knows the part to have run well after the last end for which
    // another instance has barred it; empty if it does not know that.
    std::optional<SoundPart> objection(const BarredRequest &request) const;

    // Returns how long the request remains barred from all targets.
    Duration barredFor(const RequestIdentity &request) const;

    // Returns how long the request remains barred from targets with this software. A part that
    // crashes other software is not barred where it is known to run well.
    Duration barredAt(const RequestIdentity &request, std::string_view software) const;

    // Returns whether the request or part with this digest is barred.
    bool isBarred(std::string_view digest) const;
    std::vector<BarredRequest> barred() const;

    // Whether the request has a part that is not known to run well with this software.
    bool hasUnknownPart(const RequestIdentity &request, std::string_view software) const;

    // Returns how long the request should wait because one of its parts stood at several ends and
    // the verdict is due.
    Duration suspectedFor(const RequestIdentity &request, std::string_view software) const;

    // Whether some request or part may be barred, and whether a verdict on some end is due.
    bool hasBars() const { return !this->bars.empty(); }
    bool awaitsVerdict() const;

    // Returns true if no request is suspected or barred, so that requests need not be checked.
    bool isIdle() const { return this->ends.empty() && this->bars.empty(); }

private:
    struct Bar
    {
        TimePoint until;
        std::size_t ends = 0;
        std::string software;
        TimePoint lastEnd;
    };

    RecordedEnd &findOrAddEnd(const TargetEnd &report, TimePoint endedAt);
    void addSuspect(RecordedEnd &end, const Suspect &suspect);
    std::vector<SuspectPart> unresolvedParts(std::span<const SuspectPart> parts,
                                             std::string_view software, TimePoint sentAt) const;
    bool clearPartAt(std::string_view part, std::string_view software, TimePoint beganAt);
    bool liftBar(std::string_view part, std::string_view software, TimePoint beganAt);
    void removeExpired();
    void scheduleEvaluation();
    bool isSettled(const RecordedEnd &end) const;
    EvidenceContext evidenceContext() const;
    std::optional<BarredRequest> nextVerdict() const;
    void markExplained(std::string_view digest);
    bool applies(const Bar &bar, std::string_view part, std::string_view software) const;
    Duration remaining(const Bar &bar) const;

    const Clock &clock;
    CrashQuarantineOptions options;
    SoundParts soundParts;
    TimePoint evaluateAt = TimePoint::max();      // when the next end has settled
    std::deque<RecordedEnd> ends;                 // ordered by time
    std::map<std::string, Bar, std::less<>> bars; // including those on probation
};

} // namespace jaytrack

#endif
