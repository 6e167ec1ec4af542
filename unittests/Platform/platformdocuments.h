// What the platform publishes and what its callers send, as documents for tests.
#ifndef JAYTRACK_TESTS_PLATFORMDOCUMENTS_H
#define JAYTRACK_TESTS_PLATFORMDOCUMENTS_H

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace jaytrack::testing {

// A route for the published configuration.
struct RouteSpec
{
    std::string prefix = "/jobs/";
    std::string type = "stream";
    std::string service = "svc";
    int timeoutMs = 3000;
    int objectiveMs = 300;
    int attempts = 1;
    bool resumable = false;
    bool openToAll = false;
};

nlohmann::json routeJson(const RouteSpec &spec);

// The configuration of a site with one host, one service of engines and one customer with key "k1".
nlohmann::json configurationJson(int version, const std::vector<RouteSpec> &routes);

// The store's entry of a target.
std::string targetJson(const std::string &address, const std::string &state = "ready",
                       const std::string &service = "svc", const std::string &dataCentre = "dc",
                       int coldMillis = 0, const std::string &version = "v1");

// The same for a target whose software has this version; born is 0 for one that does not tell when
// it started.
std::string targetOfVersion(const std::string &address, const std::string &version,
                            const std::string &state = "ready", std::int64_t born = 0);

// An entry as targets write it, with one field replaced by this JSON text, or left out for an empty
// text.
std::string entryWith(const std::string &field, const std::string &text);

// The text of a request of the customer.
struct RequestSpec
{
    std::string method = "POST";
    std::string path = "/jobs/1";
    std::string id = "a1";
    std::string key = "k1";
    int deadlineMs = 3000;
    std::string extraHeaders;
    std::string body = "hello";
    bool keepOpen = false; // the caller goes on using its connection
};
std::string requestText(const RequestSpec &spec);

} // namespace jaytrack::testing

#endif
