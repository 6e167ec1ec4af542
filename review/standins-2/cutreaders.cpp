// Case: the three machines that read the store for the fleet lose their path to it, and to nothing
// else. The other three, in touch all the time, go on sending to an engine that has said that it
// leaves.
#include "standins.h"

using namespace review;

namespace {

constexpr int drainMs = 2000;
constexpr int cutMillis = 5500;
constexpr int rounds = 2;
constexpr int requestGapMillis = 16; // 60 requests a second

// The path of one machine to the store. While it is cut, nothing passes and nothing is answered.
class Path
{
public:
    Path(const std::string &ip, int port, int storePort)
        : address(withPort(ip, port))
    {
        this->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in where = socketAddress(ip, port);
        if (::bind(this->listener, reinterpret_cast<const sockaddr *>(&where), sizeof(where)) !=
                    0 ||
            ::listen(this->listener, 64) != 0)
            std::exit(2);
        std::thread([this, storePort] {
            for (;;) {
                const int near = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
                if (near >= 0)
                    std::thread([this, near, storePort] {
                        this->forward(near, storePort);
                    }).detach();
            }
        }).detach();
    }

    std::atomic<bool> cut{false};
    const std::string address;

private:
    void forward(int near, int storePort)
    {
        const int far = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in store = socketAddress("127.0.9.1", storePort);
        ::connect(far, reinterpret_cast<const sockaddr *>(&store), sizeof(store));
        for (bool open = true; open;) {
            pollfd both[2] = {{near, POLLIN, 0}, {far, POLLIN, 0}};
            if (this->cut || ::poll(both, 2, 20) <= 0) {
                if (this->cut)
                    pause(5);
                continue;
            }
            for (int i = 0; i < 2 && !this->cut; ++i) {
                char bytes[65536];
                if (both[i].revents == 0)
                    continue;
                const ssize_t n = ::recv(both[i].fd, bytes, sizeof(bytes), 0);
                open = open && n > 0;
                if (n > 0)
                    ::send(both[1 - i].fd, bytes, static_cast<std::size_t>(n), MSG_NOSIGNAL);
            }
        }
        ::close(near);
        ::close(far);
    }

    int listener;
};

struct Machine
{
    const char *name;
    const char *ip;
    const char *zone;
    bool reads; // by the hash of its name; the names are those of the bench
};

constexpr Machine machines[] = {
        {"edge-gent-hal-1", "127.0.1.1", "zone-1", true},
        {"edge-gent-hal-2", "127.0.1.2", "zone-1", true},
        {"edge-kortrijk-hal-1", "127.0.2.1", "zone-2", false},
        {"edge-kortrijk-hal-2", "127.0.2.2", "zone-2", true},
        {"edge-genk-hal-1", "127.0.3.1", "zone-3", false},
        {"edge-genk-hal-2", "127.0.3.2", "zone-3", false},
};

} // namespace

int main(int, char **arguments)
{
    Record record(arguments[1]);
    guardProcesses();
    const TemporaryFolder temporary;
    std::vector<std::string> ips;
    for (const Machine &machine : machines)
        ips.push_back(machine.ip);
    const Ports ports{freePort(ips), freePort(ips), freePort(ips), freePort(ips), freePort(ips)};
    const int storePort = freePort({"127.0.9.1"});
    Store store("127.0.9.1", storePort);

    std::mutex mutex;
    std::map<std::string, double> leavingSince; // by engine, the ack
    std::atomic<int> late{0};
    double latest = 0;
    std::vector<std::unique_ptr<Server>> engines;
    for (int i = 0; i < 3 + rounds; ++i) {
        const std::string ip = "127.0.1." + std::to_string(100 + i);
        const std::string id = "i-engine" + std::to_string(i + 1);
        engines.push_back(std::make_unique<Server>(
                ip, freePort({ip}), [&, id](Connection &to, const Message &request) {
                    if (request.path() == "/healthz")
                        return to.send(answerText(200, "X-Instance: " + id + "\r\n", ""));
                    if (request.header("X-Expect-Instance") != id)
                        return to.send(answerText(421, "X-Instance: " + id + "\r\n", ""));
                    const std::string attempt = request.header("X-Attempt-Id");
                    {
                        const std::lock_guard lock(mutex);
                        const auto since = leavingSince.find(id);
                        const double after =
                                since == leavingSince.end() ? 0 : seconds() - since->second;
                        if (after * 1000 > drainMs) {
                            ++late;
                            latest = std::max(latest, after);
                            record.line("DRAIN   " + attempt + " reaches " + id + " " +
                                        std::to_string(static_cast<int>(after * 1000)) +
                                        " ms after the ack of its leaving");
                        }
                    }
                    pause(15);
                    return to.send(answerText(
                            200, "X-Attempt-Id: " + attempt + "\r\nX-Server-Stamp: " + id + "\r\n",
                            "good"));
                }));
        store.put("servers/" + id, listing("desk", engines.back()->text(), "zone-1", 6));
    }
    int version = 0;
    const auto configure = [&](int timeoutMs) {
        store.put("op/config",
                  configuration(++version,
                                json::array({route("/once/", "unsafe", "desk", timeoutMs, 100, 2)}),
                                "desk")
                          .dump());
        record.line("ack of configuration " + std::to_string(version));
    };
    configure(1500);

    std::vector<std::unique_ptr<Path>> paths;
    std::vector<std::unique_ptr<Instance>> instances;
    for (const Machine &machine : machines) {
        paths.push_back(std::make_unique<Path>(machine.ip, freePort({machine.ip}), storePort));
        instances.push_back(std::make_unique<Instance>(
                InstancePlan{machine.name, machine.ip, machine.zone, paths.back()->address}, ports,
                std::vector<std::string>{"127.0.1.1", "127.0.2.1", "127.0.3.1"}, temporary.path));
        instances.back()->start();
    }
    if (!awaitReady(instances)) {
        record.verdict("could not run: the instances are not ready");
        return 2;
    }
    pause(5000);

    std::atomic<bool> ends{false};
    std::atomic<int> sent{0};
    std::atomic<int> served{0};
    std::vector<std::thread> clients;
    for (const Machine &machine : machines) {
        if (machine.reads)
            continue;
        clients.emplace_back([&, machine] {
            while (!ends) {
                pause(3 * requestGapMillis);
                const auto connection = Connection::open(machine.ip, ports.front);
                if (!connection)
                    continue;
                connection->send(
                        "POST /once/x HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: a" +
                        std::to_string(++sent) +
                        "\r\nX-Deadline-Ms: 1500\r\nAuthorization: Token key-of-tenant-1\r\n"
                        "Content-Length: 5\r\n\r\nhello");
                const auto answer = connection->read(milliseconds(3000));
                served += answer && answer->status() == 200 ? 1 : 0;
            }
        });
    }
    for (int round = 0; round < rounds; ++round) {
        configure(1400);
        pause(700);
        configure(1500);
        pause(100);
        for (std::size_t i = 0; i < paths.size(); ++i)
            paths[i]->cut = hasTrouble() && machines[i].reads;
        record.line(hasTrouble() ? "three machines are cut from the store" : "nothing is cut");
        pause(120);
        const std::string id = "i-engine" + std::to_string(round + 1);
        store.put("servers/" + id, listing("desk", engines[static_cast<std::size_t>(round)]->text(),
                                           "zone-1", 6, "draining"));
        {
            const std::lock_guard lock(mutex);
            leavingSince[id] = seconds();
        }
        record.line("ack: " + id + " is draining");
        pause(cutMillis - 120);
        for (const auto &path : paths)
            path->cut = false;
        store.remove("servers/" + id);
        record.line("the cuts are over");
        pause(7000);
    }
    ends = true;
    for (std::thread &client : clients)
        client.join();
    record.verdict("requests " + std::to_string(sent) + ", served " + std::to_string(served) +
                   ", reached a leaving engine over " + std::to_string(drainMs) +
                   " ms after the ack: " + std::to_string(late) + ", the latest " +
                   std::to_string(static_cast<int>(latest * 1000)) + " ms");
    instances.clear();
    if (served < sent / 2)
        return 2;
    return late > 0 ? 1 : 0;
}
