// An HTTP/1.1 client based on libcurl. It runs many streams on few threads, with flow control.
#ifndef JAYTRACK_HTTP_CLIENT_H
#define JAYTRACK_HTTP_CLIENT_H

#include "jaytrack/Net/message.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace jaytrack {

// One request to send.
struct HttpCall
{
    std::string method = "GET";
    std::string url;
    std::vector<HttpHeader> headers;
    std::string body;
    std::chrono::milliseconds connectTimeout{500};
    std::chrono::milliseconds totalTimeout{0}; // 0 means no limit
    std::size_t maxBodyBytes = 0; // of the response, above which the call fails; 0 means no limit
    // Whether the request may be sent twice. False forces a new connection: when a reused
    // connection breaks before the first byte of the response, libcurl silently resends the
    // request, which would run a non-idempotent request twice.
    bool mayRepeat = false;
};

// How a call ended.
struct HttpCallEnd
{
    bool whole = false;       // the complete response arrived
    bool maySentBytes = true; // false only if no connection was made, so nothing reached the peer
    int status = 0;
    std::string error;
};

// Receives one response. All functions are called from one thread of the client and must not block.
class HttpCallListener
{
public:
    virtual ~HttpCallListener() = default;
    virtual void onHeaders(int status, std::span<const HttpHeader> headers) = 0;

    // Receives the next bytes. Returning false leaves them in the client, which stops reading from
    // the peer until HttpClient::resume is called, so that a slow reader does not make the client
    // buffer the response.
    virtual bool onData(std::string_view data) = 0;

    virtual void onEnd(const HttpCallEnd &end) = 0;
};

using HttpCallId = std::uint64_t;

// Sends calls. Functions may be called from any thread.
class HttpClient
{
public:
    explicit HttpClient(std::size_t threads);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    HttpCallId start(HttpCall call, std::shared_ptr<HttpCallListener> listener);

    // Resumes reading for a call whose listener refused data.
    void resume(HttpCallId call);

    // Stops all threads; no listener is called afterwards. For use at process exit.
    void stop();

    // Cancels a call. The listener is not called any more once the client's thread has processed
    // the cancellation.
    void cancel(HttpCallId call);

private:
    class Worker;
    std::vector<std::unique_ptr<Worker>> workers;
    std::unique_ptr<struct HttpClientCounter> counter;
};

// The result of fetch().
struct FetchedAnswer
{
    HttpCallEnd end;
    std::vector<HttpHeader> headers;
    std::string body;
};

// Sends one call and waits for the complete response. For tools and start-up, not for the request
// path.
FetchedAnswer fetch(HttpClient &client, HttpCall call);

// Sends one call and passes the complete response, limited to maxBytes, to a function.
void fetchLater(HttpClient &client, HttpCall call, std::size_t maxBytes,
                std::function<void(FetchedAnswer)> done);

} // namespace jaytrack

#endif
