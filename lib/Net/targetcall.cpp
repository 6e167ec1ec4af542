#include "jaytrack/Net/targetcall.h"

#include "jaytrack/Net/socket.h"

#include <asio/write.hpp>

#include <cassert>

namespace jaytrack {

namespace {

constexpr std::size_t maxAnswerHeadBytes = 32U << 10U;
constexpr int firstFinalStatus = 200;

// More than any server sends before its answer; a target that sends interim responses without end
// would otherwise occupy the call until its deadline.
constexpr int maxInterimAnswers = 256;

constexpr std::string_view resetReason = "reset";

} // namespace

std::string formatRequest(const TargetRequest &request)
{
    std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
    for (const HttpHeader &header : request.headers) {
        // A line break in a value would begin another header, or another request.
        if (isHeaderName(header.name) && isHeaderValue(header.value))
            text += header.name + ": " + header.value + "\r\n";
    }
    if (!request.body.empty() || request.method != "GET")
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    text += "Connection: close\r\n\r\n";
    text += request.body;
    return text;
}

bool appendWithin(std::string &body, std::string_view bytes, std::size_t maxBytes)
{
    if (body.size() + bytes.size() > maxBytes)
        return false;
    body += bytes;
    return true;
}

std::shared_ptr<TargetCall> TargetCall::start(asio::io_context &context, TargetRequest request,
                                              std::weak_ptr<TargetCallListener> listener)
{
    auto call = std::make_shared<TargetCall>(context, std::move(request), std::move(listener));
    call->connect();
    return call;
}

TargetCall::TargetCall(asio::io_context &context, TargetRequest outgoingRequest,
                       std::weak_ptr<TargetCallListener> to)
    : socket(context)
    , timer(context)
    , request(std::move(outgoingRequest))
    , listener(std::move(to))
    , parser(HttpMessageParser::MessageKind::Answers, *this, maxAnswerHeadBytes)
{
    if (this->request.method == "HEAD")
        this->parser.expectNoBody();
}

void TargetCall::connect()
{
    this->timer.expires_after(this->request.connectTimeout);
    this->timer.async_wait([self = this->shared_from_this()](const asio::error_code &failure) {
        if (!failure && !self->sent)
            self->end(false, "connect_timeout");
    });
    this->socket.async_connect(this->request.endpoint,
                               [self = this->shared_from_this()](const asio::error_code &failure) {
                                   if (self->ended)
                                       return;
                                   if (failure)
                                       self->end(false, "connect_failed");
                                   else
                                       self->send();
                               });
}

void TargetCall::send()
{
    this->timer.cancel();
    prepareSocket(this->socket);
    if (const auto to = this->listener.lock())
        to->onConnected();
    if (this->ended)
        return;
    this->outgoing = formatRequest(this->request);
    this->request.body.clear();
    this->request.headers.clear();
    this->sent = true;
    asio::async_write(
            this->socket, asio::buffer(this->outgoing),
            [self = this->shared_from_this()](const asio::error_code &failure, std::size_t) {
                self->outgoing.clear();
                self->outgoing.shrink_to_fit();
                self->onWritten(failure);
            });
    this->read();
}

// A target may respond without reading the whole body. The response is read in any case, so a
// failed write does not end the call.
void TargetCall::onWritten(const asio::error_code &failure)
{
    this->writeState = failure ? WriteState::Failed : WriteState::Written;
    if (this->closedByTarget && !this->ended)
        this->onClosed();
}

void TargetCall::read()
{
    if (this->ended || this->paused || this->reading)
        return;
    this->reading = true;
    this->socket.async_read_some(
            asio::buffer(this->incoming),
            [self = this->shared_from_this()](const asio::error_code &failure, std::size_t bytes) {
                self->reading = false;
                self->onRead(failure, bytes);
            });
}

void TargetCall::onRead(const asio::error_code &failure, std::size_t bytes)
{
    if (this->ended)
        return;
    if (failure && failure != asio::error::eof)
        return this->end(false, resetReason, true);
    if (failure) {
        this->closedByTarget = true;
        // Whether the end is orderly is not known before the write has ended.
        if (this->writeState != WriteState::Writing)
            this->onClosed();
        return;
    }
    std::string_view rest(this->incoming.data(), bytes);
    while (!rest.empty() && !this->ended) {
        const HttpMessageParser::FeedResult fed = this->parser.feed(rest);
        rest.remove_prefix(std::min(fed.consumed, rest.size()));
        if (this->ended)
            return;
        if (fed.state == ParseState::MessageEnded) {
            if (this->answered)
                return this->end(true, "complete");
            if (++this->interimAnswers > maxInterimAnswers)
                return this->end(false, garbledReason);
            continue;
        }
        if (fed.state != ParseState::NeedsMore)
            return this->end(false, garbledReason);
    }
    this->read();
}

// Only an orderly shutdown completes a response without a length; after a reset, bytes are missing.
// The system reports a reset once: if a write takes the report, the read sees an orderly end.
void TargetCall::onClosed()
{
    if (this->writeState != WriteState::Written)
        return this->end(false, resetReason, true);
    if (this->parser.inMessage() && this->parser.finish() && this->answered)
        return this->end(true, "complete");
    this->end(false, "closed_early", true);
}

void TargetCall::onHead(MessageHead head)
{
    this->interim = head.status < firstFinalStatus;
    if (this->interim)
        return;
    if (const auto to = this->listener.lock())
        to->onAnswerHead(std::move(head));
}

void TargetCall::onBody(std::string_view bytes)
{
    if (this->ended || this->interim)
        return;
    if (const auto to = this->listener.lock())
        to->onAnswerBody(bytes);
}

void TargetCall::onMessageEnd()
{
    this->answered = !this->interim;
}

void TargetCall::end(bool whole, std::string_view reason, bool lostConnection)
{
    if (this->ended)
        return;
    this->cancel();
    if (const auto to = this->listener.lock())
        to->onCallEnd({whole, this->sent, reason, lostConnection});
}

void TargetCall::cancel()
{
    this->ended = true;
    asio::error_code ignored; // no error of closing needs handling
    this->timer.cancel();
    this->socket.close(ignored);
}

TargetRequest TargetCall::takeUnsent()
{
    assert(this->ended && !this->sent && "a request that may have arrived must not be reused");
    return std::move(this->request);
}

void TargetCall::setPaused(bool pause)
{
    this->paused = pause;
    if (!pause)
        this->read();
}

} // namespace jaytrack
