#include "jaytrack/Proxy/selfreports.h"

#include "jaytrack/Support/log.h"

namespace jaytrack {

void SelfReports::hear(std::string_view target, const MessageHead &answer)
{
    const AnswerFacts said = this->dialect.describeAnswer(answer.status, answer.headers);
    if (said.leaveAloneFor) {
        this->pauses.leaveAlone(target, *said.leaveAloneFor);
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
    if (said.leaving && this->directory.markLeaving(target, "told_in_answer"))
        this->notices.announceLeaving(target);
}

} // namespace jaytrack
