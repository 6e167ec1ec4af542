// Fleets that follow a store in which another writer keeps entries under names of its choice.
#include "commonstartfleet.h"
#include "platformdocuments.h"

#include "jaytrack/Net/message.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <algorithm>
#include <atomic>
#include <cstdio>

using namespace jaytrack;
using namespace jaytrack::testing;
using namespace std::chrono_literals;

namespace {

constexpr int targetCount = 60;
constexpr std::size_t pageItems = 10;

// Watches that readers make while nothing changes: three readers, each for at least 1.05 s.
constexpr std::size_t readers = 3;
constexpr std::chrono::milliseconds watchTime{1050};

// While something changes, each reader pauses this long after each answer.
constexpr std::chrono::milliseconds changeGap{400};

std::string oddKey(int index)
{
    return "servers/a" + std::to_string(index) +
           "\xc3\xa9"
           "37d8f";
}

// Counts the listing calls, and fails those for the page after this key.
class PageCalls
{
public:
    enum class Failure { None, BadRequest, Reset, NoAnswer };

    StoreStandin::OtherAnswer script()
    {
        return [this](const SeenRequest &request) { return this->answer(request); };
    }

    std::atomic<std::size_t> listings = 0;
    std::atomic<Failure> failure = Failure::None;
    std::string failsAfter;

private:
    std::optional<Answer> answer(const SeenRequest &request)
    {
        if (request.head.path() != "/jaytrack/kv-range")
            return std::nullopt;
        ++this->listings;
        HttpRequest call;
        call.query = request.head.target.substr(request.head.target.find('?') + 1);
        const bool fails = call.queryValue("After") == this->failsAfter;
        const Failure kind = fails ? this->failure.load() : Failure::None;
        if (kind == Failure::None)
            return std::nullopt;
        if (kind == Failure::BadRequest)
            return wholeAnswer(400, "Store-Era: 1\r\n", "");
        const bool isReset = kind == Failure::Reset;
        return Answer{{isReset ? AnswerStep::Kind::Reset : AnswerStep::Kind::Hang, ""}};
    }
};

CommonStartPlan planOf(int instances, PageCalls &pages)
{
    CommonStartPlan plan;
    plan.instances = static_cast<std::size_t>(instances);
    plan.targets = targetCount;
    plan.pageItems = pageItems;
    plan.timePerCall = quickCall;
    plan.otherAnswer = pages.script();
    return plan;
}

// Returns the last key of this page, counted from 0, of a store with these keys beside its targets.
std::string lastKeyOfPage(std::size_t page, const std::vector<std::string> &others)
{
    std::vector<std::string> keys = others;
    keys.push_back("op/config");
    for (int i = 0; i < targetCount; ++i)
        keys.push_back("servers/t" + std::to_string(i));
    std::sort(keys.begin(), keys.end());
    return keys.at((page + 1) * pageItems - 1);
}

bool allHold(const CommonStartFleet &fleet, std::uint64_t version)
{
    return std::all_of(fleet.instances.begin(), fleet.instances.end(), [version](const auto &one) {
        return one->hasData() && one->configurationVersion() == version &&
               one->targetCount() == static_cast<std::size_t>(targetCount);
    });
}

struct ChangeCase
{
    char name[64];
    int instances;
    int odd;                  // entries that are written together
    int interval;             // between two writes, in milliseconds
    std::size_t valueBytes;   // of each entry; more than a notice holds is read by each instance
    std::size_t catchUpCalls; // of instances that do not read
};

// A value that no notice holds costs calls of all instances: a hundred a second together, and eight
// of each before that interval is reached.
constexpr std::size_t maxNoticeBytes = 131'072;
constexpr std::size_t catchUpRate = 100;
constexpr std::size_t callsUntilSpaced = 8;
constexpr std::chrono::milliseconds changingTime{3000};

ChangeCase changeCases[] = {
        {"each 0.1 s, 7 instances", 7, 1, 100, 2, 0},
        {"each 0.1 s, 33 instances", 33, 1, 100, 2, 0},
        {"each 0.1 s, 195 instances", 195, 1, 100, 2, 0},
        {"each second, 33 instances", 33, 1, 1000, 2, 0},
        {"two hundred each second, 33 instances", 33, 200, 1000, 200, 0},
        {"larger than a notice, 33 instances", 33, 1, 100, 2 * maxNoticeBytes, 0},
};

// Returns a value that cannot be used, and does not get smaller by compression.
std::string unusable(std::size_t size, std::mt19937 &random)
{
    std::string bytes;
    while (bytes.size() < size)
        bytes += static_cast<char>(random());
    return bytes;
}

} // namespace

ParameterizedTestParameters(oddEntries, areFollowedAtTheUsualRate)
{
    return cr_make_param_array(ChangeCase, changeCases, std::size(changeCases));
}

// Guards against an entry of another writer that makes instances list the store again, or call it
// for each change of that entry, while it is written, changed and deleted.
ParameterizedTest(ChangeCase *one, oddEntries, areFollowedAtTheUsualRate)
{
    PageCalls pages;
    CommonStartFleet fleet(planOf(one->instances, pages));
    cr_assert_lt(fleet.timeUntilServing(100, recoveryTime).count(), recoveryTime.count());
    fleet.runFor(4000ms); // by then only readers read the store
    std::mt19937 random(1);
    const std::size_t listings = pages.listings;
    const std::size_t calls = fleet.store.calls();
    const std::size_t bytes = fleet.noticeBytes();
    const TimePoint begun = fleet.now();
    std::size_t written = 0;
    while (fleet.now() - begun < changingTime) {
        for (int i = 0; i < one->odd; ++i)
            fleet.store.put(oddKey(i), unusable(one->valueBytes, random));
        written += static_cast<std::size_t>(one->odd);
        fleet.runFor(std::chrono::milliseconds(one->interval));
    }
    for (int i = 0; i < one->odd; ++i)
        fleet.store.remove(oddKey(i));
    written += static_cast<std::size_t>(one->odd);
    fleet.store.put("op/config", configurationJson(2, {RouteSpec()}).dump());
    const TimePoint deleted = fleet.now();
    while (!allHold(fleet, 2) && fleet.now() - deleted < ReadDutyOptions().changeBound)
        fleet.runFor(100ms);
    cr_expect(allHold(fleet, 2), "%s", one->name);
    const auto passed = std::chrono::floor<std::chrono::milliseconds>(fleet.now() - begun);
    const auto perReader = static_cast<std::size_t>(passed / changeGap + passed / watchTime + 2);
    std::size_t maxCalls = readers * perReader;
    if (one->catchUpCalls > 0)
        maxCalls += one->catchUpCalls * callsUntilSpaced +
                    catchUpRate * static_cast<std::size_t>(passed / 1s + 1);
    // Each reader passes on each change that it reads once.
    const std::size_t configurationBytes = 10'000;
    const std::size_t maxBytes =
            readers * (written * (oddKey(one->odd).size() + one->valueBytes) + configurationBytes);
    std::printf("%s: calls=%zu of %zu notice_bytes=%zu of %zu listings=%zu in_ms=%lld\n", one->name,
                fleet.store.calls() - calls, maxCalls, fleet.noticeBytes() - bytes, maxBytes,
                pages.listings - listings, static_cast<long long>(passed.count()));
    cr_expect_leq(fleet.store.calls() - calls, maxCalls, "%s", one->name);
    cr_expect_leq(fleet.noticeBytes() - bytes, maxBytes, "%s", one->name);
    cr_expect_eq(pages.listings - listings, 0, "%s", one->name);
}

namespace {

enum class Restart { AtOnce, InTurn };

struct ReplaceCase
{
    char name[64];
    int instances;
    Restart restart;
    PageCalls::Failure failure; // of one page, while they are restarted
};

ReplaceCase replaceCases[] = {
        {"at once, 7 instances", 7, Restart::AtOnce, PageCalls::Failure::None},
        {"at once, 33 instances", 33, Restart::AtOnce, PageCalls::Failure::None},
        {"at once, 195 instances", 195, Restart::AtOnce, PageCalls::Failure::None},
        {"in turn, 7 instances", 7, Restart::InTurn, PageCalls::Failure::None},
        {"in turn, 33 instances", 33, Restart::InTurn, PageCalls::Failure::None},
        {"at once, a page is refused", 33, Restart::AtOnce, PageCalls::Failure::BadRequest},
        {"at once, a page is reset", 33, Restart::AtOnce, PageCalls::Failure::Reset},
        {"at once, a page gets no answer", 33, Restart::AtOnce, PageCalls::Failure::NoAnswer},
        {"in turn, a page is refused", 33, Restart::InTurn, PageCalls::Failure::BadRequest},
};

// Restarts all instances but the first.
void restartOthers(CommonStartFleet &fleet, Restart how)
{
    if (how == Restart::AtOnce)
        fleet.forgetMembers();
    for (std::size_t i = 1; i < fleet.instances.size(); ++i) {
        fleet.restart(i);
        if (how == Restart::InTurn)
            fleet.runFor(100ms);
    }
}

} // namespace

ParameterizedTestParameters(oddEntries, restartedInstancesGetWhatOneHolds)
{
    return cr_make_param_array(ReplaceCase, replaceCases, std::size(replaceCases));
}

// Guards against instances that are restarted and serve nobody, since an entry of another writer
// ends a page, or the store fails for one page, though another instance holds all of the store.
ParameterizedTest(ReplaceCase *one, oddEntries, restartedInstancesGetWhatOneHolds)
{
    PageCalls pages;
    CommonStartPlan plan = planOf(one->instances, pages);
    // The first of the targets' keys, so that these end the first page.
    for (int i = 0; i < 9; ++i)
        plan.otherKeys.push_back(oddKey(i));
    pages.failsAfter = lastKeyOfPage(0, plan.otherKeys);
    cr_assert_eq(pages.failsAfter, oddKey(8));
    CommonStartFleet fleet(plan);
    cr_assert_lt(fleet.timeUntilServing(100, recoveryTime).count(), recoveryTime.count());
    fleet.runFor(500ms);
    pages.failure = one->failure;
    const std::size_t calls = fleet.store.calls();
    const TimePoint begun = fleet.now();
    restartOthers(fleet, one->restart);
    long long shares[3] = {};
    const std::size_t percents[3] = {50, 90, 100};
    for (std::size_t i = 0; i < 3; ++i) {
        fleet.timeUntilServing(
                percents[i],
                recoveryTime - std::chrono::floor<std::chrono::milliseconds>(fleet.now() - begun));
        shares[i] = toMillis(fleet.now() - begun);
    }
    std::printf("%s: half_ms=%lld nine_tenths_ms=%lld all_ms=%lld calls=%zu\n", one->name,
                shares[0], shares[1], shares[2], fleet.store.calls() - calls);
    cr_assert_eq(fleet.serving(), plan.instances, "%s: %zu serve", one->name, fleet.serving());
    cr_assert(allHold(fleet, 1), "%s", one->name);
}

namespace {

struct NobodyCase
{
    char name[64];
    int instances;
    PageCalls::Failure failure;
    bool isPassed; // instances go on after an earlier key, and serve while the page fails
};

NobodyCase nobodyCases[] = {
        {"a page is refused", 33, PageCalls::Failure::BadRequest, true},
        {"a page is reset", 33, PageCalls::Failure::Reset, false},
        {"a page gets no answer", 33, PageCalls::Failure::NoAnswer, false},
        {"a page is refused, 195 instances", 195, PageCalls::Failure::BadRequest, true},
};

constexpr std::chrono::milliseconds failingTime{4000};

// Instances that list within that time: the readers and two draws, of 4 and 8 expected, of which
// more than 31 are drawn in less than one of a million.
constexpr std::size_t maxListers = 34;

// Calls of a lister, whose back-off grows to 250 ms, or the half of it.
constexpr std::size_t maxTries = failingTime / 125ms + 6;

} // namespace

ParameterizedTestParameters(oddEntries, callsForAPageThatFailsAreSpaced)
{
    return cr_make_param_array(NobodyCase, nobodyCases, std::size(nobodyCases));
}

// Guards against calls without a pause for a page for which the store fails, where no instance
// holds the store, and against a fleet that does not serve once that page is answered.
ParameterizedTest(NobodyCase *one, oddEntries, callsForAPageThatFailsAreSpaced)
{
    PageCalls pages;
    CommonStartPlan plan = planOf(one->instances, pages);
    pages.failsAfter = lastKeyOfPage(1, {});
    pages.failure = one->failure;
    CommonStartFleet fleet(plan);
    fleet.runFor(failingTime);
    const std::size_t calls = fleet.store.calls();
    if (one->isPassed)
        cr_expect_lt(fleet.timeUntilServing(100, recoveryTime).count(), recoveryTime.count());
    else
        cr_expect_eq(fleet.serving(), 0);
    // Where the page is passed, all instances may list the store, and once more when its changes
    // are confirmed; none calls more often than its back-off allows.
    const std::size_t pagesRead = 2 * (targetCount / pageItems + 1);
    const std::size_t bound = one->isPassed ? plan.instances * (maxTries + pagesRead)
                                            : plan.instances + maxListers * maxTries;
    cr_expect_leq(calls, bound, "%s: %zu calls", one->name, calls);
    pages.failure = PageCalls::Failure::None;
    const auto all = fleet.timeUntilServing(100, recoveryTime);
    std::printf("%s: calls=%zu of %zu, all_ms=%lld after the end\n", one->name, calls, bound,
                static_cast<long long>(all.count()));
    cr_assert_lt(all.count(), recoveryTime.count(), "%s: %zu serve", one->name, fleet.serving());
}
