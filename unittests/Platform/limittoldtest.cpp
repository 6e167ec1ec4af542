// Targets that name in their answers how many requests a second they take from all instances.
#include "entryfixture.h"
#include "limitedtarget.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <memory>

using namespace jaytrack;
using namespace jaytrack::testing;
using namespace std::chrono_literals;

namespace {

const std::string limitHeader = "Server-Limit";
const std::string ownHeaders = "X-Attempt-Id: a1\r\nX-Server-Stamp: s\r\n";
constexpr double limit = 2.5;

// An instance knows the others after this.
constexpr std::chrono::milliseconds acquaintance{3200};

// A limit binds from this time after it was named.
constexpr std::chrono::milliseconds heeded{500};

constexpr std::chrono::seconds played{6};

enum class Work { Plain, Failing, Stream };

Answer answerTo(Work work, const SeenRequest &request, const std::string &headers)
{
    if (isReport(request))
        return wholeAnswer(200, headers, "{}");
    if (work == Work::Failing)
        return wholeAnswer(500, ownHeaders + headers, "bad");
    if (work == Work::Plain)
        return wholeAnswer(200, ownHeaders + headers, "good");
    return {{AnswerStep::Kind::Send, streamHead(ownHeaders + headers), {}},
            chunkStep(eventText(1, "token1")),
            {AnswerStep::Kind::Send, "0\r\n\r\n", {}}};
}

LimitedTarget::Answering answeringTo(Work work)
{
    return [work](const SeenRequest &request, const std::string &headers) {
        return answerTo(work, request, headers);
    };
}

// Counts what callers are told.
struct Told
{
    std::atomic<std::size_t> served{0};
    std::atomic<std::size_t> refused{0};
    std::atomic<std::size_t> withoutReturn{0}; // refused without a time to come back
    std::atomic<std::size_t> late{0};          // refused only after a while

    void ask(const EntryFixture &entry)
    {
        const auto began = std::chrono::steady_clock::now();
        const std::string answer = callOnce(entry.port(), requestText({})).bytes;
        if (!answer.starts_with("HTTP/1.1 503")) {
            ++this->served;
            return;
        }
        ++this->refused;
        if (answer.find("Retry-After") == std::string::npos)
            ++this->withoutReturn;
        if (std::chrono::steady_clock::now() - began > 1s)
            ++this->late;
    }
};

// Two instances of one fleet, in front of a target that names a limit and perhaps one that does
// not.
struct LimitedSite
{
    LimitedSite(Work kind, const std::string &type, bool another)
        : work(kind)
        , limited(limitHeader, limit, answeringTo(kind))
        , free([kind](const SeenRequest &request) { return answerTo(kind, request, ""); })
    {
        RouteSpec route;
        route.type = type;
        route.attempts = type == "safe" ? 3 : 1;
        this->routes = {route};
        for (int i = 0; i < 2; ++i)
            this->start(i);
        if (another)
            this->list("i-free", this->free.address());
        this->list("i-limited", this->limited.address());
        std::this_thread::sleep_for(acquaintance);
    }

    void start(int index)
    {
        const auto own = static_cast<std::size_t>(index);
        this->entries[own].reset();
        this->entries[own] = std::make_unique<EntryFixture>(
                this->routes, memberOf("instance-" + std::to_string(index), this->addresses[own],
                                       this->addresses[1 - own]));
    }

    void list(const std::string &id, const std::string &address)
    {
        for (const auto &entry : this->entries)
            entry->store.put("servers/" + id, targetJson(address));
    }

    // Both instances get so many requests a second, for so long.
    void press(double perSecond, std::chrono::milliseconds time)
    {
        const Pressure first(perSecond, 4, [this] { this->told.ask(*this->entries[0]); });
        const Pressure second(perSecond, 4, [this] { this->told.ask(*this->entries[1]); });
        std::this_thread::sleep_for(time);
    }

    Work work;
    LimitedTarget limited;
    ScriptedServer free;
    std::vector<RouteSpec> routes;
    std::string addresses[2] = {freeDatagramAddress(), freeDatagramAddress()};
    std::unique_ptr<EntryFixture> entries[2];
    Told told;
};

struct WorkCase
{
    char name[40];
    char type[8];
    Work work;
    bool another; // whether the service has another target, which names no limit
};

WorkCase workCases[] = {
        {"plain requests", "unsafe", Work::Plain, true},
        {"plain requests, no other target", "unsafe", Work::Plain, false},
        {"failing ones, which are repeated", "safe", Work::Failing, true},
        {"generations and questions", "stream", Work::Stream, true},
        {"generations, no other engine", "stream", Work::Stream, false},
};

} // namespace

// Guards against a target in need getting more from all instances than the limit in its answers.
ParameterizedTestParameters(limitTold, sumOfInstancesHolds)
{
    return cr_make_param_array(WorkCase, workCases, std::size(workCases));
}

ParameterizedTest(WorkCase *given, limitTold, sumOfInstancesHolds)
{
    LimitedSite site(given->work, given->type, given->another);
    site.limited.nameLimit(true);
    site.press(15, played);
    const auto worst = static_cast<double>(site.limited.worstWindow(heeded));
    cr_log_info("%s: %.0f in the worst 4 s, %zu in the last 4 s", given->name, worst,
                site.limited.gotWithin(4s));
    cr_expect_leq(worst, site.limited.mostAllowed(), "%s: %.0f", given->name, worst);
    cr_expect_geq(static_cast<double>(site.limited.gotWithin(4s)), limit * 4 / 2, "%s: left idle",
                  given->name);
    cr_expect_eq(site.told.withoutReturn, 0, "%s", given->name);
    cr_expect_eq(site.told.late, 0, "%s", given->name);
    if (given->another)
        cr_expect_eq(site.told.refused, 0, "%s: the other target had room", given->name);
    else
        cr_expect_gt(site.told.refused, 0, "%s", given->name);
}

// Guards against a failure, or a report of the load, that lacks the word ending the limit for the
// whole fleet until the next answer.
Test(limitTold, answersWithoutTheWordEndNothing)
{
    std::atomic<int> served{0};
    LimitedTarget limited(limitHeader, limit,
                          [&served](const SeenRequest &request, const std::string &headers) {
                              if (isReport(request))
                                  return wholeAnswer(200, "", "{}");
                              if (++served % 2 == 0)
                                  return wholeAnswer(500, ownHeaders, "bad");
                              return wholeAnswer(200, ownHeaders + headers, "good");
                          });
    RouteSpec route;
    route.type = "unsafe";
    EntryFixture entry({route});
    entry.store.put("servers/i-limited", targetJson(limited.address()));
    std::this_thread::sleep_for(acquaintance);
    limited.nameLimit(true);
    {
        Told told;
        const Pressure pressure(30, 4, [&] { told.ask(entry); });
        std::this_thread::sleep_for(played);
    }
    const auto worst = static_cast<double>(limited.worstWindow(heeded));
    cr_expect_leq(worst, limited.mostAllowed(), "%.0f", worst);
}

// Guards against an instance that starts again and knows nothing of the limit.
Test(limitTold, startedAgainHoldsToIt)
{
    LimitedSite site(Work::Plain, "unsafe", true);
    site.limited.nameLimit(true);
    site.press(15, 2s);
    site.start(1);
    site.list("i-free", site.free.address());
    site.list("i-limited", site.limited.address());
    cr_assert(site.entries[1]->becomesReady());
    site.press(15, played);
    const auto worst = static_cast<double>(site.limited.worstWindow(heeded));
    cr_expect_leq(worst, site.limited.mostAllowed(), "%.0f", worst);
}

// Guards against a limit that is kept to after the target has ceased to name it.
Test(limitTold, endsWhenItIsNamedNoMore)
{
    LimitedSite site(Work::Plain, "unsafe", false);
    site.limited.nameLimit(true);
    site.press(15, 2s);
    site.limited.nameLimit(false);
    site.press(15, 2s);
    const std::size_t refused = site.told.refused;
    site.press(15, 2s);
    cr_expect_eq(site.told.refused, refused);
    cr_expect_geq(site.limited.gotWithin(2s), 40);
}

namespace {

constexpr int runs = 20;

// An engine whose runs last a while and may be copied to others.
Answer engineWithLongRuns(const SeenRequest &request, const std::string &headers)
{
    if (isReport(request))
        return wholeAnswer(200, headers, "{}");
    if (request.head.path() == "/jaytrack/kv-move")
        return wholeAnswer(200, headers + "Content-Type: application/json\r\n",
                           R"({"KvHandle":"h7","Created":2})");
    Answer answer = {{AnswerStep::Kind::Send, streamHead(ownHeaders + headers), {}}};
    for (int id = 1; id <= 300; ++id)
        answer.push_back(chunkStep(eventText(id, "token"), 20ms));
    answer.push_back({AnswerStep::Kind::Send, "0\r\n\r\n", {}});
    return answer;
}

} // namespace

// Guards against runs that flee together: each orders a copy where it is and goes on elsewhere,
// twenty requests at once for an engine that takes one a second.
Test(limitTold, copiesAndRunsThatGoOnCount)
{
    LimitedTarget leaving(limitHeader, 1, engineWithLongRuns);
    LimitedTarget refuge(limitHeader, 1, engineWithLongRuns);
    RouteSpec route;
    route.timeoutMs = 9000;
    EntryFixture entry({route});
    nlohmann::json configuration = configurationJson(2, {route});
    entry.publish(configuration);
    entry.store.put("servers/i-1", targetJson(leaving.address()));
    std::this_thread::sleep_for(acquaintance);
    std::vector<std::thread> callers;
    for (int i = 0; i < runs; ++i)
        callers.emplace_back([&entry] {
            RequestSpec request;
            request.deadlineMs = 9000;
            callOnce(entry.port(), requestText(request), 9000ms);
        });
    std::this_thread::sleep_for(500ms);
    entry.store.put("servers/i-2", targetJson(refuge.address()));
    leaving.nameLimit(true);
    refuge.nameLimit(true);
    // Both say so in the next answer to a question about their load.
    std::this_thread::sleep_for(1500ms);
    entry.store.put("servers/i-1", targetJson(leaving.address(), "draining"));
    for (std::thread &caller : callers)
        caller.join();
    cr_expect_leq(static_cast<double>(leaving.worstWindow(heeded)), leaving.mostAllowed(), "%zu",
                  leaving.worstWindow(heeded));
    cr_expect_leq(static_cast<double>(refuge.worstWindow(heeded)), refuge.mostAllowed(), "%zu",
                  refuge.worstWindow(heeded));
    cr_expect_gt(refuge.gotWithin(9s), 2, "no run went on there");
}
