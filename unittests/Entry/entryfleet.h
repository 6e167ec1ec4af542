// Entry instances as processes of their own before one store and several targets.
#ifndef JAYTRACK_TESTS_ENTRYFLEET_H
#define JAYTRACK_TESTS_ENTRYFLEET_H

#include "instanceprocess.h"
#include "platformstandin.h"

#include <chrono>
#include <filesystem>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jaytrack::testing {

struct EntryFleetPlan
{
    std::string program;
    int instances = 7;
    int targets = 12;
};

class EntryFleet
{
public:
    explicit EntryFleet(const EntryFleetPlan &plan);
    ~EntryFleet();
    EntryFleet(const EntryFleet &) = delete;
    EntryFleet &operator=(const EntryFleet &) = delete;

    void startAll();

    // Kills all processes at once and returns when they are gone.
    void killAll();

    // Returns the time until each instance has served a request, or nothing if one has not within
    // the limit.
    std::optional<std::chrono::milliseconds> timeUntilAllServe(std::chrono::milliseconds limit);

    // Sends this many requests to each instance, each once more if it was not served, as callers
    // do, and returns how many were not served then.
    int unservedOf(int requestsToEach);

    // Returns how a process ended by itself; empty if none did.
    std::string endFault();

    // Returns the end of the log of the first instance that does not serve; empty if all do.
    std::string logOfFailing();

    // Returns the keys after which pages were asked for since the last call.
    std::set<std::string> takePageKeys();

    // Returns the query of a call for a page that holds characters which not all readers take for
    // the same; empty if there was none.
    std::string unescapedCall();

    // The address of a server that is no target, and the number of requests that it got.
    std::string strangerAddress() const { return this->stranger.address(); }
    std::size_t strangerRequests() const { return this->stranger.seen().size(); }

    StoreStandin store;

private:
    std::optional<Answer> notePage(const SeenRequest &request);
    Answer answerOfTarget(const std::string &id, const SeenRequest &request) const;
    bool serves(const soak::InstanceProcess &instance);

    std::filesystem::path directory; // for settings and logs
    ScriptedServer stranger;
    std::vector<std::unique_ptr<ScriptedServer>> targets;
    std::vector<std::unique_ptr<soak::InstanceProcess>> instances;
    std::vector<const soak::InstanceProcess *> waiting; // have not served since the last start
    int requests = 0;
    std::mutex mutex;
    std::set<std::string> pageKeys;
    std::string unescaped;
};

} // namespace jaytrack::testing

#endif
