// Stand-ins of the platform's store, of servers and of clients, and the control of entry processes,
// shared by the scripted cases of the review. Blocking sockets and one thread for each connection:
// simple, and enough for a few dozen requests a second. Depends on nothing but POSIX.
#ifndef REVIEW_KIT_H
#define REVIEW_KIT_H

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

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

extern char **environ;

namespace kit {

using Clock = std::chrono::steady_clock;

inline Clock::time_point startOfRun = Clock::now();

// Milliseconds since the start of the script.
inline double now()
{
    return std::chrono::duration<double, std::milli>(Clock::now() - startOfRun).count();
}

inline void sleepMs(double ms)
{
    if (ms > 0)
        std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

inline void sleepUntil(double at)
{
    sleepMs(at - now());
}

// ---- The record of what was sent, answered and run ----

class Record
{
public:
    explicit Record(const std::string &path)
        : file(std::fopen(path.c_str(), "w"))
    {
    }
    void line(const char *format, ...) __attribute__((format(printf, 2, 3)))
    {
        const std::lock_guard lock(this->mutex);
        std::fprintf(this->file, "%10.1f ", now());
        va_list args;
        va_start(args, format);
        std::vfprintf(this->file, format, args);
        va_end(args);
        std::fputc('\n', this->file);
        std::fflush(this->file);
    }

private:
    std::mutex mutex;
    std::FILE *file;
};

// ---- Sockets ----

inline sockaddr_in addressOf(const std::string &ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

inline int listenOn(const std::string &ip, int &port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    sockaddr_in address = addressOf(ip, port);
    if (::bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0 ||
        ::listen(fd, 512) != 0) {
        ::close(fd);
        return -1;
    }
    socklen_t size = sizeof address;
    ::getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
    port = ntohs(address.sin_port);
    return fd;
}

inline bool writeAll(int fd, const std::string &bytes)
{
    std::size_t done = 0;
    while (done < bytes.size()) {
        const ssize_t n = ::send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        done += static_cast<std::size_t>(n);
    }
    return true;
}

inline std::string lower(std::string text)
{
    for (char &c : text)
        c = static_cast<char>(::tolower(static_cast<unsigned char>(c)));
    return text;
}

struct Message
{
    std::string first; // request or status line
    std::string method;
    std::string target;
    int status = 0;
    std::map<std::string, std::string> headers; // by name in lower case
    std::string body;
    std::string header(const std::string &name) const
    {
        const auto found = this->headers.find(lower(name));
        return found == this->headers.end() ? std::string() : found->second;
    }
};

inline Message parseHead(const std::string &head)
{
    Message message;
    std::istringstream lines(head);
    std::string line;
    std::getline(lines, line);
    if (!line.empty() && line.back() == '\r')
        line.pop_back();
    message.first = line;
    std::istringstream words(line);
    words >> message.method >> message.target;
    message.status = std::atoi(message.target.c_str());
    while (std::getline(lines, line)) {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        std::size_t start = colon + 1;
        while (start < line.size() && line[start] == ' ')
            ++start;
        message.headers[lower(line.substr(0, colon))] = line.substr(start);
    }
    return message;
}

// ---- A server ----

class Connection
{
public:
    explicit Connection(int socket)
        : fd(socket)
    {
    }
    ~Connection() { ::close(this->fd); }
    bool send(const std::string &bytes) { return writeAll(this->fd, bytes); }
    // Whether the peer has closed its side.
    bool peerClosed() const
    {
        char byte;
        const ssize_t n = ::recv(this->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }
    // Ends the connection at once with a reset.
    void reset()
    {
        const linger hard{1, 0};
        ::setsockopt(this->fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
        ::shutdown(this->fd, SHUT_RDWR);
    }
    int fd;
};

class Server
{
public:
    using Handler = std::function<void(Connection &, const Message &)>;

    Server(std::string ip, Handler answers, int wantedPort = 0)
        : address(std::move(ip))
        , handler(std::move(answers))
        , port(wantedPort)
        , listener(listenOn(this->address, this->port))
    {
        if (this->listener < 0) {
            std::fprintf(stderr, "cannot listen\n");
            std::exit(2);
        }
        this->acceptor = std::thread([this] { this->accept(); });
    }
    ~Server() { this->stop(); }

    std::string text() const { return this->address + ":" + std::to_string(this->port); }

    // Ends as a process does: nothing listens any more and all connections are gone.
    void stop()
    {
        if (this->stopped.exchange(true))
            return;
        ::shutdown(this->listener, SHUT_RDWR);
        if (this->acceptor.joinable())
            this->acceptor.join();
        ::close(this->listener);
        std::vector<std::thread> ending;
        {
            const std::lock_guard lock(this->mutex);
            for (Connection *open : this->connections)
                open->reset();
            ending.swap(this->threads);
        }
        for (std::thread &thread : ending)
            thread.join();
    }
    bool hasStopped() const { return this->stopped; }

private:
    void accept()
    {
        for (;;) {
            const int fd = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                if (this->stopped || errno == EINVAL || errno == EBADF)
                    return;
                continue;
            }
            const int one = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
            const std::lock_guard lock(this->mutex);
            this->threads.emplace_back([this, fd] { this->serve(fd); });
        }
    }

    void serve(int fd)
    {
        Connection connection(fd);
        {
            const std::lock_guard lock(this->mutex);
            this->connections.insert(&connection);
        }
        Message request;
        if (!this->stopped && this->read(fd, request))
            this->handler(connection, request);
        const std::lock_guard lock(this->mutex);
        this->connections.erase(&connection);
    }

    static bool read(int fd, Message &request)
    {
        std::string bytes;
        char buffer[65536];
        std::size_t end = std::string::npos;
        while ((end = bytes.find("\r\n\r\n")) == std::string::npos) {
            const ssize_t n = ::recv(fd, buffer, sizeof buffer, 0);
            if (n <= 0)
                return false;
            bytes.append(buffer, static_cast<std::size_t>(n));
        }
        request = parseHead(bytes.substr(0, end));
        request.body = bytes.substr(end + 4);
        const std::size_t length =
                static_cast<std::size_t>(std::atoll(request.header("Content-Length").c_str()));
        while (request.body.size() < length) {
            const ssize_t n = ::recv(fd, buffer, sizeof buffer, 0);
            if (n <= 0)
                return false;
            request.body.append(buffer, static_cast<std::size_t>(n));
        }
        return true;
    }

    std::string address;
    Handler handler;
    int port;
    int listener;
    std::atomic<bool> stopped{false};
    std::mutex mutex;
    std::set<Connection *> connections;
    std::vector<std::thread> threads;
    std::thread acceptor;
};

inline std::string answer(int status, const std::string &body, const std::string &headers = {})
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body;
}

// ---- The platform's store ----

inline std::string base64(const std::string &bytes)
{
    static const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        uint32_t group = static_cast<unsigned char>(bytes[i]) << 16;
        if (i + 1 < bytes.size())
            group |= static_cast<unsigned char>(bytes[i + 1]) << 8;
        if (i + 2 < bytes.size())
            group |= static_cast<unsigned char>(bytes[i + 2]);
        out += digits[group >> 18 & 63];
        out += digits[group >> 12 & 63];
        out += i + 1 < bytes.size() ? digits[group >> 6 & 63] : '=';
        out += i + 2 < bytes.size() ? digits[group & 63] : '=';
    }
    return out;
}

inline std::string unescape(const std::string &text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            out += text[i];
        }
    }
    return out;
}

inline std::string queryValue(const std::string &target, const std::string &name)
{
    const std::size_t mark = target.find('?');
    if (mark == std::string::npos)
        return {};
    std::istringstream parts(target.substr(mark + 1));
    std::string part;
    while (std::getline(parts, part, '&')) {
        if (part.rfind(name + "=", 0) == 0)
            return unescape(part.substr(name.size() + 1));
    }
    return {};
}

// Linearizable, one revision counter, range and watch as PROTOCOL.md says. Answers in 4 ms.
class Store
{
public:
    explicit Store(const std::string &ip)
        : server(ip, [this](Connection &c, const Message &m) { this->serve(c, m); })
    {
    }
    ~Store()
    {
        {
            const std::lock_guard lock(this->mutex);
            this->ended = true;
        }
        this->changed.notify_all();
        this->server.stop();
    }
    std::string text() const { return this->server.text(); }

    // Returns when the store has accepted the change, which is the ack.
    double put(const std::string &key, const std::string &value) { return this->write(key, value, false); }
    double remove(const std::string &key) { return this->write(key, {}, true); }

    // Remembers what is stored now.
    void takeCopy()
    {
        const std::lock_guard lock(this->mutex);
        this->copiedItems = this->items;
        this->copiedRevision = this->revision;
    }
    // Answers nobody until it comes back; waiting watches are cut.
    void goAway()
    {
        {
            const std::lock_guard lock(this->mutex);
            this->away = true;
        }
        this->changed.notify_all();
    }
    // Comes back as it was when the copy was taken: revisions go back and are given out again, and
    // all answers tell the next era.
    void comeBackFromCopy()
    {
        const std::lock_guard lock(this->mutex);
        this->items = this->copiedItems;
        this->revision = this->copiedRevision;
        std::erase_if(this->history, [this](const Change &change) { return change.revision > this->revision; });
        ++this->era;
        this->away = false;
    }

private:
    struct Change
    {
        std::string key;
        std::string value;
        uint64_t revision;
        bool deleted;
    };

    double write(const std::string &key, const std::string &value, bool deleted)
    {
        double at = 0;
        {
            const std::lock_guard lock(this->mutex);
            ++this->revision;
            this->history.push_back({key, value, this->revision, deleted});
            if (deleted)
                this->items.erase(key);
            else
                this->items[key] = this->history.back();
            at = now();
        }
        this->changed.notify_all();
        return at;
    }

    static std::string item(const Change &change)
    {
        std::string text = "{\"Key\":\"" + change.key + "\",\"Revision\":" + std::to_string(change.revision);
        if (change.deleted)
            return text + ",\"Deleted\":true}";
        return text + ",\"Created\":1,\"Lease\":0,\"Value\":\"" + base64(change.value) + "\"}";
    }

    void serve(Connection &connection, const Message &request)
    {
        sleepMs(4);
        const std::string path = request.target.substr(0, request.target.find('?'));
        const std::string prefix = queryValue(request.target, "Prefix");
        std::unique_lock lock(this->mutex);
        if (this->away)
            return;
        const std::string headers =
                "Content-Type: application/json\r\nStore-Era: " + std::to_string(this->era) + "\r\n";
        std::string list;
        const auto add = [&list](const Change &change) { list += (list.empty() ? "" : ",") + item(change); };
        if (path == "/jaytrack/kv-range") {
            const std::string after = queryValue(request.target, "After");
            for (const auto &[key, change] : this->items) {
                if (key.rfind(prefix, 0) == 0 && (after.empty() || key > after))
                    add(change);
            }
            const std::string body = "{\"Entries\":[" + list + "],\"HasMore\":false,\"At\":" +
                                     std::to_string(this->revision) + "}";
            lock.unlock();
            connection.send(answer(200, body, headers));
        } else if (path == "/jaytrack/kv-watch") {
            const uint64_t after = std::strtoull(queryValue(request.target, "After").c_str(), nullptr, 10);
            const int wait = std::atoi(queryValue(request.target, "WaitMs").c_str());
            const auto until = Clock::now() + std::chrono::milliseconds(wait);
            if (after > this->revision) {
                lock.unlock();
                connection.send(answer(410, "{}", headers));
                return;
            }
            const auto news = [&] {
                return this->ended || this->away || (!this->history.empty() && this->history.back().revision > after);
            };
            this->changed.wait_until(lock, until, news);
            if (this->away)
                return;
            for (const Change &change : this->history) {
                if (change.revision > after && change.key.rfind(prefix, 0) == 0)
                    add(change);
            }
            const std::string body =
                    "{\"events\":[" + list + "],\"At\":" + std::to_string(this->revision) + "}";
            lock.unlock();
            connection.send(answer(200, body, headers));
        } else {
            lock.unlock();
            connection.send(answer(404, "{}"));
        }
    }

    std::mutex mutex;
    std::condition_variable changed;
    bool ended = false;
    bool away = false;
    uint64_t era = 1;
    uint64_t revision = 1;
    uint64_t copiedRevision = 1;
    std::map<std::string, Change> items;
    std::map<std::string, Change> copiedItems;
    std::vector<Change> history;
    Server server;
};

inline std::string serverEntry(const std::string &service, const std::string &address,
                               const std::string &state, int seq = 1)
{
    return "{\"Service\":\"" + service + "\",\"Address\":\"" + address +
           "\",\"Zone\":\"dal-a\",\"Version\":\"v1\",\"Slots\":6,\"State\":\"" + state +
           "\",\"ColdLeftMs\":0,\"Seq\":" + std::to_string(seq) + "}";
}

// ---- Entry processes ----

// Processes that run, so that they end whenever the script does.
inline std::atomic<pid_t> running[32];

inline void killAll()
{
    for (auto &pid : running) {
        if (pid > 0)
            ::kill(pid, SIGKILL);
    }
}

// Ends the script with 2 when it is told to end, or after the longest time that a script may take.
inline void installGuards()
{
    const auto end = [](int) {
        killAll();
        ::_exit(2);
    };
    for (const int number : {SIGTERM, SIGINT, SIGHUP, SIGALRM})
        ::signal(number, end);
    std::atexit(killAll);
    ::alarm(118);
}

// An entry machine with an address of its own. The settings are those that deploy/entry.toml.in
// renders to, with the bounds of the site named in claim.txt.
class Entry
{
public:
    Entry(std::string name, std::string ip, std::string store, std::vector<std::string> seeds,
          std::string directory, int base, int memoryMb = 110)
        : name(std::move(name))
        , ip(std::move(ip))
        , base(base)
        , directory(std::move(directory))
    {
        std::ofstream file(this->settings());
        file << "name = \"" << this->name << "\"\ndata_centre = \"dal-a\"\n\n[listen]\ncallers = \""
             << this->ip << ":" << base << "\"\nreadiness = \"" << this->ip << ":" << base + 1
             << "\"\nmetrics = \"" << this->ip << ":" << base + 2 << "\"\n\n[store]\naddress = \"" << store
             << "\"\n\n[peers]\nlisten = \"" << this->ip << ":" << base + 3 << "\"\nseed_hosts = [";
        for (std::size_t i = 0; i < seeds.size(); ++i)
            file << (i > 0 ? "," : "") << "\"" << seeds[i] << ":" << base + 4 << "\"";
        file << "]\nkeys = [\"jaytrack-entry-fleet-1\"]\n\n[bounds]\nkey_freshness_ms = 5000\n"
                "configuration_ms = 2000\ndrain_grace_s = 8\nretry_ratio = 0.2\nretry_window_s = 10\n"
                "retry_slack = 54\n\n[limits]\nmemory_mb = "
             << memoryMb
             << "\ndescriptors = 4100\n\n[[data_centres]]\nname = \"dal-a\"\nregion = \"dalarna\"\n";
    }
    ~Entry()
    {
        if (this->pid <= 0)
            return;
        this->forget();
        ::kill(this->pid, SIGCONT);
        ::kill(this->pid, SIGKILL);
        ::waitpid(this->pid, nullptr, 0);
    }

    std::string settings() const { return this->directory + "/" + this->name + ".toml"; }
    std::string log() const { return this->directory + "/" + this->name + ".log"; }
    int port() const { return this->base; }

    // The command of deploy/system.toml, with the settings file in JAYTRACK_BOOT.
    void start()
    {
        const char *program = "target/bin/jaytrack-entry";
        posix_spawn_file_actions_t files;
        posix_spawn_file_actions_init(&files);
        posix_spawn_file_actions_addopen(&files, 1, this->log().c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        posix_spawn_file_actions_adddup2(&files, 1, 2);
        std::string boot = "JAYTRACK_BOOT=" + this->settings();
        std::string path = std::string("PATH=") + (std::getenv("PATH") ? std::getenv("PATH") : "");
        char *environment[] = {boot.data(), path.data(), nullptr};
        std::string word = program;
        char *words[] = {word.data(), nullptr};
        if (posix_spawn(&this->pid, program, &files, nullptr, words, environment) != 0) {
            std::fprintf(stderr, "cannot start %s\n", program);
            std::exit(2);
        }
        posix_spawn_file_actions_destroy(&files);
        for (auto &slot : running) {
            pid_t free = 0;
            if (slot.compare_exchange_strong(free, this->pid))
                break;
        }
    }
    void signal(int number)
    {
        if (this->pid > 0)
            ::kill(this->pid, number);
        if (number == SIGKILL && this->pid > 0) {
            ::waitpid(this->pid, nullptr, 0);
            this->forget();
            this->pid = -1;
        }
    }
    // Returns how the process ended by itself; empty while it runs or after it was killed here.
    std::string endedByItself()
    {
        int status = 0;
        if (this->pid <= 0 || ::waitpid(this->pid, &status, WNOHANG) != this->pid)
            return {};
        this->forget();
        this->pid = -1;
        return WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                   : "exit " + std::to_string(WEXITSTATUS(status));
    }
    bool runs() const { return this->pid > 0; }
    // Whether the process says in its last line on that matter that it reads the store as one of
    // the readers of the fleet. Used to choose what to disturb, not to judge.
    bool isReader() const
    {
        std::ifstream file(this->log());
        std::string line;
        bool reader = false;
        while (std::getline(file, line)) {
            if (line.find("event=store_reading") != std::string::npos)
                reader = line.find("reader=1") != std::string::npos;
            if (line.find("event=store_shared") != std::string::npos)
                reader = false;
        }
        return reader;
    }

    std::string name;
    std::string ip;

private:
    void forget()
    {
        for (auto &slot : running) {
            pid_t own = this->pid;
            slot.compare_exchange_strong(own, 0);
        }
    }

    int base;
    std::string directory;
    pid_t pid = -1;
};

// ---- Clients ----

struct Reply
{
    int status = 0; // 0: the connection ended without a status line
    bool complete = false;
    bool connected = false;
    Message message;
    std::string bytes; // all that came
    double sentAt = 0;
    double endedAt = 0;
};

inline int connectTo(const std::string &ip, int port, int patienceMs = 1000)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    sockaddr_in address = addressOf(ip, port);
    if (::connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
        pollfd waiting{fd, POLLOUT, 0};
        int failure = errno == EINPROGRESS ? 0 : errno;
        socklen_t size = sizeof failure;
        if (failure == 0 && ::poll(&waiting, 1, patienceMs) == 1)
            ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &failure, &size);
        else
            failure = ETIMEDOUT;
        if (failure != 0) {
            ::close(fd);
            return -1;
        }
    }
    ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    const int one = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    return fd;
}

// One request on a new connection, which is read until its answer is whole or the connection ends.
inline Reply call(const std::string &ip, int port, const std::string &request, int patienceMs)
{
    Reply reply;
    reply.sentAt = now();
    const int fd = connectTo(ip, port);
    if (fd < 0) {
        reply.endedAt = now();
        return reply;
    }
    reply.connected = true;
    writeAll(fd, request);
    const double until = now() + patienceMs;
    std::string bytes;
    std::size_t head = std::string::npos;
    char buffer[65536];
    for (;;) {
        pollfd waiting{fd, POLLIN, 0};
        const int left = static_cast<int>(until - now());
        if (left <= 0 || ::poll(&waiting, 1, left) != 1)
            break;
        const ssize_t n = ::recv(fd, buffer, sizeof buffer, 0);
        if (n <= 0)
            break;
        bytes.append(buffer, static_cast<std::size_t>(n));
        if (head == std::string::npos && (head = bytes.find("\r\n\r\n")) != std::string::npos) {
            reply.message = parseHead(bytes.substr(0, head));
            reply.status = reply.message.status;
        }
        if (head == std::string::npos)
            continue;
        const std::string length = reply.message.header("Content-Length");
        if (!length.empty() && bytes.size() >= head + 4 + std::stoull(length)) {
            reply.complete = true;
            reply.message.body = bytes.substr(head + 4);
            break;
        }
        if (length.empty() && bytes.size() >= 5 && bytes.compare(bytes.size() - 5, 5, "0\r\n\r\n") == 0) {
            reply.complete = true;
            reply.message.body = bytes.substr(head + 4);
            break;
        }
    }
    ::close(fd);
    reply.endedAt = now();
    reply.bytes = std::move(bytes);
    return reply;
}

inline bool isReady(const Entry &entry)
{
    const Reply reply = call(entry.ip, entry.port() + 1,
                             "GET /jaytrack/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", 500);
    return reply.status == 200;
}

// ---- Common to all cases ----

inline bool hasTrouble()
{
    const char *set = std::getenv("TROUBLE");
    return set == nullptr || std::string(set) != "0";
}

// Removed at the end, with the settings and logs in it, unless KEEP is set.
class TemporaryFolder
{
public:
    TemporaryFolder()
    {
        char pattern[] = "/tmp/review-XXXXXX";
        const char *made = ::mkdtemp(pattern);
        if (made == nullptr)
            std::exit(2);
        this->path = made;
    }
    ~TemporaryFolder()
    {
        std::error_code ignored;
        if (std::getenv("KEEP") == nullptr)
            std::filesystem::remove_all(this->path, ignored);
    }
    std::string path;
};

// Finds five ports in a row that are free on all of these addresses.
inline int freeBase(const std::vector<std::string> &ips)
{
    for (int base = 21000 + static_cast<int>(::getpid() * 13 % 9000); base < 60000; base += 7) {
        bool free = true;
        for (const std::string &ip : ips) {
            for (int i = 0; i < 5 && free; ++i) {
                int port = base + i;
                const int fd = listenOn(ip, port);
                free = fd >= 0;
                if (free)
                    ::close(fd);
            }
        }
        if (free)
            return base;
    }
    std::exit(2);
}

} // namespace kit

#endif
