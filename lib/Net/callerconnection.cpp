#include "jaytrack/Net/callerconnection.h"

#include "jaytrack/Net/socket.h"

#include <asio/write.hpp>

#include <algorithm>
#include <cassert>

namespace jaytrack {

namespace {

// Limit on the bytes of a following request that are buffered while one is served. The connection
// keeps reading in order to detect that the caller disconnected; beyond this limit, the
// disconnection is detected only when the response is written.
constexpr std::size_t maxUnparsedBytes = 64U << 10U;

// Time allowed for a body after its head; equals the time after which callers themselves are
// specified to give up.
constexpr std::chrono::seconds bodyTimeout{10};

// Time that the peer has to read the last response before the connection is closed.
constexpr std::chrono::seconds lingerTimeout{1};

// Delay after a failed accept, which means that the process has run out of file descriptors.
constexpr std::chrono::milliseconds acceptRetryDelay{20};

constexpr int listenBacklog = 1024;
constexpr int requestTimeoutStatus = 408;
constexpr int badRequestStatus = 400;
constexpr int tooLargeStatus = 413;
constexpr int headTooLargeStatus = 431;
constexpr int unavailableStatus = 503;

std::string_view reasonPhrase(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 404:
        return "Not Found";
    case 408:
        return "Request Timeout";
    case 413:
        return "Content Too Large";
    case 431:
        return "Request Header Fields Too Large";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

bool hasNoBody(int status)
{
    return status == 204 || status == 304;
}

} // namespace

CallerConnection::CallerConnection(asio::ip::tcp::socket accepted, const Clock &time,
                                   CallerHandler &to)
    : socket(std::move(accepted))
    , timer(this->socket.get_executor())
    , clock(time)
    , handler(to)
    , parser(HttpMessageParser::MessageKind::Requests, *this, to.connectionLimits().headerBytes)
{
}

CallerConnection::~CallerConnection()
{
    this->dropBody();
}

void CallerConnection::start()
{
    prepareSocket(this->socket);
    this->startTimeout(this->handler.connectionLimits().idleTimeout);
    this->read();
}

void CallerConnection::read()
{
    if (this->closed || this->reading || this->unread.size() >= maxUnparsedBytes)
        return;
    this->reading = true;
    this->socket.async_read_some(
            asio::buffer(this->incoming),
            [self = this->shared_from_this()](const asio::error_code &failure, std::size_t bytes) {
                self->reading = false;
                self->onRead(failure, bytes);
            });
}

void CallerConnection::onRead(const asio::error_code &failure, std::size_t bytes)
{
    if (this->closed)
        return;
    if (failure) {
        const auto serving = this->listener.lock();
        const bool inService = this->stage == Stage::Serving;
        this->close();
        if (serving && inService)
            serving->onCallerGone();
        return;
    }
    if (this->stage != Stage::Closing)
        this->unread.append(this->incoming.data(), bytes);
    if (this->stage == Stage::Idle || this->stage == Stage::Receiving)
        this->consume();
    this->read();
}

void CallerConnection::consume()
{
    while (!this->unread.empty() && !this->closed &&
           (this->stage == Stage::Idle || this->stage == Stage::Receiving)) {
        if (this->stage == Stage::Idle) {
            this->stage = Stage::Receiving;
            const ConnectionLimits limits = this->handler.connectionLimits();
            this->parser.limitHeads(limits.headerBytes);
            this->startTimeout(limits.headerTimeout);
        }
        const std::string bytes = std::move(this->unread);
        this->unread.clear();
        const HttpMessageParser::FeedResult fed = this->parser.feed(bytes);
        if (fed.consumed < bytes.size())
            this->unread.insert(0, bytes, fed.consumed, std::string::npos);
        if (this->closed || this->stage == Stage::Closing)
            return;
        if (this->tooLarge)
            return this->refuse(tooLargeStatus, "body_too_large");
        if (fed.state == ParseState::HeadTooLarge)
            return this->refuse(headTooLargeStatus, "head_too_large");
        if (fed.state == ParseState::Malformed)
            return this->refuse(badRequestStatus, "malformed");
    }
}

void CallerConnection::onHead(MessageHead head)
{
    this->keepAlive = head.keepAlive;
    this->headOnly = head.method == "HEAD";
    if (sameHeaderName(head.header("Expect"), "100-continue"))
        this->send("HTTP/1.1 100 Continue\r\n\r\n");
    this->request.head = std::move(head);
    this->request.body.clear();
    this->startTimeout(bodyTimeout);
}

void CallerConnection::onBody(std::string_view bytes)
{
    if (this->tooLarge || this->stage == Stage::Closing)
        return;
    if (this->request.body.size() + bytes.size() > this->handler.connectionLimits().bodyBytes) {
        this->tooLarge = true;
        return;
    }
    if (!this->handler.reserveMemory(bytes.size()))
        return this->refuse(unavailableStatus, "memory");
    this->reserved += bytes.size();
    this->request.body += bytes;
}

void CallerConnection::onMessageEnd()
{
    if (this->tooLarge || this->stage == Stage::Closing)
        return;
    this->timer.cancel();
    this->stage = Stage::Serving;
    this->request.arrived = this->clock.now();
    this->handler.onRequest(this->shared_from_this(), std::move(this->request));
    this->request = {};
}

void CallerConnection::refuse(int status, std::string_view reason)
{
    this->handler.onRejectedRequest(status, reason);
    this->keepAlive = false;
    this->headOnly = false;
    this->stage = Stage::Serving;
    this->respond(status, {}, {});
}

void CallerConnection::startTimeout(std::chrono::milliseconds bound)
{
    this->timer.expires_after(bound);
    this->timer.async_wait([weak = this->weak_from_this()](const asio::error_code &failure) {
        const auto self = weak.lock();
        // A timer that expires in the same iteration of the event loop as the event that makes it
        // obsolete can no longer be cancelled; it would refuse a request that had just begun.
        const bool stale = self && self->timer.expiry() > asio::steady_timer::clock_type::now();
        if (!failure && self && !stale)
            self->onTimeout();
    });
}

void CallerConnection::onTimeout()
{
    if (this->stage == Stage::Receiving)
        return this->refuse(requestTimeoutStatus, "slow_request");
    const bool rests = this->pendingBytes() == 0 && !this->hasArrived();
    if (this->stage == Stage::Idle && !rests)
        return this->startTimeout(this->handler.connectionLimits().idleTimeout);
    if (this->stage != Stage::Serving)
        this->close();
}

std::string CallerConnection::formatHead(int status, std::span<const HttpHeader> headers,
                                         std::string_view framing)
{
    this->keepAlive = this->keepAlive && !this->handler.stopping();
    std::string text = "HTTP/1.1 " + std::to_string(status) + " ";
    text += reasonPhrase(status);
    text += "\r\n";
    for (const HttpHeader &header : headers)
        text += header.name + ": " + header.value + "\r\n";
    text += framing;
    if (!this->keepAlive)
        text += "Connection: close\r\n";
    text += "\r\n";
    return text;
}

void CallerConnection::respond(int status, std::span<const HttpHeader> headers,
                               std::string_view body)
{
    if (this->closed)
        return;
    assert(this->stage == Stage::Serving &&
           "responses may be sent only while a request is being served");
    std::string framing;
    if (!hasNoBody(status) && !(this->headOnly && body.empty()))
        framing = "Content-Length: " + std::to_string(body.size()) + "\r\n";
    this->send(this->formatHead(status, headers, framing));
    if (!this->headOnly)
        this->send(body);
    this->completeAnswer();
}

void CallerConnection::begin(int status, std::span<const HttpHeader> headers)
{
    if (this->closed)
        return;
    assert(this->stage == Stage::Serving &&
           "responses may be sent only while a request is being served");
    this->send(this->formatHead(status, headers, "Transfer-Encoding: chunked\r\n"));
}

void CallerConnection::write(std::string_view bytes)
{
    if (this->closed || bytes.empty())
        return;
    static constexpr std::size_t sizeDigits = 16;
    std::array<char, sizeDigits + 1> size{};
    const int length = std::snprintf(size.data(), size.size(), "%zx", bytes.size());
    this->queued.append(size.data(), static_cast<std::size_t>(length));
    this->queued += "\r\n";
    this->queued += bytes;
    this->queued += "\r\n";
    this->flush();
}

void CallerConnection::finish()
{
    if (this->closed)
        return;
    this->send("0\r\n\r\n");
    this->completeAnswer();
}

// Events of a stream that is being aborted may still be queued for a slow caller and must be
// delivered.
void CallerConnection::abort(std::chrono::milliseconds within)
{
    if (this->closed)
        return;
    this->listener.reset();
    this->dropBody();
    this->closeOnceSent();
    if (!this->closed && this->pendingBytes() > 0)
        this->startTimeout(within);
}

void CallerConnection::completeAnswer()
{
    this->listener.reset();
    this->dropBody();
    if (!this->keepAlive)
        return this->closeOnceSent();
    this->stage = Stage::Idle;
    this->startTimeout(this->handler.connectionLimits().idleTimeout);
    // The next request may have arrived already. It is handled from the event loop, so that a
    // caller that pipelines many requests cannot make the stack grow.
    asio::post(this->socket.get_executor(), [self = this->shared_from_this()] {
        self->consume();
        self->read();
    });
}

void CallerConnection::closeOnceSent()
{
    this->stage = Stage::Closing;
    this->closeWhenSent = true;
    if (this->pendingBytes() == 0)
        this->lingerThenClose();
}

void CallerConnection::dropBody()
{
    this->handler.releaseMemory(this->reserved);
    this->reserved = 0;
}

void CallerConnection::send(std::string_view text)
{
    if (this->closed)
        return;
    this->queued += text;
    this->flush();
}

void CallerConnection::flush()
{
    if (this->closed || !this->inFlight.empty() || this->queued.empty())
        return;
    this->inFlight.swap(this->queued);
    asio::async_write(this->socket, asio::buffer(this->inFlight),
                      [self = this->shared_from_this()](const asio::error_code &failure,
                                                        std::size_t) { self->onSent(failure); });
}

void CallerConnection::onSent(const asio::error_code &failure)
{
    this->inFlight.clear();
    if (this->closed)
        return;
    if (failure) {
        const auto serving = this->listener.lock();
        this->close();
        if (serving)
            serving->onCallerGone();
        return;
    }
    this->flush();
    if (const auto serving = this->listener.lock())
        serving->onCallerWritable();
    if (this->closeWhenSent && this->pendingBytes() == 0)
        this->lingerThenClose();
}

// Closing a socket with unread bytes resets the connection, and the caller may lose the response.
// Therefore this shuts down the sending side first and reads the remaining input.
void CallerConnection::lingerThenClose()
{
    if (this->closed)
        return;
    asio::error_code ignored; // if the shutdown fails, the connection is closed a second later
    this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    this->unread.clear();
    this->startTimeout(lingerTimeout);
    this->read();
}

// Whether bytes of a request have arrived but have not been read yet.
bool CallerConnection::hasArrived() const
{
    asio::error_code failure; // if the query fails, there is nothing to read either
    return !this->unread.empty() || this->socket.available(failure) > 0;
}

// After a stall, the process finds requests that arrived meanwhile; closing their connections would
// leave them without a response.
void CallerConnection::closeIfIdle()
{
    if (!this->closed && this->stage == Stage::Idle && this->pendingBytes() == 0 &&
        !this->hasArrived())
        this->close();
}

void CallerConnection::close()
{
    if (this->closed)
        return;
    this->closed = true;
    this->stage = Stage::Closing;
    this->listener.reset();
    this->timer.cancel();
    asio::error_code ignored; // no error of closing needs handling
    this->socket.close(ignored);
    this->dropBody();
}

CallerServer::CallerServer(asio::io_context &loop, const Clock &time, CallerHandler &to)
    : acceptor(loop)
    , pause(loop)
    , clock(time)
    , handler(to)
{
}

Result<void> CallerServer::listen(const asio::ip::tcp::endpoint &endpoint)
{
    asio::error_code failure;
    this->acceptor.open(endpoint.protocol(), failure);
    if (!failure)
        this->acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true), failure);
    if (!failure)
        this->acceptor.set_option(asio::socket_base::enable_connection_aborted(true), failure);
    if (!failure)
        this->acceptor.bind(endpoint, failure);
    if (!failure)
        this->acceptor.listen(listenBacklog, failure);
    if (failure)
        return Error{ResultCode::SettingsContradiction, "cannot listen: " + failure.message()};
    this->accept();
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void CallerServer::accept()
{
    this->acceptor.async_accept(
            [this](const asio::error_code &failure, asio::ip::tcp::socket accepted) {
                if (failure == asio::error::operation_aborted)
                    return;
                if (failure) {
                    // Without a delay, a process out of file descriptors would spin here and starve
                    // its requests.
                    this->pause.expires_after(acceptRetryDelay);
                    this->pause.async_wait([this](const asio::error_code &stopped) {
                        if (!stopped && this->isListening())
                            this->accept();
                    });
                    return;
                }
                this->adopt(std::move(accepted));
                if (this->isListening())
                    this->accept();
            });
}

// A socket that is closed with unread bytes resets the connection, which tells the caller that its
// request was not read.
void CallerServer::adopt(asio::ip::tcp::socket accepted)
{
    this->forgetClosed();
    if (!this->handler.mayRead(this->connections.size())) {
        asio::error_code ignored; // the connection ends in any case
        accepted.close(ignored);
        return;
    }
    const auto connection =
            std::make_shared<CallerConnection>(std::move(accepted), this->clock, this->handler);
    this->connections.push_back(connection);
    connection->start();
}

// Keeps at most a quarter more entries than there are open connections.
void CallerServer::forgetClosed()
{
    if (this->connections.size() < this->cleanupThreshold)
        return;
    std::erase_if(this->connections, [](const auto &weak) { return weak.expired(); });
    this->cleanupThreshold =
            std::max(minCleanupThreshold, this->connections.size() + this->connections.size() / 4);
}

// Closing the acceptor resets the connections that wait to be accepted, and the requests already
// sent on them are lost. After a stall of the process, these can be many, so they are accepted
// first.
void CallerServer::stopListening()
{
    asio::error_code failure;
    this->acceptor.non_blocking(true, failure);
    // A caller that disconnected while it waited affects only its own connection.
    while (!failure || failure == asio::error::connection_aborted) {
        asio::ip::tcp::socket waiting(this->acceptor.get_executor());
        this->acceptor.accept(waiting, failure);
        if (!failure)
            this->adopt(std::move(waiting));
    }
    this->acceptor.close(failure); // no caller can connect any more, whether or not this fails
    this->pause.cancel();
}

CallerBacklog CallerServer::backlog() const
{
    CallerBacklog total;
    for (const auto &weak : this->connections) {
        const auto connection = weak.lock();
        if (!connection || !connection->isOpen())
            continue;
        ++total.connections;
        total.unsentBytes += connection->pendingBytes();
    }
    return total;
}

void CallerServer::closeIdle()
{
    for (const auto &weak : this->connections) {
        if (const auto connection = weak.lock())
            connection->closeIfIdle();
    }
}

} // namespace jaytrack
