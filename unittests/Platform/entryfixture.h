// An entry instance under test, with a store and targets as stand-ins.
#ifndef JAYTRACK_TESTS_ENTRYFIXTURE_H
#define JAYTRACK_TESTS_ENTRYFIXTURE_H

#include "platformdialect.h"
#include "platformdocuments.h"
#include "platformstandin.h"

#include "jaytrack/Proxy/entryinstance.h"
#include "jaytrack/Support/boottimeclock.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

namespace jaytrack::testing {

// A clock whose reader can be held up, as a process is that gets no processor time: whatever
// arrives and falls due meanwhile is found together afterwards.
class HeldClock final : public Clock
{
public:
    TimePoint now() const override;

    // Returns once the reader is held.
    void hold();
    void release();

private:
    BoottimeClock clock;
    mutable std::mutex mutex;
    mutable std::condition_variable changed;
    bool holding = false;
    mutable bool held = false;
};

struct FixtureOptions
{
    const Clock *clock = nullptr; // null for the system's
    bool takesSignals = false;    // whether SIGTERM of this process stops the instance
    std::chrono::seconds drainGrace{8};
    std::string name = "under-test";
    std::string peers = {}; // IP:PORT for datagrams between instances; empty for none
    std::vector<std::string> peerSeeds = {};
    std::map<std::string, std::string, std::less<>> regions = {}; // by data centre
    std::map<std::string, std::string> items = {}; // in the store before the instance starts
    bool firstStart = true;                        // of the whole system
    int storeStatus = 0; // with which the store refuses every call at first; 0 if it does not
};

// The key that the instances of one test share. Tests run side by side, and a port that one of them
// gave back may be another one's next.
std::string fleetKeyOfTest();

// An address that is free for datagrams and connections between instances.
std::string freeDatagramAddress();

// Options of an instance that knows one other.
FixtureOptions memberOf(const std::string &name, const std::string &own, const std::string &other);

// Whether an instance asks an engine for its load.
bool isReport(const SeenRequest &request);

// The requests that a target got besides such questions.
std::size_t workSeen(const ScriptedServer &target);

// A whole answer to either.
Answer goodAnswer(const SeenRequest &request);

class EntryFixture
{
public:
    explicit EntryFixture(const std::vector<RouteSpec> &routes, FixtureOptions given = {});
    ~EntryFixture();
    EntryFixture(const EntryFixture &) = delete;
    EntryFixture &operator=(const EntryFixture &) = delete;

    void publish(const nlohmann::json &configuration);

    // Lists a target and waits until the instance can use it.
    void list(const std::string &id, const ScriptedServer &target);
    void list(const std::string &id, const ScriptedServer &target, const std::string &entry);

    // Whether the instance says that it is ready within the time given.
    bool becomesReady(std::chrono::milliseconds within = std::chrono::milliseconds(3000));

    std::uint16_t port() const { return this->callerPort; }

    // Begins a planned stop, as the platform does; for fixtures that take signals.
    void orderStop();

    // Waits until the instance has ended by itself and closes what it left open, as the end of its
    // process would.
    void awaitEnd();

    StoreStandin store;

private:
    FixtureOptions options;
    BoottimeClock clock;
    std::unique_ptr<Dialect> dialect = makePlatformDialect();
    std::unique_ptr<EntryInstance> instance;
    std::uint16_t callerPort = 0;
    std::thread thread;
};

} // namespace jaytrack::testing

#endif
