// Case: a process is restarted, and SIGHUP, which tells that its settings file has changed, comes
// while it starts. The process ends.
#include "standins.h"

using namespace review;

namespace {

constexpr int restarts = 12;
constexpr int graceSeconds = 8;

} // namespace

int main(int, char **arguments)
{
    Record record(arguments[1]);
    guardProcesses();
    const TemporaryFolder temporary;
    const std::vector<std::string> ips = {"127.0.1.1", "127.0.2.1", "127.0.3.1"};
    const std::vector<std::string> zones = {"zone-1", "zone-2", "zone-3"};
    const Ports ports{freePort(ips), freePort(ips), freePort(ips), freePort(ips), freePort(ips)};
    Store store("127.0.9.1", freePort({"127.0.9.1"}));
    store.put("op/config",
              configuration(1, json::array({route("/safe/", "safe", "desk", 1500, 100, 2)}), "desk")
                      .dump());

    Server engine("127.0.1.100", freePort({"127.0.1.100"}), [](Connection &to, const Message &) {
        return to.send(answerText(200, "X-Instance: i-engine1\r\n", ""));
    });
    store.put("servers/i-engine1", listing("desk", engine.text(), zones[0], 6));

    std::vector<std::unique_ptr<Instance>> instances;
    for (std::size_t i = 0; i < ips.size(); ++i) {
        instances.push_back(std::make_unique<Instance>(
                InstancePlan{"edge-" + std::to_string(i + 1), ips[i], zones[i], store.text()},
                ports, ips, temporary.path));
        instances.back()->start();
    }
    if (!awaitReady(instances)) {
        record.verdict("could not run: the instances are not ready");
        return 2;
    }

    int ended = 0;
    std::mt19937 random(1);
    for (int i = 0; i < restarts; ++i) {
        Instance &one = *instances[static_cast<std::size_t>(i) % instances.size()];
        one.signal(SIGTERM);
        std::string end;
        for (int waited = 0; end.empty() && waited < graceSeconds * 100; ++waited) {
            pause(10);
            end = one.endOf();
        }
        if (end.empty())
            return 2;
        one.start(false);
        const int after = std::uniform_int_distribution<int>(0, 40)(random);
        std::this_thread::sleep_for(std::chrono::milliseconds(after));
        if (hasTrouble())
            one.signal(SIGHUP);
        pause(1500);
        end = one.endOf();
        record.line(
                one.plan.name + " restarted" +
                (hasTrouble() ? ", SIGHUP " + std::to_string(after) + " ms after its start" : "") +
                ": " + (end.empty() ? "runs" : "ended by " + end));
        if (end.empty())
            continue;
        ++ended;
        one.start(false);
        pause(500);
    }
    record.verdict("restarts " + std::to_string(restarts) + ", processes that ended at SIGHUP " +
                   std::to_string(ended));
    instances.clear();
    return ended > 0 ? 1 : 0;
}
