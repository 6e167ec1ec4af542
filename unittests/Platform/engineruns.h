// Engines that generate streams of numbered events, as the tests of hand-overs use them.
#ifndef JAYTRACK_TESTS_ENGINERUNS_H
#define JAYTRACK_TESTS_ENGINERUNS_H

#include "entryfixture.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

namespace jaytrack::testing {

inline const std::string ownHeaders = "X-Attempt-Id: a1\r\nX-Server-Stamp: s\r\n";

inline bool isRun(const SeenRequest &request)
{
    return request.head.path().starts_with("/jobs/");
}

// Events one after another, each after a pause; with an end or without.
inline Answer events(int first, int last, std::chrono::milliseconds pause, bool whole)
{
    Answer answer = {{AnswerStep::Kind::Send, streamHead(ownHeaders), {}}};
    for (int id = first; id <= last; ++id)
        answer.push_back(chunkStep(eventText(id, "token" + std::to_string(id)), pause));
    if (whole)
        answer.push_back({AnswerStep::Kind::Send, "0\r\n\r\n", {}});
    else
        answer.push_back({AnswerStep::Kind::Hang, "", {}});
    return answer;
}

inline Answer moveAnswer(int status)
{
    return wholeAnswer(status, "Content-Type: application/json\r\n",
                       R"({"KvHandle":"h7","Created":2})");
}

// An engine that makes events slowly and copies its run when told to.
inline ScriptedServer::Script leavingEngine(int moveStatus)
{
    return [moveStatus](const SeenRequest &request) -> Answer {
        if (isRun(request))
            return events(1, 40, std::chrono::milliseconds(20), true);
        if (request.head.path() == "/jaytrack/kv-move")
            return moveAnswer(moveStatus);
        return wholeAnswer(200, "", "{}");
    };
}

// Whether the caller saw events 1 to last, each once, in order, and the end of the stream.
inline void assertWhole(const std::string &bytes, int last)
{
    std::size_t at = 0;
    for (int id = 1; id <= last; ++id) {
        const std::string text = eventText(id, "token" + std::to_string(id));
        const std::size_t found = bytes.find(text, at);
        cr_assert(found != std::string::npos, "event %d is missing: %s", id, bytes.c_str());
        cr_assert(bytes.find(text, found + 1) == std::string::npos, "event %d came twice", id);
        at = found;
    }
    cr_assert(bytes.ends_with("0\r\n\r\n"));
}

inline std::vector<SeenRequest> runsOf(const ScriptedServer &engine)
{
    std::vector<SeenRequest> runs;
    for (const SeenRequest &request : engine.seen()) {
        if (isRun(request))
            runs.push_back(request);
    }
    return runs;
}

} // namespace jaytrack::testing

#endif
