#include "jaytrack/Proxy/selfreports.h"

#include "jaytrack/Routing/answerjudgement.h"
#include "jaytrack/Support/log.h"

namespace jaytrack {

namespace {

constexpr int firstGoodStatus = 200;
constexpr int afterGoodStatus = 300;
constexpr int serverErrorStatus = 500;

} // namespace

void SelfReports::recordAnswer(std::string_view target, std::string_view attemptId,
                               const MessageHead &answer)
{
    const AnswerFacts facts = this->dialect.describeAnswer(answer.status, answer.headers);
    if (attemptId.empty() || isFromTarget(facts, attemptId))
        this->recordFacts(target, facts);
}

// A failure answer or the answer to a load probe may omit the limit. Only the answer to a request
// that was served shows that the target no longer needs one.
void SelfReports::recordServedAnswer(std::string_view target, const MessageHead &answer,
                                     Duration sentAgo)
{
    const AnswerFacts facts = this->dialect.describeAnswer(answer.status, answer.headers);
    const bool served = answer.status >= firstGoodStatus && answer.status < afterGoodStatus;
    if (served && facts.reportsNoLimit)
        this->limits.recordNoLimit(target, sentAgo);
    if (served && facts.reportsNotBrittle)
        this->brittle.recordSound(target, sentAgo);
    this->recordRefusal(target, answer, facts);
}

// A target that refuses because it leaves or is cold does not do so for want of room.
void SelfReports::recordRefusal(std::string_view target, const MessageHead &answer,
                                const AnswerFacts &facts)
{
    const TargetEntry *listed = this->directory.find(target);
    const bool isFull = facts.notExecuted && !facts.misdirected && !facts.leaving &&
                        !facts.coldFor && answer.status >= serverErrorStatus;
    if (isFull && listed != nullptr)
        this->brittle.recordRefusal(target, listed->service);
}

void SelfReports::recordFacts(std::string_view target, const AnswerFacts &facts)
{
    if (facts.backOffFor) {
        this->pauses.pause(target, *facts.backOffFor);
        logEvent(Severity::Info, "target_wants_rest",
                 {{"target", target},
                  {"for_ms", static_cast<std::int64_t>(facts.backOffFor->count())}});
    }
    if (facts.coldFor && this->cold.recordCold(target, *facts.coldFor)) {
        logEvent(Severity::Info, "target_cold",
                 {{"target", target},
                  {"for_ms", static_cast<std::int64_t>(facts.coldFor->count())},
                  {"source", "answer"}});
        this->notices.announceCold(target, *facts.coldFor);
    }
    if (facts.toleratedRefusals)
        this->brittle.recordBrittle(target, *facts.toleratedRefusals);
    if (facts.limitPerSecond)
        this->limits.recordLimit(target, *facts.limitPerSecond);
    if (facts.leaving && this->directory.markLeaving(target, "told_in_answer"))
        this->notices.announceLeaving(target);
}

} // namespace jaytrack
