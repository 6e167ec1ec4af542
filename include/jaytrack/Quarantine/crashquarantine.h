// Which requests end the targets that run them, and are therefore given to none.
//
// Load that it answers: one request that its caller sends again and again, and under which each
// target ends with some dozen others that it works on. Judging targets does not help, since each is
// sound until it meets the request; what has to be kept in mind is the request. When a target ends,
// every request to which it had not answered yet is suspected. One that stands at three ends with
// no other explanation is barred everywhere; whatever merely stood beside it is cleared.
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
    // Ends of targets that bar a request which stood alone at one of them. Fewer may be chance: a
    // request whose target ends is given to another one, which may be ending too.
    std::size_t endsToBar = 3;

    // Ends that bar a request which never stood alone. One that waits beside the deadly one is lost
    // with it and sent to the next target by the same rules, so it may stand at some of the same
    // ends; a caller's attempts are over before they are this many.
    std::size_t endsToBarInDoubt = 5;

    // What other instances know of an end arrives within this time; a datagram takes milliseconds
    // and is sent a second time after half of it.
    Duration settleTime = std::chrono::milliseconds(300);

    // Targets that end together have a common cause, such as a rack's power, so they count once for
    // a request that stood at several of them; unless it was sent to one after another had ended.
    Duration apart = std::chrono::milliseconds(100);

    // How much the delays of two notices may differ: a request that seems to have been sent so long
    // before another target ended may have been sent on because of that.
    Duration noticeJitter = std::chrono::milliseconds(20);

    // One end is told by several instances within this time of each other; a later one is another
    // life of the target.
    Duration sameEnd = std::chrono::seconds(1);

    // What lies further back than this has nothing to do with each other.
    Duration evidenceLife = std::chrono::minutes(10);

    // How long a request stays barred. After that it may run again: targets may have been mended
    // meanwhile. If one ends under it, that one end bars it again.
    Duration barTime = std::chrono::minutes(30);
    Duration probation = std::chrono::hours(24);

    // Bounds of memory: some 40 bytes a suspect.
    std::size_t mostEnds = 128;
    std::size_t mostSuspects = 512;
    std::size_t mostBars = 256;
};

// A request that had got no answer when its target ended.
struct Suspect
{
    std::string digest;
    Duration held{0}; // how long it had been at the target
};

// The end of a target, with the requests that it had not answered at all.
struct TargetEnd
{
    std::string target; // names its life
    std::vector<Suspect> suspects;
    Duration ago{0};
};

// A request that no target may be given.
struct BarredRequest
{
    std::string digest;
    Duration left{0};
    std::size_t ends = 0; // of targets under it
};

class CrashQuarantine
{
public:
    explicit CrashQuarantine(const Clock &time, CrashQuarantineOptions given = {})
        : clock(time)
        , options(given)
    {
    }

    // Several instances may tell of one end, each with its own requests.
    void targetEnded(const TargetEnd &end);

    // A target ran the request without harm, which clears it. Returns whether it was suspected, so
    // that others may have to be told.
    bool recordSafeRun(std::string_view digest);

    // Weighs the ends that everybody can have told of by now, if there are new ones. Returns what
    // is barred from now on.
    std::vector<BarredRequest> weigh();

    // Takes over what another instance has barred. Returns whether it is new here.
    bool bar(const BarredRequest &request);

    bool isBarred(std::string_view digest) const;
    Duration barredFor(std::string_view digest) const;
    std::vector<BarredRequest> barred() const;

    // Whether nothing is suspected or barred, so that no request need be looked at.
    bool isIdle() const { return this->ends.empty() && this->bars.empty(); }

private:
    struct End
    {
        std::string target;
        TimePoint endedAt;
        std::map<std::string, TimePoint, std::less<>> suspects; // with the moment of sending
        bool explained = false;                                 // by a request that is barred
    };

    struct Bar
    {
        TimePoint until;
        std::size_t ends = 0;
    };

    // What speaks against a request.
    struct Evidence
    {
        std::size_t ends = 0;
        bool stoodAlone = false; // at one of them
        TimePoint lastEnd;
    };
    using EvidenceByDigest = std::map<std::string_view, Evidence>;

    End &endOf(std::string_view target, TimePoint endedAt);
    void dropOld();
    void planWeighing();
    bool isSettled(const End &end) const;
    EvidenceByDigest collectEvidence() const;
    bool isEnough(std::string_view digest, const Evidence &evidence) const;
    std::string_view mostSuspect(const EvidenceByDigest &all) const;
    void explain(std::string_view digest);

    const Clock &clock;
    CrashQuarantineOptions options;
    TimePoint weighAt = TimePoint::max();         // the next end is settled by then
    std::deque<End> ends;                         // in the order in which they happened
    std::map<std::string, Bar, std::less<>> bars; // kept through the probation
};

} // namespace jaytrack

#endif
