#include "entryfleet.h"

#include "platformdocuments.h"

#include "jaytrack/Net/message.h"

#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iterator>
#include <regex>
#include <thread>
#include <utility>

namespace jaytrack::testing {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

namespace {

constexpr milliseconds lookGap{50};
constexpr milliseconds callerPatience{3500};

constexpr std::size_t shownLogBytes = 4000;

std::string queryOf(const SeenRequest &request)
{
    const std::string &target = request.head.target;
    const std::size_t mark = target.find('?');
    return mark == std::string::npos ? std::string() : target.substr(mark + 1);
}

// Whether the parameters of a query hold only escaped bytes and characters that are never escaped.
bool isEscaped(const std::string &query)
{
    static const std::regex parameters("[A-Za-z]+=([-._~A-Za-z0-9]|%[0-9A-F]{2})*"
                                       "(&[A-Za-z]+=([-._~A-Za-z0-9]|%[0-9A-F]{2})*)*");
    return std::regex_match(query, parameters);
}

std::string targetName(int index)
{
    return "t" + std::to_string(index / 10) + std::to_string(index % 10);
}

RouteSpec readRoute()
{
    RouteSpec route;
    route.prefix = "/read/";
    route.type = "safe";
    route.attempts = 2;
    return route;
}

} // namespace

EntryFleet::EntryFleet(const EntryFleetPlan &plan)
    : directory(std::filesystem::temp_directory_path() /
                ("jaytrack-entry-test-" + std::to_string(::getpid())))
    , stranger([](const SeenRequest &) { return wholeAnswer(404, "", ""); })
{
    std::filesystem::create_directories(this->directory);
    this->store.answerInstead(
            [this](const SeenRequest &request) { return this->notePage(request); });
    this->store.put("op/config", configurationJson(1, {readRoute()}).dump());
    for (int i = 0; i < plan.targets; ++i) {
        const std::string id = targetName(i);
        this->targets.push_back(
                std::make_unique<ScriptedServer>([this, id](const SeenRequest &request) {
                    return this->answerOfTarget(id, request);
                }));
        this->store.put("servers/" + id, targetJson(this->targets.back()->address()));
    }
    std::vector<std::string> seeds;
    // All instances of a fleet have the same peers' port, so each needs an address of its own.
    const std::string peersPort = std::to_string(soak::freePort());
    for (int i = 0; i < plan.instances; ++i)
        seeds.push_back("127.0.0." + std::to_string(i + 2) + ":" + peersPort);
    for (const std::string &peers : seeds) {
        soak::InstancePlan instance;
        instance.program = plan.program;
        instance.directory = this->directory;
        instance.name = "i" + std::to_string(this->instances.size());
        instance.storeAddress = this->store.address();
        instance.seeds = seeds;
        instance.callers = soak::freePort();
        instance.readiness = soak::freePort();
        instance.peers = peers;
        this->instances.push_back(std::make_unique<soak::InstanceProcess>(instance));
    }
}

EntryFleet::~EntryFleet()
{
    this->instances.clear();
    std::filesystem::remove_all(this->directory);
}

void EntryFleet::startAll()
{
    this->waiting.clear();
    for (const auto &instance : this->instances) {
        instance->start();
        this->waiting.push_back(instance.get());
    }
}

void EntryFleet::killAll()
{
    for (const auto &instance : this->instances)
        instance->signal(SIGKILL);
    for (const auto &instance : this->instances) {
        while (!instance->hasEnded())
            std::this_thread::sleep_for(milliseconds(1));
    }
}

std::optional<milliseconds> EntryFleet::timeUntilAllServe(milliseconds limit)
{
    const Clock::time_point start = Clock::now();
    for (;;) {
        std::erase_if(this->waiting,
                      [this](const soak::InstanceProcess *one) { return this->serves(*one); });
        const auto passed = std::chrono::duration_cast<milliseconds>(Clock::now() - start);
        if (passed > limit)
            return std::nullopt;
        if (this->waiting.empty())
            return passed;
        std::this_thread::sleep_for(lookGap);
    }
}

int EntryFleet::unservedOf(int requestsToEach)
{
    int unserved = 0;
    for (int i = 0; i < requestsToEach; ++i) {
        for (const auto &instance : this->instances)
            unserved += this->serves(*instance) || this->serves(*instance) ? 0 : 1;
    }
    return unserved;
}

std::string EntryFleet::endFault()
{
    for (const auto &instance : this->instances) {
        if (instance->hasEnded())
            return instance->fault().empty() ? instance->name() + " ended" : instance->fault();
    }
    return {};
}

std::string EntryFleet::logOfFailing()
{
    if (this->waiting.empty())
        return {};
    std::ifstream file(this->directory / (this->waiting.front()->name() + ".log"));
    const std::string log{std::istreambuf_iterator<char>(file), {}};
    return log.substr(log.size() - std::min(log.size(), shownLogBytes));
}

std::set<std::string> EntryFleet::takePageKeys()
{
    const std::lock_guard lock(this->mutex);
    return std::exchange(this->pageKeys, {});
}

std::string EntryFleet::unescapedCall()
{
    const std::lock_guard lock(this->mutex);
    return this->unescaped;
}

std::optional<Answer> EntryFleet::notePage(const SeenRequest &request)
{
    if (request.head.path() != "/jaytrack/kv-range")
        return std::nullopt;
    HttpRequest call;
    call.query = queryOf(request);
    const std::lock_guard lock(this->mutex);
    this->pageKeys.insert(call.queryValue("After"));
    if (isEscaped(call.query))
        return std::nullopt;
    this->unescaped = call.query;
    return wholeAnswer(400, "", "");
}

Answer EntryFleet::answerOfTarget(const std::string &id, const SeenRequest &request) const
{
    if (request.head.path() == "/jaytrack/report")
        return wholeAnswer(200, "Content-Type: application/json\r\n", "{}");
    if (request.head.header("X-Expect-Instance") != id)
        return wholeAnswer(421, "X-Instance: " + id + "\r\n", "");
    const std::string attempt(request.head.header("X-Attempt-Id"));
    return wholeAnswer(200, "X-Attempt-Id: " + attempt + "\r\nX-Server-Stamp: s\r\n", "served");
}

bool EntryFleet::serves(const soak::InstanceProcess &instance)
{
    RequestSpec request;
    request.method = "GET";
    request.path = "/read/1";
    request.id = "a" + std::to_string(++this->requests);
    request.body.clear();
    try {
        const CallerView view = callOnce(instance.port(), requestText(request), callerPatience);
        return view.bytes.starts_with("HTTP/1.1 200 ") && view.bytes.ends_with("served");
    } catch (const asio::system_error &) {
        return false; // it does not listen yet
    }
}

} // namespace jaytrack::testing
