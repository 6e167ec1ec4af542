// The platform around the instances: its store, its targets, and the proxies between them and the
// instances, with their bad hours.
#ifndef JAYTRACK_TESTS_PROCESSSOAK_SITE_H
#define JAYTRACK_TESTS_PROCESSSOAK_SITE_H

#include "faultproxy.h"
#include "foreignentries.h"
#include "record.h"

#include "platformdocuments.h"
#include "platformstandin.h"

#include <array>
#include <atomic>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace jaytrack::soak {

// A target behind a proxy. It may leave, and another one come up at its address.
class SoakTarget
{
public:
    SoakTarget(asio::io_context &context, Record &seen, std::string serviceName,
               std::string firstId, std::string standsIn, std::uint64_t seed);

    std::string id() const;
    std::string address() const { return this->proxy->address(); }
    const std::string &service() const { return this->serviceOf; }
    const std::string &dataCentre() const { return this->home; }
    std::string version() const;
    void becomes(const std::string &newId);

    // From now on, until it becomes another one, all its answers say that it leaves.
    void saysItLeaves();
    bool leaves() const;

    // All its answers name a limit from now on; 0 for none.
    void namesLimit(double requestsPerSecond);
    double limit() const;
    void setFault(LinkFault fault) { this->proxy->setFault(fault); }

    // Whether it has ended under a request since this was asked last.
    bool takeEnd() { return this->ended.exchange(false); }

private:
    testing::Answer answer(const testing::SeenRequest &request);
    testing::Answer run(const testing::SeenRequest &request, const std::string &attempt);
    testing::Answer stream(const testing::SeenRequest &request, const std::string &attempt);
    testing::Answer endUnder(const std::string &part, const std::string &attempt);
    std::string ownWords() const;
    void noteWords(const std::string &attempt) const;

    Record &record;
    std::string serviceOf;
    std::string home;
    mutable std::mutex mutex;
    std::string ownId;
    bool leaving = false;
    std::atomic<bool> ended{false};
    double perSecond = 0;   // the limit that it names; 0 for none
    std::mt19937_64 random; // used by the server's thread alone
    testing::ScriptedServer server;
    std::unique_ptr<FaultProxy> proxy;
};

// Every second target of each service stands in the other one.
constexpr std::array<const char *, 2> dataCentres = {"dc", "dc-2"};

class Site
{
public:
    Site(Record &seen, std::uint64_t seed, int engines, int desks);
    ~Site();
    Site(const Site &) = delete;
    Site &operator=(const Site &) = delete;

    // Publishes the next version of the configuration, with a timeout drawn anew.
    void changeConfiguration();

    // Takes the newest key away and gives the customer another one.
    void changeKey();

    // A target that announces its leaving; after a while it is gone and another one comes up.
    void announceLeaving(std::size_t target);
    void replaceTarget(std::size_t target);

    // A data centre is put out of use, or back.
    void setOutOfUse(const std::string &dataCentre, bool out);

    // A target says for so long that it is cold.
    void makeCold(std::size_t target, std::chrono::milliseconds time);

    // A target names a limit from now on, or none any more.
    void setLimit(std::size_t target, double perSecond);

    // What the operator and the targets last wrote, after the store lost some of it.
    void writeAgain();

    // A key that a caller uses: mostly the newest, at times one that was taken away.
    std::string someKey(std::mt19937_64 &draws) const;
    std::string newestKey() const;

    std::unique_ptr<FaultProxy> makeProxy(std::uint16_t toPort);
    std::uint16_t storePort() const;

    // Ends the thread on which all proxies run; they may be destroyed from then on.
    void stopProxies();

private:
    asio::io_context context; // outlives the proxies of the targets
    Record &record;
    std::mt19937_64 otherRandom; // used by the other server's thread alone

public:
    testing::StoreStandin store;
    std::vector<std::unique_ptr<SoakTarget>> targets;

private:
    testing::ScriptedServer otherServer; // no target, but foreign entries name its address

public:
    ForeignEntries foreign;

private:
    testing::Answer answerOfOther(const testing::SeenRequest &request);
    void publish();
    void list(const SoakTarget &target, const std::string &state, int coldMillis = 0);
    void writeOutOfUse(const std::string &dataCentre);

    asio::executor_work_guard<asio::io_context::executor_type> work;
    mutable std::mutex mutex;
    std::mt19937_64 random;
    int version = 0;
    int serial = 0;
    std::vector<std::string> keys;
    std::string published; // the configuration as it was last written
    std::vector<std::string> goneTargets;
    std::set<std::string> outOfUse;
    std::thread thread;
};

} // namespace jaytrack::soak

#endif
