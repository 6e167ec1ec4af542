// HTTP/1.1 messages out of a byte stream, by http_parser, with the strictness that a relay needs:
// two parties that read one message's end differently would let a request be smuggled in another's
// body.
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
    int status = 0;     // of an answer
    std::vector<HttpHeader> headers;
    bool keepAlive = false; // the sender will go on using the connection
    bool framed = false; // the end is marked by a length or by chunks, not by the connection's end

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
    enum class Reads { Requests, Answers };

    struct Fed
    {
        std::size_t taken = 0;
        ParseState state = ParseState::NeedsMore;
    };

    // Heads larger than maxHeadBytes are refused. The receiver must outlive the parser.
    HttpMessageParser(Reads reads, MessageReceiver &receiver, std::size_t maxHeadBytes);
    ~HttpMessageParser();
    HttpMessageParser(const HttpMessageParser &) = delete;
    HttpMessageParser &operator=(const HttpMessageParser &) = delete;

    // Takes bytes up to the end of a message; what follows it is left to the caller.
    Fed feed(std::string_view bytes);

    // The connection ended in order. Returns true if that completes an answer without a length.
    bool finish();

    // Whether a message has begun but not ended.
    bool inMessage() const;

    // The next answer has no body, whatever its headers say, since it is for a HEAD request.
    void expectNoBody();

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace jaytrack

#endif
