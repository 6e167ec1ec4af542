#include "jaytrack/Http/server.h"
#include "jaytrack/Standin/servers.h"

#include "timerthread.h"

#include <nlohmann/json.hpp>

#include <map>
#include <mutex>

namespace jaytrack {

namespace {

using nlohmann::json;

// Runs each request that it receives and counts the runs by the "order" field of the body.
class ServiceStandin final : public Standin, private HttpHandler
{
public:
    explicit ServiceStandin(const ServiceStandinOptions &chosen)
        : options(chosen)
    {
    }

    ~ServiceStandin() override
    {
        this->server.reset();
        this->timers.stop();
    }

    ServiceStandin(const ServiceStandin &) = delete;
    ServiceStandin &operator=(const ServiceStandin &) = delete;

    Result<void> start()
    {
        HttpServerOptions listen;
        listen.address = this->options.address;
        listen.port = this->options.port;
        listen.threads = 1;
        auto started = startHttpServer(listen, *this);
        if (!started)
            return started.error();
        this->server = std::move(started.value());
        this->timers.start();
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }

    std::uint16_t port() const override { return this->server->port(); }

private:
    void handle(HttpRequest request, std::shared_ptr<ResponseWriter> writer) override
    {
        if (request.path == "/counts") {
            const std::lock_guard lock(this->mutex);
            respond(*writer, {{"name", this->options.name}, {"runs", this->runs}});
            return;
        }
        if (request.path == "/control" && request.method == "POST") {
            this->control(json::parse(request.body, nullptr, false));
            respond(*writer, json::object());
            return;
        }
        const json body = json::parse(request.body, nullptr, false);
        const std::string order = body.is_object() ? body.value("order", "") : "";
        const json answer = {{"service", this->options.name},
                             {"path", request.path},
                             {"customer", std::string(request.header("X-Customer"))},
                             {"order", order}};
        if (this->run(order, std::string(request.header("Idempotency-Key"))))
            this->respondLater(std::move(writer), answer);
    }

    static void respond(ResponseWriter &writer, const json &body)
    {
        const std::vector<HttpHeader> headers = {{"Content-Type", "application/json"}};
        writer.respond(200, headers, body.dump());
    }

    // Runs a request. Returns false if its answer is to be dropped.
    bool run(const std::string &order, const std::string &key)
    {
        const std::lock_guard lock(this->mutex);
        ++this->requests;
        const bool repeat = this->options.deduplicates && !key.empty() && ++this->keys[key] > 1;
        if (!repeat && !order.empty())
            ++this->runs[order];
        return this->options.dieAfter == 0 || this->requests <= this->options.dieAfter;
    }

    void control(const json &order)
    {
        const std::lock_guard lock(this->mutex);
        if (!order.is_object())
            return;
        this->options.dieAfter = order.value("die_after", this->options.dieAfter);
        this->options.takes =
                std::chrono::milliseconds(order.value("takes_ms", this->options.takes.count()));
    }

    void respondLater(std::shared_ptr<ResponseWriter> writer, json answer)
    {
        std::chrono::milliseconds takes{0};
        {
            const std::lock_guard lock(this->mutex);
            takes = this->options.takes;
        }
        auto timer = std::make_shared<asio::steady_timer>(this->timers.context, takes);
        timer->async_wait([timer, writer = std::move(writer), answer = std::move(answer)](
                                  const asio::error_code &) { respond(*writer, answer); });
    }

    ServiceStandinOptions options;
    TimerThread timers;
    std::mutex mutex;
    std::uint64_t requests = 0;
    std::map<std::string, std::uint64_t> runs;
    std::map<std::string, std::uint64_t> keys;
    std::unique_ptr<HttpServer> server;
};

} // namespace

Result<std::unique_ptr<Standin>> startServiceStandin(const ServiceStandinOptions &options)
{
    auto standin = std::make_unique<ServiceStandin>(options);
    const Result<void> started = standin->start();
    if (!started)
        return started.error();
    return std::unique_ptr<Standin>(std::move(standin));
}

} // namespace jaytrack
