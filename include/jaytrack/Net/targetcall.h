// Sends one request to one target on its own connection and records exactly whether any byte of the
// request may have reached the target. This class never resends a request.
#ifndef JAYTRACK_NET_TARGETCALL_H
#define JAYTRACK_NET_TARGETCALL_H

#include "jaytrack/Net/httpparser.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <chrono>
#include <memory>
#include <string>

namespace jaytrack {

// The request as it is sent.
struct TargetRequest
{
    asio::ip::tcp::endpoint endpoint;
    std::string method = "GET";
    std::string target;
    std::vector<HttpHeader> headers;
    std::string body;
    std::chrono::milliseconds connectTimeout{1000};
};

// How a call ended.
struct TargetCallEnd
{
    bool whole = false;     // the complete response arrived
    bool bytesSent = false; // some byte of the request may have reached the target
    std::string_view reason;
    bool lostConnection = false; // the connection ended before the response did
};

// Reasons of calls that ended because of the response: it broke the protocol, or its body was
// larger than the receiver accepts.
inline constexpr std::string_view garbledReason = "garbled";
inline constexpr std::string_view tooLargeReason = "answer_too_large";

// Appends bytes of a body unless it would exceed the limit. Returns false in that case; the call
// has to be ended then, because a body may have no end.
bool appendWithin(std::string &body, std::string_view bytes, std::size_t maxBytes);

// Receives one response.
class TargetCallListener
{
public:
    virtual ~TargetCallListener() = default;
    // The connection is open. The request is sent next, unless the call is cancelled here.
    virtual void onConnected() {}
    virtual void onAnswerHead(MessageHead head) = 0;
    virtual void onAnswerBody(std::string_view bytes) = 0;
    virtual void onCallEnd(const TargetCallEnd &end) = 0; // the last call; not made after cancel()
};

class TargetCall final : public std::enable_shared_from_this<TargetCall>, private MessageReceiver
{
public:
    // Starts the call. The listener is not called before this returns.
    static std::shared_ptr<TargetCall> start(asio::io_context &context, TargetRequest request,
                                             std::weak_ptr<TargetCallListener> listener);

    TargetCall(asio::io_context &context, TargetRequest request,
               std::weak_ptr<TargetCallListener> listener);

    // Closes the connection, which tells the target that the response is no longer wanted.
    void cancel();

    // Stops or resumes reading from the target, so that a slow caller does not make the instance
    // buffer the response in memory.
    void setPaused(bool paused);

    bool bytesSent() const { return this->sent; }

    // Returns the request of a call that ended before any byte was sent, so that it can be sent
    // another way.
    TargetRequest takeUnsent();

private:
    enum class WriteState { Writing, Written, Failed }; // of the request

    void connect();
    void send();
    void onWritten(const asio::error_code &failure);
    void read();
    void onRead(const asio::error_code &failure, std::size_t bytes);
    void onClosed();
    void end(bool whole, std::string_view reason, bool lostConnection = false);
    void onHead(MessageHead head) override;
    void onBody(std::string_view bytes) override;
    void onMessageEnd() override;

    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    TargetRequest request;
    std::weak_ptr<TargetCallListener> listener;
    HttpMessageParser parser;
    std::string outgoing;
    std::array<char, 4096> incoming{};
    WriteState writeState = WriteState::Writing;
    bool closedByTarget = false;
    bool sent = false;
    bool ended = false;
    bool paused = false;
    bool reading = false;
    bool interim = false; // the response being read is a 1xx, which another one follows
    bool answered = false;
    int interimAnswers = 0; // complete 1xx responses received
};

// Formats a request with a body of known length. Headers whose name or value is not valid are left
// out.
std::string formatRequest(const TargetRequest &request);

} // namespace jaytrack

#endif
