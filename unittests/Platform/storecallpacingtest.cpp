// Stores whose answers let an instance call them again at once, over and over.
#include "platformdialect.h"
#include "platformstandin.h"

#include "jaytrack/Net/socket.h"
#include "jaytrack/Store/storefollower.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <cstdio>

using namespace jaytrack;
using namespace jaytrack::testing;
using namespace std::chrono_literals;

namespace {

using nlohmann::json;

constexpr std::uint64_t knownRevision = 5;

// Counts the lines that tell that calls are spaced.
class SpacingLines final : public google::LogSink
{
public:
    SpacingLines() { google::AddLogSink(this); }
    ~SpacingLines() override { google::RemoveLogSink(this); }
    SpacingLines(const SpacingLines &) = delete;
    SpacingLines &operator=(const SpacingLines &) = delete;

    using google::LogSink::send;
    void send(google::LogSeverity, const char *, const char *, int, const struct ::tm *,
              const char *text, std::size_t length) override
    {
        if (std::string_view(text, length).find("event=store_calls_spaced") !=
            std::string_view::npos)
            ++this->count;
    }

    std::atomic<int> count = 0;
};

class Ignore final : public StoreFollowerListener, public StoreReadListener
{
public:
    void onListing(const std::vector<StoreItem> &, TimePoint) override { ++this->listings; }
    void onChanges(const std::vector<StoreItem> &, TimePoint) override {}
    void onSharedChanges(const std::vector<StoreItem> &, bool) override {}
    void onStoreLost(std::string_view) override {}
    void onStoreRegained(Duration) override {}
    void onStoreRestored() override {}
    void onStoreRead(std::uint64_t, std::uint64_t, const std::vector<StoreItem> &) override {}

    int listings = 0;
};

// What one store does with the calls of an instance.
enum class Behaviour {
    RefusesWatches,
    RefusesEachSecondWatch,
    DoesNotHoldWatches,
    ReportsTheKnownRevision,
    ReportsAChangeWithoutRevision,
    AlternatesEras,
    RefusesInAlternatingEras,
    AnswersFromAnOlderEra,
    LagsBehindInAnOlderEra,
};

struct PacingCase
{
    char name[64];
    Behaviour behaviour;
    bool active;
    bool told;            // that calls are spaced
    std::size_t maxCalls; // in callTime
};

constexpr std::chrono::milliseconds callTime{3000};

// As for failures, whose back-off doubles from 30 ms to 250 ms, with jitter down to the half of it:
// 24 calls in 3 s, and some before the back-off has grown.
constexpr std::size_t spacedCalls = 32;

// Listings that repeat one another come 1.5 s apart, or half of that, each with a watch.
constexpr std::size_t spacedListings = 24;

PacingCase pacingCases[] = {
        {"each watch is refused", Behaviour::RefusesWatches, true, true, spacedListings},
        {"each second watch is refused", Behaviour::RefusesEachSecondWatch, true, true,
         spacedListings},
        {"watches are not held", Behaviour::DoesNotHoldWatches, true, true, spacedCalls},
        {"known changes are reported again", Behaviour::ReportsTheKnownRevision, true, true,
         spacedCalls},
        {"a change does not raise the revision", Behaviour::ReportsAChangeWithoutRevision, true,
         true, spacedCalls},
        {"answers of two eras", Behaviour::AlternatesEras, true, true, spacedCalls},
        {"refusals of two eras", Behaviour::RefusesInAlternatingEras, true, true, spacedCalls},
        {"others know a newer era, reader", Behaviour::AnswersFromAnOlderEra, true, true,
         spacedCalls},
        {"others know a newer era", Behaviour::AnswersFromAnOlderEra, false, true, spacedCalls},
        {"a replica of an older era", Behaviour::LagsBehindInAnOlderEra, true, false, 10},
};

std::string eraHeader(std::uint64_t era)
{
    return "Store-Era: " + std::to_string(era) + "\r\nContent-Type: application/json\r\n";
}

Answer page(std::uint64_t era, std::uint64_t at = knownRevision, bool more = false)
{
    const json entry = {{"Key", "servers/t1"}, {"Value", "e30="}, {"Revision", knownRevision}};
    return wholeAnswer(
            200, eraHeader(era),
            json{{"Entries", json::array({entry})}, {"HasMore", more}, {"At", at}}.dump());
}

Answer changes(std::uint64_t at, const std::vector<std::uint64_t> &revisions)
{
    json events = json::array();
    for (const std::uint64_t revision : revisions)
        events.push_back({{"Key", "servers/t1"}, {"Value", "e30="}, {"Revision", revision}});
    return wholeAnswer(200, eraHeader(1), json{{"events", events}, {"At", at}}.dump());
}

// Answers the calls of one instance, on the thread of its server.
class OddStore
{
public:
    explicit OddStore(Behaviour given)
        : behaviour(given)
        , server([this](const SeenRequest &request) { return this->answer(request); })
    {
    }

    std::string address() const { return this->server.address(); }
    std::size_t calls() const { return this->server.seen().size(); }

private:
    Answer answer(const SeenRequest &request)
    {
        ++this->count;
        const bool isListing = request.head.path() == "/jaytrack/kv-range";
        const bool second = this->count % 2 == 0;
        switch (this->behaviour) {
        case Behaviour::AlternatesEras:
            return page(second ? 2 : 1);
        case Behaviour::RefusesInAlternatingEras:
            return wholeAnswer(503, eraHeader(second ? 2 : 1), "");
        case Behaviour::LagsBehindInAnOlderEra:
            return answerOfReplica(request, isListing);
        default:
            return isListing ? page(1) : this->answerWatch();
        }
    }

    // Lists two pages, of which replicas may answer the second.
    static Answer answerOfReplica(const SeenRequest &request, bool isListing)
    {
        const std::string &target = request.head.target;
        if (!isListing)
            return {{AnswerStep::Kind::Hang, ""}};
        if (target.find("StaleOk") != std::string::npos)
            return page(1);
        return page(2, knownRevision, target.find("After=servers") == std::string::npos);
    }

    Answer answerWatch()
    {
        ++this->watches;
        switch (this->behaviour) {
        case Behaviour::RefusesWatches:
            return wholeAnswer(410, eraHeader(1), "");
        case Behaviour::RefusesEachSecondWatch:
            return this->watches % 2 == 0 ? wholeAnswer(410, eraHeader(1), "")
                                          : changes(knownRevision, {});
        case Behaviour::ReportsTheKnownRevision:
            return changes(knownRevision, {knownRevision, knownRevision - 1});
        case Behaviour::ReportsAChangeWithoutRevision:
            return changes(knownRevision, {knownRevision + 1});
        default:
            return changes(knownRevision, {});
        }
    }

    Behaviour behaviour;
    int count = 0;
    int watches = 0;
    ScriptedServer server;
};

// What other instances tell a follower, every 0.1 s.
void tell(const PacingCase &one, StoreFollower &follower)
{
    switch (one.behaviour) {
    case Behaviour::AnswersFromAnOlderEra:
        follower.updateEra(7);
        break;
    default:
        break;
    }
}

} // namespace

ParameterizedTestParameters(storeCallPacing, everyRepeatedCallIsSpaced)
{
    return cr_make_param_array(PacingCase, pacingCases, std::size(pacingCases));
}

// Guards against an instance that calls the store without a pause, since each answer makes it call
// again at once.
ParameterizedTest(PacingCase *one, storeCallPacing, everyRepeatedCallIsSpaced)
{
    const SpacingLines lines;
    OddStore store(one->behaviour);
    asio::io_context loop;
    const auto work = asio::make_work_guard(loop);
    const SystemClock clock;
    const std::unique_ptr<Dialect> dialect = makePlatformDialect();
    Ignore listener;
    StoreFollowerOptions options;
    options.store = parseEndpoint(store.address()).value();
    options.stalePrefix = dialect->targetsPrefix();
    const auto follower =
            std::make_shared<StoreFollower>(loop, clock, *dialect, options, 1, listener, listener);
    follower->setInstances(one->active ? 1 : 7);
    follower->setReceivesUpdates(!one->active);
    follower->start();
    follower->setActive(one->active);
    const TimePoint end = clock.now() + callTime;
    while (clock.now() < end) {
        loop.restart();
        loop.run_for(100ms);
        tell(*one, *follower);
        follower->tick();
    }
    std::printf("%s: calls=%zu listings=%d told=%d\n", one->name, store.calls(), listener.listings,
                lines.count.load());
    cr_expect_leq(store.calls(), one->maxCalls, "%s: %zu calls", one->name, store.calls());
    cr_expect_eq(lines.count.load(), one->told ? 1 : 0, "%s: told %d times", one->name,
                 lines.count.load());
    follower->stop();
}
