// What the answers of targets mean, by what they bear.
#include "jaytrack/Routing/answerjudgement.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace jaytrack;

namespace {

struct JudgementCase
{
    int status;
    char id[8]; // that the answer names
    bool notExecuted;
    bool bearsDigest;
    bool isEncoded;
    AnswerMeaning meaning;
};

} // namespace

// Guards against a message that is taken for the target's answer to the request, or for its promise
// that the request has not run.
ParameterizedTestParameters(answerJudgement, dependsOnWhatTheAnswerBears)
{
    using enum AnswerMeaning;
    static JudgementCase cases[] = {
            {200, "a1", false, true, false, Served},    {204, "a1", false, true, false, Served},
            {200, "a1", false, false, false, Unusable}, {200, "", false, true, false, Unusable},
            {200, "b2", false, true, false, Unusable},  {200, "a1", false, true, true, Unusable},
            {200, "a1", true, true, false, Unusable},   {500, "a1", false, true, false, Failed},
            {500, "a1", false, false, false, Failed},   {504, "a1", false, true, false, Failed},
            {404, "a1", false, true, false, Failed},    {302, "a1", false, true, false, Failed},
            {500, "b2", false, true, false, Unusable},  {500, "a1", false, true, true, Unusable},
            {503, "a1", true, false, false, NotRun},    {503, "", true, false, false, NotRun},
            {503, "b2", true, false, false, Unusable},  {400, "", true, false, false, NotRun},
            {429, "", true, false, false, NotRun},      {421, "", true, false, false, NotRun},
            {408, "a1", true, true, false, NotRun},     {500, "", false, true, false, Unusable},
            {404, "", false, false, false, Unusable},   {503, "", false, false, false, Unusable},
            {503, "a1", false, true, false, Unusable},  {429, "a1", false, true, false, Unusable},
            {421, "a1", false, true, false, Unusable},  {408, "a1", false, true, false, Unusable},
    };
    return cr_make_param_array(JudgementCase, cases, std::size(cases));
}

ParameterizedTest(JudgementCase *param, answerJudgement, dependsOnWhatTheAnswerBears)
{
    AnswerFacts facts;
    facts.attemptId = param->id;
    facts.notExecuted = param->notExecuted;
    facts.bearsDigest = param->bearsDigest;
    facts.isEncoded = param->isEncoded;
    const AnswerJudgement judged = judgeAnswer(param->status, facts, "a1");
    cr_expect_eq(judged.meaning, param->meaning, "status %d, id '%s'", param->status, param->id);
    cr_expect_eq(judged.reason.empty(), judged.meaning != AnswerMeaning::Unusable);
}
