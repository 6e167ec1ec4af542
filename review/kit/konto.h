// A small deployment with plain servers of one service ("konto"): the store, entry machines, servers
// and clients that send unsafe requests. Used by the cases about servers that leave.
#ifndef REVIEW_KONTO_H
#define REVIEW_KONTO_H

#include "kit.h"

namespace kit {

constexpr double drainMs = 2000;  // Bounds.DrainMs of vev-ryamatta
constexpr double stableMs = 3000; // Bounds.StableMs
constexpr double workMs = 30;     // mean work of pay-order and meter-read

inline std::string kontoConfig(int version, const std::string &keys = "\"k1\"")
{
    return "{\"Version\":" + std::to_string(version) +
           ",\"Routes\":[{\"Name\":\"pay\",\"Host\":\"site.example\",\"Prefix\":\"/pay/\",\"Type\":"
           "\"unsafe\",\"TimeoutMs\":1000,\"SloMs\":150,\"Priority\":2,\"Service\":\"konto\","
           "\"MaxAttempts\":1,\"Public\":false}],\"Services\":[{\"Name\":\"konto\",\"HealthPath\":\"/healthz\",\"MaxConns\":100}],"
           "\"Limits\":{\"MaxHeaderBytes\":8192,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":2000,"
           "\"IdleTimeoutMs\":5000},\"Tenants\":[{\"Name\":\"cust\",\"ApiKeys\":[" +
           keys + "]}]}";
}

// A plain server. Rejects requests meant for another one with 421, runs the others.
class KontoServer
{
public:
    struct Run
    {
        std::string attempt;
        double arrivedAt;
        double endedAt; // 0: broken off
    };

    KontoServer(std::string name, Record &seen)
        : id(std::move(name))
        , record(seen)
        , server("127.0.0.3", [this](Connection &c, const Message &m) { this->serve(c, m); })
    {
    }
    std::string text() const { return this->server.text(); }

    // Ends as a process does.
    void exit()
    {
        this->gone = true;
        this->server.stop();
        this->record.line("server %s exits", this->id.c_str());
    }

    std::vector<Run> runs()
    {
        const std::lock_guard lock(this->mutex);
        return this->ran;
    }

    std::string id;
    double leavingAckAt = 0;

private:
    void serve(Connection &connection, const Message &request)
    {
        const std::string attempt = request.header("X-Attempt-Id");
        const std::string echo = "X-Attempt-Id: " + attempt + "\r\n";
        if (request.header("X-Expect-Instance") != this->id) {
            connection.send(answer(421, "", echo + "X-Not-Executed: 1\r\n"));
            return;
        }
        std::size_t index = 0;
        {
            const std::lock_guard lock(this->mutex);
            index = this->ran.size();
            this->ran.push_back({attempt, now(), 0});
        }
        this->record.line("server %s runs %s", this->id.c_str(), attempt.c_str());
        sleepMs(workMs);
        if (this->gone)
            return;
        const std::string body = "done " + attempt + "\n";
        if (!connection.send(answer(200, body, echo + "X-Server-Stamp: " + this->id + "." + attempt + "\r\n")))
            return;
        const std::lock_guard lock(this->mutex);
        this->ran[index].endedAt = now();
    }

    Record &record;
    std::atomic<bool> gone{false};
    std::mutex mutex;
    std::vector<Run> ran;
    Server server;
};

// Clients of one entry machine, one request after the other at fixed intervals, each on a connection
// of its own and in a thread of its own.
class Clients
{
public:
    Clients(Entry &to, double intervalMs, Record &seen, std::string mark = "0")
        : entry(to)
        , interval(intervalMs)
        , record(seen)
        , label(std::move(mark))
    {
        this->thread = std::thread([this] { this->run(); });
    }
    ~Clients() { this->stop(); }
    void stop()
    {
        this->ended = true;
        if (this->thread.joinable())
            this->thread.join();
        for (std::thread &request : this->requests)
            request.join();
        this->requests.clear();
    }
    // Attempt ids and the replies to them.
    std::map<std::string, Reply> replies()
    {
        const std::lock_guard lock(this->mutex);
        return this->got;
    }

    Entry &entry;
    std::atomic<bool> paused{false}; // the platform sends nobody to a machine that is down

private:
    void run()
    {
        double next = now();
        for (int i = 0; !this->ended; ++i) {
            sleepUntil(next);
            next += this->interval;
            if (this->paused)
                continue;
            const std::string id = this->entry.name + "-" + this->label + "x" + std::to_string(i);
            this->requests.emplace_back([this, id] { this->send(id); });
        }
    }
    void send(const std::string &id)
    {
        this->record.line("client sends %s to %s", id.c_str(), this->entry.name.c_str());
        const Reply reply = call(this->entry.ip, this->entry.port(),
                                 "POST /pay/x HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: " + id +
                                         "\r\nX-Deadline-Ms: 1000\r\nAuthorization: Token k1\r\n"
                                         "Content-Length: 5\r\nConnection: close\r\n\r\norder",
                                 1000);
        this->record.line("client got %d for %s%s", reply.status, id.c_str(),
                          reply.status != 0 && !reply.complete ? " (cut)" : "");
        const std::lock_guard lock(this->mutex);
        this->got[id] = reply;
    }

    double interval;
    Record &record;
    std::string label;
    std::atomic<bool> ended{false};
    std::thread thread;
    std::vector<std::thread> requests;
    std::mutex mutex;
    std::map<std::string, Reply> got;
};

// Machines edge-dal-a-1 and so on, with the addresses 127.0.0.11 and so on.
class Fleet
{
public:
    Fleet(int count, const std::string &store, const std::string &directory)
    {
        std::vector<std::string> ips;
        for (int i = 0; i < count; ++i)
            ips.push_back("127.0.0." + std::to_string(11 + i));
        const int base = freeBase(ips);
        const std::vector<std::string> seeds(ips.begin(), ips.begin() + std::min(count, 3));
        static const char *names[] = {"edge-dal-a-1", "edge-dal-a-2", "edge-dal-b-1", "edge-dal-b-2",
                                      "edge-dal-c-1", "edge-dal-c-2", "edge-dal-d-1"};
        for (int i = 0; i < count; ++i)
            this->entries.push_back(std::make_unique<Entry>(names[i], ips[static_cast<std::size_t>(i)],
                                                            store, seeds, directory, base));
        for (auto &entry : this->entries)
            entry->start();
    }
    // Waits until all machines say that they are ready; false if they don't within this time.
    bool awaitReady(double ms)
    {
        const double until = now() + ms;
        for (auto &entry : this->entries) {
            while (!isReady(*entry)) {
                if (now() > until)
                    return false;
                sleepMs(50);
            }
        }
        return true;
    }
    std::vector<Entry *> readers()
    {
        std::vector<Entry *> found;
        for (auto &entry : this->entries) {
            if (entry->isReader())
                found.push_back(entry.get());
        }
        return found;
    }
    std::vector<std::unique_ptr<Entry>> entries;
};

} // namespace kit

#endif
