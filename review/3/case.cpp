// The three machines that read the store for the fleet lose power together, with one other, during a
// release; a server reports draining right after. See claim.txt.
#include "../kit/konto.h"

#include <algorithm>

using namespace kit;

int main()
{
    installGuards();
    constexpr int rounds = 2;
    Record record("review/3/record.txt");
    const TemporaryFolder folder;
    Store store("127.0.0.2");
    std::vector<std::unique_ptr<KontoServer>> servers;
    const auto list = [&] {
        servers.push_back(std::make_unique<KontoServer>("i-" + std::to_string(servers.size()), record));
        store.put("servers/" + servers.back()->id, serverEntry("konto", servers.back()->text(), "ready"));
        record.line("store: %s is listed", servers.back()->id.c_str());
    };
    store.put("op/config", kontoConfig(1));
    for (int i = 0; i < 4; ++i)
        list();
    Fleet fleet(7, store.text(), folder.path);
    if (!fleet.awaitReady(8000)) {
        record.line("the machines did not get ready");
        return 2;
    }
    sleepUntil(13000); // the fleet has settled on its readers, and every machine is in touch

    int late = 0;
    int broken = 0;
    double latest = 0;
    for (int round = 0; round < rounds; ++round) {
        std::vector<Entry *> lost = fleet.readers();
        if (lost.size() != 3) {
            record.line("%zu machines read the store instead of three", lost.size());
            return 2;
        }
        for (auto &entry : fleet.entries) {
            if (lost.size() < 4 && std::find(lost.begin(), lost.end(), entry.get()) == lost.end())
                lost.push_back(entry.get());
        }
        // 39 requests a second, as on the sheet: all from the machines that stay.
        std::vector<std::unique_ptr<Clients>> clients;
        for (auto &entry : fleet.entries) {
            if (std::find(lost.begin(), lost.end(), entry.get()) == lost.end())
                clients.push_back(std::make_unique<Clients>(*entry, 77, record, std::to_string(round)));
        }
        sleepMs(2000);
        // A release of one server of four: the new one starts, the old one drains 0.9 s later. In between
        // the configuration changes, in nothing but its version.
        list();
        sleepMs(460);
        store.put("op/config", kontoConfig(2 + round));
        record.line("store: version %d of the configuration", 2 + round);
        sleepMs(450);
        const double lostAt = now();
        if (hasTrouble()) {
            for (Entry *entry : lost) {
                entry->signal(SIGKILL);
                record.line("%s loses power", entry->name.c_str());
            }
        }
        sleepMs(20);
        KontoServer &leaving = *servers[static_cast<std::size_t>(round)];
        const double ack = store.put("servers/" + leaving.id, serverEntry("konto", leaving.text(), "draining", 2));
        record.line("store: %s is draining, acknowledged", leaving.id.c_str());
        sleepUntil(ack + drainMs + 300); // it goes on serving for DrainMs and a little longer
        leaving.exit();
        store.remove("servers/" + leaving.id);
        sleepUntil(lostAt + 5000);
        if (hasTrouble()) {
            for (Entry *entry : lost)
                entry->start();
        }
        sleepMs(1500);
        for (auto &one : clients)
            one->stop();
        std::map<std::string, Reply> replies;
        for (auto &one : clients)
            replies.merge(one->replies());
        if (leaving.runs().empty()) {
            record.line("no request reached %s", leaving.id.c_str());
            return 2;
        }
        for (const KontoServer::Run &run : leaving.runs()) {
            const double after = run.arrivedAt - ack;
            if (after > drainMs) {
                ++late;
                latest = std::max(latest, after);
                record.line("DRAIN: %s reached %s %.0f ms after its leaving was acknowledged",
                            run.attempt.c_str(), leaving.id.c_str(), after);
            }
            if (run.endedAt == 0) {
                ++broken;
                record.line("lost: %s was at work at %s when that exited; its client got %d",
                            run.attempt.c_str(), leaving.id.c_str(), replies[run.attempt].status);
            }
        }
        sleepMs(8000); // the fleet settles again
    }
    record.line("result: %d requests later than DrainMs, the latest after %.0f ms; %d lost with a server", late,
                latest, broken);
    std::printf("%d requests later than DrainMs, the latest after %.0f ms; %d lost\n", late, latest, broken);
    std::fflush(stdout);
    return late > 0 ? 1 : 0;
}
