// An entry instance under test, with a store and targets as stand-ins.
#ifndef JAYTRACK_TESTS_ENTRYFIXTURE_H
#define JAYTRACK_TESTS_ENTRYFIXTURE_H

#include "platformdialect.h"
#include "platformdocuments.h"
#include "platformstandin.h"

#include "jaytrack/Proxy/entryinstance.h"
#include "jaytrack/Support/boottimeclock.h"

namespace jaytrack::testing {

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

} // namespace jaytrack::testing

#endif
