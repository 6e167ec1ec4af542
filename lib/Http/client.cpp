#include "jaytrack/Http/client.h"

#include "jaytrack/Net/socket.h"

#include <asio.hpp>
#include <curl/curl.h>

#include <atomic>
#include <cassert>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <unordered_map>

namespace jaytrack {

struct HttpClientCounter
{
    std::atomic<HttpCallId> next{1};
};

namespace {

// Maximum size of everything in a response that is not its body: the head, the interim responses
// before it and the trailers. libcurl 7.88 does not limit their number.
constexpr std::size_t maxHeadBytes = 64U << 10U;

constexpr int firstFinalStatus = 200;

struct CurlGlobal
{
    CurlGlobal() { curl_global_init(CURL_GLOBAL_DEFAULT); }
};

// The state of one call on its worker's thread.
struct Transfer
{
    HttpCallId id = 0;
    CURL *easy = nullptr;
    curl_slist *headerList = nullptr;
    HttpCall call;
    std::shared_ptr<HttpCallListener> listener;
    std::vector<HttpHeader> received;
    bool headersTold = false;
    bool headComplete = false;
    std::size_t headBytes = 0;
    std::size_t bodyBytes = 0;
    bool tooLarge = false;
    bool malformed = false;

    Transfer() = default;
    Transfer(const Transfer &) = delete;
    Transfer &operator=(const Transfer &) = delete;

    ~Transfer()
    {
        curl_easy_cleanup(this->easy);
        curl_slist_free_all(this->headerList);
    }

    int status() const
    {
        long code = 0;
        curl_easy_getinfo(this->easy, CURLINFO_RESPONSE_CODE, &code);
        return static_cast<int>(code);
    }

    std::string describeFailure(CURLcode code) const
    {
        if (this->tooLarge)
            return "the answer is larger than the limit";
        if (this->malformed)
            return "the head of the answer is malformed";
        return code == CURLE_OK ? "the connection was closed inside the head"
                                : curl_easy_strerror(code);
    }

    void deliverHeaders()
    {
        if (this->headersTold)
            return;
        this->headersTold = true;
        this->listener->onHeaders(this->status(), this->received);
    }
};

// Whether the line can be a header. libcurl accepts blanks and control bytes in a name, and takes
// "Content-Length :" and "Transfer-Encoding :" for other headers.
bool isHeaderLine(std::string_view line)
{
    const std::size_t colon = line.find(':');
    return colon != std::string_view::npos && isHeaderName(line.substr(0, colon)) &&
           isHeaderValue(line.substr(colon + 1));
}

std::size_t onCurlHeader(char *data, std::size_t size, std::size_t count, void *context)
{
    auto *transfer = static_cast<Transfer *>(context);
    std::string_view line(data, size * count);
    const bool isWholeLine = line.ends_with('\n');
    transfer->headBytes += line.size();
    if (transfer->headBytes > maxHeadBytes) {
        transfer->tooLarge = true;
        return 0;
    }
    while (!line.empty() && (line.back() == '\r' || line.back() == '\n'))
        line.remove_suffix(1);
    const bool isStatusLine = line.starts_with("HTTP/");
    // The head of an interim response is followed by another one. libcurl also passes the part of a
    // line after which the connection was closed.
    if (isStatusLine) {
        transfer->headComplete = false;
        transfer->received.clear();
    }
    if (line.empty() && isWholeLine) {
        transfer->malformed = !isHttpStatus(transfer->status());
        transfer->headComplete = !transfer->malformed && transfer->status() >= firstFinalStatus;
    }
    transfer->malformed |= !isStatusLine && !line.empty() && !isHeaderLine(line);
    if (transfer->malformed)
        return 0;
    if (isStatusLine || line.empty())
        return size * count;
    const std::size_t colon = line.find(':');
    std::string_view value = line.substr(colon + 1);
    while (!value.empty() && value.front() == ' ')
        value.remove_prefix(1);
    transfer->received.push_back({std::string(line.substr(0, colon)), std::string(value)});
    return size * count;
}

std::size_t onCurlData(char *data, std::size_t size, std::size_t count, void *context)
{
    auto *transfer = static_cast<Transfer *>(context);
    const std::size_t limit = transfer->call.maxBodyBytes;
    if (limit > 0 && transfer->bodyBytes + size * count > limit) {
        transfer->tooLarge = true;
        return 0;
    }
    transfer->deliverHeaders();
    if (!transfer->listener->onData({data, size * count}))
        return CURL_WRITEFUNC_PAUSE;
    transfer->bodyBytes += size * count;
    return size * count;
}

// Without these options a connection that falls silent is noticed only by the call's time limit,
// which a stream does not have.
int onCurlSocket(void *, curl_socket_t descriptor, curlsocktype)
{
    prepareDescriptor(descriptor);
    return CURL_SOCKOPT_OK;
}

// Whether a failed call established no connection, so that no byte of the request was sent. The
// error code alone does not show this: when a reused connection breaks before the response, libcurl
// resends the request by itself, and the error is that of the second connection.
bool failedBeforeSending(CURLcode code, CURL *easy)
{
    long sentBytes = 0;
    curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &sentBytes);
    if (sentBytes > 0)
        return false;
    if (code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST ||
        code == CURLE_URL_MALFORMAT)
        return true;
    curl_off_t connected = 0;
    curl_easy_getinfo(easy, CURLINFO_CONNECT_TIME_T, &connected);
    return code == CURLE_OPERATION_TIMEDOUT && connected == 0;
}

} // namespace

// One thread with its own multi handle, driven by the readiness of its sockets.
class HttpClient::Worker
{
public:
    Worker()
        : work(asio::make_work_guard(this->context))
        , timer(this->context)
    {
        static const CurlGlobal global;
        this->multi = curl_multi_init();
        curl_multi_setopt(this->multi, CURLMOPT_SOCKETFUNCTION, &Worker::onSocket);
        curl_multi_setopt(this->multi, CURLMOPT_SOCKETDATA, this);
        curl_multi_setopt(this->multi, CURLMOPT_TIMERFUNCTION, &Worker::onTimer);
        curl_multi_setopt(this->multi, CURLMOPT_TIMERDATA, this);
        curl_multi_setopt(this->multi, CURLMOPT_MAXCONNECTS, maxKeptConnections);
        this->thread = std::thread([this] { this->context.run(); });
    }

    void stop()
    {
        this->context.stop();
        if (this->thread.joinable())
            this->thread.join();
    }

    ~Worker()
    {
        this->stop();
        for (auto &[id, transfer] : this->transfers)
            curl_multi_remove_handle(this->multi, transfer->easy);
        this->transfers.clear();
        curl_multi_cleanup(this->multi);
        for (auto &[fd, watch] : this->watches)
            watch->descriptor.release();
    }

    Worker(const Worker &) = delete;
    Worker &operator=(const Worker &) = delete;

    void post(std::function<void()> step) { asio::post(this->context, std::move(step)); }

    void start(HttpCallId id, HttpCall call, std::shared_ptr<HttpCallListener> listener)
    {
        auto transfer = std::make_unique<Transfer>();
        transfer->id = id;
        transfer->easy = curl_easy_init();
        transfer->call = std::move(call);
        transfer->listener = std::move(listener);
        prepare(*transfer);
        CURL *easy = transfer->easy;
        this->transfers.emplace(id, std::move(transfer));
        curl_multi_add_handle(this->multi, easy);
    }

    void resume(HttpCallId id)
    {
        const auto found = this->transfers.find(id);
        if (found == this->transfers.end())
            return;
        curl_easy_pause(found->second->easy, CURLPAUSE_CONT);
        this->reap();
    }

    void cancel(HttpCallId id)
    {
        const auto found = this->transfers.find(id);
        if (found == this->transfers.end())
            return;
        curl_multi_remove_handle(this->multi, found->second->easy);
        this->transfers.erase(found);
    }

private:
    static constexpr long maxKeptConnections = 4096;

    // A libcurl socket and the events it waits for. The generation distinguishes a wait that was
    // started before the descriptor number was closed and reused.
    struct Watch
    {
        Watch(asio::io_context &owner, curl_socket_t fd)
            : descriptor(owner, fd)
        {
        }
        asio::posix::stream_descriptor descriptor;
        int wanted = 0;
        bool reading = false;
        bool writing = false;
    };

    static void prepare(Transfer &transfer)
    {
        CURL *easy = transfer.easy;
        const HttpCall &call = transfer.call;
        curl_easy_setopt(easy, CURLOPT_PRIVATE, &transfer);
        curl_easy_setopt(easy, CURLOPT_URL, call.url.c_str());
        curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
        curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.method.c_str());
        if (call.method == "HEAD")
            curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
        if (!call.body.empty() || call.method == "POST") {
            curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                             static_cast<curl_off_t>(call.body.size()));
            curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call.body.data());
        }
        curl_slist *list = curl_slist_append(nullptr, "Expect:");
        for (const HttpHeader &header : call.headers)
            list = curl_slist_append(list, (header.name + ": " + header.value).c_str());
        transfer.headerList = list;
        curl_easy_setopt(easy, CURLOPT_HTTPHEADER, list);
        curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &onCurlHeader);
        curl_easy_setopt(easy, CURLOPT_HEADERDATA, &transfer);
        curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &onCurlData);
        curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
        curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
        curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, &onCurlSocket);
        curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                         static_cast<long>(call.connectTimeout.count()));
        if (call.totalTimeout.count() > 0)
            curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                             static_cast<long>(call.totalTimeout.count()));
        if (!call.mayRepeat)
            curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    }

    static int onSocket(CURL *, curl_socket_t fd, int what, void *worker, void *)
    {
        auto *self = static_cast<Worker *>(worker);
        if (what == CURL_POLL_REMOVE) {
            self->forget(fd);
            return 0;
        }
        auto found = self->watches.find(fd);
        if (found == self->watches.end())
            found = self->watches.emplace(fd, std::make_shared<Watch>(self->context, fd)).first;
        found->second->wanted = what;
        self->arm(fd, found->second);
        return 0;
    }

    // libcurl closes its sockets itself, so asio must release the descriptor before that.
    void forget(curl_socket_t fd)
    {
        const auto found = this->watches.find(fd);
        if (found == this->watches.end())
            return;
        found->second->wanted = 0;
        found->second->descriptor.release();
        this->watches.erase(found);
    }

    static int onTimer(CURLM *, long millis, void *worker)
    {
        auto *self = static_cast<Worker *>(worker);
        self->timer.cancel();
        if (millis < 0)
            return 0;
        self->timer.expires_after(std::chrono::milliseconds(millis));
        self->timer.async_wait([self](const asio::error_code &ec) {
            if (!ec)
                self->act(CURL_SOCKET_TIMEOUT, 0);
        });
        return 0;
    }

    void arm(curl_socket_t fd, const std::shared_ptr<Watch> &watch)
    {
        using Wait = asio::posix::stream_descriptor;
        if ((watch->wanted & CURL_POLL_IN) != 0 && !watch->reading) {
            watch->reading = true;
            watch->descriptor.async_wait(Wait::wait_read, [this, fd, watch](asio::error_code ec) {
                watch->reading = false;
                this->ready(fd, watch, CURL_POLL_IN, CURL_CSELECT_IN, ec);
            });
        }
        if ((watch->wanted & CURL_POLL_OUT) != 0 && !watch->writing) {
            watch->writing = true;
            watch->descriptor.async_wait(Wait::wait_write, [this, fd, watch](asio::error_code ec) {
                watch->writing = false;
                this->ready(fd, watch, CURL_POLL_OUT, CURL_CSELECT_OUT, ec);
            });
        }
    }

    void ready(curl_socket_t fd, const std::shared_ptr<Watch> &watch, int interest, int event,
               const asio::error_code &ec)
    {
        if ((watch->wanted & interest) == 0)
            return;
        this->act(fd, ec ? CURL_CSELECT_ERR : event);
        if (watch->wanted != 0 && !ec)
            this->arm(fd, watch);
    }

    void act(curl_socket_t fd, int events)
    {
        int running = 0;
        curl_multi_socket_action(this->multi, fd, events, &running);
        this->reap();
    }

    void reap()
    {
        int left = 0;
        while (const CURLMsg *message = curl_multi_info_read(this->multi, &left)) {
            if (message->msg != CURLMSG_DONE)
                continue;
            this->complete(message->easy_handle, message->data.result);
        }
    }

    void complete(CURL *easy, CURLcode code)
    {
        char *owner = nullptr;
        curl_easy_getinfo(easy, CURLINFO_PRIVATE, &owner);
        const auto found = this->transfers.find(reinterpret_cast<Transfer *>(owner)->id);
        assert(found != this->transfers.end() && "a finished transfer is still listed");
        const std::unique_ptr<Transfer> transfer = std::move(found->second);
        this->transfers.erase(found);
        curl_multi_remove_handle(this->multi, easy);
        HttpCallEnd end;
        // libcurl reports success when the connection is closed inside the head.
        end.whole = code == CURLE_OK && transfer->headComplete;
        end.maySentBytes = code == CURLE_OK || !failedBeforeSending(code, easy);
        // Headers of an incomplete head may state an outcome that the rest of the head would
        // change.
        end.status = transfer->headComplete ? transfer->status() : 0;
        if (!end.whole)
            end.error = transfer->describeFailure(code);
        if (end.status != 0)
            transfer->deliverHeaders();
        transfer->listener->onEnd(end);
    }

    asio::io_context context{1};
    asio::executor_work_guard<asio::io_context::executor_type> work;
    asio::steady_timer timer;
    CURLM *multi = nullptr;
    std::unordered_map<curl_socket_t, std::shared_ptr<Watch>> watches;
    std::unordered_map<HttpCallId, std::unique_ptr<Transfer>> transfers;
    std::thread thread;
};

HttpClient::HttpClient(std::size_t threads)
    : counter(std::make_unique<HttpClientCounter>())
{
    assert(threads > 0 && "a client needs a thread");
    for (std::size_t i = 0; i < threads; ++i)
        this->workers.push_back(std::make_unique<Worker>());
}

HttpClient::~HttpClient() = default;

HttpCallId HttpClient::start(HttpCall call, std::shared_ptr<HttpCallListener> listener)
{
    const HttpCallId id = this->counter->next.fetch_add(1);
    Worker *worker = this->workers[id % this->workers.size()].get();
    worker->post([worker, id, call = std::move(call), listener = std::move(listener)]() mutable {
        worker->start(id, std::move(call), std::move(listener));
    });
    return id;
}

void HttpClient::stop()
{
    for (const auto &worker : this->workers)
        worker->stop();
}

void HttpClient::resume(HttpCallId call)
{
    Worker *worker = this->workers[call % this->workers.size()].get();
    worker->post([worker, call] { worker->resume(call); });
}

void HttpClient::cancel(HttpCallId call)
{
    Worker *worker = this->workers[call % this->workers.size()].get();
    worker->post([worker, call] { worker->cancel(call); });
}

namespace {

class Collector final : public HttpCallListener
{
public:
    explicit Collector(std::function<void(FetchedAnswer)> done)
        : whenDone(std::move(done))
    {
    }

    void onHeaders(int, std::span<const HttpHeader> headers) override
    {
        this->answer.headers.assign(headers.begin(), headers.end());
    }

    bool onData(std::string_view data) override
    {
        this->answer.body += data;
        return true;
    }

    void onEnd(const HttpCallEnd &end) override
    {
        this->answer.end = end;
        this->whenDone(std::move(this->answer));
    }

private:
    std::function<void(FetchedAnswer)> whenDone;
    FetchedAnswer answer;
};

} // namespace

void fetchLater(HttpClient &client, HttpCall call, std::size_t maxBytes,
                std::function<void(FetchedAnswer)> done)
{
    call.maxBodyBytes = maxBytes;
    client.start(std::move(call), std::make_shared<Collector>(std::move(done)));
}

FetchedAnswer fetch(HttpClient &client, HttpCall call)
{
    static constexpr std::size_t toolLimit = 64U << 20U;
    std::promise<FetchedAnswer> promise;
    fetchLater(client, std::move(call), toolLimit,
               [&promise](FetchedAnswer answer) { promise.set_value(std::move(answer)); });
    return promise.get_future().get();
}

} // namespace jaytrack
