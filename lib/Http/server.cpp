#include "jaytrack/Http/server.h"

#include <restinio/all.hpp>

#include <atomic>
#include <cassert>
#include <future>
#include <mutex>
#include <optional>
#include <thread>
#include <unordered_set>

namespace jaytrack {

namespace {

using Traits = restinio::default_traits_t;
using RestinioServer = restinio::http_server_t<Traits>;
using StreamBuilder = restinio::response_builder_t<restinio::chunked_output_t>;

// Maximum time between two writes, after which RESTinio closes the connection. Streams send a
// comment far more often than this, so only a request that its handler forgot reaches the limit.
constexpr std::chrono::minutes maxWriteInterval{30};
constexpr std::chrono::seconds connectionIdleTimeout{60};
constexpr std::chrono::seconds writeTimeout{60};

restinio::http_status_line_t statusLine(int status)
{
    const auto code = restinio::http_status_code_t(static_cast<std::uint16_t>(status));
    return {code, status < 400 ? "OK" : "Refused"};
}

class RestinioWriter;

// Counts the requests of one server whose responses are not fully sent. The counter outlives the
// server because writers do.
using AnswerCount = std::shared_ptr<std::atomic<std::size_t>>;

// Increments the count until the returned pointer is released.
std::shared_ptr<void> addToCount(const AnswerCount &count)
{
    count->fetch_add(1);
    return {count.get(), [count](void *) { count->fetch_sub(1); }};
}

// The writers that still hold a connection of one server. A handler may keep a writer beyond the
// lifetime of the server; a connection destroyed after its server would access freed memory, so the
// server detaches the connections from the writers before it is destroyed.
class OpenWriters
{
public:
    void add(RestinioWriter *writer)
    {
        const std::lock_guard lock(this->mutex);
        this->writers.insert(writer);
    }

    void remove(RestinioWriter *writer)
    {
        const std::lock_guard lock(this->mutex);
        this->writers.erase(writer);
    }

    void detachAll();

private:
    std::mutex mutex;
    std::unordered_set<RestinioWriter *> writers;
};

class RestinioWriter final : public ResponseWriter
{
public:
    RestinioWriter(restinio::request_handle_t handle, std::shared_ptr<OpenWriters> open,
                   const AnswerCount &unsent)
        : request(std::move(handle))
        , openWriters(std::move(open))
        , pendingCount(addToCount(unsent))
    {
        this->openWriters->add(this);
    }

    ~RestinioWriter() override { this->openWriters->remove(this); }
    RestinioWriter(const RestinioWriter &) = delete;
    RestinioWriter &operator=(const RestinioWriter &) = delete;

    void respond(int status, std::span<const HttpHeader> headers, std::string body) override
    {
        const std::lock_guard lock(this->mutex);
        if (this->detached)
            return;
        assert(this->request && "a request is answered once");
        auto response = this->request->create_response(statusLine(status));
        for (const HttpHeader &header : headers)
            response.append_header(header.name, header.value);
        response.set_body(std::move(body));
        response.done(this->sentCallback());
        this->request.reset();
    }

    void begin(int status, std::span<const HttpHeader> headers) override
    {
        const std::lock_guard lock(this->mutex);
        if (this->detached)
            return;
        assert(this->request && !this->stream && "a stream begins once");
        this->stream.emplace(
                this->request->create_response<restinio::chunked_output_t>(statusLine(status)));
        for (const HttpHeader &header : headers)
            this->stream->append_header(header.name, header.value);
        this->request.reset();
    }

    void write(std::string chunk, WriteDone done) override
    {
        const std::lock_guard lock(this->mutex);
        if (this->detached)
            return;
        assert(this->stream && "write() comes between begin() and finish()");
        this->stream->append_chunk(std::move(chunk));
        if (!done) {
            this->stream->flush();
            return;
        }
        this->stream->flush([done = std::move(done)](const asio::error_code &ec) { done(!ec); });
    }

    void finish() override
    {
        const std::lock_guard lock(this->mutex);
        if (this->detached)
            return;
        assert(this->stream && "finish() comes after begin()");
        this->stream->done(this->sentCallback());
        this->stream.reset();
    }

    void detach()
    {
        const std::lock_guard lock(this->mutex);
        this->detached = true;
        this->stream.reset();
        this->request.reset();
        this->pendingCount.reset();
    }

private:
    // A response passed to RESTinio may wait for its caller for a long time. If the server stopped
    // as soon as it was passed on, the response would be truncated. RESTinio destroys this callback
    // once the last byte is sent or the connection is lost.
    restinio::write_status_cb_t sentCallback()
    {
        return [kept = std::move(this->pendingCount)](const asio::error_code &) {};
    }

    std::mutex mutex;
    bool detached = false;
    restinio::request_handle_t request;
    std::optional<StreamBuilder> stream;
    std::shared_ptr<OpenWriters> openWriters;
    std::shared_ptr<void> pendingCount; // keeps this response counted until it is sent
};

void OpenWriters::detachAll()
{
    const std::lock_guard lock(this->mutex);
    for (RestinioWriter *writer : this->writers)
        writer->detach();
}

HttpRequest toRequest(const restinio::request_t &from)
{
    HttpRequest request;
    const auto &header = from.header();
    request.method = header.method().c_str();
    request.path = std::string(header.path().data(), header.path().size());
    request.query = std::string(header.query().data(), header.query().size());
    header.for_each_field([&request](const restinio::http_header_field_t &field) {
        request.headers.push_back({field.name(), field.value()});
    });
    request.body = from.body();
    return request;
}

class RestinioHttpServer final : public HttpServer
{
public:
    RestinioHttpServer(const HttpServerOptions &options, HttpHandler &handler)
        : work(asio::make_work_guard(this->context))
        , server(restinio::external_io_context(this->context), this->settings(options, handler))
        , threadCount(options.threads)
    {
    }

    ~RestinioHttpServer() override { this->stop(); }

    RestinioHttpServer(const RestinioHttpServer &) = delete;
    RestinioHttpServer &operator=(const RestinioHttpServer &) = delete;

    Result<void> start()
    {
        for (std::size_t i = 0; i < this->threadCount; ++i)
            this->threads.emplace_back([this] { this->context.run(); });
        std::promise<std::string> opened;
        this->server.open_async([&opened] { opened.set_value({}); },
                                [&opened](const std::exception_ptr &failure) {
                                    opened.set_value(messageOf(failure));
                                });
        const std::string failure = opened.get_future().get();
        if (!failure.empty())
            return Error{ResultCode::SettingsContradiction, "cannot listen: " + failure};
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }

    std::uint16_t port() const override { return this->boundPort; }

    std::size_t unsent() const override { return this->unsentAnswers->load(); }

    void stop() override
    {
        if (this->threads.empty())
            return;
        this->context.stop();
        for (std::thread &thread : this->threads)
            thread.join();
        this->threads.clear();
        this->openWriters->detachAll();
    }

private:
    static std::string messageOf(const std::exception_ptr &failure)
    {
        try {
            std::rethrow_exception(failure);
        } catch (const std::exception &e) {
            return e.what();
        }
    }

    restinio::server_settings_t<Traits> settings(const HttpServerOptions &options,
                                                 HttpHandler &handler)
    {
        restinio::server_settings_t<Traits> made;
        made.address(options.address)
                .port(options.port)
                .read_next_http_message_timelimit(connectionIdleTimeout)
                .handle_request_timeout(maxWriteInterval)
                .write_http_response_timelimit(writeTimeout)
                .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}
                                                  .max_url_size(options.maxHeaderBytes)
                                                  .max_field_name_size(options.maxHeaderBytes)
                                                  .max_field_value_size(options.maxHeaderBytes)
                                                  .max_field_count(100)
                                                  .max_body_size(options.maxBodyBytes))
                .acceptor_options_setter([](restinio::acceptor_options_t &socket) {
                    socket.set_option(asio::ip::tcp::acceptor::reuse_address(true));
                })
                .socket_options_setter([](restinio::socket_options_t &socket) {
                    socket.set_option(asio::ip::tcp::no_delay{true});
                })
                .acceptor_post_bind_hook([this](asio::ip::tcp::acceptor &acceptor) {
                    this->boundPort = acceptor.local_endpoint().port();
                })
                .request_handler([this, &handler](const restinio::request_handle_t &request) {
                    handler.handle(toRequest(*request),
                                   std::make_shared<RestinioWriter>(request, this->openWriters,
                                                                    this->unsentAnswers));
                    return restinio::request_accepted();
                });
        return made;
    }

    std::shared_ptr<OpenWriters> openWriters = std::make_shared<OpenWriters>();
    AnswerCount unsentAnswers = std::make_shared<std::atomic<std::size_t>>(0);
    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> work;
    std::atomic<std::uint16_t> boundPort{0};
    RestinioServer server;
    std::size_t threadCount;
    std::vector<std::thread> threads;
};

} // namespace

Result<std::unique_ptr<HttpServer>> startHttpServer(const HttpServerOptions &options,
                                                    HttpHandler &handler)
{
    auto server = std::make_unique<RestinioHttpServer>(options, handler);
    const Result<void> started = server->start();
    if (!started)
        return started.error();
    return std::unique_ptr<HttpServer>(std::move(server));
}

} // namespace jaytrack
