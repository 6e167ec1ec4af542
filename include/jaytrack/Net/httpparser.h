// Parses HTTP/1.1 messages from a byte stream with http_parser. The parser is strict because a
// relay needs it: if two parties disagree about where a message ends, an attacker can smuggle a
// request in the body of another one.
#ifndef JAYTRACK_NET_HTTPPARSER_H
#define JAYTRACK_NET_HTTPPARSER_H

#include "jaytrack/Net/message.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace jaytrack {

// The start line and headers of a message.
struct MessageHead
{
    std::string method; // of a request
    std::string target; // of a request: path and query
    int status = 0;     // of a response
    std::vector<HttpHeader> headers;
    bool keepAlive = false; // the sender keeps the connection open for further messages
    bool framed = false;    // the body ends by a length or chunks, not with the connection

    std::string_view header(std::string_view name) const { return findHeader(this->headers, name); }
    std::string_view path() const
    {
        return std::string_view(this->target).substr(0, this->target.find('?'));
    }
};

// Receives the parts of messages in order.
class MessageReceiver
{
public:
    virtual ~MessageReceiver() = default;
    virtual void onHead(MessageHead head) = 0;
    virtual void onBody(std::string_view bytes) = 0;
    virtual void onMessageEnd() = 0;
};

enum class ParseState { NeedsMore, MessageEnded, Malformed, HeadTooLarge };

class HttpMessageParser
{
public:
    enum class MessageKind { Requests, Answers };

    struct FeedResult
    {
        std::size_t consumed = 0;
        ParseState state = ParseState::NeedsMore;
    };

    // Rejects heads larger than maxHeadBytes. The receiver must outlive the parser.
    HttpMessageParser(MessageKind kind, MessageReceiver &receiver, std::size_t maxHeadBytes);
    ~HttpMessageParser();
    HttpMessageParser(const HttpMessageParser &) = delete;
    HttpMessageParser &operator=(const HttpMessageParser &) = delete;

    // Changes the limit for the heads of messages that begin from now on.
    void limitHeads(std::size_t maxHeadBytes);

    // Consumes bytes up to the end of a message; the caller keeps the bytes that follow it.
    FeedResult feed(std::string_view bytes);

    // Handles an orderly end of the connection. Returns true if that completes a response without a
    // length.
    bool finish();

    // Whether a message has begun but not ended.
    bool inMessage() const;

    // Declares that the next response has no body, whatever its headers say, because it answers a
    // HEAD request.
    void expectNoBody();

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace jaytrack

#endif
