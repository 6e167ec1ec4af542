// A stand-in of the model servers, for the cases about streams.
#ifndef REVIEW_MODEL_H
#define REVIEW_MODEL_H

#include "konto.h"

namespace kit {

constexpr double eventMs = 30;       // between two events of a stream
constexpr double mayOverlapMs = 400; // RULES.md, TWICE

inline std::string modelConfig(int version, bool resumable)
{
    return "{\"Version\":" + std::to_string(version) + ",\"Routes\":[{\"Name\":\"draft\",\"Host\":\"site.example\",\"Prefix\":\"/draft/\","
           "\"Type\":\"stream\",\"TimeoutMs\":39000,\"SloMs\":1800,\"ItlTargetMs\":180,\"Priority\":1,"
           "\"Service\":\"vev-llm\",\"MaxAttempts\":" + std::to_string(resumable ? 2 : 1) +
           ",\"Resumable\":" + (resumable ? "true" : "false") + ",\"Public\":false,\"Sticky\":true}],"
           "\"Services\":[{\"Name\":\"vev-llm\",\"HealthPath\":\"/healthz\",\"MaxConns\":242,\"Engine\":{"
           "\"Slots\":24,\"KvCapacity\":34232,\"KvTokenBytes\":35136,\"LinkMbps\":5100,\"Moves\":true,"
           "\"Backups\":true,\"Stride\":4,\"HandleTtlS\":5.0}}],"
           "\"Limits\":{\"MaxHeaderBytes\":8192,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":2000,"
           "\"IdleTimeoutMs\":5000},\"Tenants\":[{\"Name\":\"cust\",\"ApiKeys\":[\"k1\"]}]}";
}

inline std::string chunk(const std::string &data)
{
    char size[20];
    std::snprintf(size, sizeof size, "%zx\r\n", data.size());
    return size + data + "\r\n";
}

inline std::string jsonText(const std::string &body, const std::string &name)
{
    const std::size_t at = body.find("\"" + name + "\":\"");
    if (at == std::string::npos)
        return {};
    const std::size_t from = at + name.size() + 4;
    return body.substr(from, body.find('"', from) - from);
}

// A model server: streams of events, reports of load, copies of runs without and with "Last".
class ModelServer
{
public:
    struct Run
    {
        std::string attempt;
        double began = 0;
        double lastWorked = 0;
        int events = 0;
        bool moved = false;   // stopped by a copy with "Last"
        bool resumed = false; // goes on from a copy
    };

    ModelServer(std::string name, bool dropsOnClose, int eventsOfAStream, Record &seen, std::string software = "v1",
                long long bornAt = 0, int port = 0)
        : id(std::move(name))
        , version(std::move(software))
        , born(bornAt)
        , drops(dropsOnClose)
        , eventsInAll(eventsOfAStream)
        , record(seen)
        , server("127.0.0.3", [this](Connection &c, const Message &m) { this->serve(c, m); }, port)
    {
    }
    std::string text() const { return this->server.text(); }
    int port() const { return std::atoi(this->text().substr(this->text().rfind(':') + 1).c_str()); }
    std::string entry(const std::string &state, int seq) const
    {
        std::string text = serverEntry("vev-llm", this->text(), state, seq);
        text.replace(text.find("\"Slots\":6"), 9, "\"Slots\":24");
        text.replace(text.find("\"v1\""), 4, "\"" + this->version + "\"");
        if (this->born != 0)
            text.insert(1, "\"born\":" + std::to_string(this->born) + ",");
        return text;
    }
    void exit()
    {
        this->gone = true;
        this->server.stop();
        this->record.line("server %s exits", this->id.c_str());
    }
    std::map<std::string, Run> runs()
    {
        const std::lock_guard lock(this->mutex);
        return this->ran;
    }

    std::string id;
    std::string version; // of its software
    long long born;      // Unix millisecond of its start; 0 if it doesn't say
    std::atomic<bool> full{false}; // of requests of others

private:
    void serve(Connection &connection, const Message &request)
    {
        if (request.target == "/jaytrack/report")
            return this->report(connection);
        if (request.target == "/jaytrack/kv-move")
            return this->move(connection, request);
        if (request.target.rfind("/draft/", 0) != 0) {
            connection.send(answer(404, ""));
            return;
        }
        this->generate(connection, request);
    }

    void report(Connection &connection)
    {
        const std::lock_guard lock(this->mutex);
        connection.send(answer(200,
                               "{" + (this->born != 0 ? "\"born\":" + std::to_string(this->born) + "," : std::string()) +
                                       "\"Phase\":\"both\",\"Models\":[{\"Name\":\"m\",\"Version\":1,\"Adapters\":[]}],"
                               "\"Busy\":false,\"Seq\":1,\"Waiting\":" +
                                       std::string(this->full ? "20" : "0") + ",\"Running\":" +
                                       std::to_string(this->full ? 24 : this->active) + ",\"KvInUse\":" +
                                       std::to_string(this->full ? 34000 : this->active * 3500) +
                                       ",\"KvSize\":34232,\"KvHandles\":0,\"State\":\"ready\",\"Next\":0,"
                                       "\"Runs\":[]}",
                               "Content-Type: application/json\r\n"));
    }

    // A copy of 3,500 tokens of 35,136 bytes over 5,100 Mbit/s takes 0.2 s.
    void move(Connection &connection, const Message &request)
    {
        const std::string attempt = jsonText(request.body, "Id");
        const bool last = request.body.find("\"Last\":true") != std::string::npos;
        {
            const std::lock_guard lock(this->mutex);
            const auto found = this->ran.find(attempt);
            if (found == this->ran.end()) {
                connection.send(answer(404, "{}"));
                return;
            }
            found->second.moved = found->second.moved || last;
        }
        sleepMs(200);
        const std::lock_guard lock(this->mutex);
        this->record.line("server %s copied %s, Last %d", this->id.c_str(), attempt.c_str(), last ? 1 : 0);
        connection.send(answer(200,
                               "{\"KvHandle\":\"h-" + attempt + "\",\"Created\":" +
                                       std::to_string(this->ran[attempt].events) + "}",
                               "Content-Type: application/json\r\n"));
    }

    void generate(Connection &connection, const Message &request)
    {
        const std::string attempt = request.header("X-Attempt-Id");
        const std::string echo = "X-Attempt-Id: " + attempt + "\r\n";
        if (request.header("X-Expect-Instance") != this->id) {
            connection.send(answer(421, "", echo + "X-Not-Executed: 1\r\n"));
            return;
        }
        if (this->full) {
            connection.send(answer(503, "", echo + "X-Not-Executed: 1\r\n"));
            return;
        }
        const bool resumed = !request.header("Kv-From").empty();
        int event = std::atoi(request.header("Last-Event-Id").c_str());
        const int lastEvent = request.target == "/draft/short" ? 3 : this->eventsInAll; // as a lot-check
        {
            const std::lock_guard lock(this->mutex);
            Run &run = this->ran[attempt];
            run = {attempt, now(), now(), event, false, resumed};
            ++this->active;
        }
        this->record.line("server %s %s %s after event %d", this->id.c_str(), resumed ? "goes on with" : "runs",
                          attempt.c_str(), event);
        bool open = connection.send("HTTP/1.1 200 OK\r\n" + echo + "X-Server-Stamp: " + this->id + "." + attempt +
                                    "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                                    "Connection: close\r\n\r\n");
        while (event < lastEvent && !this->gone) {
            sleepMs(eventMs);
            if (this->gone)
                break;
            ++event;
            if (open && (connection.peerClosed() ||
                         !connection.send(chunk("id: " + std::to_string(event) + "\ndata: " + this->version + " t" +
                                                std::to_string(event) + "\n\n")))) {
                open = false;
                this->record.line("server %s: the connection of %s closed at event %d; it %s", this->id.c_str(),
                                  attempt.c_str(), event, this->drops ? "drops the request" : "goes on");
                if (this->drops)
                    break;
            }
            const std::lock_guard lock(this->mutex);
            Run &run = this->ran[attempt];
            if (run.moved)
                break;
            run.events = event;
            run.lastWorked = now();
        }
        if (open && event == lastEvent)
            connection.send("0\r\n\r\n");
        const std::lock_guard lock(this->mutex);
        --this->active;
        this->record.line("server %s stops work on %s at event %d", this->id.c_str(), attempt.c_str(), event);
    }

    bool drops;
    int eventsInAll;
    Record &record;
    std::atomic<bool> gone{false};
    std::mutex mutex;
    std::map<std::string, Run> ran;
    int active = 0;
    Server server;
};


} // namespace kit

#endif
