// Targets that end their answers to the daemon's HTTP client in the middle.
#include "cutanswers.h"

#include "jaytrack/Http/client.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <algorithm>
#include <future>

using namespace jaytrack;
using namespace jaytrack::testing;

namespace {

FetchedAnswer fetchFrom(HttpClient &client, const CuttingServer &server, const char *method)
{
    HttpCall call;
    call.method = method;
    call.url = "http://127.0.0.1:" + std::to_string(server.port()) + "/";
    return fetch(client, std::move(call));
}

// Whether only the line feed behind the last chunk is missing. libcurl does not wait for it; the
// body is complete without it.
bool lacksOnlyLineFeed(const CutAnswer &answer, std::size_t sent)
{
    const std::string_view text(answer.text);
    return text.find("chunked") != std::string_view::npos && sent + 1 == text.size();
}

} // namespace

ParameterizedTestParameters(httpClient, cutAnswersAreNotWhole)
{
    static CutAnswer cases[std::size(cutAnswers)];
    std::copy(std::begin(cutAnswers), std::end(cutAnswers), std::begin(cases));
    return cr_make_param_array(CutAnswer, cases, std::size(cases));
}

// Guards against an answer that looks whole, empty and successful although its target closed the
// connection inside the head.
ParameterizedTest(CutAnswer *param, httpClient, cutAnswersAreNotWhole)
{
    HttpClient client(1);
    const std::string text(param->text);
    const std::size_t headEnd = text.rfind("\r\n\r\n", text.find("hello")) + 4;
    for (const bool resets : {false, true}) {
        for (std::size_t sent = 0; sent < text.size(); ++sent) {
            const CuttingServer server(text.substr(0, sent), resets);
            const FetchedAnswer answer = fetchFrom(client, server, param->method);
            const bool mayBeWhole =
                    (!isToldFromWhole(*param, sent) && !resets) || lacksOnlyLineFeed(*param, sent);
            cr_expect(!answer.end.whole || mayBeWhole, "%s: whole after %zu bytes", param->name,
                      sent);
            cr_expect(answer.end.maySentBytes, "%s: %zu bytes", param->name, sent);
            if (sent < headEnd)
                cr_expect(answer.end.status == 0 && answer.headers.empty(),
                          "%s: status %d and %zu headers after %zu bytes", param->name,
                          answer.end.status, answer.headers.size(), sent);
        }
    }
    const CuttingServer server(text, false);
    const FetchedAnswer answer = fetchFrom(client, server, param->method);
    cr_expect(answer.end.whole, "%s", param->name);
    cr_expect_eq(answer.end.status, param->status, "%s", param->name);
    cr_expect(findHeader(answer.headers, "X-I").empty(), "headers of an interim answer");
}

ParameterizedTestParameters(httpClient, answerCutDuringTheUploadIsNotWhole)
{
    static UploadReset cases[std::size(uploadResets)];
    std::copy(std::begin(uploadResets), std::end(uploadResets), std::begin(cases));
    return cr_make_param_array(UploadReset, cases, std::size(cases));
}

// Guards against the part of an answer without a length that looks whole, because the reset that
// cut it was reported to the write of the request.
ParameterizedTest(UploadReset *param, httpClient, answerCutDuringTheUploadIsNotWhole)
{
    HttpClient client(1);
    constexpr int repetitions = 8;
    for (int i = 0; i < repetitions; ++i) {
        const CuttingServer server(std::string(unframedPart), true,
                                   std::chrono::milliseconds(param->delayMillis));
        HttpCall call;
        call.method = "POST";
        call.url = "http://127.0.0.1:" + std::to_string(server.port()) + "/";
        call.body = std::string(longUploadBytes, 'u');
        const FetchedAnswer answer = fetch(client, std::move(call));
        cr_expect_not(answer.end.whole, "%s", param->name);
        cr_expect(answer.end.maySentBytes, "%s", param->name);
    }
}

ParameterizedTestParameters(httpClient, foreignStatusIsNoAnswer)
{
    static ForeignStatus cases[std::size(foreignStatuses)];
    std::copy(std::begin(foreignStatuses), std::end(foreignStatuses), std::begin(cases));
    return cr_make_param_array(ForeignStatus, cases, std::size(cases));
}

// Guards against a message with a number that is no status, such as 000, that looks like a whole
// answer.
ParameterizedTest(ForeignStatus *param, httpClient, foreignStatusIsNoAnswer)
{
    HttpClient client(1);
    const CuttingServer server(textOf(*param), false);
    const FetchedAnswer answer = fetchFrom(client, server, "GET");
    cr_expect_not(answer.end.whole, "%s%s", param->number, param->rest);
    cr_expect_eq(answer.end.status, 0, "%s%s", param->number, param->rest);
    cr_expect(answer.headers.empty() && answer.body.empty(), "%s%s", param->number, param->rest);
}

// Guards against an answer of which the caller gets a line that is no header, or another body than
// the target meant.
ParameterizedTestParameters(httpClient, foreignLineIsNoHeader)
{
    static ForeignLine cases[std::size(foreignLines)];
    std::copy(std::begin(foreignLines), std::end(foreignLines), std::begin(cases));
    return cr_make_param_array(ForeignLine, cases, std::size(cases));
}

ParameterizedTest(ForeignLine *param, httpClient, foreignLineIsNoHeader)
{
    HttpClient client(1);
    for (const LinePlace place : {LinePlace::First, LinePlace::Last, LinePlace::Trailer}) {
        const CuttingServer server(textWith(*param, place), false);
        const FetchedAnswer answer = fetchFrom(client, server, "GET");
        cr_expect_not(answer.end.whole, "%s", param->name);
        if (place != LinePlace::Trailer)
            cr_expect(answer.end.status == 0 && answer.headers.empty(), "%s", param->name);
    }
}
