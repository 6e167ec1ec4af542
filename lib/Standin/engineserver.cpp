#include "jaytrack/Http/server.h"
#include "jaytrack/Standin/servers.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <charconv>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <random>
#include <thread>

namespace jaytrack {

namespace {

using nlohmann::json;

constexpr std::size_t unsentLimit = 64U << 10U;
constexpr std::chrono::seconds keepFinished{60};
constexpr std::uint32_t bytesPerToken = 4;
constexpr std::string_view generationsPath = "/v1/generations/";

// The connection over which one caller reads a generation.
struct Reader
{
    std::shared_ptr<ResponseWriter> writer;
    std::uint32_t next = 0; // first token not yet sent
    std::atomic<std::size_t> unsent{0};
    std::atomic<bool> lost{false};
};

// A generation and its output. Each token is a function of the generation's name and the index.
struct Generation
{
    std::string name;
    std::uint64_t job = 0;
    std::string model;
    bool chat = true;
    std::uint32_t produced = 0;
    bool finished = false;
    bool failed = false;
    bool closedOnce = false;
    std::uint64_t attach = 0;
    std::shared_ptr<Reader> reader;
    std::chrono::steady_clock::time_point finishedAt;
};

std::string tokenText(const Generation &generation, std::uint32_t index)
{
    return generation.name + ":" + std::to_string(index) + " ";
}

std::string tokenEvent(const Generation &generation, std::uint32_t index, bool last)
{
    json choice = {{"index", 0}, {"finish_reason", nullptr}};
    if (generation.chat)
        choice["delta"] = {{"content", tokenText(generation, index)}};
    else
        choice["text"] = tokenText(generation, index);
    if (last)
        choice["finish_reason"] = "stop";
    const json data = {{"id", generation.name},
                       {"object", generation.chat ? "chat.completion.chunk" : "text_completion"},
                       {"model", generation.model},
                       {"choices", json::array({choice})}};
    return "id: " + std::to_string(index) + "\ndata: " + data.dump() + "\n\n";
}

// Lengths are heavy-tailed. A prompt may request a length with a marker that only the stand-in
// reads.
std::uint32_t outputLength(const std::string &body, std::mt19937_64 &random)
{
    static constexpr std::string_view marker = "[[length=";
    const std::size_t at = body.find(marker);
    if (at != std::string::npos) {
        std::uint32_t length = 0;
        const char *start = body.data() + at + marker.size();
        std::from_chars(start, body.data() + body.size(), length);
        return std::max<std::uint32_t>(1, length);
    }
    std::lognormal_distribution<double> lengths(4.5, 1.0);
    return static_cast<std::uint32_t>(std::clamp(lengths(random), 1.0, 30'000.0));
}

class EngineStandin final : public Standin, private HttpHandler
{
public:
    explicit EngineStandin(const EngineStandinOptions &chosen)
        : options(chosen)
        , faults(chosen.faults)
        , random(chosen.seed)
        , engine(chosen.size)
        , boot(std::random_device{}())
        , leaving(chosen.leaving)
    {
    }

    ~EngineStandin() override
    {
        {
            const std::lock_guard lock(this->mutex);
            this->stopping = true;
        }
        this->wake.notify_all();
        if (this->stepper.joinable())
            this->stepper.join();
        this->server.reset();
    }

    EngineStandin(const EngineStandin &) = delete;
    EngineStandin &operator=(const EngineStandin &) = delete;

    Result<void> start()
    {
        HttpServerOptions listen;
        listen.address = this->options.address;
        listen.port = this->options.port;
        listen.threads = this->options.threads;
        auto started = startHttpServer(listen, *this);
        if (!started)
            return started.error();
        this->server = std::move(started.value());
        this->stepper = std::thread([this] { this->run(); });
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }

    std::uint16_t port() const override { return this->server->port(); }

private:
    using Lock = std::unique_lock<std::mutex>;

    void handle(HttpRequest request, std::shared_ptr<ResponseWriter> writer) override
    {
        const Lock lock(this->mutex);
        const std::string_view path = request.path;
        if (path == "/load") {
            this->respondJson(*writer, this->laggingLoad());
        } else if (path == "/counts") {
            this->respondJson(*writer, this->counts());
        } else if (path == "/control" && request.method == "POST") {
            this->control(json::parse(request.body, nullptr, false));
            this->respondJson(*writer, json::object());
        } else if (path == "/orders" && request.method == "POST") {
            this->takeOrder(json::parse(request.body, nullptr, false), *writer);
        } else if (path.substr(0, generationsPath.size()) == generationsPath) {
            this->handleGeneration(request, writer);
        } else if (request.method == "POST") {
            this->begin(request, writer);
        } else {
            respondStatus(*writer, 404, {});
        }
    }

    static void respondJson(ResponseWriter &writer, const json &body)
    {
        const std::vector<HttpHeader> headers = {{"Content-Type", "application/json"}};
        writer.respond(200, headers, body.dump());
    }

    static void respondStatus(ResponseWriter &writer, int status, std::vector<HttpHeader> headers)
    {
        writer.respond(status, headers, "{}");
    }

    void begin(const HttpRequest &request, const std::shared_ptr<ResponseWriter> &writer)
    {
        if (this->leaving) {
            ++this->refusals;
            respondStatus(*writer, 503, {{"Engine-Refused", "leaving"}});
            return;
        }
        const json body = json::parse(request.body, nullptr, false);
        if (!body.is_object()) {
            respondStatus(*writer, 400, {});
            return;
        }
        auto generation = std::make_shared<Generation>();
        generation->job = ++this->lastJob;
        generation->name = this->options.name + "-" + std::to_string(this->boot) + "-" +
                           std::to_string(generation->job);
        generation->model = body.value("model", "");
        generation->chat = request.path.find("chat") != std::string::npos;
        this->generations[generation->name] = generation;
        this->jobs[generation->job] = generation;
        ++this->startsByUser[body.value("user", "")];
        this->engine.submit(this->jobOf(*generation, body, request.body));
        this->attachReader(generation, writer, 0);
        this->wake.notify_all();
    }

    EngineJob jobOf(const Generation &generation, const json &body, const std::string &text)
    {
        EngineJob job;
        job.id = generation.job;
        job.priority = body.value("priority", 0);
        job.promptTokens = static_cast<std::uint32_t>(text.size() / bytesPerToken) + 1;
        job.outputTokens = outputLength(text, this->random);
        if (generation.chat && body.contains("messages") && body["messages"].size() > 1) {
            const std::string prefix = body["messages"][0].value("content", "");
            job.prefixHash = std::hash<std::string>{}(prefix) | 1U;
            job.prefixTokens = static_cast<std::uint32_t>(prefix.size() / bytesPerToken);
        }
        return job;
    }

    void handleGeneration(const HttpRequest &request, const std::shared_ptr<ResponseWriter> &writer)
    {
        std::string name = request.path.substr(generationsPath.size());
        name = name.substr(0, name.find('/'));
        const auto found = this->generations.find(name);
        if (found == this->generations.end() || found->second->failed) {
            respondStatus(*writer, 404, {});
            return;
        }
        const std::shared_ptr<Generation> generation = found->second;
        if (request.method == "DELETE") {
            this->cancel(generation, request, *writer);
            return;
        }
        std::uint32_t from = 0;
        const std::string text = request.queryValue("from");
        std::from_chars(text.data(), text.data() + text.size(), from);
        this->attachReader(generation, writer, from);
    }

    // A new reader replaces the previous one, which receives a "superseded" event.
    void attachReader(const std::shared_ptr<Generation> &generation,
                      const std::shared_ptr<ResponseWriter> &writer, std::uint32_t from)
    {
        if (generation->reader && !generation->reader->lost.load()) {
            generation->reader->writer->write("event: superseded\ndata: {}\n\n", nullptr);
            generation->reader->writer->finish();
        }
        generation->reader = std::make_shared<Reader>();
        generation->reader->writer = writer;
        generation->reader->next = from;
        const std::vector<HttpHeader> headers = {
                {"Content-Type", "text/event-stream"},
                {"Engine-Generation", generation->name},
                {"Engine-Attach", std::to_string(++generation->attach)}};
        writer->begin(200, headers);
        writer->write(": attached\n\n", nullptr);
        this->push(*generation);
    }

    void cancel(const std::shared_ptr<Generation> &generation, const HttpRequest &request,
                ResponseWriter &writer)
    {
        const std::string epoch(request.header("Engine-Attach"));
        if (this->options.honoursFencing && epoch != std::to_string(generation->attach)) {
            respondStatus(writer, 409, {});
            return;
        }
        if (!generation->finished)
            ++this->cancelled;
        this->fail(*generation);
        respondStatus(writer, 200, {});
    }

    void fail(Generation &generation)
    {
        this->engine.cancel(generation.job);
        generation.failed = true;
        generation.finished = true;
        generation.finishedAt = std::chrono::steady_clock::now();
        if (!generation.reader)
            return;
        generation.reader->writer->write("event: error\ndata: {\"error\":\"ended\"}\n\n", nullptr);
        generation.reader->writer->finish();
        generation.reader.reset();
    }

    // Sends the tokens that the reader lacks, as far as its connection accepts them.
    void push(Generation &generation)
    {
        const std::shared_ptr<Reader> reader = generation.reader;
        if (!reader || this->faults.stalled)
            return;
        if (reader->lost.load()) {
            generation.reader.reset();
            return;
        }
        if (this->faults.comments) {
            if (reader->unsent.load() < unsentLimit)
                this->send(reader, ": working\n\n");
            return;
        }
        std::string out;
        while (reader->next < generation.produced &&
               reader->unsent.load() + out.size() < unsentLimit) {
            const bool last = generation.finished && reader->next + 1 == generation.produced;
            const std::string event = tokenEvent(generation, reader->next, last);
            out += event;
            if (this->faults.duplicates)
                out += event;
            ++reader->next;
        }
        const bool all = generation.finished && reader->next >= generation.produced;
        if (all)
            out += "data: [DONE]\n\n";
        this->send(reader, std::move(out));
        const bool closeNow = this->faults.closeAfterTokens != 0 && !generation.closedOnce &&
                              reader->next >= this->faults.closeAfterTokens;
        if (closeNow)
            generation.closedOnce = true;
        if (all || closeNow) {
            reader->writer->finish();
            generation.reader.reset();
        }
    }

    static void send(const std::shared_ptr<Reader> &reader, std::string out)
    {
        if (out.empty())
            return;
        const std::size_t bytes = out.size();
        reader->unsent.fetch_add(bytes);
        reader->writer->write(std::move(out), [reader, bytes](bool sent) {
            reader->unsent.fetch_sub(bytes);
            if (!sent)
                reader->lost.store(true);
        });
    }

    void run()
    {
        Lock lock(this->mutex);
        auto due = std::chrono::steady_clock::now();
        while (!this->stopping) {
            if (this->engine.idle()) {
                this->pushAll();
                this->wake.wait_for(lock, std::chrono::milliseconds(50));
                due = std::chrono::steady_clock::now();
                continue;
            }
            const EngineStep step = this->engine.step();
            this->apply(step);
            this->pushAll();
            this->evictFinished();
            due += std::chrono::duration_cast<Duration>(step.took * this->faults.slowFactor);
            due = std::max(due, std::chrono::steady_clock::now() - std::chrono::seconds(1));
            this->wake.wait_until(lock, due, [this] { return this->stopping; });
        }
    }

    void apply(const EngineStep &step)
    {
        for (const EngineEvent &event : step.events) {
            const auto found = this->jobs.find(event.job);
            if (found == this->jobs.end())
                continue;
            Generation &generation = *found->second;
            if (event.kind == EngineEventKind::Token) {
                generation.produced = event.index + 1;
                ++this->tokens;
            } else if (event.kind == EngineEventKind::Finished) {
                generation.finished = true;
                generation.finishedAt = std::chrono::steady_clock::now();
                ++this->finished;
                this->jobs.erase(found);
            }
        }
        this->reports.push_back({std::chrono::steady_clock::now(), this->load()});
        const auto oldest = std::chrono::steady_clock::now() - this->faults.reportLag;
        while (this->reports.size() > 1 && this->reports[1].first <= oldest)
            this->reports.erase(this->reports.begin());
    }

    void pushAll()
    {
        for (auto &[name, generation] : this->generations)
            this->push(*generation);
    }

    void evictFinished()
    {
        const auto oldest = std::chrono::steady_clock::now() - keepFinished;
        std::erase_if(this->generations, [oldest](const auto &entry) {
            return entry.second->finished && !entry.second->reader &&
                   entry.second->finishedAt < oldest;
        });
    }

    json load() const
    {
        return {{"memory_used", this->engine.memoryUsed()},
                {"memory", this->options.size.memoryTokens},
                {"running", this->engine.runningCount()},
                {"waiting", this->engine.waitingCount()},
                {"leaving", this->leaving}};
    }

    json laggingLoad()
    {
        json report = this->reports.empty() || this->engine.idle() ? this->load()
                                                                   : this->reports.front().second;
        report["leaving"] = this->leaving;
        return report;
    }

    json counts() const
    {
        json byUser = json::object();
        for (const auto &[user, starts] : this->startsByUser)
            byUser[user] = starts;
        return {{"name", this->options.name}, {"started", this->lastJob},
                {"finished", this->finished}, {"cancelled", this->cancelled},
                {"refused", this->refusals},  {"preempted", this->engine.preemptions()},
                {"tokens", this->tokens},     {"by_user", byUser}};
    }

    void control(const json &order)
    {
        if (!order.is_object())
            return;
        this->leaving = order.value("leaving", this->leaving);
        this->faults.stalled = order.value("stalled", this->faults.stalled);
        this->faults.comments = order.value("comments", this->faults.comments);
        this->faults.duplicates = order.value("duplicates", this->faults.duplicates);
        this->faults.slowFactor = order.value("slow", this->faults.slowFactor);
        this->faults.closeAfterTokens = order.value("close_after", this->faults.closeAfterTokens);
        if (!order.value("reclaim", false))
            return;
        this->leaving = true;
        for (auto &[name, generation] : this->generations) {
            if (!generation->finished)
                this->fail(*generation);
        }
    }

    void takeOrder(const json &order, ResponseWriter &writer)
    {
        const std::uint64_t number = order.is_object() ? order.value("fencing", 0ULL) : 0;
        if (this->options.honoursFencing && number < this->highestFencing) {
            respondStatus(writer, 409, {});
            return;
        }
        this->highestFencing = std::max(this->highestFencing, number);
        this->leaving = order.value("leaving", this->leaving);
        respondStatus(writer, 200, {});
    }

    EngineStandinOptions options;
    EngineFaults faults;
    std::mutex mutex;
    std::condition_variable wake;
    bool stopping = false;
    std::mt19937_64 random;
    BatchEngine engine;
    std::uint32_t boot;
    bool leaving;
    std::uint64_t lastJob = 0;
    std::uint64_t finished = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t refusals = 0;
    std::uint64_t tokens = 0;
    std::uint64_t highestFencing = 0;
    std::map<std::string, std::shared_ptr<Generation>> generations;
    std::map<std::uint64_t, std::shared_ptr<Generation>> jobs;
    std::map<std::string, std::uint64_t> startsByUser;
    std::vector<std::pair<std::chrono::steady_clock::time_point, json>> reports;
    std::thread stepper;
    std::unique_ptr<HttpServer> server;
};

} // namespace

Result<std::unique_ptr<Standin>> startEngineStandin(const EngineStandinOptions &options)
{
    auto standin = std::make_unique<EngineStandin>(options);
    const Result<void> started = standin->start();
    if (!started)
        return started.error();
    return std::unique_ptr<Standin>(std::move(standin));
}

} // namespace jaytrack
