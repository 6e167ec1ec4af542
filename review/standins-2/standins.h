// Stand-ins of the platform for the review scripts: a store, engines, clients, and the processes of
// the deploy file. All of them use loopback addresses and the real clock.
#ifndef JAYTRACK_REVIEW_STANDINS_H
#define JAYTRACK_REVIEW_STANDINS_H

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

using nlohmann::json;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline const Clock::time_point started = Clock::now();

inline double seconds()
{
    return std::chrono::duration<double>(Clock::now() - started).count();
}

inline void pause(int millis)
{
    std::this_thread::sleep_for(milliseconds(millis));
}

// The record of what was sent, answered and run; also printed.
class Record
{
public:
    explicit Record(const std::string &file)
        : out(file)
    {
    }

    void line(const std::string &text)
    {
        const std::lock_guard lock(this->mutex);
        char stamp[32];
        std::snprintf(stamp, sizeof(stamp), "%8.3f s  ", seconds());
        this->out << stamp << text << std::endl;
    }

    void verdict(const std::string &text)
    {
        this->line(text);
        std::cout << text << std::endl;
    }

private:
    std::mutex mutex;
    std::ofstream out;
};

// Addresses

inline sockaddr_in socketAddress(const std::string &ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

inline std::string withPort(const std::string &ip, int port)
{
    return ip + ":" + std::to_string(port);
}

// Whether the port is free for TCP and UDP on all the addresses.
inline bool isFree(const std::vector<std::string> &ips, int port)
{
    for (const std::string &ip : ips) {
        for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
            const int probe = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
            const sockaddr_in address = socketAddress(ip, port);
            const bool bound = ::bind(probe, reinterpret_cast<const sockaddr *>(&address),
                                      sizeof(address)) == 0;
            ::close(probe);
            if (!bound)
                return false;
        }
    }
    return true;
}

// Below the ports that the system hands out to outgoing connections.
inline int freePort(const std::vector<std::string> &ips)
{
    static std::mt19937 random(std::random_device{}());
    static std::set<int> given;
    for (;;) {
        const int port = std::uniform_int_distribution<int>(12'000, 30'000)(random);
        if (given.count(port) == 0 && isFree(ips, port)) {
            given.insert(port);
            return port;
        }
    }
}

// HTTP

struct Message
{
    std::string first; // request or status line
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::string header(const std::string &name) const
    {
        for (const auto &[known, value] : this->headers) {
            if (::strcasecmp(known.c_str(), name.c_str()) == 0)
                return value;
        }
        return {};
    }

    std::string method() const { return this->first.substr(0, this->first.find(' ')); }

    std::string target() const
    {
        const std::size_t begin = this->first.find(' ') + 1;
        return this->first.substr(begin, this->first.find(' ', begin) - begin);
    }

    std::string path() const { return this->target().substr(0, this->target().find('?')); }

    int status() const
    {
        const std::size_t space = this->first.find(' ');
        return space == std::string::npos ? 0 : std::atoi(this->first.c_str() + space + 1);
    }
};

inline std::string queryValue(const std::string &target, const std::string &name)
{
    const std::size_t mark = target.find('?');
    if (mark == std::string::npos)
        return {};
    std::string query = "&" + target.substr(mark + 1);
    const std::size_t at = query.find("&" + name + "=");
    if (at == std::string::npos)
        return {};
    const std::size_t from = at + name.size() + 2;
    const std::string raw = query.substr(from, query.find('&', from) - from);
    std::string value;
    for (std::size_t i = 0; i < raw.size(); ++i) {
        if (raw[i] == '%' && i + 2 < raw.size()) {
            value += static_cast<char>(std::stoi(raw.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            value += raw[i];
        }
    }
    return value;
}

// One connection with blocking calls.
class Connection
{
public:
    explicit Connection(int socket)
        : descriptor(socket)
    {
        const int on = 1;
        ::setsockopt(this->descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }

    ~Connection() { this->close(); }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    static std::unique_ptr<Connection> open(const std::string &ip, int port,
                                            const std::string &from = {})
    {
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (!from.empty()) {
            const sockaddr_in own = socketAddress(from, 0);
            ::bind(socket, reinterpret_cast<const sockaddr *>(&own), sizeof(own));
        }
        const sockaddr_in address = socketAddress(ip, port);
        if (::connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
            ::close(socket);
            return nullptr;
        }
        return std::make_unique<Connection>(socket);
    }

    void close()
    {
        if (this->descriptor >= 0)
            ::close(this->descriptor);
        this->descriptor = -1;
    }

    void reset()
    {
        const linger now{1, 0};
        ::setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
        this->close();
    }

    bool send(const std::string &bytes) const
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t n = ::send(this->descriptor, bytes.data() + sent, bytes.size() - sent,
                                     MSG_NOSIGNAL);
            if (n <= 0)
                return false;
            sent += static_cast<std::size_t>(n);
        }
        return true;
    }

    // Reads more bytes; false at the end, after an error or after the time.
    bool more(Clock::time_point until)
    {
        const auto left = std::chrono::duration_cast<milliseconds>(until - Clock::now()).count();
        pollfd ready{this->descriptor, POLLIN, 0};
        if (left <= 0 || ::poll(&ready, 1, static_cast<int>(left)) <= 0) {
            this->ended = "silence";
            return false;
        }
        char bytes[65536];
        const ssize_t n = ::recv(this->descriptor, bytes, sizeof(bytes), 0);
        if (n <= 0) {
            this->ended = n == 0 ? "closed" : "reset";
            return false;
        }
        this->pending.append(bytes, static_cast<std::size_t>(n));
        return true;
    }

    // Reads one message; nothing if the connection ends before its end.
    std::optional<Message> read(milliseconds patience)
    {
        const Clock::time_point until = Clock::now() + patience;
        std::size_t end = 0;
        while ((end = this->pending.find("\r\n\r\n")) == std::string::npos) {
            if (!this->more(until))
                return std::nullopt;
        }
        Message message;
        std::size_t at = this->pending.find("\r\n");
        message.first = this->pending.substr(0, at);
        while (at < end) {
            const std::size_t from = at + 2;
            at = this->pending.find("\r\n", from);
            const std::string field = this->pending.substr(from, at - from);
            const std::size_t colon = field.find(':');
            const std::size_t value = field.find_first_not_of(' ', colon + 1);
            message.headers.emplace_back(field.substr(0, colon),
                                         value == std::string::npos ? "" : field.substr(value));
        }
        this->pending.erase(0, end + 4);
        const std::string length = message.header("Content-Length");
        if (message.header("Transfer-Encoding") == "chunked") {
            for (;;) {
                while ((end = this->pending.find("\r\n")) == std::string::npos) {
                    if (!this->more(until))
                        return std::nullopt;
                }
                const std::size_t size = std::stoul(this->pending.substr(0, end), nullptr, 16);
                while (this->pending.size() < end + 2 + size + 2) {
                    if (!this->more(until))
                        return std::nullopt;
                }
                message.body += this->pending.substr(end + 2, size);
                this->pending.erase(0, end + 2 + size + 2);
                if (size == 0)
                    return message;
            }
        }
        const std::size_t size = length.empty() ? 0 : std::stoul(length);
        while (this->pending.size() < size) {
            if (!this->more(until))
                return std::nullopt;
        }
        message.body = this->pending.substr(0, size);
        this->pending.erase(0, size);
        return message;
    }

    std::string ended; // why read() returned nothing: silence, closed or reset

private:
    int descriptor;
    std::string pending;
};

inline std::string answerText(int status, const std::string &headers, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " S\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// A server with one thread for each connection.
class Server
{
public:
    // Returns false to close the connection.
    using Handler = std::function<bool(Connection &, const Message &)>;

    Server(std::string ip, int port, Handler handler)
        : address(std::move(ip))
        , portNumber(port)
        , serve(std::move(handler))
    {
        this->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        const sockaddr_in where = socketAddress(this->address, this->portNumber);
        if (::bind(this->listener, reinterpret_cast<const sockaddr *>(&where), sizeof(where)) !=
                    0 ||
            ::listen(this->listener, 1024) != 0) {
            std::cerr << "cannot listen at " << withPort(this->address, port) << std::endl;
            std::exit(2);
        }
        std::thread([this] { this->accept(); }).detach();
    }

    std::string text() const { return withPort(this->address, this->portNumber); }
    const std::string &ip() const { return this->address; }
    int port() const { return this->portNumber; }

    // Closes the port, as the end of a process does. The handlers reset their connections.
    void stop()
    {
        this->stopped = true;
        ::shutdown(this->listener, SHUT_RDWR);
        ::close(this->listener);
    }

private:
    void accept()
    {
        for (;;) {
            const int socket = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0 && this->stopped)
                return;
            if (socket < 0) {
                pause(5);
                continue;
            }
            std::thread([this, socket] {
                Connection connection(socket);
                while (const auto request = connection.read(std::chrono::seconds(120))) {
                    if (!this->serve(connection, *request))
                        return;
                }
            }).detach();
        }
    }

    std::string address;
    int portNumber;
    Handler serve;
    int listener;
    std::atomic<bool> stopped{false};
};

inline std::string base64(const std::string &bytes)
{
    static const char *const digits =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned group = 0;
        for (std::size_t j = 0; j < 3; ++j)
            group = group << 8 |
                    (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0);
        for (std::size_t j = 0; j < 4; ++j)
            text += i + j > bytes.size() ? '=' : digits[group >> (18 - 6 * j) & 63];
    }
    return text;
}

// The platform's store. It is linearizable and loses nothing.
class Store
{
public:
    Store(const std::string &ip, int port)
        : server(ip, port, [this](Connection &to, const Message &request) {
            return this->serve(to, request);
        })
    {
    }

    std::string text() const { return this->server.text(); }

    // The return of these calls is the ack.
    void put(const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(this->mutex);
        const json item = {{"Key", key},
                           {"Value", base64(value)},
                           {"Revision", ++this->revision},
                           {"Created", this->revision},
                           {"Lease", 0}};
        this->items[key] = item;
        this->history.push_back(item);
        this->changed.notify_all();
    }

    void remove(const std::string &key)
    {
        const std::lock_guard lock(this->mutex);
        this->items.erase(key);
        this->history.push_back({{"Key", key}, {"Revision", ++this->revision}, {"Deleted", true}});
        this->changed.notify_all();
    }

private:
    bool serve(Connection &to, const Message &request)
    {
        const std::string target = request.target();
        json body;
        if (request.path() == "/jaytrack/kv-range")
            body = this->range(queryValue(target, "Prefix"), queryValue(target, "After"));
        else if (request.path() == "/jaytrack/kv-watch")
            body = this->watch(queryValue(target, "Prefix"),
                               std::stoull(queryValue(target, "After")),
                               milliseconds(std::stoi(queryValue(target, "WaitMs"))));
        else
            return to.send(answerText(404, "", ""));
        pause(4);
        return to.send(answerText(200, "Content-Type: application/json\r\n", body.dump()));
    }

    json range(const std::string &prefix, const std::string &after)
    {
        const std::lock_guard lock(this->mutex);
        json entries = json::array();
        for (const auto &[key, item] : this->items) {
            if (key.rfind(prefix, 0) == 0 && key > after)
                entries.push_back(item);
        }
        return {{"Entries", entries}, {"HasMore", false}, {"At", this->revision}};
    }

    json watch(const std::string &prefix, std::uint64_t after, milliseconds wait)
    {
        std::unique_lock lock(this->mutex);
        const auto until = Clock::now() + wait;
        for (;;) {
            json events = json::array();
            for (const json &item : this->history) {
                if (item["Revision"].get<std::uint64_t>() > after &&
                    item["Key"].get<std::string>().rfind(prefix, 0) == 0)
                    events.push_back(item);
            }
            if (!events.empty() || this->changed.wait_until(lock, until) == std::cv_status::timeout)
                return {{"events", events}, {"At", this->revision}};
        }
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::uint64_t revision = 1;
    std::map<std::string, json> items;
    std::vector<json> history;
    Server server;
};

// What the operator and the engines write, as on the pages.

inline json route(const std::string &prefix, const std::string &type, const std::string &service,
                  int timeoutMs, int sloMs, int attempts)
{
    return {{"Name", "r" + prefix}, {"Host", "site.example"}, {"Prefix", prefix},
            {"Type", type},         {"TimeoutMs", timeoutMs}, {"SloMs", sloMs},
            {"Priority", 2},        {"Service", service},     {"MaxAttempts", attempts},
            {"Public", false},      {"Sticky", false},        {"Resumable", false},
            {"ItlTargetMs", 180}};
}

inline json configuration(int version, const json &routes, const std::string &service,
                          int maxHeaderBytes = 16384)
{
    return {{"Version", version},
            {"Routes", routes},
            {"Services",
             {{{"Name", service},
               {"HealthPath", "/healthz"},
               {"MaxConns", 96},
               {"Protocol", "h1"},
               {"Tls", false}}}},
            {"Limits",
             {{"MaxHeaderBytes", maxHeaderBytes},
              {"MaxBodyBytes", 4194304},
              {"HeaderTimeoutMs", 3000},
              {"IdleTimeoutMs", 15000}}},
            {"Tenants",
             {{{"Name", "tenant-1"}, {"ApiKeys", {"key-of-tenant-1"}}, {"Priority", 1}}}}};
}

inline std::string listing(const std::string &service, const std::string &address,
                           const std::string &zone, int slots, const std::string &state = "ready")
{
    return json{{"Service", service},
                {"Address", address},
                {"Zone", zone},
                {"Version", "v1"},
                {"Slots", slots},
                {"State", state},
                {"ColdLeftMs", 0},
                {"Phase", "both"},
                {"Models", json::array()},
                {"Seq", 1}}
            .dump();
}

// The ids of the processes that this program started and that have not been reaped.
constexpr std::size_t maxProcesses = 16;
inline std::array<std::atomic<pid_t>, maxProcesses> startedProcesses{};

inline void noteStarted(pid_t process)
{
    for (std::atomic<pid_t> &slot : startedProcesses) {
        pid_t none = 0;
        if (slot.compare_exchange_strong(none, process))
            return;
    }
}

inline void noteReaped(pid_t process)
{
    for (std::atomic<pid_t> &slot : startedProcesses) {
        pid_t known = process;
        slot.compare_exchange_strong(known, 0);
    }
}

inline void endStartedProcesses()
{
    for (std::atomic<pid_t> &slot : startedProcesses) {
        const pid_t process = slot.exchange(0);
        if (process > 0)
            ::kill(process, SIGKILL);
    }
}

// Ends the processes also at std::exit(), at SIGTERM, SIGINT and SIGHUP, and shortly before 120 s
// are over.
inline void guardProcesses()
{
    static constexpr unsigned maxSeconds = 115;
    std::atexit(endStartedProcesses);
    for (const int number : {SIGTERM, SIGINT, SIGHUP, SIGALRM}) {
        ::signal(number, [](int) {
            endStartedProcesses();
            ::_exit(2);
        });
    }
    ::alarm(maxSeconds);
}

// The processes of the deploy file

struct InstancePlan
{
    std::string name;
    std::string ip;
    std::string zone;
    std::string store; // address at which it finds the store
};

struct Ports
{
    int front;
    int ready;
    int control;
    int metrics;
    int peers;
};

class Instance
{
public:
    Instance(InstancePlan given, Ports allPorts, std::vector<std::string> seedIps,
             std::string directory)
        : plan(std::move(given))
        , ports(allPorts)
        , seeds(std::move(seedIps))
        , folder(std::move(directory))
    {
    }

    ~Instance()
    {
        if (this->process <= 0)
            return;
        ::kill(this->process, SIGCONT);
        ::kill(this->process, SIGKILL);
        ::waitpid(this->process, nullptr, 0);
        noteReaped(this->process);
    }

    // The settings as the platform fills in deploy/entry.toml.in.
    void writeSettings(bool firstStart) const
    {
        std::ofstream file(this->settingsFile());
        const auto text = [](const std::string &value) { return "\"" + value + "\""; };
        file << "name = " << text(this->plan.name) << "\ndata_centre = " << text(this->plan.zone)
             << "\n"
             << (firstStart ? "first_start = true\n" : "")
             << "\n[listen]\ncallers = " << text(withPort(this->plan.ip, this->ports.front))
             << "\nreadiness = " << text(withPort(this->plan.ip, this->ports.ready))
             << "\nmetrics = " << text(withPort(this->plan.ip, this->ports.metrics))
             << "\n\n[store]\naddress = " << text(this->plan.store)
             << "\n\n[peers]\nlisten = " << text(withPort(this->plan.ip, this->ports.peers))
             << "\nseed_hosts = [";
        for (std::size_t i = 0; i < this->seeds.size(); ++i)
            file << (i > 0 ? "," : "") << text(withPort(this->seeds[i], this->ports.control));
        file << "]\nkeys = [\"jaytrack-entry-fleet-1\"]\n\n[bounds]\nkey_freshness_ms = 5000\n"
                "configuration_ms = 2000\nleaving_ms = 2000\ndrain_grace_s = 8\n"
                "retry_ratio = 0.2\nretry_window_s = 10\nretry_slack = 52\n\n"
                "[limits]\nmemory_mb = 260\ndescriptors = 4100\n";
        for (const char *zone : {"zone-1", "zone-2", "zone-3"})
            file << "\n[[data_centres]]\nname = \"" << zone << "\"\nregion = \"region\"\n";
    }

    // The run command of deploy/system.toml, in the root of the repository.
    void start(bool firstStart = true)
    {
        this->writeSettings(firstStart);
        const std::string log = this->folder + "/" + this->plan.name + ".log";
        const std::string boot = "JAYTRACK_BOOT=" + this->settingsFile();
        posix_spawn_file_actions_t files;
        posix_spawn_file_actions_init(&files);
        posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, log.c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND, 0644);
        posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
        char program[] = "target/bin/jaytrack-entry";
        char *arguments[] = {program, nullptr};
        std::string variable = boot;
        char *environment[] = {variable.data(), nullptr};
        if (::posix_spawn(&this->process, program, &files, nullptr, arguments, environment) != 0) {
            std::cerr << "cannot start " << program << std::endl;
            std::exit(2);
        }
        posix_spawn_file_actions_destroy(&files);
        noteStarted(this->process);
    }

    void signal(int number) const { ::kill(this->process, number); }

    // How the process ended; empty while it runs.
    std::string endOf()
    {
        int status = 0;
        if (this->process <= 0 || ::waitpid(this->process, &status, WNOHANG) != this->process)
            return {};
        noteReaped(this->process);
        this->process = 0;
        return WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                   : "exit " + std::to_string(WEXITSTATUS(status));
    }

    bool isReady() const
    {
        const auto connection = Connection::open(this->plan.ip, this->ports.ready);
        if (!connection)
            return false;
        connection->send("GET /jaytrack/readyz HTTP/1.1\r\nHost: ready\r\n\r\n");
        const auto answer = connection->read(milliseconds(1000));
        return answer && answer->status() == 200;
    }

    const InstancePlan plan;
    const Ports ports;

private:
    std::string settingsFile() const { return this->folder + "/" + this->plan.name + ".conf"; }

    std::vector<std::string> seeds;
    std::string folder;
    pid_t process = 0;
};

// A folder that is removed at the end.
class TemporaryFolder
{
public:
    TemporaryFolder()
    {
        char name[] = "/tmp/jaytrack-review-XXXXXX";
        const char *made = ::mkdtemp(name);
        if (made == nullptr) {
            std::cerr << "no temporary folder" << std::endl;
            std::exit(2);
        }
        this->path = made;
    }

    ~TemporaryFolder()
    {
        std::error_code ignored;
        std::filesystem::remove_all(this->path, ignored);
    }

    std::string path;
};

inline bool awaitReady(const std::vector<std::unique_ptr<Instance>> &instances)
{
    for (int i = 0; i < 150; ++i) {
        bool all = true;
        for (const auto &instance : instances)
            all = all && instance->isReady();
        if (all)
            return true;
        pause(100);
    }
    return false;
}

inline bool hasTrouble()
{
    const char *set = std::getenv("TROUBLE");
    return set == nullptr || std::string(set) != "0";
}

} // namespace review

#endif
