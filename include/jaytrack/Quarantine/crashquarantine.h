// Identifies requests that crash the targets that run them, and bars them from all targets.
//
// One request that its caller sends repeatedly can crash one target after the other, each with some
// dozen other requests that it works on. Rating targets does not help, because each target is
// healthy until it gets the request, so the records are kept per request. When a target ends, every
// request that it had not answered yet is a suspect. A request that was a suspect at three ends
// with no other explanation is barred everywhere. Requests that were only present at the ends of a
// barred request are cleared.
#ifndef JAYTRACK_QUARANTINE_CRASHQUARANTINE_H
#define JAYTRACK_QUARANTINE_CRASHQUARANTINE_H

#include "jaytrack/Support/clock.h"

#include <cstddef>
#include <deque>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jaytrack {

struct CrashQuarantineOptions
{
    // Number of ends that bar a request which was the only suspect at one of them. Fewer may be a
    // coincidence: a request whose target ends is sent to another one, which may be ending too.
    std::size_t endsToBar = 3;

    // Number of ends that bar a request which was never the only suspect. A request that waits at
    // the same target as the crashing one is lost with it and sent to the next target by the same
    // rules, so it may be present at some of the same ends. A caller's attempts are used up before
    // it reaches this number.
    std::size_t endsToBarIfNeverAlone = 5;

    // Reports of other instances about an end arrive within this time: a datagram takes
    // milliseconds and is repeated after half of it.
    Duration settleTime = std::chrono::milliseconds(300);

    // Targets that end within this time of each other have a common cause, such as a rack's power
    // supply. They count as one end for a request that was at several of them, unless it was sent
    // to one of them after another had ended.
    Duration commonCauseWindow = std::chrono::milliseconds(100);

    // Maximum difference between the delays of two reports. A request that appears to have been
    // sent up to this long before another target ended may have been retried because of that end.
    Duration noticeJitter = std::chrono::milliseconds(20);

    // Reports of one target's end that differ by less than this time are about the same end. A
    // later one is about another incarnation of the target.
    Duration sameEndWindow = std::chrono::seconds(1);

    // Ends that are older than this are ignored, because they are unlikely to be related.
    Duration evidenceLifetime = std::chrono::minutes(10);

    // How long a request stays barred. After that it may run again, because the targets may have
    // been fixed. If a target ends under it during the probation, that single end bars it again.
    Duration barDuration = std::chrono::minutes(30);
    Duration probation = std::chrono::hours(24);

    // Memory bounds; a suspect takes about 40 bytes.
    std::size_t maxEnds = 128;
    std::size_t maxSuspects = 512;
    std::size_t maxBars = 256;
};

// A request that its target had not answered when it ended.
struct Suspect
{
    std::string digest;
    Duration timeAtTarget{0}; // between sending and the end
};

// The end of a target with the requests to which it had sent no part of an answer.
struct TargetEnd
{
    std::string target; // identifies one incarnation of the target
    std::vector<Suspect> suspects;
    Duration ago{0};
};

struct BarredRequest
{
    std::string digest;
    Duration remaining{0};
    std::size_t ends = 0; // ends of targets that it caused
};

class CrashQuarantine
{
public:
    explicit CrashQuarantine(const Clock &time, CrashQuarantineOptions tuning = {})
        : clock(time)
        , options(tuning)
    {
    }

    // Records an end. Several instances may report the same end, each with its own requests.
    void recordEnd(const TargetEnd &end);

    // Clears a request that a target ran without ending. Returns true if it was a suspect, so that
    // other instances may have to be notified.
    bool recordSafeRun(std::string_view digest);

    // Evaluates the ends whose reports from all instances have arrived by now, if there are new
    // ones. Returns the requests that are barred as a result.
    std::vector<BarredRequest> evaluate();

    // Adds a request that another instance has barred. Returns false if it was barred already.
    bool bar(const BarredRequest &request);

    bool isBarred(std::string_view digest) const;
    Duration barredFor(std::string_view digest) const;
    std::vector<BarredRequest> barred() const;

    // Returns true if no request is suspected or barred, so that requests need not be checked.
    bool isIdle() const { return this->ends.empty() && this->bars.empty(); }

private:
    struct End
    {
        std::string target;
        TimePoint endedAt;
        std::map<std::string, TimePoint, std::less<>> suspects; // with the time of sending
        bool explained = false;                                 // by a barred request
    };

    struct Bar
    {
        TimePoint until;
        std::size_t ends = 0;
    };

    // The evidence against one request.
    struct Evidence
    {
        std::size_t ends = 0;
        bool wasOnlySuspect = false; // at one of the ends
        TimePoint lastEnd;
    };
    using EvidenceByDigest = std::map<std::string_view, Evidence>;

    End &findOrAddEnd(std::string_view target, TimePoint endedAt);
    void removeExpired();
    void scheduleEvaluation();
    bool isSettled(const End &end) const;
    EvidenceByDigest collectEvidence() const;
    bool isSufficient(std::string_view digest, const Evidence &evidence) const;
    std::string_view primarySuspect(const EvidenceByDigest &all) const;
    void markExplained(std::string_view digest);

    const Clock &clock;
    CrashQuarantineOptions options;
    TimePoint evaluateAt = TimePoint::max();      // when the next end has settled
    std::deque<End> ends;                         // ordered by time
    std::map<std::string, Bar, std::less<>> bars; // including those on probation
};

} // namespace jaytrack

#endif
