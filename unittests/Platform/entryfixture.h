// An entry instance under test, with a store and targets as stand-ins.
#ifndef JAYTRACK_TESTS_ENTRYFIXTURE_H
#define JAYTRACK_TESTS_ENTRYFIXTURE_H

#include "platformdialect.h"
#include "platformstandin.h"

#include "jaytrack/Proxy/entryinstance.h"
#include "jaytrack/Support/boottimeclock.h"

#include <nlohmann/json.hpp>

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
                       const std::string &service = "svc");

class EntryFixture
{
public:
    explicit EntryFixture(const std::vector<RouteSpec> &routes);
    ~EntryFixture();
    EntryFixture(const EntryFixture &) = delete;
    EntryFixture &operator=(const EntryFixture &) = delete;

    void publish(const nlohmann::json &configuration);

    // Lists a target and waits until the instance can use it.
    void list(const std::string &id, const ScriptedServer &target);

    // Whether the instance says that it is ready within the time given.
    bool becomesReady(std::chrono::milliseconds within = std::chrono::milliseconds(3000));

    std::uint16_t port() const { return this->instance->callerPort(); }

    StoreStandin store;

private:
    BoottimeClock clock;
    std::unique_ptr<Dialect> dialect = makePlatformDialect();
    std::unique_ptr<EntryInstance> instance;
    std::thread thread;
};

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
};
std::string requestText(const RequestSpec &spec);

} // namespace jaytrack::testing

#endif
