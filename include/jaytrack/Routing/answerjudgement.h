// Decides what the answer of a target means for the request that it answers.
#ifndef JAYTRACK_ROUTING_ANSWERJUDGEMENT_H
#define JAYTRACK_ROUTING_ANSWERJUDGEMENT_H

#include "jaytrack/Routing/dialect.h"

#include <string_view>

namespace jaytrack {

// Whether the answer shows that it is the target's to the attempt with this id: it names the
// attempt, or it names none and states that the target did not run the request.
bool isFromTarget(const AnswerFacts &answer, std::string_view attemptId);

enum class AnswerMeaning {
    Served,  // the target ran the request and succeeded
    Failed,  // the target ran the request and failed
    NotRun,  // the target guarantees that it did not run the request
    Unusable // not an answer of the target to this request, which may have run
};

struct AnswerJudgement
{
    AnswerMeaning meaning = AnswerMeaning::Unusable;
    std::string_view reason; // why the answer is unusable; empty otherwise
};

// Judges a whole answer, or its head, to the attempt with this id, which may be empty. A faulty
// target, or something else at its address, may send an HTTP message that looks like an answer.
AnswerJudgement judgeAnswer(int status, const AnswerFacts &answer, std::string_view attemptId);

} // namespace jaytrack

#endif
