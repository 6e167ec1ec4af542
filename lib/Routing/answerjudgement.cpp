#include "jaytrack/Routing/answerjudgement.h"

#include <algorithm>
#include <array>

namespace jaytrack {

namespace {

constexpr int firstSuccessStatus = 200;
constexpr int afterSuccessStatus = 300;

AnswerJudgement unusable(std::string_view reason)
{
    return {AnswerMeaning::Unusable, reason};
}

// The statuses that tell a caller that its request has not run and will not.
bool isPromise(int status)
{
    static constexpr std::array<int, 4> promises = {408, 421, 429, 503};
    return std::find(promises.begin(), promises.end(), status) != promises.end();
}

AnswerJudgement judgeSuccess(const AnswerFacts &answer)
{
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
    if (!isFromTarget(answer, attemptId))
        return unusable(answer.attemptId.empty() ? "answer_without_id"
                                                 : "answer_to_another_request");
    if (answer.isEncoded)
        return unusable("answer_encoded");
    if (status >= firstSuccessStatus && status < afterSuccessStatus)
        return judgeSuccess(answer);
    if (answer.notExecuted)
        return {AnswerMeaning::NotRun, {}};
    if (isPromise(status))
        return unusable("promise_without_statement");
    return {AnswerMeaning::Failed, {}};
}

} // namespace jaytrack
