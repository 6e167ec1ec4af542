// Targets in trouble that run a request and send an HTTP message that is not their answer to it.
#include "cutsite.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <atomic>

using namespace jaytrack;
using namespace jaytrack::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view page = "<html><body>A page of a web server</body></html>\n";
constexpr std::string_view idHeader = "X-Attempt-Id: a1\r\n";
constexpr std::string_view digestHeader = "X-Server-Stamp: s\r\n";

struct SpoiltCase
{
    char name[40];
    int status;       // of the first target that is asked; the other one is good
    char headers[96]; // of its message
};

// The statuses that tell a caller that its request has not run.
bool isPromise(const std::string &answer)
{
    for (const char *status : {"408", "421", "429", "503"}) {
        if (answer.starts_with(std::string("HTTP/1.1 ") + status))
            return true;
    }
    return false;
}

Answer goodAnswerTo(const std::string &type)
{
    const std::string own = std::string(idHeader) + std::string(digestHeader);
    if (type != "stream")
        return wholeAnswer(200, own, "good");
    return {{AnswerStep::Kind::Send, streamHead(own), {}},
            chunkStep(eventText(1, "good")),
            {AnswerStep::Kind::Send, "0\r\n\r\n", {}}};
}

// Targets of which the first one that is asked sends the message of the case.
struct SpoiltTargets
{
    ScriptedServer::Script script()
    {
        return [this](const SeenRequest &request) -> Answer {
            if (isReport(request))
                return wholeAnswer(200, "", "{}");
            if (this->asked++ > 0)
                return goodAnswerTo(this->type);
            return wholeAnswer(this->spoilt.status, this->spoilt.headers, std::string(page));
        };
    }

    SpoiltCase spoilt;
    std::string type;
    std::atomic<int> asked{0};
};

RouteSpec routeOf(const std::string &type)
{
    RouteSpec route;
    route.type = type;
    route.attempts = 2;
    return route;
}

// Neither the page nor a promise may reach the caller, and a request that may not be repeated runs
// once.
void expectTruth(const SpoiltCase &spoilt, const std::string &type, const std::string &answer,
                 int asked)
{
    cr_expect(answer.find("A page") == std::string::npos, "%s, %s: %s", spoilt.name, type.c_str(),
              answer.c_str());
    cr_expect_not(isPromise(answer), "%s, %s: %s", spoilt.name, type.c_str(), answer.c_str());
    const bool isRepeated = type == "safe";
    cr_expect(answer.starts_with(isRepeated ? "HTTP/1.1 200" : "HTTP/1.1 502"), "%s, %s: %s",
              spoilt.name, type.c_str(), answer.c_str());
    cr_expect_eq(asked, isRepeated ? 2 : 1, "%s, %s: asked %d times", spoilt.name, type.c_str(),
                 asked);
}

void expectTruthDirectly(const SpoiltCase &spoilt)
{
    for (const std::string type : {"unsafe", "safe", "stream"}) {
        SpoiltTargets targets{spoilt, type};
        ScriptedServer one(targets.script());
        ScriptedServer two(targets.script());
        EntryFixture entry({routeOf(type)});
        entry.list("t1", one);
        entry.list("t2", two);
        const std::string answer = callOnce(entry.port(), requestText({})).bytes;
        expectTruth(spoilt, type, answer, targets.asked);
    }
}

void expectTruthThroughRelay(const SpoiltCase &spoilt)
{
    for (const std::string type : {"unsafe", "safe", "stream"}) {
        SpoiltTargets targets{spoilt, type};
        const CutSite site(routeOf(type), targets.script(), LinkLoss::Refused);
        const std::string answer = callOnce(site.cut->port(), requestText({})).bytes;
        expectTruth(spoilt, type, answer, targets.asked);
    }
}

} // namespace

// Guards against a success that is not the target's whole answer to the request.
ParameterizedTestParameters(spoiltAnswer, isNoSuccess)
{
    static SpoiltCase cases[] = {
            {"page", 200, "Content-Type: text/html\r\n"},
            {"without id", 200, "X-Server-Stamp: s\r\n"},
            {"without digest", 200, "X-Attempt-Id: a1\r\n"},
            {"empty digest", 200, "X-Attempt-Id: a1\r\nX-Server-Stamp: \r\n"},
            {"to another request", 200, "X-Attempt-Id: b2\r\nX-Server-Stamp: s\r\n"},
            {"encoded", 200, "X-Attempt-Id: a1\r\nX-Server-Stamp: s\r\nContent-Encoding: gzip\r\n"},
            {"another success", 201, "Content-Type: text/html\r\n"},
            {"says that it did not run", 200,
             "X-Attempt-Id: a1\r\nX-Server-Stamp: s\r\nX-Not-Executed: 1\r\n"},
    };
    return cr_make_param_array(SpoiltCase, cases, std::size(cases));
}

ParameterizedTest(SpoiltCase *param, spoiltAnswer, isNoSuccess)
{
    expectTruthDirectly(*param);
}

// The same where another instance calls the target.
ParameterizedTestParameters(spoiltAnswer, isNoSuccessThroughARelay)
{
    static SpoiltCase cases[] = {
            {"page", 200, "Content-Type: text/html\r\n"},
            {"without digest", 200, "X-Attempt-Id: a1\r\n"},
    };
    return cr_make_param_array(SpoiltCase, cases, std::size(cases));
}

ParameterizedTest(SpoiltCase *param, spoiltAnswer, isNoSuccessThroughARelay)
{
    expectTruthThroughRelay(*param);
}

// Guards against a caller that is told that its request has not run, on the word of a message that
// does not say so, and against the request being run again on that word.
ParameterizedTestParameters(spoiltAnswer, isNoPromise)
{
    static SpoiltCase cases[] = {
            {"unavailable", 503, "Content-Type: text/html\r\n"},
            {"too many requests", 429, "Content-Type: text/html\r\n"},
            {"timeout", 408, "Content-Type: text/html\r\n"},
            {"misdirected", 421, "Content-Type: text/html\r\n"},
            {"unavailable, of the target", 503, "X-Attempt-Id: a1\r\nX-Server-Stamp: s\r\n"},
            {"too many requests, of the target", 429, "X-Attempt-Id: a1\r\nX-Server-Stamp: s\r\n"},
            {"timeout, of the target", 408, "X-Attempt-Id: a1\r\nX-Server-Stamp: s\r\n"},
            {"to another request", 503, "X-Attempt-Id: b2\r\nX-Not-Executed: 1\r\n"},
            {"failure", 500, "Content-Type: text/html\r\n"},
            {"not found", 404, "Content-Type: text/html\r\n"},
    };
    return cr_make_param_array(SpoiltCase, cases, std::size(cases));
}

ParameterizedTest(SpoiltCase *param, spoiltAnswer, isNoPromise)
{
    expectTruthDirectly(*param);
}

// The same where another instance calls the target.
ParameterizedTestParameters(spoiltAnswer, isNoPromiseThroughARelay)
{
    static SpoiltCase cases[] = {
            {"unavailable", 503, "Content-Type: text/html\r\n"},
            {"misdirected", 421, "Content-Type: text/html\r\n"},
            {"unavailable, of the target", 503, "X-Attempt-Id: a1\r\nX-Server-Stamp: s\r\n"},
    };
    return cr_make_param_array(SpoiltCase, cases, std::size(cases));
}

ParameterizedTest(SpoiltCase *param, spoiltAnswer, isNoPromiseThroughARelay)
{
    expectTruthThroughRelay(*param);
}

// Guards against a stream that looks whole although its engine sent a page in its place.
Test(spoiltAnswer, pageIsNoEmptyStream)
{
    const std::string own = std::string(idHeader) + std::string(digestHeader);
    for (const std::string &body : {std::string(page), std::string(page) + "\n", std::string()}) {
        ScriptedServer engine([own, body](const SeenRequest &request) {
            return isReport(request) ? wholeAnswer(200, "", "{}") : wholeAnswer(200, own, body);
        });
        EntryFixture entry({routeOf("stream")});
        entry.list("t1", engine);
        const std::string answer = callOnce(entry.port(), requestText({})).bytes;
        cr_expect(answer.starts_with("HTTP/1.1 502"), "%s", answer.c_str());
    }
}

// Guards against a sound target that gets no requests because of a message that is not its own.
Test(spoiltAnswer, tellsNothingOfItsTarget)
{
    std::atomic<int> asked{0};
    ScriptedServer target([&asked](const SeenRequest &request) {
        if (isReport(request))
            return wholeAnswer(200, "", "{}");
        return asked++ == 0 ? wholeAnswer(503, "Retry-After: 60\r\nServer-Leaving: 1\r\n", "")
                            : goodAnswerTo("unsafe");
    });
    EntryFixture entry({routeOf("unsafe")});
    entry.list("t1", target);
    callOnce(entry.port(), requestText({}));
    const std::string answer = callOnce(entry.port(), requestText({})).bytes;
    cr_expect(answer.starts_with("HTTP/1.1 200"), "%s", answer.c_str());
}
