// A sound target that sends nothing for a second and goes on.
#include "entryfixture.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace jaytrack;
using namespace jaytrack::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds silence{1300};
const std::string ownHeaders = "X-Attempt-Id: a1\r\nX-Server-Stamp: s\r\n";

// The target is silent before its answer, or in the middle of it.
Answer silentAnswer(const SeenRequest &request, bool stream)
{
    if (isReport(request))
        return {{AnswerStep::Kind::Send, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
                 silence}};
    if (!stream) {
        Answer late = wholeAnswer(200, ownHeaders, "good");
        late.front().after = silence;
        return late;
    }
    return {{AnswerStep::Kind::Send, streamHead(ownHeaders), {}},
            chunkStep(eventText(1, "before")),
            chunkStep(eventText(2, "after"), silence),
            {AnswerStep::Kind::Send, "0\r\n\r\n", {}}};
}

struct SilentCase
{
    char type[8];
    bool resumable;
};

} // namespace

// Guards against a request that runs twice, or an answer that is broken off, because a target was
// silent for a second.
ParameterizedTestParameters(silentTarget, isWaitedFor)
{
    static SilentCase cases[] = {{"unsafe", false}, {"stream", false}, {"stream", true}};
    return cr_make_param_array(SilentCase, cases, std::size(cases));
}

ParameterizedTest(SilentCase *one, silentTarget, isWaitedFor)
{
    RouteSpec route;
    route.type = one->type;
    route.resumable = one->resumable;
    route.attempts = 3;
    const bool stream = std::string(one->type) == "stream";
    const auto script = [stream](const SeenRequest &request) {
        return silentAnswer(request, stream);
    };
    const ScriptedServer first(script);
    const ScriptedServer second(script);
    EntryFixture entry({route});
    entry.list("i-1", first);
    entry.list("i-2", second);
    const std::string answer = callOnce(entry.port(), requestText({})).bytes;
    cr_expect(answer.starts_with("HTTP/1.1 200"), "%s", answer.c_str());
    cr_expect(answer.find(stream ? "after" : "good") != std::string::npos, "%s", answer.c_str());
    cr_expect(workSeen(first) + workSeen(second) == 1, "it ran twice");
}

// Guards against an engine that gets no requests any more because it did not answer one load probe
// in time.
Test(silentTarget, isUsedAgain)
{
    RouteSpec route;
    route.type = "stream";
    const ScriptedServer engine(
            [](const SeenRequest &request) { return silentAnswer(request, true); });
    EntryFixture entry({route});
    entry.list("i-1", engine);
    std::this_thread::sleep_for(2500ms);
    const std::string answer = callOnce(entry.port(), requestText({})).bytes;
    cr_expect(answer.starts_with("HTTP/1.1 200"), "%s", answer.c_str());
}
