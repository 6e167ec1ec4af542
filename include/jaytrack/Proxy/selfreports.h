// What targets tell of themselves in their answers, beside the answer to what they were asked.
//
// Load that it answers: hours in which the store is away, slow or serves others. Its entries say
// "ready" of targets that have long said otherwise to everybody who asked them something. The
// target's own word is the newest there is, so each answer is read for it, whatever it answers.
#ifndef JAYTRACK_PROXY_SELFREPORTS_H
#define JAYTRACK_PROXY_SELFREPORTS_H

#include "jaytrack/Limits/limitgate.h"
#include "jaytrack/Net/httpparser.h"
#include "jaytrack/Policy/targetpauses.h"
#include "jaytrack/Routing/coldtargets.h"
#include "jaytrack/Routing/dialect.h"

namespace jaytrack {

// Tells the other instances what a target said of itself, since each may get its next answer much
// later.
class SelfReportNotices
{
public:
    virtual ~SelfReportNotices() = default;
    virtual void announceLeaving(std::string_view target) = 0;
    virtual void announceCold(std::string_view target, Duration left) = 0;
};

class SelfReports
{
public:
    SelfReports(const Dialect &words, TargetDirectory &targets, TargetPauses &rests,
                ColdTargets &coldOnes, LimitGate &gate, SelfReportNotices &others)
        : dialect(words)
        , directory(targets)
        , pauses(rests)
        , cold(coldOnes)
        , limits(gate)
        , notices(others)
    {
    }

    // The head of an answer of this life of a target to a question of this instance's own. May lead
    // to calls of onTargetLeaving().
    void hear(std::string_view target, const MessageHead &answer);

    // The same of an answer to a caller's request, which was sent so long ago.
    void hearServed(std::string_view target, const MessageHead &answer, Duration sentAgo);

    // Whether the target wants nothing of this instance now.
    bool wantsRest(std::string_view target) const { return this->pauses.isPaused(target); }

private:
    void hearFacts(std::string_view target, const AnswerFacts &said);

    const Dialect &dialect;
    TargetDirectory &directory;
    TargetPauses &pauses;
    ColdTargets &cold;
    LimitGate &limits;
    SelfReportNotices &notices;
};

} // namespace jaytrack

#endif
