// Which request is held to be the cause when targets end, and which merely stood beside it.
#include "jaytrack/Quarantine/crashquarantine.h"
#include "jaytrack/Quarantine/quarantinemessage.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include "peer_types.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <random>
#include <sstream>

using namespace jaytrack;

namespace {

constexpr std::chrono::milliseconds longHeld{500};

struct Happening
{
    int atMs;
    char target[8];    // that ended; empty if a request ran well
    char requests[16]; // blank between them
    int heldMs = 500;  // how long they had been at the target
};

struct VerdictCase
{
    char name[64];
    Happening happenings[8];
    int count;
    char barred[16];
};

std::vector<std::string> wordsOf(const std::string &text)
{
    std::istringstream stream(text);
    return {std::istream_iterator<std::string>(stream), std::istream_iterator<std::string>()};
}

std::string barredIn(const CrashQuarantine &quarantine)
{
    std::string text;
    for (const BarredRequest &request : quarantine.barred())
        text += (text.empty() ? "" : " ") + request.digest;
    return text;
}

TargetEnd endOf(const std::string &target, const std::string &requests,
                std::chrono::milliseconds held = longHeld)
{
    TargetEnd end{target, {}, Duration(0)};
    for (const std::string &word : wordsOf(requests))
        end.suspects.push_back({word, held});
    return end;
}

} // namespace

// A request is kept from all targets though it ended none, or is sent on though it ended three:
// each row is what the instances could see, and the one conclusion that it allows.
ParameterizedTestParameters(crashQuarantine, barsWhatEndsTargets)
{
    static VerdictCase cases[] = {
            {"three ends alone", {{0, "a", "p"}, {800, "b", "p"}, {1600, "c", "p"}}, 3, "p"},
            {"two ends", {{0, "a", "p"}, {800, "b", "p"}}, 2, ""},
            {"one end, told three times", {{0, "a", "p"}, {50, "a", "p"}, {100, "a", "p"}}, 3, ""},
            {"one name, three lives", {{0, "a", "p"}, {4000, "a", "p"}, {8000, "a", "p"}}, 3, "p"},
            {"beside it at two ends",
             {{0, "a", "p q"}, {800, "b", "p q"}, {1600, "c", "p"}},
             3,
             "p"},
            {"beside it at three ends",
             {{0, "a", "p q"}, {800, "b", "p q"}, {1600, "c", "p q"}, {2400, "d", "p"}},
             4,
             "p"},
            {"never apart, three ends",
             {{0, "a", "p q"}, {800, "b", "p q"}, {1600, "c", "p q"}},
             3,
             ""},
            {"never alone, five ends",
             {{0, "a", "p q"},
              {800, "b", "p r"},
              {1600, "c", "p s"},
              {2400, "d", "p t"},
              {3200, "e", "p u"}},
             5,
             "p"},
            {"beside two deadly ones in turn",
             {{0, "a", "p i"},
              {100, "b", "q i"},
              {200, "c", "p i"},
              {300, "d", "q"},
              {400, "e", "p"},
              {500, "f", "q"}},
             6,
             "p q"},
            {"targets that end together",
             {{0, "a", "p"}, {20, "b", "p"}, {40, "c", "p"}, {60, "d", "p"}},
             4,
             ""},
            {"sent on at once after each end",
             {{0, "a", "p"}, {40, "b", "p", 30}, {80, "c", "p", 30}},
             3,
             "p"},
            {"sent on at once, told unevenly",
             {{0, "a", "p"}, {40, "b", "p", 45}, {80, "c", "p", 45}},
             3,
             "p"},
            {"ran well in between",
             {{0, "a", "p"}, {800, "b", "p"}, {1000, "", "p"}, {1600, "c", "p"}},
             4,
             ""},
            {"long ago", {{0, "a", "p"}, {800, "b", "p"}, {700'000, "c", "p"}}, 3, ""},
    };
    return cr_make_param_array(VerdictCase, cases, std::size(cases));
}

ParameterizedTest(VerdictCase *param, crashQuarantine, barsWhatEndsTargets)
{
    ManualClock clock;
    clock.advance(std::chrono::hours(1));
    CrashQuarantine quarantine(clock);
    int now = 0;
    for (int i = 0; i < param->count; ++i) {
        const Happening &happening = param->happenings[i];
        clock.advance(std::chrono::milliseconds(happening.atMs - now));
        now = happening.atMs;
        quarantine.weigh();
        if (happening.target[0] == '\0')
            quarantine.recordSafeRun(happening.requests);
        else
            quarantine.targetEnded(endOf(happening.target, happening.requests,
                                         std::chrono::milliseconds(happening.heldMs)));
    }
    clock.advance(CrashQuarantineOptions().settleTime);
    quarantine.weigh();
    cr_assert_eq(barredIn(quarantine), std::string(param->barred), "%s: [%s]", param->name,
                 barredIn(quarantine).c_str());
}

// What merely waited beside the deadly request is refused, because the instance that serves it
// tells of the third end some milliseconds before the one that serves the deadly request does.
Test(crashQuarantine, waitsForWhatOthersTell)
{
    ManualClock clock;
    clock.advance(std::chrono::hours(1));
    CrashQuarantine quarantine(clock);
    for (const char *target : {"a", "b", "c"}) {
        quarantine.targetEnded(endOf(target, "innocent"));
        quarantine.weigh();
        clock.advance(std::chrono::milliseconds(5));
        quarantine.targetEnded(endOf(target, "deadly"));
        clock.advance(std::chrono::milliseconds(500));
    }
    quarantine.weigh();
    cr_assert(!quarantine.isBarred("innocent"));
}

// A request is refused for ever though the targets were mended, or may end three targets again each
// time that its term is over.
Test(crashQuarantine, termEndsAndOneEndBarsAgain)
{
    ManualClock clock;
    clock.advance(std::chrono::hours(1));
    const CrashQuarantineOptions options;
    CrashQuarantine quarantine(clock, options);
    cr_assert(quarantine.bar({"p", options.barTime, 3}));
    cr_assert(!quarantine.bar({"p", options.barTime, 3}), "known already");
    clock.advance(options.barTime);
    cr_assert(!quarantine.isBarred("p"));
    quarantine.targetEnded(endOf("d", "p q"));
    clock.advance(options.settleTime);
    quarantine.weigh();
    cr_assert_eq(barredIn(quarantine), std::string("p"));
}

// Memory grows with a caller that sends ever new deadly requests.
Test(crashQuarantine, isBounded)
{
    ManualClock clock;
    clock.advance(std::chrono::hours(1));
    CrashQuarantine quarantine(clock);
    for (int i = 0; i < 2000; ++i) {
        quarantine.bar({"p" + std::to_string(i), std::chrono::minutes(1), 3});
        quarantine.targetEnded(endOf("t" + std::to_string(i), "q" + std::to_string(i)));
        clock.advance(std::chrono::milliseconds(1));
    }
    cr_assert_leq(quarantine.barred().size(), CrashQuarantineOptions().mostBars);
    cr_assert(quarantine.isBarred("p1999"));
}

// What is told reaches the other side as it was; times that nobody can mean are cut.
Test(quarantineNews, survivesTheWire)
{
    QuarantineMessage news;
    news.ends.push_back({"t@5", {{"d1", std::chrono::milliseconds(70)}}, std::chrono::seconds(2)});
    news.barred.push_back({"d2", std::chrono::minutes(30), 4});
    news.ranWell.emplace_back("d3");
    const QuarantineMessage back = fromNotices(toNotices(news));
    cr_assert_eq(back.ends.at(0).target, std::string("t@5"));
    cr_assert_eq(back.ends.at(0).ago, Duration(std::chrono::seconds(2)));
    cr_assert_eq(back.ends.at(0).suspects.at(0).digest, std::string("d1"));
    cr_assert_eq(back.ends.at(0).suspects.at(0).held, Duration(std::chrono::milliseconds(70)));
    cr_assert_eq(back.barred.at(0).left, Duration(std::chrono::minutes(30)));
    cr_assert_eq(back.barred.at(0).ends, 4);
    cr_assert_eq(back.ranWell.at(0), std::string("d3"));

    wire::QuarantineNotices forged;
    wire::BarredNotice bar;
    bar.leftMicros = std::numeric_limits<std::int64_t>::max();
    bar.ends = -7;
    forged.barred.push_back(bar);
    const QuarantineMessage cut = fromNotices(forged);
    cr_assert(cut.barred.at(0).left <= std::chrono::hours(24));
    cr_assert_eq(cut.barred.at(0).ends, 0);
}

namespace {

struct FleetCase
{
    std::size_t instances;
    double lost; // part of the notices
};

struct LateEnd
{
    TimePoint at;
    TargetEnd end;
};

} // namespace

// A deadly request is known to the instance at which it ended targets, and sent on by all others:
// its caller comes to another instance each time, notices come late, and some are lost.
ParameterizedTestParameters(crashQuarantine, isKnownEverywhereAtAnySize)
{
    static FleetCase cases[] = {{7, 0}, {7, 0.05}, {73, 0.02}, {195, 0.02}, {340, 0.05}};
    return cr_make_param_array(FleetCase, cases, std::size(cases));
}

ParameterizedTest(FleetCase *param, crashQuarantine, isKnownEverywhereAtAnySize)
{
    ManualClock clock;
    clock.advance(std::chrono::hours(1));
    std::mt19937_64 random(param->instances);
    std::vector<CrashQuarantine> fleet;
    for (std::size_t i = 0; i < param->instances; ++i)
        fleet.emplace_back(clock);
    std::vector<std::vector<LateEnd>> onTheWay(param->instances);
    const auto arrives = [&] {
        return std::uniform_real_distribution<double>(0, 1)(random) >= param->lost;
    };
    std::size_t sends = 0;
    std::size_t sendsAfterThird = 0;
    TimePoint nextSend = clock.now();
    std::optional<TimePoint> third;
    // The caller sends it every 0.4 s to an instance drawn by chance; its target ends 0.1 s later.
    for (int step = 0; step < 1200; ++step) {
        clock.advance(std::chrono::milliseconds(10));
        const TimePoint now = clock.now();
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            for (const LateEnd &late : onTheWay[i]) {
                if (late.at <= now) {
                    TargetEnd end = late.end;
                    end.ago = now - (late.at - std::chrono::milliseconds(20));
                    fleet[i].targetEnded(end);
                }
            }
            std::erase_if(onTheWay[i], [now](const LateEnd &late) { return late.at <= now; });
            const auto fresh = fleet[i].weigh();
            for (const BarredRequest &request : fresh) {
                for (CrashQuarantine &other : fleet) {
                    if (arrives())
                        other.bar(request);
                }
            }
            // Once a second each tells three others what it has barred.
            if (step % 100 == static_cast<int>(i % 100)) {
                for (const BarredRequest &request : fleet[i].barred()) {
                    for (int told = 0; told < 3; ++told) {
                        if (arrives())
                            fleet[random() % fleet.size()].bar(request);
                    }
                }
            }
        }
        if (now < nextSend)
            continue;
        nextSend = now + std::chrono::milliseconds(400);
        const std::size_t at = random() % fleet.size();
        if (fleet[at].isBarred("p"))
            continue;
        ++sends;
        sendsAfterThird += third && now > *third + std::chrono::seconds(3) ? 1 : 0;
        if (sends == 3)
            third = now;
        const TargetEnd end =
                endOf("t" + std::to_string(sends), "p", std::chrono::milliseconds(90));
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            if (i == at || arrives() || arrives())
                onTheWay[i].push_back({now + std::chrono::milliseconds(20), end});
        }
    }
    cr_assert_eq(sendsAfterThird, 0, "%zu instances: %zu sends", param->instances, sends);
    cr_assert_leq(sends, 6);
    const auto knowing = std::count_if(fleet.begin(), fleet.end(), [](const CrashQuarantine &one) {
        return one.isBarred("p");
    });
    cr_assert_eq(static_cast<std::size_t>(knowing), fleet.size());
}
