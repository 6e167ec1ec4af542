// The callers' side of an instance: connections that carry requests one after another, each
// answered before the next one is read, and watched for the caller's leaving all the while.
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

// A whole request of a caller.
struct CallerRequest
{
    MessageHead head;
    std::string body;
    TimePoint arrived;
};

// Bounds on a connection, as they are now.
struct ConnectionLimits
{
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 4U << 20U;
    std::chrono::milliseconds headerTimeout{3000};
    std::chrono::milliseconds idleTimeout{15000};
};

// What serves the request that is being answered.
class CallerListener
{
public:
    virtual ~CallerListener() = default;

    // The caller closed the connection; nothing can be told to it any more.
    virtual void onCallerGone() = 0;

    // Bytes that were written have left, so more may be written.
    virtual void onCallerWritable() = 0;
};

// What requests go to.
class CallerHandler
{
public:
    virtual ~CallerHandler() = default;
    virtual void onRequest(std::shared_ptr<CallerConnection> connection, CallerRequest request) = 0;

    // A request that cannot be read; the status says why. The connection answers and closes by
    // itself.
    virtual void onUnreadable(int status, std::string_view reason) = 0;

    virtual ConnectionLimits connectionLimits() const = 0;

    // Whether answers shall ask callers to open a new connection, since this instance is stopping.
    virtual bool stopping() const = 0;

    // Memory that all buffered requests together may take; false refuses further bytes.
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

    // Names what serves the request that was just handed over.
    void attach(std::weak_ptr<CallerListener> serving) { this->listener = std::move(serving); }

    // Answers whole. Headers must not contain framing.
    void respond(int status, std::span<const HttpHeader> headers, std::string_view body);

    // Answers in pieces. finish() marks the end; abort() ends the connection without that mark, so
    // that the answer cannot look complete. What was written before still leaves, after abort()
    // within the time given.
    void begin(int status, std::span<const HttpHeader> headers);
    void write(std::string_view bytes);
    void finish();
    void abort(std::chrono::milliseconds within);

    // Bytes written that have not left yet.
    std::size_t pendingBytes() const { return this->queued.size() + this->inFlight.size(); }

    bool isOpen() const { return !this->closed; }

    // Closes at once if no request is being read or answered and none has arrived.
    void closeIfIdle();

private:
    enum class Stage { Idle, Receiving, Serving, Closing };

    void read();
    void onRead(const asio::error_code &failure, std::size_t bytes);
    void consume();
    void refuse(int status, std::string_view reason);
    void expectWithin(std::chrono::milliseconds bound);
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
    std::string unread; // bytes received and not parsed yet
    std::string queued;
    std::string inFlight;
    std::array<char, 4096> incoming{};
    std::size_t reserved = 0;
    bool reading = false;
    bool keepAlive = false;
    bool headOnly = false; // the request is HEAD, so its answer has no body
    bool tooLarge = false;
    bool closeWhenSent = false;
    bool closed = false;
};

// What a server's callers hold.
struct CallerBacklog
{
    std::size_t connections = 0; // open ones
    std::size_t unsentBytes = 0; // of answers, written and not known to have left
};

// Listens for callers and keeps track of their connections.
class CallerServer
{
public:
    CallerServer(asio::io_context &context, const Clock &time, CallerHandler &to);

    // Fails if the address cannot be bound.
    Result<void> listen(const asio::ip::tcp::endpoint &endpoint);

    std::uint16_t port() const { return this->acceptor.local_endpoint().port(); }

    // Takes the connections that callers have made so far and no new ones any more.
    void stopListening();

    bool isListening() const { return this->acceptor.is_open(); }

    // Closes the connections that serve nothing now.
    void closeIdle();

    CallerBacklog backlog() const;

private:
    void accept();
    void adopt(asio::ip::tcp::socket accepted);

    asio::ip::tcp::acceptor acceptor;
    asio::steady_timer pause;
    const Clock &clock;
    CallerHandler &handler;
    std::vector<std::weak_ptr<CallerConnection>> connections;
    std::size_t sweepAt = 64;
};

} // namespace jaytrack

#endif
