// Reads the state that targets report about themselves in the headers of their answers.
//
// While the store is unavailable, slow or serving others, its entries still list targets as ready
// that have reported otherwise to everyone who sent them a request. A target's own report is the
// most recent information, so every answer is checked for one, whatever request it answers.
#ifndef JAYTRACK_PROXY_SELFREPORTS_H
#define JAYTRACK_PROXY_SELFREPORTS_H

#include "jaytrack/Limits/brittlegate.h"
#include "jaytrack/Limits/limitgate.h"
#include "jaytrack/Net/httpparser.h"
#include "jaytrack/Policy/targetpauses.h"
#include "jaytrack/Routing/coldtargets.h"
#include "jaytrack/Routing/dialect.h"

namespace jaytrack {

// Announces a target's report to the other instances, since each of them may receive its next
// answer from the target much later.
class SelfReportNotices
{
public:
    virtual ~SelfReportNotices() = default;
    virtual void announceLeaving(std::string_view target) = 0;
    virtual void announceCold(std::string_view target, Duration left) = 0;
};

// Applies the reports in the answers of targets to the directory, pauses, cold targets and limits.
class SelfReports
{
public:
    SelfReports(const Dialect &platform, TargetDirectory &targets, TargetPauses &targetPauses,
                ColdTargets &coldTargets, LimitGate &gate, BrittleGate &refusals,
                SelfReportNotices &announcer)
        : dialect(platform)
        , directory(targets)
        , pauses(targetPauses)
        , cold(coldTargets)
        , limits(gate)
        , brittle(refusals)
        , notices(announcer)
    {
    }

    // Records what the head of any answer tells of its target, unless it is not the target's. The
    // answer must come from the current incarnation of the target. May cause calls of
    // onTargetLeaving().
    void recordAnswer(std::string_view target, std::string_view attemptId,
                      const MessageHead &answer);

    // Records what only a usable answer to a caller's request tells, which was sent sentAgo ago.
    void recordServedAnswer(std::string_view target, const MessageHead &answer, Duration sentAgo);

    // Whether the target has asked for a pause that has not ended yet.
    bool isTargetPaused(std::string_view target) const { return this->pauses.isPaused(target); }

private:
    void recordFacts(std::string_view target, const AnswerFacts &facts);
    void recordRefusal(std::string_view target, const MessageHead &answer,
                       const AnswerFacts &facts);

    const Dialect &dialect;
    TargetDirectory &directory;
    TargetPauses &pauses;
    ColdTargets &cold;
    LimitGate &limits;
    BrittleGate &brittle;
    SelfReportNotices &notices;
};

} // namespace jaytrack

#endif
