// Cases: an engine in trouble runs a request and sends bytes that are not a response of the
// protocol: a complete HTTP message without the digest, without the id of the request and without
// X-Not-Executed. Usage: garbled STATUS RECORD, where STATUS is that of these messages.
#include "standins.h"

using namespace review;

namespace {

constexpr int requests = 600;
constexpr int answersPerSpoiltOne = 20; // x = 0.05, as in the day trouble-2 of the site file
constexpr double troubleSeconds = 5.0;  // for_s of the same entry

const std::string page = "<html><body>A page of the engine's web server</body></html>\n";

bool isPromise(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

struct Engine
{
    std::string id;
    bool faulty;
    std::atomic<int> answered{0};
    std::unique_ptr<Server> server;
};

struct Shared
{
    explicit Shared(Record &to)
        : record(to)
    {
    }

    Record &record;
    std::mutex mutex;
    std::map<std::string, std::string> bodies; // whole body by digest
    std::map<std::string, int> ran;            // runs by attempt
    int twice = 0;                             // runs of unsafe attempts that had run
    std::set<std::string> spoilt;              // attempts
    std::atomic<double> troubleFrom{1e9};
    int spoiltStatus = 200;
    bool isSigned = false;
    std::map<std::string, int> runsOfOrder; // by the body of an unsafe request
};

bool serve(Shared &shared, Engine &engine, Connection &to, const Message &request)
{
    if (request.path() == "/healthz")
        return to.send(answerText(200, "X-Instance: " + engine.id + "\r\n", ""));
    if (request.path() == "/jaytrack/report")
        return to.send(answerText(200, "Content-Type: application/json\r\n", "{}"));
    if (request.header("X-Expect-Instance") != engine.id)
        return to.send(answerText(421, "X-Instance: " + engine.id + "\r\n", ""));
    const std::string attempt = request.header("X-Attempt-Id");
    const int number = ++engine.answered;
    const std::string digest = engine.id + "." + std::to_string(number);
    const std::string body = "answer to " + attempt + std::string(700, '.');
    const double since = seconds() - shared.troubleFrom;
    const bool inTrouble = hasTrouble() && since >= 0 && since < troubleSeconds;
    const bool spoils = engine.faulty && inTrouble && number % answersPerSpoiltOne == 0;
    {
        const std::lock_guard lock(shared.mutex);
        shared.bodies[digest] = body;
        if (++shared.ran[attempt] > 1 && !request.body.empty()) {
            ++shared.twice;
            shared.record.line("TWICE   " + attempt + " runs once more, at " + engine.id);
        }
        if (!request.body.empty())
            ++shared.runsOfOrder[request.body];
        if (spoils)
            shared.spoilt.insert(attempt);
    }
    pause(15);
    shared.record.line("run     " + attempt + " at " + engine.id +
                       (spoils ? ", its bytes are no response" : ""));
    if (spoils) {
        to.send(answerText(shared.spoiltStatus,
                           (shared.isSigned ? "X-Attempt-Id: " + attempt +
                                                      "\r\nX-Server-Stamp: " + digest + "\r\n"
                                            : std::string()) +
                                   "Server: httpd\r\nContent-Type: text/html\r\n",
                           page));
        return false;
    }
    return to.send(answerText(
            200, "X-Attempt-Id: " + attempt + "\r\nX-Server-Stamp: " + digest + "\r\n", body));
}

} // namespace

int main(int count, char **arguments)
{
    Record record(arguments[2]);
    guardProcesses();
    const TemporaryFolder temporary;
    const std::string &folder = temporary.path;
    const std::vector<std::string> ips = {"127.0.1.1", "127.0.2.1", "127.0.3.1"};
    const std::vector<std::string> zones = {"zone-1", "zone-2", "zone-3"};
    const Ports ports{freePort(ips), freePort(ips), freePort(ips), freePort(ips), freePort(ips)};
    Store store("127.0.9.1", freePort({"127.0.9.1"}));
    Shared shared{record};
    shared.spoiltStatus = std::atoi(arguments[1]);
    shared.isSigned = count > 3;

    std::vector<std::unique_ptr<Engine>> engines;
    for (int i = 0; i < 3; ++i) {
        auto engine = std::make_unique<Engine>();
        engine->id = "i-engine" + std::to_string(i + 1);
        engine->faulty = i == 0;
        const std::string ip = "127.0.1." + std::to_string(100 + i);
        engine->server = std::make_unique<Server>(
                ip, freePort({ip}),
                [&shared, &one = *engine](Connection &to, const Message &request) {
                    return serve(shared, one, to, request);
                });
        store.put("servers/" + engine->id,
                  listing("desk", engine->server->text(), zones[static_cast<std::size_t>(i)], 6));
        engines.push_back(std::move(engine));
    }
    store.put("op/config", configuration(1,
                                         {route("/once/", "unsafe", "desk", 1500, 100, 2),
                                          route("/safe/", "safe", "desk", 1500, 100, 2)},
                                         "desk")
                                   .dump());

    std::vector<std::unique_ptr<Instance>> instances;
    for (std::size_t i = 0; i < ips.size(); ++i) {
        instances.push_back(std::make_unique<Instance>(
                InstancePlan{"edge-" + std::to_string(i + 1), ips[i], zones[i], store.text()},
                ports, ips, folder));
        instances.back()->start();
    }
    if (!awaitReady(instances)) {
        record.verdict("could not run: the instances are not ready");
        return 2;
    }

    shared.troubleFrom = seconds() + 1;
    int served = 0;
    int foreign = 0;
    int falsePromises = 0;
    for (int i = 0; i < requests; ++i) {
        const bool once = i % 7 < 5;
        const std::string order = "order " + std::to_string(i);
        // A client tries once more, on a new connection to another instance: safe requests after
        // any failure, unsafe ones only after a promise.
        for (int attemptNumber = 0; attemptNumber < 2; ++attemptNumber) {
            const std::string attempt =
                    "a" + std::to_string(100000 + i) + "-" + std::to_string(attemptNumber);
            const std::string &ip = ips[static_cast<std::size_t>(i + attemptNumber) % ips.size()];
            const auto connection = Connection::open(ip, ports.front);
            if (!connection)
                continue;
            connection->send(
                    (once ? "POST /once/x" : "GET /safe/x") +
                    std::string(" HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: ") + attempt +
                    "\r\nX-Deadline-Ms: 1500\r\nAuthorization: Token key-of-tenant-1\r\n" +
                    (once ? "Content-Length: " + std::to_string(order.size()) + "\r\n\r\n" + order
                          : "\r\n"));
            const auto answer = connection->read(milliseconds(3000));
            const int status = answer ? answer->status() : 0;
            const std::string digest = answer ? answer->header("X-Server-Stamp") : "";
            record.line("answer  " + attempt + (once ? " unsafe (" + order + ") " : " safe ") +
                        std::to_string(status) + " digest '" + digest + "'" +
                        (answer ? "" : " " + connection->ended));
            const bool success = status >= 200 && status < 300;
            served += success ? 1 : 0;
            {
                const std::lock_guard lock(shared.mutex);
                if (success && (digest.empty() || shared.bodies[digest] != answer->body)) {
                    ++foreign;
                    record.line("MIXED   " + attempt +
                                ": a success without the engine's digest, body: " + answer->body);
                }
                if (once && isPromise(status) && shared.ran.count(attempt) > 0) {
                    ++falsePromises;
                    record.line("REFUSED " + attempt + ": answered " + std::to_string(status) +
                                " and has run");
                }
            }
            const bool retries = !success && (!once || isPromise(status));
            if (!retries)
                break;
        }
    }
    int doubled = 0;
    for (const auto &[order, runs] : shared.runsOfOrder)
        doubled += runs > 1 ? 1 : 0;
    record.verdict("requests " + std::to_string(requests) + ", successes " +
                   std::to_string(served) + ", answers spoilt by the engine " +
                   std::to_string(shared.spoilt.size()) +
                   ", successes without the engine's digest or body " + std::to_string(foreign) +
                   ", promises although the request has run " + std::to_string(falsePromises) +
                   ", orders run twice " + std::to_string(doubled) + ", within one attempt " +
                   std::to_string(shared.twice));
    instances.clear();
    if (served < requests / 2)
        return 2;
    return foreign + falsePromises + shared.twice > 0 ? 1 : 0;
}
