#include "platformdocuments.h"

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
                       const std::string &service, const std::string &dataCentre, int coldMillis,
                       const std::string &version)
{
    return json{{"Service", service},
                {"Address", address},
                {"Zone", dataCentre},
                {"Version", version},
                {"Slots", 8},
                {"State", state},
                {"ColdLeftMs", coldMillis},
                {"Seq", 1}}
            .dump();
}

std::string targetOfVersion(const std::string &address, const std::string &version,
                            const std::string &state, std::int64_t born)
{
    json document = json::parse(targetJson(address, state, "svc", "dc", 0, version));
    if (born != 0)
        document["born"] = born;
    return document.dump();
}

std::string entryWith(const std::string &field, const std::string &text)
{
    std::string made = "{";
    const std::vector<std::pair<std::string, std::string>> fields = {
            {"Service", R"("svc")"},  {"Address", R"("10.0.0.1:80")"},
            {"Zone", R"("z")"},       {"Version", R"("v1")"},
            {"Slots", "24"},          {"State", R"("ready")"},
            {"ColdLeftMs", "0"},      {"Seq", "3"},
            {"born", "1791614788022"}};
    for (const auto &[name, value] : fields) {
        const std::string &written = name == field ? text : value;
        if (!written.empty())
            made += (made.size() > 1 ? ",\"" : "\"") + name + "\":" + written;
    }
    return made + "}";
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
    if (!spec.keepOpen)
        text += "Connection: close\r\n";
    text += "Content-Length: " + std::to_string(spec.body.size()) + "\r\n\r\n";
    return text + spec.body;
}

} // namespace jaytrack::testing
