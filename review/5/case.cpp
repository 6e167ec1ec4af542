// A model server drains; it is one of those that go on with a request when its connection closes. Its
// runs go on at another server. See claim.txt.
#include "../kit/model.h"

#include <algorithm>

using namespace kit;

int main()
{
    installGuards();
    Record record("review/5/record.txt");
    const TemporaryFolder folder;
    Store store("127.0.0.2");
    // "Most engines drop a request when its connection closes." The first one doesn't.
    constexpr int events = 232; // mean of pattern-draft
    ModelServer leaving("i-leaving", false, events, record);
    ModelServer second("i-second", true, events, record);
    store.put("op/config", modelConfig(1, false));
    store.put("servers/i-leaving", leaving.entry("ready", 1));
    // Servers that are full of what other machines sent there.
    std::vector<std::unique_ptr<ModelServer>> busy;
    for (int i = 0; i < 6; ++i) {
        busy.push_back(std::make_unique<ModelServer>("i-busy" + std::to_string(i), true, events, record));
        busy.back()->full = true;
        store.put("servers/" + busy.back()->id, busy.back()->entry("ready", 1));
    }

    Fleet fleet(3, store.text(), folder.path);
    if (!fleet.awaitReady(8000)) {
        record.line("the machines did not get ready");
        return 2;
    }
    sleepUntil(6000);
    std::vector<std::thread> clients;
    std::mutex mutex;
    std::map<std::string, Reply> replies;
    for (int i = 0; i < 4; ++i) {
        clients.emplace_back([&, i] {
            const Entry &entry = *fleet.entries[static_cast<std::size_t>(i % 3)];
            const std::string id = "d4af" + std::to_string(1000 + i);
            const std::string body(2600, 'p');
            record.line("client sends %s to %s", id.c_str(), entry.name.c_str());
            const Reply reply =
                    call(entry.ip, entry.port(),
                         "POST /draft/x HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: " + id +
                                 "\r\nX-Model: m\r\nX-Token-Count: 3000,928\r\nX-Prefix-Hash: 5c1e:79,9" +
                                 std::to_string(i) + ":2921\r\nX-Deadline-Ms: 39000\r\nAuthorization: Token k1\r\n"
                                 "Content-Length: " + std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body,
                         39000);
            record.line("client got %d for %s, %s", reply.status, id.c_str(), reply.complete ? "whole" : "cut");
            const std::lock_guard lock(mutex);
            replies[id] = reply;
        });
    }
    sleepMs(1000);
    store.put("servers/i-second", second.entry("ready", 1));
    sleepMs(1500);
    const double ack = store.put("servers/i-leaving", leaving.entry(hasTrouble() ? "draining" : "ready", 2));
    if (hasTrouble()) {
        record.line("store: i-leaving is draining, acknowledged");
        sleepUntil(ack + drainMs + 1000); // it goes on serving for DrainMs and a little longer
        leaving.exit();
    }
    for (std::thread &client : clients)
        client.join();

    if (leaving.runs().empty()) {
        record.line("no stream ran at i-leaving");
        return 2;
    }
    int twice = 0;
    double longest = 0;
    const auto before = leaving.runs();
    for (const auto &[attempt, run] : second.runs()) {
        const auto found = before.find(attempt);
        if (found == before.end())
            continue;
        const double overlap = found->second.lastWorked - run.began;
        record.line("%s went on at i-second; i-leaving worked on it for %.0f ms more, to event %d", attempt.c_str(),
                    overlap, found->second.events);
        if (overlap <= mayOverlapMs)
            continue;
        ++twice;
        longest = std::max(longest, overlap);
    }
    for (const auto &entry : fleet.entries) {
        const std::string end = entry->endedByItself();
        if (!end.empty())
            record.line("%s ended by itself: %s", entry->name.c_str(), end.c_str());
    }
    record.line("result: %d runs worked on by two servers, for %.0f ms at the longest", twice, longest);
    std::printf("%d runs worked on by two servers, for %.0f ms at the longest\n", twice, longest);
    std::fflush(stdout);
    return twice > 0 ? 1 : 0;
}
