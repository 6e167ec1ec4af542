// Targets that end their answers to an entry instance in the middle.
#include "cutanswers.h"

#include "jaytrack/Net/targetcall.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <algorithm>

using namespace jaytrack;
using namespace jaytrack::testing;

namespace {

class Received final : public TargetCallListener
{
public:
    void onAnswerHead(MessageHead head) override { this->status = head.status; }
    void onAnswerBody(std::string_view) override {}
    void onCallEnd(const TargetCallEnd &callEnd) override { this->end = callEnd; }

    int status = 0;
    TargetCallEnd end;
};

std::shared_ptr<Received> receive(const CuttingServer &server, const char *method)
{
    asio::io_context loop;
    TargetRequest request;
    request.endpoint = {asio::ip::make_address("127.0.0.1"), server.port()};
    request.method = method;
    request.target = "/";
    const auto received = std::make_shared<Received>();
    const auto call = TargetCall::start(loop, std::move(request), received);
    loop.run();
    return received;
}

} // namespace

ParameterizedTestParameters(targetCall, cutAnswersAreNotWhole)
{
    static CutAnswer cases[std::size(cutAnswers)];
    std::copy(std::begin(cutAnswers), std::end(cutAnswers), std::begin(cases));
    return cr_make_param_array(CutAnswer, cases, std::size(cases));
}

// Guards against an answer that looks whole although its target closed the connection before its
// end.
ParameterizedTest(CutAnswer *param, targetCall, cutAnswersAreNotWhole)
{
    const std::string text(param->text);
    const std::size_t headEnd = text.rfind("\r\n\r\n", text.find("hello")) + 4;
    for (const bool resets : {false, true}) {
        for (std::size_t sent = 0; sent < text.size(); ++sent) {
            const CuttingServer server(text.substr(0, sent), resets);
            const auto received = receive(server, param->method);
            const bool mayBeWhole = !isToldFromWhole(*param, sent) && !resets;
            cr_expect(!received->end.whole || mayBeWhole, "%s: whole after %zu bytes", param->name,
                      sent);
            cr_expect(received->end.bytesSent, "%s: %zu bytes", param->name, sent);
            cr_expect(sent >= headEnd || received->status == 0, "%s: status %d after %zu bytes",
                      param->name, received->status, sent);
        }
    }
    const CuttingServer server(text, false);
    const auto received = receive(server, param->method);
    cr_expect(received->end.whole, "%s", param->name);
    cr_expect_eq(received->status, param->status, "%s", param->name);
}
