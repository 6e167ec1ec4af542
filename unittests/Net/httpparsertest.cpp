// Tests the framing of HTTP messages: which messages are accepted, where they end, and which are
// rejected.
#include "jaytrack/Net/httpparser.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace jaytrack;

namespace {

class Collector final : public MessageReceiver
{
public:
    void onHead(MessageHead received) override
    {
        this->head = std::move(received);
        ++this->heads;
    }
    void onBody(std::string_view bytes) override { this->body += bytes; }
    void onMessageEnd() override { ++this->messages; }

    MessageHead head;
    std::string body;
    int heads = 0;
    int messages = 0;
};

struct ReadCase
{
    char name[24];
    char text[200];
    int state; // of ParseState
    char body[16];
};

constexpr int ended = static_cast<int>(ParseState::MessageEnded);
constexpr int malformed = static_cast<int>(ParseState::Malformed);
constexpr int needsMore = static_cast<int>(ParseState::NeedsMore);
constexpr int tooLarge = static_cast<int>(ParseState::HeadTooLarge);

} // namespace

ParameterizedTestParameters(httpParser, requests)
{
    static ReadCase cases[] = {
            {"plain", "GET /a HTTP/1.1\r\nHost: h\r\n\r\n", ended, ""},
            {"length", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc", ended, "abc"},
            {"chunks",
             "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
             ended, "abc"},
            {"short body", "POST /a HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc", needsMore, "abc"},
            {"length and chunks",
             "POST /a HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
             malformed, ""},
            {"two lengths",
             "POST /a HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", malformed,
             ""},
            {"odd encoding", "POST /a HTTP/1.1\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
             malformed, ""},
            {"two encodings",
             "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: "
             "chunked\r\n\r\n0\r\n\r\n",
             malformed, ""},
            {"encoding list",
             "POST /a HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", malformed,
             ""},
            {"space before colon", "POST /a HTTP/1.1\r\nContent-Length : 3\r\n\r\nabc", malformed,
             ""},
            {"no protocol", "GET /a\r\n\r\n\r\n", malformed, ""},
            {"bare text", "hello\r\n\r\n", malformed, ""},
            {"negative length", "POST /a HTTP/1.1\r\nContent-Length: -1\r\n\r\n", malformed, ""},
            {"upgrade is ignored", "GET /a HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n",
             ended, ""},
            {"large head",
             "GET "
             "/aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
             "aaaaaaaaaaaaaaa"
             "aaaaaaaaaaaaaaaaaaaa HTTP/1.1\r\n\r\n",
             tooLarge, ""},
    };
    return cr_make_param_array(ReadCase, cases, std::size(cases));
}

ParameterizedTest(ReadCase *param, httpParser, requests)
{
    Collector collector;
    HttpMessageParser parser(HttpMessageParser::MessageKind::Requests, collector, 100);
    const HttpMessageParser::FeedResult fed = parser.feed(param->text);
    cr_assert_eq(static_cast<int>(fed.state), param->state, "%s: state %d", param->name,
                 static_cast<int>(fed.state));
    cr_assert_eq(collector.body, std::string(param->body), "%s", param->name);
}

// Bytes that follow a message belong to the next one, wherever the input is split.
Test(httpParser, pipelinedRequestsAreSeparated)
{
    const std::string text =
            "POST /1 HTTP/1.1\r\nContent-Length: 2\r\n\r\nabGET /2 HTTP/1.1\r\n\r\n";
    for (std::size_t cut = 1; cut < text.size(); ++cut) {
        Collector collector;
        HttpMessageParser parser(HttpMessageParser::MessageKind::Requests, collector, 1000);
        for (std::string_view rest :
             {std::string_view(text).substr(0, cut), std::string_view(text).substr(cut)}) {
            while (!rest.empty()) {
                const HttpMessageParser::FeedResult fed = parser.feed(rest);
                cr_assert(fed.state != ParseState::Malformed, "cut at %zu", cut);
                rest.remove_prefix(fed.consumed);
            }
        }
        cr_assert_eq(collector.messages, 2, "cut at %zu", cut);
        cr_assert_eq(collector.head.target, std::string("/2"));
        cr_assert_eq(collector.body, std::string("ab"));
    }
}

// A response without a length is complete only if its connection ends in order; a response with a
// length is never complete before its last byte.
Test(httpParser, connectionEndCompletesOnlyUnframedResponses)
{
    Collector unframed;
    HttpMessageParser first(HttpMessageParser::MessageKind::Answers, unframed, 1000);
    cr_assert(first.feed("HTTP/1.1 200 OK\r\n\r\nabc").state == ParseState::NeedsMore);
    cr_assert_not(unframed.head.framed);
    cr_assert(first.finish());

    Collector framed;
    HttpMessageParser second(HttpMessageParser::MessageKind::Answers, framed, 1000);
    cr_assert(second.feed("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc").state ==
              ParseState::NeedsMore);
    cr_assert(framed.head.framed);
    cr_assert_not(second.finish());
}
