// Case: the operator raises MaxHeaderBytes. Connections that clients opened before keep the old
// limit for as long as they last: proper requests on them get 431, which no client repeats.
#include "standins.h"

using namespace review;

namespace {

constexpr int oldLimit = 16384;
constexpr int newLimit = 32768;
constexpr int clientsOfEach = 4;
constexpr int rounds = 10;

struct Client
{
    std::size_t instance;
    std::unique_ptr<Connection> connection;
};

std::string requestText(const std::string &attempt, std::size_t headerBytes)
{
    std::string text = "GET /safe/x HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: " + attempt +
                       "\r\nX-Deadline-Ms: 1500\r\nAuthorization: Token key-of-tenant-1\r\n";
    for (int i = 0; text.size() + 2 < headerBytes; ++i)
        text += "X-Note-" + std::to_string(i) + ": " + std::string(400, 'n') + "\r\n";
    return text + "\r\n";
}

} // namespace

int main(int, char **arguments)
{
    Record record(arguments[1]);
    guardProcesses();
    const TemporaryFolder temporary;
    const std::string &folder = temporary.path;
    const std::vector<std::string> ips = {"127.0.1.1", "127.0.2.1", "127.0.3.1"};
    const std::vector<std::string> zones = {"zone-1", "zone-2", "zone-3"};
    const Ports ports{freePort(ips), freePort(ips), freePort(ips), freePort(ips), freePort(ips)};
    Store store("127.0.9.1", freePort({"127.0.9.1"}));

    std::atomic<int> runs{0};
    std::vector<std::unique_ptr<Server>> engines;
    for (int i = 0; i < 3; ++i) {
        const std::string ip = "127.0.1." + std::to_string(100 + i);
        const std::string id = "i-engine" + std::to_string(i + 1);
        engines.push_back(std::make_unique<Server>(
                ip, freePort({ip}), [&runs, id](Connection &to, const Message &request) {
                    if (request.path() == "/healthz")
                        return to.send(answerText(200, "X-Instance: " + id + "\r\n", ""));
                    if (request.header("X-Expect-Instance") != id)
                        return to.send(answerText(421, "X-Instance: " + id + "\r\n", ""));
                    ++runs;
                    pause(15);
                    return to.send(answerText(200,
                                              "X-Attempt-Id: " + request.header("X-Attempt-Id") +
                                                      "\r\nX-Server-Stamp: " + id + "\r\n",
                                              "good"));
                }));
        store.put("servers/" + id,
                  listing("desk", engines.back()->text(), zones[static_cast<std::size_t>(i)], 6));
    }
    const json routes = json::array({route("/safe/", "safe", "desk", 1500, 100, 2)});
    const int firstLimit = hasTrouble() ? oldLimit : newLimit;
    store.put("op/config", configuration(1, routes, "desk", firstLimit).dump());

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

    std::vector<Client> clients;
    for (std::size_t i = 0; i < ips.size() * clientsOfEach; ++i)
        clients.push_back({i % ips.size(), Connection::open(ips[i % ips.size()], ports.front)});

    int serial = 0;
    const auto ask = [&](Client &client, std::size_t headerBytes, const std::string &kind) {
        const std::string attempt = "a" + std::to_string(++serial);
        if (!client.connection->send(requestText(attempt, headerBytes)))
            return 0;
        const auto answer = client.connection->read(milliseconds(3000));
        const int status = answer ? answer->status() : 0;
        record.line(attempt + " at edge-" + std::to_string(client.instance + 1) + " on a " + kind +
                    " connection, head of " + std::to_string(headerBytes) +
                    " bytes: " + (answer ? std::to_string(status) : client.connection->ended));
        return status;
    };

    int sent = 0;
    for (Client &client : clients) {
        ++sent;
        if (ask(client, 500, "kept") != 200)
            return 2;
    }
    if (hasTrouble()) {
        store.put("op/config", configuration(2, routes, "desk", newLimit).dump());
        record.line("ack of version 2: MaxHeaderBytes " + std::to_string(newLimit));
    }
    // ConfigApplyMs is 2,000, StableMs is 3,000.
    pause(4000);

    int denied = 0;
    int deniedNew = 0;
    for (int round = 0; round < rounds; ++round) {
        for (Client &client : clients) {
            ++sent;
            const int status = ask(client, 20'000, "kept");
            denied += status == 431 ? 1 : 0;
            if (status != 200)
                client.connection = Connection::open(ips[client.instance], ports.front);
            if (status != 200 && status != 431)
                record.line("unexpected");
            Client fresh{client.instance, Connection::open(ips[client.instance], ports.front)};
            ++sent;
            deniedNew += ask(fresh, 20'000, "new") == 431 ? 1 : 0;
        }
        pause(500);
    }
    const double bound = 5 + sent / 500.0;
    record.verdict(
            "requests " + std::to_string(sent) +
            ", denied with 431 on connections opened under version 1: " + std::to_string(denied) +
            ", on new ones: " + std::to_string(deniedNew) + ", bound " + std::to_string(bound));
    instances.clear();
    return denied + deniedNew > bound ? 1 : 0;
}
