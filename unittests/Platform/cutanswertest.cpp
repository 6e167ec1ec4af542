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

std::shared_ptr<Received> receive(std::uint16_t port, const std::string &method,
                                  std::size_t bodyBytes = 0)
{
    asio::io_context loop;
    TargetRequest request;
    request.endpoint = {asio::ip::make_address("127.0.0.1"), port};
    request.method = method;
    request.target = "/";
    request.body = std::string(bodyBytes, 'u');
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
            const auto received = receive(server.port(), param->method);
            const bool mayBeWhole = !isToldFromWhole(*param, sent) && !resets;
            cr_expect(!received->end.whole || mayBeWhole, "%s: whole after %zu bytes", param->name,
                      sent);
            cr_expect(received->end.bytesSent, "%s: %zu bytes", param->name, sent);
            cr_expect(sent >= headEnd || received->status == 0, "%s: status %d after %zu bytes",
                      param->name, received->status, sent);
        }
    }
    const CuttingServer server(text, false);
    const auto received = receive(server.port(), param->method);
    cr_expect(received->end.whole, "%s", param->name);
    cr_expect_eq(received->status, param->status, "%s", param->name);
}

// Guards against the part of an answer without a length that looks whole, because the reset that
// cut it was reported to the write of the request.
ParameterizedTestParameters(targetCall, answerCutDuringTheUploadIsNotWhole)
{
    static UploadReset cases[std::size(uploadResets)];
    std::copy(std::begin(uploadResets), std::end(uploadResets), std::begin(cases));
    return cr_make_param_array(UploadReset, cases, std::size(cases));
}

ParameterizedTest(UploadReset *param, targetCall, answerCutDuringTheUploadIsNotWhole)
{
    constexpr int repetitions = 8;
    for (int i = 0; i < repetitions; ++i) {
        const CuttingServer server(std::string(unframedPart), true,
                                   std::chrono::milliseconds(param->delayMillis));
        const auto received = receive(server.port(), "POST", longUploadBytes);
        cr_expect_not(received->end.whole, "%s: %s", param->name,
                      std::string(received->end.reason).c_str());
        cr_expect(received->end.lostConnection && received->end.bytesSent, "%s", param->name);
    }
}

// Guards against a whole answer that is lost because the target ended it before it had read the
// request.
Test(targetCall, answerBeforeTheUploadIsWhole)
{
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
    std::thread target([&acceptor] {
        asio::ip::tcp::socket socket = acceptor.accept();
        asio::streambuf request;
        asio::read_until(socket, request, "\r\n\r\n");
        asio::write(socket, asio::buffer(unframedPart));
        socket.shutdown(asio::ip::tcp::socket::shutdown_send);
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        asio::error_code end;
        asio::read(socket, request, end);
    });
    const auto received = receive(acceptor.local_endpoint().port(), "POST", longUploadBytes);
    target.join();
    cr_expect(received->end.whole, "%s", std::string(received->end.reason).c_str());
    cr_expect_eq(received->status, 200);
}

// Guards against a message with a number that is no status, such as 000, that looks like a whole
// answer.
ParameterizedTestParameters(targetCall, foreignStatusIsNoAnswer)
{
    static ForeignStatus cases[std::size(foreignStatuses)];
    std::copy(std::begin(foreignStatuses), std::end(foreignStatuses), std::begin(cases));
    return cr_make_param_array(ForeignStatus, cases, std::size(cases));
}

ParameterizedTest(ForeignStatus *param, targetCall, foreignStatusIsNoAnswer)
{
    const CuttingServer server(textOf(*param), false);
    const auto received = receive(server.port(), "GET");
    cr_expect_not(received->end.whole, "%s%s", param->number, param->rest);
    cr_expect_eq(received->status, 0, "%s%s", param->number, param->rest);
}

// Guards against an answer of which the caller gets a line that is no header, or another body than
// the target meant.
ParameterizedTestParameters(targetCall, foreignLineIsNoHeader)
{
    static ForeignLine cases[std::size(foreignLines)];
    std::copy(std::begin(foreignLines), std::end(foreignLines), std::begin(cases));
    return cr_make_param_array(ForeignLine, cases, std::size(cases));
}

ParameterizedTest(ForeignLine *param, targetCall, foreignLineIsNoHeader)
{
    for (const LinePlace place : {LinePlace::First, LinePlace::Last, LinePlace::Trailer}) {
        const CuttingServer server(textWith(*param, place), false);
        const auto received = receive(server.port(), "GET");
        cr_expect_not(received->end.whole, "%s", param->name);
    }
}
