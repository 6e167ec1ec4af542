// Case: an engine starts again under its Id at another software version and crashes once more,
// before its entry in the store tells of the new lifetime. Streams that began there go on at
// engines of the old version.
#include "standins.h"

using namespace review;

namespace {

constexpr int streams = 18;
constexpr int eventsOfStream = 60;
constexpr int eventMillis = 30;
constexpr int downMillis = 300;
constexpr int entryDelayMillis = 1200; // HeartbeatMs
constexpr int aliveMillis = 800;

std::int64_t unixMillis()
{
    return std::chrono::duration_cast<milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
}

// One lifetime of an engine.
struct Lifetime
{
    std::string version;
    std::int64_t born;
    std::atomic<bool> alive{true};
    std::atomic<int> running{0};
    std::unique_ptr<Server> server;
};

struct Engine
{
    std::string id;
    std::string ip;
    int port;
    int busy; // places taken by others
    std::vector<std::unique_ptr<Lifetime>> lifetimes;
};

class Site
{
public:
    Site(Record &to, Store &platformStore)
        : record(to)
        , store(platformStore)
    {
    }

    void startLifetime(Engine &engine, const std::string &version)
    {
        auto life = std::make_unique<Lifetime>();
        life->version = version;
        life->born = unixMillis();
        Lifetime &one = *life;
        engine.lifetimes.push_back(std::move(life));
        one.server = std::make_unique<Server>(
                engine.ip, engine.port,
                [this, &engine, &one](Connection &c, const Message &request) {
                    return this->serve(engine, one, c, request);
                });
        this->record.line(engine.id + " starts at " + version);
    }

    void endLifetime(Engine &engine)
    {
        engine.lifetimes.back()->alive = false;
        engine.lifetimes.back()->server->stop();
        this->record.line(engine.id + " crashes");
    }

    void writeEntry(const Engine &engine)
    {
        const Lifetime &life = *engine.lifetimes.back();
        json entry = json::parse(listing("llm", withPort(engine.ip, engine.port), "zone-1", 24));
        entry["Version"] = life.version;
        entry["born"] = life.born;
        this->store.put("servers/" + engine.id, entry.dump());
        this->record.line("entry of " + engine.id + ": " + life.version);
    }

private:
    bool serve(Engine &engine, Lifetime &life, Connection &to, const Message &request)
    {
        const int running = engine.busy + life.running;
        if (request.path() == "/jaytrack/report") {
            const json report = {{"Phase", "both"},
                                 {"Models", json::array()},
                                 {"Busy", false},
                                 {"Seq", 1},
                                 {"Waiting", 0},
                                 {"Running", running},
                                 {"KvInUse", running * 1000},
                                 {"KvSize", 34307},
                                 {"KvHandles", 0},
                                 {"State", "ready"},
                                 {"Next", 0},
                                 {"Runs", json::array()},
                                 {"born", life.born}};
            return to.send(answerText(200, "Content-Type: application/json\r\n", report.dump()));
        }
        if (request.path() == "/healthz")
            return to.send(answerText(200, "X-Instance: " + engine.id + "\r\n", ""));
        if (request.path() == "/jaytrack/kv-move")
            return to.send(answerText(404, "", ""));
        if (request.header("X-Expect-Instance") != engine.id)
            return to.send(answerText(421, "X-Instance: " + engine.id + "\r\n", ""));
        const std::string attempt = request.header("X-Attempt-Id");
        const std::string last = request.header("Last-Event-Id");
        const int from = last.empty() ? 0 : std::atoi(last.c_str());
        this->record.line("run     " + attempt + " at " + engine.id + " " + life.version +
                          " after event " + std::to_string(from));
        ++life.running;
        const bool whole = this->stream(life, to, attempt, engine.id, from);
        --life.running;
        if (!life.alive)
            to.reset();
        return whole;
    }

    bool stream(const Lifetime &life, Connection &to, const std::string &attempt,
                const std::string &id, int from)
    {
        if (!to.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: " +
                     attempt + "\r\nX-Server-Stamp: " + id +
                     "\r\nTransfer-Encoding: chunked\r\n\r\n"))
            return false;
        for (int i = from + 1; i <= eventsOfStream; ++i) {
            pause(eventMillis);
            if (!life.alive)
                return false;
            const std::string event =
                    "id: " + std::to_string(i) + "\ndata: " + life.version + "\n\n";
            char size[16];
            std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
            if (!to.send(size + event + "\r\n"))
                return false;
        }
        return to.send("0\r\n\r\n");
    }

    Record &record;
    Store &store;
};

} // namespace

int main(int, char **arguments)
{
    Record record(arguments[1]);
    guardProcesses();
    const TemporaryFolder temporary;
    const std::vector<std::string> ips = {"127.0.1.1", "127.0.2.1", "127.0.3.1"};
    const std::vector<std::string> zones = {"zone-1", "zone-2", "zone-3"};
    const Ports ports{freePort(ips), freePort(ips), freePort(ips), freePort(ips), freePort(ips)};
    Store store("127.0.9.1", freePort({"127.0.9.1"}));
    Site site(record, store);

    std::vector<std::unique_ptr<Engine>> engines;
    for (int i = 0; i < 7; ++i) {
        const std::string ip = "127.0.1." + std::to_string(100 + i);
        auto engine = std::make_unique<Engine>();
        engine->id = "i-engine" + std::to_string(i + 1);
        engine->ip = ip;
        engine->port = freePort({ip});
        engine->busy = i == 0 ? 0 : 14;
        site.startLifetime(*engine, "v1");
        site.writeEntry(*engine);
        engines.push_back(std::move(engine));
    }
    Engine &reborn = *engines.front();

    json streamRoute = route("/verdict/", "stream", "llm", 6000, 1500, 2);
    streamRoute["Resumable"] = true;
    streamRoute["Sticky"] = true;
    json document = configuration(1, json::array({streamRoute}), "llm");
    document["Services"][0]["Engine"] = {
            {"Slots", 24},        {"KvCapacity", 34307}, {"KvTokenBytes", 35136},
            {"LinkMbps", 5100.0}, {"Moves", true},       {"Backups", true},
            {"Stride", 4},        {"HandleTtlS", 5.0},   {"Models", {{{"Name", "m"}}}}};
    store.put("op/config", document.dump());

    std::vector<std::unique_ptr<Instance>> instances;
    for (std::size_t i = 0; i < ips.size(); ++i) {
        instances.push_back(std::make_unique<Instance>(
                InstancePlan{"edge-" + std::to_string(i + 1), ips[i], zones[i], store.text()},
                ports, ips, temporary.path));
        instances.back()->start();
    }
    if (!awaitReady(instances)) {
        record.verdict("could not run: the instances are not ready");
        return 2;
    }
    pause(3000);

    if (hasTrouble()) {
        site.endLifetime(reborn);
        pause(downMillis);
        site.startLifetime(reborn, "v2");
    }
    const auto bornAt = Clock::now();
    pause(50);

    std::mutex mutex;
    int mixed = 0;
    int whole = 0;
    int toldReborn = 0;
    std::vector<std::thread> clients;
    for (int i = 0; i < streams; ++i) {
        clients.emplace_back([&, i] {
            const std::string attempt = "s" + std::to_string(i);
            const auto connection =
                    Connection::open(ips[static_cast<std::size_t>(i) % ips.size()], ports.front);
            connection->send(
                    "POST /verdict/x HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: " + attempt +
                    "\r\nX-Model: m\r\nX-Token-Count: 100,240\r\nX-Prefix-Hash: aa:80,b" +
                    std::to_string(i) +
                    ":20\r\nX-Deadline-Ms: 6000\r\n"
                    "Authorization: Token key-of-tenant-1\r\nContent-Length: 5\r\n\r\nhello");
            const auto answer = connection->read(std::chrono::seconds(8));
            std::map<std::string, int> versions;
            std::string order;
            if (answer) {
                std::size_t at = 0;
                while ((at = answer->body.find("data: ", at)) != std::string::npos) {
                    at += 6;
                    const std::string version = answer->body.substr(at, 2);
                    if (versions[version]++ == 0)
                        order += " " + version;
                }
            }
            std::string line = "answer  " + attempt + " at edge-" + std::to_string(i % 3 + 1) +
                               ": " +
                               (answer ? std::to_string(answer->status()) : connection->ended);
            for (const auto &[version, count] : versions)
                line += ", " + std::to_string(count) + " events of " + version;
            const std::lock_guard lock(mutex);
            whole += answer && answer->status() == 200 ? 1 : 0;
            mixed += answer && versions.size() > 1 ? 1 : 0;
            toldReborn += versions.count("v2") > 0 ? 1 : 0;
            record.line(line + (versions.size() > 1 ? "  ORDER: joined of" + order : ""));
        });
    }
    if (hasTrouble()) {
        std::this_thread::sleep_until(bornAt + milliseconds(aliveMillis));
        site.endLifetime(reborn);
        std::this_thread::sleep_until(bornAt + milliseconds(entryDelayMillis));
        site.startLifetime(reborn, "v2");
        site.writeEntry(reborn);
    }
    for (std::thread &client : clients)
        client.join();
    record.verdict("streams " + std::to_string(streams) + ", whole " + std::to_string(whole) +
                   ", with events of v2 " + std::to_string(toldReborn) +
                   ", of two versions in one answer " + std::to_string(mixed));
    instances.clear();
    if (!hasTrouble() && whole < streams)
        return 2;
    return mixed > 2 ? 1 : 0;
}
