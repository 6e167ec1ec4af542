#include "jaytrack/Net/httpparser.h"

#include <http_parser.h>

#include <algorithm>
#include <cstdint>
#include <limits>

namespace jaytrack {

namespace {

// The value by which http_parser indicates that neither a length nor chunks mark the end of a body.
constexpr auto unknownLength = std::numeric_limits<std::uint64_t>::max();

} // namespace

struct HttpMessageParser::State
{
    http_parser parser{};
    MessageReceiver &receiver;
    std::size_t maxHeadBytes;
    bool requests;
    MessageHead head;
    std::size_t headBytes = 0;
    bool valueOpen = false;
    bool begun = false;
    bool ended = false;
    bool tooLarge = false;
    bool malformed = false;
    bool noBody = false;

    State(MessageKind kind, MessageReceiver &to, std::size_t headLimit)
        : receiver(to)
        , maxHeadBytes(headLimit)
        , requests(kind == MessageKind::Requests)
    {
        http_parser_init(&this->parser, this->requests ? HTTP_REQUEST : HTTP_RESPONSE);
        this->parser.data = this;
    }

    static State &of(http_parser *parser) { return *static_cast<State *>(parser->data); }

    int addHeadBytes(std::size_t bytes)
    {
        this->headBytes += bytes;
        this->tooLarge = this->headBytes > this->maxHeadBytes;
        return this->tooLarge ? 1 : 0;
    }

    int onField(std::string_view text)
    {
        if (this->valueOpen || this->head.headers.empty()) {
            this->head.headers.emplace_back();
            this->valueOpen = false;
        }
        this->head.headers.back().name += text;
        return this->addHeadBytes(text.size());
    }

    int onValue(std::string_view text)
    {
        this->valueOpen = true;
        this->head.headers.back().value += text;
        return this->addHeadBytes(text.size());
    }

    // A relay must agree with its peer on where a message ends. Therefore the parser accepts only
    // the plain spelling of chunked framing, and only once per message.
    bool framingIsPlain() const
    {
        int encodings = 0;
        for (const HttpHeader &header : this->head.headers) {
            if (!sameHeaderName(header.name, "Transfer-Encoding"))
                continue;
            ++encodings;
            if (!sameHeaderName(header.value, "chunked"))
                return false;
        }
        return encodings <= 1;
    }

    // Debian builds http_parser in lenient mode. It accepts "Content-Length :" as the name of a
    // different header, although a peer may read it as the length, and it accepts requests without
    // a protocol version. In any mode it accepts answers whose status is not one of HTTP.
    bool headIsStrict() const
    {
        const bool known = this->parser.http_major == 1;
        const bool hasStatus =
                this->requests || isHttpStatus(static_cast<int>(this->parser.status_code));
        return known && hasStatus && this->namesAreStrict();
    }

    bool namesAreStrict() const
    {
        return std::all_of(this->head.headers.begin(), this->head.headers.end(),
                           [](const HttpHeader &header) { return isHeaderName(header.name); });
    }

    int onHeadersEnd()
    {
        if (!this->headIsStrict() || !this->framingIsPlain()) {
            this->malformed = true;
            return -1;
        }
        this->parser.upgrade = 0; // the relay never accepts a protocol upgrade
        this->head.method = this->requests
                                    ? http_method_str(static_cast<http_method>(this->parser.method))
                                    : "";
        this->head.status = static_cast<int>(this->parser.status_code);
        this->head.keepAlive = http_should_keep_alive(&this->parser) != 0;
        this->head.framed = this->requests || (this->parser.flags & F_CHUNKED) != 0 ||
                            this->parser.content_length != unknownLength;
        const bool skipBody = this->noBody;
        this->receiver.onHead(std::move(this->head));
        this->head = {};
        return skipBody ? 1 : 0;
    }

    // The headers since the head are trailers.
    int onEnd()
    {
        if (!this->namesAreStrict()) {
            this->malformed = true;
            return -1;
        }
        this->begun = false;
        this->ended = true;
        this->noBody = false;
        this->receiver.onMessageEnd();
        http_parser_pause(&this->parser, 1);
        return 0;
    }

    static const http_parser_settings &settings();
};

const http_parser_settings &HttpMessageParser::State::settings()
{
    static const http_parser_settings made = [] {
        http_parser_settings callbacks;
        http_parser_settings_init(&callbacks);
        callbacks.on_message_begin = [](http_parser *raw) {
            State &own = of(raw);
            own.begun = true;
            own.head = {};
            own.headBytes = 0;
            own.valueOpen = false;
            return 0;
        };
        callbacks.on_url = [](http_parser *raw, const char *at, std::size_t length) {
            of(raw).head.target.append(at, length);
            return of(raw).addHeadBytes(length);
        };
        callbacks.on_header_field = [](http_parser *raw, const char *at, std::size_t length) {
            return of(raw).onField({at, length});
        };
        callbacks.on_header_value = [](http_parser *raw, const char *at, std::size_t length) {
            return of(raw).onValue({at, length});
        };
        callbacks.on_headers_complete = [](http_parser *raw) { return of(raw).onHeadersEnd(); };
        callbacks.on_body = [](http_parser *raw, const char *at, std::size_t length) {
            of(raw).receiver.onBody({at, length});
            return 0;
        };
        callbacks.on_message_complete = [](http_parser *raw) { return of(raw).onEnd(); };
        return callbacks;
    }();
    return made;
}

HttpMessageParser::HttpMessageParser(MessageKind kind, MessageReceiver &receiver,
                                     std::size_t maxHeadBytes)
    : state(std::make_unique<State>(kind, receiver, maxHeadBytes))
{
}

HttpMessageParser::~HttpMessageParser() = default;

void HttpMessageParser::limitHeads(std::size_t maxHeadBytes)
{
    this->state->maxHeadBytes = maxHeadBytes;
}

HttpMessageParser::FeedResult HttpMessageParser::feed(std::string_view bytes)
{
    State &now = *this->state;
    now.ended = false;
    // http_parser interprets empty input as the end of the connection; finish() handles that case.
    if (bytes.empty())
        return {};
    const std::size_t consumed =
            http_parser_execute(&now.parser, &State::settings(), bytes.data(), bytes.size());
    if (now.ended) {
        http_parser_pause(&now.parser, 0);
        return {consumed, ParseState::MessageEnded};
    }
    if (now.tooLarge)
        return {consumed, ParseState::HeadTooLarge};
    if (now.malformed || HTTP_PARSER_ERRNO(&now.parser) != HPE_OK || consumed != bytes.size())
        return {consumed, ParseState::Malformed};
    return {consumed, ParseState::NeedsMore};
}

bool HttpMessageParser::finish()
{
    State &now = *this->state;
    now.ended = false;
    http_parser_execute(&now.parser, &State::settings(), nullptr, 0);
    return now.ended;
}

bool HttpMessageParser::inMessage() const
{
    return this->state->begun;
}

void HttpMessageParser::expectNoBody()
{
    this->state->noBody = true;
}

} // namespace jaytrack
