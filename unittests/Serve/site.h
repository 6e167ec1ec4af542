// Test fixture with stand-ins and instances in one process, on ports picked by the system.
#ifndef JAYTRACK_UNITTESTS_SERVE_SITE_H
#define JAYTRACK_UNITTESTS_SERVE_SITE_H

#include "jaytrack/Config/document.h"
#include "jaytrack/Config/settings.h"
#include "jaytrack/Http/client.h"
#include "jaytrack/Serve/instance.h"
#include "jaytrack/Standin/servers.h"
#include "jaytrack/Support/digest.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

namespace jaytrack::test {

// The key that the instances of one test share. Tests run side by side, and a port that one of them
// gave back may be another one's next.
inline std::string fleetKeyOfTest()
{
    return "the key of the test's fleet, process " + std::to_string(getpid());
}

inline const std::string weaverKey = "key-of-the-weavers";
inline const std::string dyerKey = "key-of-the-dyers";

// Waits up to ten seconds for the condition to become true. Returns its last value.
inline bool eventually(const std::function<bool()> &condition)
{
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (std::chrono::steady_clock::now() < limit) {
        if (condition())
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return condition();
}

// Options of a site.
struct SitePlan
{
    std::size_t engines = 2;
    std::size_t services = 2;
    std::size_t instances = 1;
    bool deduplicates = false;
    bool repeatable = true;
    bool engineResumes = true;
    std::uint32_t maxConcurrent = 50;
    std::chrono::milliseconds serviceTimeout{2000};
    std::size_t streamBufferBytes = Settings().streamBufferBytes;
    std::chrono::milliseconds deliveryGrace = Settings().deliveryGrace;
    EngineFaults engineFaults;
    ServiceStandinOptions service;
    double stepMs = 2;
};

class Site
{
public:
    explicit Site(SitePlan sitePlan = {})
        : plan(std::move(sitePlan))
    {
        for (std::size_t i = 0; i < this->plan.engines; ++i)
            this->engines.push_back(this->startEngine(i));
        for (std::size_t i = 0; i < this->plan.services; ++i) {
            ServiceStandinOptions options = this->plan.service;
            options.name = "account-" + std::to_string(i);
            options.deduplicates = this->plan.deduplicates;
            this->services.push_back(std::move(startServiceStandin(options).value()));
        }
        this->config = std::move(startConfigStandin({}).value());
        this->publish(this->document());
        for (std::size_t i = 0; i < this->plan.instances; ++i)
            this->addInstance(this->configUrl());
    }

    std::unique_ptr<Standin> startEngine(std::size_t number) const
    {
        EngineStandinOptions options;
        options.name = "engine-" + std::to_string(number);
        options.size.stepBaseMs = this->plan.stepMs;
        options.size.stepPerSequenceMs = 0;
        options.faults = this->plan.engineFaults;
        return std::move(startEngineStandin(options).value());
    }

    Document document() const
    {
        Document newDocument;
        Model model;
        model.name = "pattern";
        model.repeatable = this->plan.repeatable;
        model.maxWait = std::chrono::seconds(5);
        model.silenceTimeout = std::chrono::seconds(2);
        newDocument.models.push_back(model);
        for (std::size_t i = 0; i < this->engines.size(); ++i) {
            Engine engine;
            engine.name = "engine-" + std::to_string(i);
            engine.dataCentre = "falun";
            engine.address = addressOf(this->engines[i]->port());
            engine.model = "pattern";
            engine.can = {this->plan.engineResumes, true, true, true};
            newDocument.engines.push_back(engine);
        }
        Service service;
        service.name = "account";
        service.deduplicates = this->plan.deduplicates;
        service.timeout = this->plan.serviceTimeout;
        service.routes = {{"GET", "/readings", true}};
        for (std::size_t i = 0; i < this->services.size(); ++i)
            service.targets.push_back({"account-" + std::to_string(i), "falun",
                                       addressOf(this->services[i]->port()), false});
        newDocument.services.push_back(service);
        newDocument.customers.push_back(
                {"weavers", {sha256Hex(weaverKey)}, 1, this->plan.maxConcurrent});
        newDocument.customers.push_back(
                {"dyers", {sha256Hex(dyerKey)}, 1, this->plan.maxConcurrent});
        newDocument.index();
        return newDocument;
    }

    void publish(const Document &newDocument)
    {
        HttpCall call;
        call.method = "PUT";
        call.url = this->configUrl();
        call.body = newDocument.serialise();
        fetch(this->client, call);
    }

    std::string configUrl() const
    {
        return "http://" + addressOf(this->config->port()) + "/v1/document";
    }

    Instance &addInstance(const std::string &url)
    {
        Settings settings;
        settings.name = "instance-" + std::to_string(this->started++);
        settings.dataCentre = "falun";
        settings.callers = {"127.0.0.1", 0};
        settings.peers = {"127.0.0.1", 0};
        settings.operators = {"127.0.0.1", 0};
        settings.peerKeys = {fleetKeyOfTest()};
        settings.configUrl = url;
        settings.abandonGrace = std::chrono::milliseconds(400);
        settings.readyDelay = std::chrono::milliseconds(300);
        settings.streamBufferBytes = this->plan.streamBufferBytes;
        settings.deliveryGrace = this->plan.deliveryGrace;
        for (const auto &other : this->instances) {
            if (other)
                settings.peerSeeds.push_back(addressOf(other->peerPort()));
        }
        auto startResult = Instance::start(settings, this->clock);
        cr_assert(startResult.has_value(), "%s",
                  startResult ? "" : startResult.error().detail.c_str());
        this->instances.push_back(std::move(startResult.value()));
        Instance &instance = *this->instances.back();
        eventually([&instance] { return instance.isReady(); });
        return instance;
    }

    static std::string addressOf(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

    std::string base(std::size_t instance = 0) const
    {
        return "http://" + addressOf(this->instances[instance]->callerPort());
    }

    FetchedAnswer request(const std::string &method, const std::string &path,
                          const std::string &body = "", std::vector<HttpHeader> headers = {},
                          const std::string &key = weaverKey, std::size_t instance = 0)
    {
        HttpCall call;
        call.method = method;
        call.url = this->base(instance) + path;
        call.body = body;
        call.headers = std::move(headers);
        call.headers.push_back({"Authorization", "Bearer " + key});
        return fetch(this->client, call);
    }

    // Obtains a ticket for a payment and returns the URL at which the payment may be sent.
    std::string ticketUrl(std::size_t instance = 0)
    {
        const FetchedAnswer offer =
                this->request("POST", "/account/pay", payment("any"), {}, weaverKey, instance);
        return std::string(findHeader(offer.headers, "Location"));
    }

    static std::string payment(const std::string &order)
    {
        return nlohmann::json{{"order", order}}.dump();
    }

    // Returns how often an order ran on all targets of the service together.
    std::uint64_t runsOf(const std::string &order)
    {
        std::uint64_t runs = 0;
        for (const auto &service : this->services) {
            HttpCall call;
            call.url = "http://" + addressOf(service->port()) + "/counts";
            const auto counts = nlohmann::json::parse(fetch(this->client, call).body);
            runs += counts["runs"].value(order, std::uint64_t{0});
        }
        return runs;
    }

    nlohmann::json engineCounts(std::size_t engine)
    {
        HttpCall call;
        call.url = "http://" + addressOf(this->engines[engine]->port()) + "/counts";
        return nlohmann::json::parse(fetch(this->client, call).body);
    }

    void control(const std::unique_ptr<Standin> &standin, const nlohmann::json &order)
    {
        HttpCall call;
        call.method = "POST";
        call.url = "http://" + addressOf(standin->port()) + "/control";
        call.body = order.dump();
        fetch(this->client, call);
    }

    static std::string prompt(std::uint32_t length, bool stream)
    {
        return nlohmann::json{
                {"model", "pattern"},
                {"stream", stream},
                {"messages",
                 {{{"role", "user"}, {"content", "[[length=" + std::to_string(length) + "]]"}}}}}
                .dump();
    }

    SitePlan plan;
    SystemClock clock;
    HttpClient client{2};
    std::vector<std::unique_ptr<Standin>> engines;
    std::vector<std::unique_ptr<Standin>> services;
    std::unique_ptr<Standin> config;
    std::vector<std::unique_ptr<Instance>> instances;
    int started = 0;
};

// Reads a stream in the background and can disconnect at any time.
class StreamReader
{
public:
    StreamReader(Site &testSite, const std::string &url, const std::string &cursor = "",
                 const std::string &post = "", const std::string &key = weaverKey)
        : site(testSite)
        , state(std::make_shared<State>())
    {
        HttpCall call;
        call.method = post.empty() ? "GET" : "POST";
        call.url = url;
        call.body = post;
        call.headers = {{"Authorization", "Bearer " + key}};
        if (!cursor.empty())
            call.headers.push_back({"Last-Event-ID", cursor});
        this->id = testSite.client.start(std::move(call), this->state);
    }

    ~StreamReader() { this->site.client.cancel(this->id); }
    StreamReader(const StreamReader &) = delete;
    StreamReader &operator=(const StreamReader &) = delete;

    // Disconnects. Data that arrives afterwards is discarded.
    void hangUp()
    {
        {
            const std::lock_guard lock(this->state->mutex);
            this->state->disconnected = true;
        }
        this->site.client.cancel(this->id);
    }

    // Stops reading, like a slow caller, until release() is called.
    void pause()
    {
        const std::lock_guard lock(this->state->mutex);
        this->state->paused = true;
    }

    void unpause()
    {
        {
            const std::lock_guard lock(this->state->mutex);
            this->state->paused = false;
        }
        this->site.client.resume(this->id);
    }

    std::string text() const
    {
        const std::lock_guard lock(this->state->mutex);
        return this->state->text;
    }

    bool ended() const
    {
        const std::lock_guard lock(this->state->mutex);
        return this->state->ended;
    }

    int status() const
    {
        const std::lock_guard lock(this->state->mutex);
        return this->state->status;
    }

    std::string header(std::string_view name) const
    {
        const std::lock_guard lock(this->state->mutex);
        return std::string(findHeader(this->state->headers, name));
    }

    bool whole() const { return this->text().find("data: [DONE]") != std::string::npos; }

    // Returns the indexes in the texts of the received tokens, for example "0,1,2,".
    std::string indexes() const
    {
        const std::string all = this->text();
        std::string found;
        static const std::string mark = "\"content\":\"";
        for (std::size_t at = all.find(mark); at != std::string::npos; at = all.find(mark, at)) {
            at += mark.size();
            const std::size_t space = all.find(' ', at);
            const std::size_t colon = all.rfind(':', space);
            found += all.substr(colon + 1, space - colon - 1) + ",";
        }
        return found;
    }

    std::string lastCursor() const
    {
        const std::string all = this->text();
        const std::size_t at = all.rfind("id: ");
        const std::size_t end = all.find('\n', at);
        return at == std::string::npos ? "" : all.substr(at + 4, end - at - 4);
    }

private:
    struct State final : HttpCallListener
    {
        void onHeaders(int code, std::span<const HttpHeader> receivedHeaders) override
        {
            const std::lock_guard lock(this->mutex);
            this->status = code;
            this->headers.assign(receivedHeaders.begin(), receivedHeaders.end());
        }
        bool onData(std::string_view data) override
        {
            const std::lock_guard lock(this->mutex);
            if (this->paused)
                return false;
            if (!this->disconnected)
                this->text += data;
            return true;
        }
        void onEnd(const HttpCallEnd &) override
        {
            const std::lock_guard lock(this->mutex);
            this->ended = true;
        }

        std::mutex mutex;
        int status = 0;
        std::vector<HttpHeader> headers;
        std::string text;
        bool ended = false;
        bool disconnected = false;
        bool paused = false;
    };

    Site &site;
    std::shared_ptr<State> state;
    HttpCallId id = 0;
};

// Returns the indexes from first to count - 1 in the format of StreamReader::indexes().
inline std::string upTo(int count, int first = 0)
{
    std::string text;
    for (int i = first; i < count; ++i)
        text += std::to_string(i) + ",";
    return text;
}

} // namespace jaytrack::test

#endif
