#include "jaytrack/Proxy/selfreports.h"

#include "jaytrack/Support/log.h"

namespace jaytrack {

namespace {

constexpr int firstGoodStatus = 200;
constexpr int afterGoodStatus = 300;

} // namespace

void SelfReports::hear(std::string_view target, const MessageHead &answer)
{
    this->hearFacts(target, this->dialect.describeAnswer(answer.status, answer.headers));
}

// A failure may leave a limit out, as may the answer to a question about load; only a served
// request tells that the target is no longer in need.
void SelfReports::hearServed(std::string_view target, const MessageHead &answer, Duration sentAgo)
{
    const AnswerFacts said = this->dialect.describeAnswer(answer.status, answer.headers);
    this->hearFacts(target, said);
    const bool served = answer.status >= firstGoodStatus && answer.status < afterGoodStatus;
    if (served && said.namesNoLimit)
        this->limits.namedNone(target, sentAgo);
}

void SelfReports::hearFacts(std::string_view target, const AnswerFacts &said)
{
    if (said.leaveAloneFor) {
        this->pauses.pause(target, *said.leaveAloneFor);
        logEvent(Severity::Info, "target_wants_rest",
                 {{"target", target},
                  {"for_ms", static_cast<std::int64_t>(said.leaveAloneFor->count())}});
    }
    if (said.coldFor && this->cold.heard(target, *said.coldFor)) {
        logEvent(Severity::Info, "target_cold",
                 {{"target", target},
                  {"for_ms", static_cast<std::int64_t>(said.coldFor->count())},
                  {"source", "answer"}});
        this->notices.announceCold(target, *said.coldFor);
    }
    if (said.limitPerSecond)
        this->limits.named(target, *said.limitPerSecond);
    if (said.leaving && this->directory.markLeaving(target, "told_in_answer"))
        this->notices.announceLeaving(target);
}

} // namespace jaytrack
