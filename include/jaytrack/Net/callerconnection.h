// HTTP/1.1 connections between callers and an instance. A connection serves its requests one after
// another: each is answered before the next one is read. It keeps reading while it serves a
// request, in order to detect that the caller disconnected.
#ifndef JAYTRACK_NET_CALLERCONNECTION_H
#define JAYTRACK_NET_CALLERCONNECTION_H

#include "jaytrack/Net/httpparser.h"
#include "jaytrack/Support/clock.h"
#include "jaytrack/Support/result.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <chrono>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>

namespace jaytrack {

class CallerConnection;

// A completely received request of a caller.
struct CallerRequest
{
    MessageHead head;
    std::string body;
    TimePoint arrived;
};

// The current limits on a connection.
struct ConnectionLimits
{
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 4U << 20U;
    std::chrono::milliseconds headerTimeout{3000};
    std::chrono::milliseconds idleTimeout{15000};
};

// Receives connection events on behalf of the request being served.
class CallerListener
{
public:
    virtual ~CallerListener() = default;

    // The caller closed the connection; nothing can be sent to it any more.
    virtual void onCallerGone() = 0;

    // Previously written bytes were sent, so more may be written.
    virtual void onCallerWritable() = 0;
};

// Handles the requests of all connections of a server.
class CallerHandler
{
public:
    virtual ~CallerHandler() = default;
    virtual void onRequest(std::shared_ptr<CallerConnection> connection, CallerRequest request) = 0;

    // Reports a request that could not be read; the status says why. The connection sends the error
    // response and closes by itself.
    virtual void onRejectedRequest(int status, std::string_view reason) = 0;

    virtual ConnectionLimits connectionLimits() const = 0;

    // Whether a new connection may be read, beside those that are open. If not, it is closed
    // unread, so that its caller tries another instance.
    virtual bool mayRead(std::size_t openConnections)
    {
        (void)openConnections;
        return true;
    }

    // Whether responses should ask callers to open a new connection because this instance is
    // stopping.
    virtual bool stopping() const = 0;

    // Reserves memory from the budget shared by all buffered requests. If this returns false, the
    // connection refuses further bytes.
    virtual bool reserveMemory(std::size_t bytes) = 0;
    virtual void releaseMemory(std::size_t bytes) = 0;
};

class CallerConnection final : public std::enable_shared_from_this<CallerConnection>,
                               private MessageReceiver
{
public:
    CallerConnection(asio::ip::tcp::socket accepted, const Clock &time, CallerHandler &to);
    ~CallerConnection() override;
    CallerConnection(const CallerConnection &) = delete;
    CallerConnection &operator=(const CallerConnection &) = delete;

    void start();

    // Sets the listener for the request that was just passed to the handler.
    void attach(std::weak_ptr<CallerListener> serving) { this->listener = std::move(serving); }

    // Sends a complete response. The headers must not contain framing headers.
    void respond(int status, std::span<const HttpHeader> headers, std::string_view body);

    // Sends a response in pieces. finish() marks its end; abort() closes the connection without
    // that mark, so that the caller cannot take the response for complete. Bytes written earlier
    // are still sent; after abort() only within the given time.
    void begin(int status, std::span<const HttpHeader> headers);
    void write(std::string_view bytes);
    void finish();
    void abort(std::chrono::milliseconds within);

    // Bytes written but not sent yet.
    std::size_t pendingBytes() const { return this->queued.size() + this->inFlight.size(); }

    bool isOpen() const { return !this->closed; }

    // Closes the connection at once if no request is being read or answered and none has arrived.
    void closeIfIdle();

private:
    enum class Stage { Idle, Receiving, Serving, Closing };

    void read();
    void onRead(const asio::error_code &failure, std::size_t bytes);
    void consume();
    void refuse(int status, std::string_view reason);
    void startTimeout(std::chrono::milliseconds bound);
    void onTimeout();
    void send(std::string_view text);
    void flush();
    void onSent(const asio::error_code &failure);
    void completeAnswer();
    void closeOnceSent();
    void lingerThenClose();
    bool hasArrived() const;
    void close();
    void dropBody();
    void onHead(MessageHead head) override;
    void onBody(std::string_view bytes) override;
    void onMessageEnd() override;
    std::string formatHead(int status, std::span<const HttpHeader> headers,
                           std::string_view framing);

    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    const Clock &clock;
    CallerHandler &handler;
    HttpMessageParser parser;
    std::weak_ptr<CallerListener> listener;
    Stage stage = Stage::Idle;
    CallerRequest request;
    std::string unread; // bytes received but not parsed yet
    std::string queued;
    std::string inFlight;
    std::array<char, 4096> incoming{};
    std::size_t reserved = 0;
    bool reading = false;
    bool keepAlive = false;
    bool headOnly = false; // the request is HEAD, so its response has no body
    bool tooLarge = false;
    bool closeWhenSent = false;
    bool closed = false;
};

// The connections of a server and the response bytes that it still has to send.
struct CallerBacklog
{
    std::size_t connections = 0; // open connections
    std::size_t unsentBytes = 0; // response bytes written and not yet confirmed as sent
};

// Listens for callers and keeps track of their connections.
class CallerServer
{
public:
    CallerServer(asio::io_context &context, const Clock &time, CallerHandler &to);

    // Fails if the address cannot be bound.
    Result<void> listen(const asio::ip::tcp::endpoint &endpoint);

    std::uint16_t port() const { return this->acceptor.local_endpoint().port(); }

    // Accepts the connections that callers have made so far, then stops accepting.
    void stopListening();

    bool isListening() const { return this->acceptor.is_open(); }

    // Closes the connections that are not serving a request.
    void closeIdle();

    CallerBacklog backlog() const;

private:
    void accept();
    void adopt(asio::ip::tcp::socket accepted);
    void forgetClosed();

    asio::ip::tcp::acceptor acceptor;
    asio::steady_timer pause;
    const Clock &clock;
    CallerHandler &handler;
    std::vector<std::weak_ptr<CallerConnection>> connections;
    static constexpr std::size_t minCleanupThreshold = 64;
    std::size_t cleanupThreshold = minCleanupThreshold;
};

} // namespace jaytrack

#endif
