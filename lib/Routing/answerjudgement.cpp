#include "jaytrack/Routing/answerjudgement.h"

namespace jaytrack {

namespace {

constexpr int firstSuccessStatus = 200;
constexpr int afterSuccessStatus = 300;

AnswerJudgement unusable(std::string_view reason)
{
    return {AnswerMeaning::Unusable, reason};
}

AnswerJudgement judgeSuccess(const AnswerFacts &answer, std::string_view attemptId)
{
    if (answer.attemptId != attemptId)
        return unusable("answer_without_id");
    if (answer.notExecuted)
        return unusable("answer_contradicts_itself");
    if (!answer.bearsDigest)
        return unusable("answer_without_digest");
    return {AnswerMeaning::Served, {}};
}

} // namespace

bool isFromTarget(const AnswerFacts &answer, std::string_view attemptId)
{
    return answer.attemptId == attemptId || (answer.attemptId.empty() && answer.notExecuted);
}

AnswerJudgement judgeAnswer(int status, const AnswerFacts &answer, std::string_view attemptId)
{
    if (!answer.attemptId.empty() && answer.attemptId != attemptId)
        return unusable("answer_to_another_request");
    if (answer.isEncoded)
        return unusable("answer_encoded");
    if (status >= firstSuccessStatus && status < afterSuccessStatus)
        return judgeSuccess(answer, attemptId);
    if (answer.notExecuted)
        return {AnswerMeaning::NotRun, {}};
    return {AnswerMeaning::Failed, {}};
}

} // namespace jaytrack
