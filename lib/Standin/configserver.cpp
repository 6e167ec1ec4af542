#include "jaytrack/Http/server.h"
#include "jaytrack/Standin/servers.h"

#include "timerthread.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <deque>
#include <fstream>
#include <list>
#include <mutex>
#include <sstream>

namespace jaytrack {

namespace {

using nlohmann::json;

std::uint64_t numberOf(const std::string &text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

// Assigns a revision to each document that is put, answers reads at once and holds watches open
// until there is a newer revision than the one that they name.
class ConfigStandin final : public Standin, private HttpHandler
{
public:
    explicit ConfigStandin(const ConfigStandinOptions &chosen)
        : options(chosen)
    {
    }

    ~ConfigStandin() override
    {
        this->server.reset();
        this->timers.stop();
    }

    ConfigStandin(const ConfigStandin &) = delete;
    ConfigStandin &operator=(const ConfigStandin &) = delete;

    Result<void> start()
    {
        if (!this->options.documentFile.empty()) {
            std::ifstream file(this->options.documentFile);
            std::ostringstream text;
            text << file.rdbuf();
            if (!file)
                return Error{ResultCode::SettingsUnreadable, this->options.documentFile};
            this->document = text.str();
            this->revision = 1;
        }
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
    struct Watch
    {
        std::shared_ptr<ResponseWriter> writer;
        std::shared_ptr<asio::steady_timer> timer;
        bool answered = false;
    };

    using Watches = std::list<std::shared_ptr<Watch>>;

    void handle(HttpRequest request, std::shared_ptr<ResponseWriter> writer) override
    {
        const std::lock_guard lock(this->mutex);
        if (request.path == "/v1/instances")
            this->handleInstances(request, *writer);
        else if (request.path == "/counts")
            respondJson(*writer, {{"reads", this->reads}, {"revision", this->revision}});
        else if (request.path == "/v1/document" && request.method == "PUT")
            this->publish(std::move(request.body), *writer);
        else if (request.path == "/v1/document")
            this->read(request, std::move(writer));
        else
            writer->respond(404, {}, "");
    }

    static void respondJson(ResponseWriter &writer, const json &body)
    {
        const std::vector<HttpHeader> headers = {{"Content-Type", "application/json"}};
        writer.respond(200, headers, body.dump());
    }

    void handleInstances(const HttpRequest &request, ResponseWriter &writer)
    {
        ++this->reads;
        const auto now = std::chrono::steady_clock::now();
        if (request.method == "PUT") {
            this->instances.emplace_back(now, request.body);
            respondJson(writer, json::object());
            return;
        }
        while (this->instances.size() > 1 &&
               this->instances[1].first + this->options.instancesLag <= now)
            this->instances.pop_front();
        const bool any = !this->instances.empty();
        const std::vector<HttpHeader> headers = {{"Content-Type", "application/json"}};
        writer.respond(200, headers, any ? this->instances.front().second : "[]");
    }

    void publish(std::string body, ResponseWriter &writer)
    {
        this->document = std::move(body);
        ++this->revision;
        respondJson(writer, {{"revision", this->revision}});
        Watches due;
        due.swap(this->watches);
        for (const auto &watch : due) {
            watch->answered = true;
            watch->timer->cancel();
            this->respondDocument(*watch->writer);
        }
    }

    void respondDocument(ResponseWriter &writer) const
    {
        const std::vector<HttpHeader> headers = {
                {"Content-Type", "application/json"},
                {"Config-Revision", std::to_string(this->revision)}};
        writer.respond(200, headers, this->document);
    }

    void read(const HttpRequest &request, std::shared_ptr<ResponseWriter> writer)
    {
        ++this->reads;
        if (this->revision == 0) {
            writer->respond(404, {}, "");
            return;
        }
        const std::uint64_t after = numberOf(request.queryValue("after"));
        const std::chrono::milliseconds wait(numberOf(request.queryValue("wait_ms")));
        if (this->revision > after || wait.count() == 0) {
            this->respondDocument(*writer);
            return;
        }
        const auto watch = std::make_shared<Watch>();
        watch->writer = std::move(writer);
        watch->timer = std::make_shared<asio::steady_timer>(this->timers.context, wait);
        this->watches.push_back(watch);
        watch->timer->async_wait([this, watch](const asio::error_code &) {
            const std::lock_guard lock(this->mutex);
            if (watch->answered)
                return;
            watch->answered = true;
            watch->writer->respond(304, {}, "");
            this->watches.remove(watch);
        });
    }

    ConfigStandinOptions options;
    TimerThread timers;
    std::mutex mutex;
    std::string document;
    std::uint64_t revision = 0;
    std::uint64_t reads = 0;
    Watches watches;
    std::deque<std::pair<std::chrono::steady_clock::time_point, std::string>> instances;
    std::unique_ptr<HttpServer> server;
};

} // namespace

Result<std::unique_ptr<Standin>> startConfigStandin(const ConfigStandinOptions &options)
{
    auto standin = std::make_unique<ConfigStandin>(options);
    const Result<void> started = standin->start();
    if (!started)
        return started.error();
    return std::unique_ptr<Standin>(std::move(standin));
}

} // namespace jaytrack
