// The last server of a version leaves while all machines are killed; consumers take their streams up.
#include "../kit/model.h"

#include <algorithm>

using namespace kit;

int main()
{
    installGuards();
    constexpr int streams = 5;
    constexpr int events = 232;
    constexpr int allowed = 2; // RULES, ORDER: more than two streams
    Record record("/tmp/versions-all-killed.txt");
    const TemporaryFolder folder;
    Store store("127.0.0.2");
    ModelServer old("i-old", true, events, record, "v1");
    ModelServer fresh("i-new", true, events, record, "v2");
    store.put("op/config", modelConfig(1, true));
    store.put("servers/i-old", old.entry("ready", 1));
    Fleet fleet(3, store.text(), folder.path);
    if (!fleet.awaitReady(8000)) {
        record.line("the machines did not get ready");
        return 2;
    }
    sleepUntil(6000);
    std::vector<std::thread> clients;
    std::mutex mutex;
    std::map<std::string, std::vector<std::string>> got; // bodies of all tries of a consumer
    const auto attempt = [&](const Entry &entry, const std::string &id, const std::string &extra) {
        const std::string body(2900, 'p');
        record.line("client sends %s to %s %s", id.c_str(), entry.name.c_str(), extra.c_str());
        Reply reply = call(entry.ip, entry.port(),
                     "POST /draft/x HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: " + id +
                             "\r\nX-Model: m\r\nX-Token-Count: 2200,928\r\nX-Prefix-Hash: 9" + id +
                             ":2200\r\nX-Deadline-Ms: 39000\r\n" + extra + "Authorization: Token k1\r\nContent-Length: " +
                             std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body, 39000);
        record.line("client got %d for %s, %s", reply.status, id.c_str(), reply.complete ? "whole" : "cut");
        return reply;
    };
    for (int i = 0; i < streams; ++i) {
        clients.emplace_back([&, i] {
            sleepMs(200.0 * i);
            const Entry &entry = *fleet.entries[static_cast<std::size_t>(i % 3)];
            const std::string id = "107c" + std::to_string(1000 + i);
            const Reply first = attempt(entry, id, "");
            const std::size_t at = first.bytes.rfind("\nid: ") != std::string::npos ? first.bytes.rfind("\nid: ") : first.bytes.rfind("id: ");
            const int last = at == std::string::npos ? 0 : std::atoi(first.bytes.c_str() + first.bytes.find("id: ", at) + 4);
            sleepMs(1000);
            const Reply second = attempt(*fleet.entries[static_cast<std::size_t>((i + 1) % 3)], id + "b",
                                         "Last-Event-Id: " + std::to_string(last) + "\r\nResumes: " + id + "\r\n");
            const std::lock_guard lock(mutex);
            got[id] = {first.bytes, second.bytes};
        });
    }
    sleepMs(1500);
    store.put("servers/i-new", fresh.entry("ready", 1));
    const double ack = store.put("servers/i-old", old.entry(hasTrouble() ? "draining" : "ready", 2));
    if (hasTrouble()) {
        sleepUntil(ack + 2000);
        for (auto &entry : fleet.entries)
            entry->signal(SIGKILL);
        record.line("all machines are killed");
        sleepUntil(ack + 2300);
        old.exit();
        store.remove("servers/i-old");
        sleepUntil(ack + 2500);
        for (auto &entry : fleet.entries)
            entry->start();
        record.line("all machines start again");
    }
    for (std::thread &client : clients)
        client.join();
    int mixed = 0;
    for (const auto &[id, tries] : got) {
        const bool v1 = tries[0].find("data: v1 ") != std::string::npos;
        const bool v2 = tries[1].find("data: v2 ") != std::string::npos;
        if (!v1 || !v2)
            continue;
        ++mixed;
        record.line("ORDER: %s holds events of v1 and of v2", id.c_str());
    }
    record.line("result: %d streams hold events of two versions", mixed);
    std::printf("%d streams hold events of two versions\n", mixed);
    return mixed > allowed ? 1 : 0;
}
