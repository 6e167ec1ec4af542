// An HTTP/1.1 server based on RESTinio, behind a small interface, so that TLS can be added or
// another library used without changes to the request handlers.
#ifndef JAYTRACK_HTTP_SERVER_H
#define JAYTRACK_HTTP_SERVER_H

#include "jaytrack/Net/message.h"
#include "jaytrack/Support/result.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

namespace jaytrack {

// Writes the response to one request. Functions may be called from any thread, one at a time.
// Either respond() is called once, or begin(), then write() any number of times, then finish().
class ResponseWriter
{
public:
    // Called with whether the bytes were sent to the peer; false means that the connection is lost.
    using WriteDone = std::function<void(bool sent)>;

    virtual ~ResponseWriter() = default;
    virtual void respond(int status, std::span<const HttpHeader> headers, std::string body) = 0;
    virtual void begin(int status, std::span<const HttpHeader> headers) = 0;
    virtual void write(std::string chunk, WriteDone done) = 0;
    virtual void finish() = 0;
};

// Handles requests. handle() is called from several threads and must not block.
class HttpHandler
{
public:
    virtual ~HttpHandler() = default;
    virtual void handle(HttpRequest request, std::shared_ptr<ResponseWriter> writer) = 0;
};

// The listening address and the limits of a server.
struct HttpServerOptions
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0; // 0 selects any free port
    std::size_t threads = 2;
    std::size_t maxHeaderBytes = 16384;
    std::size_t maxBodyBytes = 4U << 20U;
};

// A listening server; destroying it closes every connection.
class HttpServer
{
public:
    virtual ~HttpServer() = default;
    virtual std::uint16_t port() const = 0;

    // Number of requests whose responses are not fully sent and still can be: those that the
    // handler has not answered, and those whose response the operating system has not accepted
    // completely.
    virtual std::size_t unsent() const = 0;

    // Stops the server at once; unsent data is lost.
    virtual void stop() = 0;
};

// Starts listening. The handler must outlive the server. Fails if the address cannot be bound.
Result<std::unique_ptr<HttpServer>> startHttpServer(const HttpServerOptions &options,
                                                    HttpHandler &handler);

} // namespace jaytrack

#endif
