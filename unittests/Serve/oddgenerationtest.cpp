// Engines that give their generations names which are no plain words.
#include "platformstandin.h"
#include "site.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <array>

using namespace jaytrack;
using namespace jaytrack::test;
using jaytrack::testing::Answer;
using jaytrack::testing::chunkStep;
using jaytrack::testing::ScriptedServer;
using jaytrack::testing::SeenRequest;
using jaytrack::testing::wholeAnswer;

namespace {

struct NameCase
{
    std::array<char, 24> name;
    std::array<char, 64> path; // at which its events are read
};

const std::string eventsQuery = "/events?from=1";

bool isResume(const SeenRequest &request)
{
    return request.head.target.find(eventsQuery) != std::string::npos;
}

std::string token(int index)
{
    return "id: " + std::to_string(index) +
           "\ndata: {\"choices\":[{\"delta\":{\"content\":\"g:" + std::to_string(index) +
           " \"}}]}\n\n";
}

std::string headWith(const std::string &name)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
           "Engine-Generation: " +
           name + "\r\n\r\n";
}

// Ends the first answer after one token and answers the resumed stream whole.
Answer answerOf(const SeenRequest &request, const std::string &name)
{
    if (request.head.target == "/load")
        return wholeAnswer(200, "", "{}");
    Answer answer;
    answer.emplace_back().bytes = headWith(name);
    if (!isResume(request)) {
        answer.push_back(chunkStep(token(0)));
        answer.emplace_back().kind = jaytrack::testing::AnswerStep::Kind::Close;
        return answer;
    }
    answer.push_back(chunkStep(token(1) + "data: [DONE]\n\n"));
    answer.emplace_back().bytes = "0\r\n\r\n";
    return answer;
}

// A site whose only engine names its generations so.
class NamedSite
{
public:
    explicit NamedSite(const std::string &name)
        : engine([name](const SeenRequest &request) { return answerOf(request, name); })
        , site(emptyPlan())
    {
        Document document = this->site.document();
        Engine listed;
        listed.name = "engine";
        listed.dataCentre = "falun";
        listed.address = this->engine.address();
        listed.model = "pattern";
        listed.can.resume = true;
        document.engines.push_back(listed);
        this->site.publish(document);
        this->site.addInstance(this->site.configUrl());
    }

    ScriptedServer engine;
    Site site;

private:
    static SitePlan emptyPlan()
    {
        SitePlan plan;
        plan.engines = 0;
        plan.services = 0;
        plan.instances = 0;
        plan.repeatable = false;
        return plan;
    }
};

} // namespace

ParameterizedTestParameters(oddGeneration, isReadAtItsOwnPath)
{
    static std::array<NameCase, 8> cases = {{
            {{"g-1_2.3~4"}, {"g-1_2.3~4"}},
            {{"a b"}, {"a%20b"}},
            {{"a?from=7"}, {"a%3Ffrom%3D7"}},
            {{"a#b"}, {"a%23b"}},
            {{"../../load"}, {"..%2F..%2Fload"}},
            {{"a%2Fb"}, {"a%252Fb"}},
            {{"caf\xc3\xa9"}, {"caf%C3%A9"}},
            {{"\xff"}, {"%FF"}},
    }};
    return cr_make_param_array(NameCase, cases.data(), cases.size());
}

// Guards against a name that changes the path, or ends the request, at which its stream goes on.
ParameterizedTest(NameCase *param, oddGeneration, isReadAtItsOwnPath)
{
    NamedSite named(param->name.data());
    StreamReader reader(named.site, named.site.base() + "/v1/chat/completions", "",
                        Site::prompt(2, true));
    cr_assert(eventually([&reader] { return reader.ended(); }));
    cr_expect(reader.whole(), "%s: %s", param->name.data(), reader.text().c_str());
    const std::string expected = "/v1/generations/" + std::string(param->path.data()) + eventsQuery;
    bool isSeen = false;
    for (const SeenRequest &request : named.engine.seen())
        isSeen |= request.head.target == expected;
    cr_expect(isSeen, "%s", expected.c_str());
}

// Guards against a name that makes each event of its stream tens of kilobytes long, and one that
// names another path.
Test(oddGeneration, unusableNamesBreakTheProtocol)
{
    for (const std::string &name :
         {std::string(20'000, 'x'), std::string(".."), std::string(".")}) {
        NamedSite named(name);
        const FetchedAnswer answer =
                named.site.request("POST", "/v1/chat/completions", Site::prompt(2, true));
        cr_expect_eq(answer.end.status, 502, "%d", answer.end.status);
        cr_expect_eq(findHeader(answer.headers, "Jaytrack-Code"), "304");
    }
}
