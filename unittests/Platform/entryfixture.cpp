#include "entryfixture.h"

#include <criterion/criterion.h>

#include <algorithm>

namespace jaytrack::testing {

using nlohmann::json;

json routeJson(const RouteSpec &spec)
{
    return {{"Name", "r" + spec.prefix},
            {"Host", "site.example"},
            {"Prefix", spec.prefix},
            {"Type", spec.type},
            {"TimeoutMs", spec.timeoutMs},
            {"SloMs", spec.objectiveMs},
            {"Priority", 1},
            {"Service", spec.service},
            {"MaxAttempts", spec.attempts},
            {"Public", spec.openToAll},
            {"Resumable", spec.resumable},
            {"ItlTargetMs", 180}};
}

json configurationJson(int version, const std::vector<RouteSpec> &routes)
{
    json list = json::array();
    for (const RouteSpec &spec : routes)
        list.push_back(routeJson(spec));
    return {{"Version", version},
            {"Routes", list},
            {"Services",
             {{{"Name", "svc"},
               {"HealthPath", "/healthz"},
               {"MaxConns", 100},
               {"Engine",
                {{"Slots", 8},
                 {"KvCapacity", 30000},
                 {"KvTokenBytes", 100},
                 {"LinkMbps", 1000},
                 {"Moves", true},
                 {"Backups", true},
                 {"Stride", 4},
                 {"HandleTtlS", 5.0}}}}}},
            {"Limits",
             {{"MaxHeaderBytes", 4096},
              {"MaxBodyBytes", 20000},
              {"HeaderTimeoutMs", 500},
              {"IdleTimeoutMs", 5000}}},
            {"Tenants", {{{"Name", "cust"}, {"ApiKeys", {"k1"}}}}}};
}

std::string targetJson(const std::string &address, const std::string &state,
                       const std::string &service)
{
    return json{{"Service", service}, {"Address", address}, {"Zone", "dc"},    {"Version", "v1"},
                {"Slots", 8},         {"State", state},     {"ColdLeftMs", 0}, {"Seq", 1}}
            .dump();
}

EntryFixture::EntryFixture(const std::vector<RouteSpec> &routes)
{
    this->publish(configurationJson(1, routes));
    EntrySettings settings;
    settings.name = "under-test";
    settings.dataCentre = "dc";
    settings.callers = "127.0.0.1:0";
    settings.readiness = "127.0.0.1:0";
    settings.store = this->store.address();
    this->instance = std::make_unique<EntryInstance>(settings, this->clock, *this->dialect);
    cr_assert(this->instance->open().has_value());
    this->thread = std::thread([this] { this->instance->run(""); });
}

EntryFixture::~EntryFixture()
{
    this->instance->stopNow();
    this->thread.join();
}

void EntryFixture::publish(const json &configuration)
{
    this->store.put("op/config", configuration.dump());
}

// The instance asks each engine that it knows for its load, so the first such question shows that
// the target is known; how long that takes depends on when the list was read last.
void EntryFixture::list(const std::string &id, const ScriptedServer &target)
{
    this->store.put("servers/" + id, targetJson(target.address()));
    cr_assert(this->becomesReady());
    const auto asked = [&target] {
        const auto seen = target.seen();
        return std::any_of(seen.begin(), seen.end(), [](const SeenRequest &request) {
            return request.head.path() == "/jaytrack/report";
        });
    };
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (!asked() && std::chrono::steady_clock::now() < end)
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    cr_assert(asked(), "%s was never asked for its load", id.c_str());
}

bool EntryFixture::becomesReady(std::chrono::milliseconds within)
{
    const auto end = std::chrono::steady_clock::now() + within;
    while (std::chrono::steady_clock::now() < end) {
        const CallerView view =
                callOnce(this->instance->readinessPort(),
                         "GET /jaytrack/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        if (view.bytes.starts_with("HTTP/1.1 200"))
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return false;
}

std::string requestText(const RequestSpec &spec)
{
    std::string text = spec.method + " " + spec.path + " HTTP/1.1\r\nHost: site.example\r\n";
    if (!spec.id.empty())
        text += "X-Attempt-Id: " + spec.id + "\r\n";
    if (!spec.key.empty())
        text += "Authorization: Token " + spec.key + "\r\n";
    text += "X-Deadline-Ms: " + std::to_string(spec.deadlineMs) + "\r\n";
    text += "X-Model: m\r\nX-Token-Count: 100,80\r\nX-Prefix-Hash: aa:100\r\n";
    text += spec.extraHeaders;
    text += "Connection: close\r\nContent-Length: " + std::to_string(spec.body.size()) + "\r\n\r\n";
    return text + spec.body;
}

} // namespace jaytrack::testing
