// Tests which request is identified as the cause when targets end, and which were only present.
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

constexpr std::chrono::milliseconds defaultTimeAtTarget{500};

struct Event
{
    int atMs;
    char target[8];           // that ended; empty if a target ran the request safely
    char requests[16];        // separated by blanks
    int timeAtTargetMs = 500; // time between sending and the end
};

struct VerdictCase
{
    char name[64];
    Event events[8];
    int count;
    char barred[16];
};

std::vector<std::string> splitWords(const std::string &text)
{
    std::istringstream stream(text);
    return {std::istream_iterator<std::string>(stream), std::istream_iterator<std::string>()};
}

std::string barredDigests(const CrashQuarantine &quarantine)
{
    std::string text;
    for (const BarredRequest &request : quarantine.barred())
        text += (text.empty() ? "" : " ") + request.digest;
    return text;
}

TargetEnd makeEnd(const std::string &target, const std::string &requests,
                  std::chrono::milliseconds timeAtTarget = defaultTimeAtTarget)
{
    TargetEnd end{target, {}, Duration(0)};
    for (const std::string &word : splitWords(requests))
        end.suspects.push_back({word, timeAtTarget});
    return end;
}

} // namespace

// Guards against barring a request that crashed no target, and against retrying one that crashed
// three. Each row lists what the instances observed and the verdict that follows.
ParameterizedTestParameters(crashQuarantine, barsCrashingRequests)
{
    static VerdictCase cases[] = {
            {"three ends alone", {{0, "a", "p"}, {800, "b", "p"}, {1600, "c", "p"}}, 3, "p"},
            {"two ends", {{0, "a", "p"}, {800, "b", "p"}}, 2, ""},
            {"one end, reported three times",
             {{0, "a", "p"}, {50, "a", "p"}, {100, "a", "p"}},
             3,
             ""},
            {"one name, three incarnations",
             {{0, "a", "p"}, {4000, "a", "p"}, {8000, "a", "p"}},
             3,
             "p"},
            {"present at two of three ends",
             {{0, "a", "p q"}, {800, "b", "p q"}, {1600, "c", "p"}},
             3,
             "p"},
            {"present at three of four ends",
             {{0, "a", "p q"}, {800, "b", "p q"}, {1600, "c", "p q"}, {2400, "d", "p"}},
             4,
             "p"},
            {"always together, three ends",
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
            {"present with two crashing ones in turn",
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
            {"retried at once after each end",
             {{0, "a", "p"}, {40, "b", "p", 30}, {80, "c", "p", 30}},
             3,
             "p"},
            {"retried at once, uneven report delays",
             {{0, "a", "p"}, {40, "b", "p", 45}, {80, "c", "p", 45}},
             3,
             "p"},
            {"safe run in between",
             {{0, "a", "p"}, {800, "b", "p"}, {1000, "", "p"}, {1600, "c", "p"}},
             4,
             ""},
            {"long ago", {{0, "a", "p"}, {800, "b", "p"}, {700'000, "c", "p"}}, 3, ""},
    };
    return cr_make_param_array(VerdictCase, cases, std::size(cases));
}

ParameterizedTest(VerdictCase *param, crashQuarantine, barsCrashingRequests)
{
    ManualClock clock;
    clock.advance(std::chrono::hours(1));
    CrashQuarantine quarantine(clock);
    int now = 0;
    for (int i = 0; i < param->count; ++i) {
        const Event &event = param->events[i];
        clock.advance(std::chrono::milliseconds(event.atMs - now));
        now = event.atMs;
        quarantine.evaluate();
        if (event.target[0] == '\0')
            quarantine.clearRequest(event.requests);
        else
            quarantine.recordEnd(makeEnd(event.target, event.requests,
                                         std::chrono::milliseconds(event.timeAtTargetMs)));
    }
    clock.advance(CrashQuarantineOptions().settleTime);
    quarantine.evaluate();
    cr_assert_eq(barredDigests(quarantine), std::string(param->barred), "%s: [%s]", param->name,
                 barredDigests(quarantine).c_str());
}

// Guards against barring a request that only waited at the same targets, because its instance
// reports the third end some milliseconds before the instance with the crashing request does.
Test(crashQuarantine, waitsForReportsOfOthers)
{
    ManualClock clock;
    clock.advance(std::chrono::hours(1));
    CrashQuarantine quarantine(clock);
    for (const char *target : {"a", "b", "c"}) {
        quarantine.recordEnd(makeEnd(target, "innocent"));
        quarantine.evaluate();
        clock.advance(std::chrono::milliseconds(5));
        quarantine.recordEnd(makeEnd(target, "crashing"));
        clock.advance(std::chrono::milliseconds(500));
    }
    quarantine.evaluate();
    cr_assert(!quarantine.isBarred("innocent"));
}

// Guards against barring a request forever although the targets were fixed, and against letting it
// crash three targets again each time the bar expires.
Test(crashQuarantine, barExpiresAndOneEndRenewsIt)
{
    ManualClock clock;
    clock.advance(std::chrono::hours(1));
    const CrashQuarantineOptions options;
    CrashQuarantine quarantine(clock, options);
    cr_assert(quarantine.bar({"p", options.barDuration, 3}));
    cr_assert(!quarantine.bar({"p", options.barDuration, 3}), "the request is barred already");
    clock.advance(options.barDuration);
    cr_assert(!quarantine.isBarred("p"));
    quarantine.recordEnd(makeEnd("d", "p q"));
    clock.advance(options.settleTime);
    quarantine.evaluate();
    cr_assert_eq(barredDigests(quarantine), std::string("p"));
}

// Guards against memory that grows with a caller that keeps sending new crashing requests.
Test(crashQuarantine, isBounded)
{
    ManualClock clock;
    clock.advance(std::chrono::hours(1));
    CrashQuarantine quarantine(clock);
    for (int i = 0; i < 2000; ++i) {
        quarantine.bar({"p" + std::to_string(i), std::chrono::minutes(1), 3});
        quarantine.recordEnd(makeEnd("t" + std::to_string(i), "q" + std::to_string(i)));
        clock.advance(std::chrono::milliseconds(1));
    }
    cr_assert_leq(quarantine.barred().size(), CrashQuarantineOptions().maxBars);
    cr_assert(quarantine.isBarred("p1999"));
}

// Tests that messages survive conversion to and from the wire format, and that invalid times are
// clamped.
Test(quarantineMessage, roundTripsThroughWireFormat)
{
    QuarantineMessage message;
    message.ends.push_back(
            {"t@5", {{"d1", std::chrono::milliseconds(70)}}, std::chrono::seconds(2)});
    message.barred.push_back({"d2", std::chrono::minutes(30), 4});
    message.safeRuns.emplace_back("d3");
    message.ends.back().software = "s/1";
    message.ends.back().suspects.push_back({"d4", Duration(0), {{"x", true}, {"y", false}}});
    message.ends.back().suspects.push_back({"d5", Duration(0), {{"y", false}}});
    message.barred.push_back(
            {"x", std::chrono::minutes(30), 3, "s/1", std::chrono::milliseconds(400)});
    message.soundParts.push_back({"f", "s/1", std::chrono::seconds(1)});
    const QuarantineMessage back = fromNotices(toNotices(message));
    cr_assert_eq(back.ends.at(0).target, std::string("t@5"));
    cr_assert_eq(back.ends.at(0).ago, Duration(std::chrono::seconds(2)));
    cr_assert_eq(back.ends.at(0).suspects.at(0).digest, std::string("d1"));
    cr_assert_eq(back.ends.at(0).suspects.at(0).timeAtTarget,
                 Duration(std::chrono::milliseconds(70)));
    cr_assert_eq(back.barred.at(0).remaining, Duration(std::chrono::minutes(30)));
    cr_assert_eq(back.barred.at(0).ends, 4);
    cr_assert_eq(back.safeRuns.at(0), std::string("d3"));
    cr_assert_eq(back.ends.at(0).software, std::string("s/1"));
    cr_assert_eq(back.ends.at(0).suspects.at(1).parts.at(0).digest, std::string("x"));
    cr_assert(back.ends.at(0).suspects.at(1).parts.at(0).ranWellBefore);
    cr_assert_eq(back.ends.at(0).suspects.at(2).parts.at(0).digest, std::string("y"));
    cr_assert_eq(back.barred.at(1).software, std::string("s/1"));
    cr_assert_eq(back.barred.at(1).lastEndAgo, Duration(std::chrono::milliseconds(400)));
    cr_assert_eq(back.soundParts.at(0).digest, std::string("f"));
    cr_assert_eq(back.soundParts.at(0).beganAgo, Duration(std::chrono::seconds(1)));

    wire::QuarantineNotices forged;
    forged.ends.emplace_back();
    forged.ends.back().suspects.emplace_back();
    forged.ends.back().suspects.back().parts = {-1, 0, 7};
    wire::BarredNotice bar;
    bar.leftMicros = std::numeric_limits<std::int64_t>::max();
    bar.ends = -7;
    forged.barred.push_back(bar);
    const QuarantineMessage cut = fromNotices(forged);
    cr_assert(cut.barred.at(0).remaining <= std::chrono::hours(24));
    cr_assert_eq(cut.barred.at(0).ends, 0);
    cr_assert(cut.ends.at(0).suspects.at(0).parts.empty());
}

namespace {

// What happens to requests with parts: "D:P1,P2" is request D with two parts. An event without a
// target is a run that ended well.
struct PartEvent
{
    int atMs;
    char target[8];
    char requests[48];
    char software[8] = "s/1";
};

struct PartCase
{
    char name[64];
    PartEvent events[12];
    int count;
    char barred[16];
};

RequestIdentity parseRequest(const std::string &word)
{
    const std::size_t colon = word.find(':');
    RequestIdentity request{word.substr(0, colon)};
    std::istringstream list(colon == std::string::npos ? "" : word.substr(colon + 1));
    for (std::string part; std::getline(list, part, ',');)
        request.parts.push_back(part);
    return request;
}

void apply(CrashQuarantine &quarantine, const PartEvent &event, TimePoint now)
{
    TargetEnd end{event.target, {}, Duration(0), event.software};
    for (const std::string &word : splitWords(event.requests)) {
        const RequestIdentity request = parseRequest(word);
        if (event.target[0] == '\0') {
            quarantine.recordSafeRun({request, event.software, now});
            continue;
        }
        Suspect suspect{request.digest, std::chrono::milliseconds(50)};
        for (const std::string &part : request.parts)
            suspect.parts.push_back({part});
        end.suspects.push_back(std::move(suspect));
    }
    quarantine.describeParts(end);
    quarantine.recordEnd(end);
}

} // namespace

// Guards against a part that crashes targets staying unknown because no two requests with it are
// alike, and against barring the parts that sound requests share with them.
ParameterizedTestParameters(crashQuarantine, barsCrashingParts)
{
    static PartCase cases[] = {
            {"three requests, one part in common",
             {{0, "", "a:f"},
              {100, "t1", "p:f,x"},
              {500, "t2", "q:f,x"},
              {600, "", "b:f"},
              {900, "t3", "r:f,x"}},
             5,
             "x"},
            {"two ends only",
             {{0, "", "a:f"}, {100, "t1", "p:f,x"}, {500, "t2", "q:f,x"}, {600, "", "b:f"}},
             4,
             ""},
            {"one request at three targets is barred itself",
             {{0, "", "a:f"},
              {100, "t1", "p:f,x"},
              {500, "t2", "p:f,x"},
              {600, "", "b:f"},
              {900, "t3", "p:f,x"}},
             5,
             "p"},
            {"after one of its requests was barred",
             {{100, "t1", "p:f,x"},
              {500, "t2", "p:f,x"},
              {600, "", "b:f"},
              {900, "t3", "p:f,x"},
              {2000, "t4", "q:f,x"}},
             5,
             "p x"},
            {"before the shared part",
             {{0, "", "a:f"},
              {100, "t1", "p:x,f"},
              {500, "t2", "q:x,f"},
              {600, "", "b:f"},
              {900, "t3", "r:x,f"}},
             5,
             "x"},
            {"nothing runs well meanwhile",
             {{0, "", "a:f"}, {100, "t1", "p:f,x"}, {500, "t2", "q:f,x"}, {900, "t3", "r:f,x"}},
             4,
             ""},
            {"it runs well at times",
             {{100, "t1", "p:f,x"}, {500, "t2", "q:f,x"}, {600, "", "b:f,x"}, {900, "t3", "r:f,x"}},
             4,
             ""},
            {"it ran well before, three ends",
             {{0, "", "a:x"},
              {100, "t1", "p:x"},
              {500, "t2", "q:x"},
              {600, "", "b:f"},
              {900, "t3", "r:x"}},
             5,
             ""},
            {"it ran well before, five ends",
             {{0, "", "a:x"},
              {100, "t1", "p:x"},
              {500, "t2", "q:x"},
              {600, "", "b:f"},
              {900, "t3", "r:x"},
              {1300, "t4", "s:x"},
              {1700, "t5", "u:x"}},
             7,
             "x"},
            {"two parts that always come together, three ends",
             {{100, "t1", "p:x,y"}, {500, "t2", "q:x,y"}, {600, "", "b:f"}, {900, "t3", "r:x,y"}},
             4,
             ""},
            {"the same, five ends",
             {{100, "t1", "p:x,y"},
              {500, "t2", "q:x,y"},
              {600, "", "b:f"},
              {900, "t3", "r:x,y"},
              {1300, "t4", "s:x,y"},
              {1700, "t5", "u:x,y"}},
             6,
             "y"},
            {"the same, until one of them runs without the other",
             {{100, "t1", "p:x,y"}, {500, "t2", "q:x,y"}, {900, "t3", "r:x,y"}, {1000, "", "b:y"}},
             4,
             "x"},
            {"two deadly parts at once",
             {{0, "", "a:f"},
              {100, "t1", "p:f,x"},
              {300, "t2", "q:f,y"},
              {500, "t3", "r:f,x"},
              {700, "t4", "s:f,y"},
              {800, "", "b:f"},
              {900, "t5", "u:f,x"},
              {1100, "t6", "v:f,y"}},
             8,
             "x y"},
            {"targets that end by chance beside it",
             {{0, "", "a:f"},
              {100, "t1", "p:f,x b:f c:f"},
              {200, "t2", "d:f e:f"},
              {500, "t3", "q:f,x g:f"},
              {600, "", "h:f"},
              {700, "t4", "i:f j:f"},
              {900, "t5", "r:f,x k:f"}},
             7,
             "x"},
            {"a rack with requests of one session",
             {{0, "", "a:f"},
              {100, "t1", "p:f,x"},
              {110, "t2", "q:f,x"},
              {120, "t3", "r:f,x"},
              {600, "", "b:f"}},
             5,
             ""},
            {"another version runs it well",
             {{0, "", "a:x", "s/1"},
              {100, "t1", "p:x", "s/2"},
              {500, "t2", "q:x", "s/2"},
              {600, "", "b:f", "s/2"},
              {700, "", "c:x", "s/1"},
              {900, "t3", "r:x", "s/2"}},
             6,
             "x"},
    };
    return cr_make_param_array(PartCase, cases, std::size(cases));
}

ParameterizedTest(PartCase *param, crashQuarantine, barsCrashingParts)
{
    ManualClock clock;
    clock.advance(std::chrono::hours(1));
    CrashQuarantine quarantine(clock);
    int now = 0;
    for (int i = 0; i < param->count; ++i) {
        const PartEvent &event = param->events[i];
        clock.advance(std::chrono::milliseconds(event.atMs - now));
        now = event.atMs;
        quarantine.evaluate();
        apply(quarantine, event, clock.now());
    }
    clock.advance(CrashQuarantineOptions().settleTime);
    quarantine.evaluate();
    cr_assert_eq(barredDigests(quarantine), std::string(param->barred), "%s: [%s]", param->name,
                 barredDigests(quarantine).c_str());
}

// Guards against no verdict while so many targets end that no answer comes to its end.
Test(crashQuarantine, barsAPartAlsoWhereAnswersBeginAndNoneEnds)
{
    ManualClock clock;
    clock.advance(std::chrono::hours(1));
    CrashQuarantine quarantine(clock);
    const PartEvent ends[] = {
            {0, "t1", "p:f,x a:f"}, {0, "t2", "q:f,x b:f"}, {0, "t3", "r:f,x c:f"}};
    quarantine.recordSafeRun({{"", {"f"}}, "s/1", clock.now()});
    for (const PartEvent &end : ends) {
        clock.advance(std::chrono::milliseconds(200));
        apply(quarantine, end, clock.now());
    }
    clock.advance(CrashQuarantineOptions().settleTime);
    quarantine.evaluate();
    cr_assert_eq(barredDigests(quarantine), std::string(""));
    quarantine.recordAnswerBegun("s/1", clock.now());
    quarantine.evaluate();
    cr_assert_eq(barredDigests(quarantine), std::string("x"));
}

// Guards against refusing a part at engines of a version that runs it well, because it crashes
// those of another one.
Test(crashQuarantine, partIsBarredOnlyWhereItIsNotKnownToRunWell)
{
    ManualClock clock;
    clock.advance(std::chrono::hours(1));
    CrashQuarantine quarantine(clock);
    const RequestIdentity request{"p", {"x"}};
    quarantine.recordSafeRun({request, "s/1", clock.now()});
    cr_assert(quarantine.bar({"x", std::chrono::minutes(30), 3, "s/2", Duration(0)}));
    cr_assert(quarantine.barredAt(request, "s/2") > Duration(0));
    cr_assert(quarantine.barredAt(request, "s/3") > Duration(0));
    cr_assert(quarantine.barredAt(request, "s/1") == Duration(0));
    cr_assert(quarantine.barredFor(request) == Duration(0));
    cr_assert(quarantine.bar({"x", std::chrono::minutes(30), 3, "s/1", Duration(0)}));
    cr_assert(quarantine.barredAt(request, "s/1") > Duration(0));
    cr_assert(quarantine.barredFor(request) > Duration(0));
}

// Guards against a shared part refused for half an hour at all instances, because one that has just
// started did not know that it runs well.
Test(crashQuarantine, instancesThatKnowThePartToRunWellRefuseItsBarAndLiftIt)
{
    ManualClock clock;
    clock.advance(std::chrono::hours(1));
    const RequestIdentity request{"p", {"f"}};
    CrashQuarantine newcomer(clock);
    CrashQuarantine other(clock);
    const BarredRequest wrong{"f", std::chrono::minutes(30), 3, "s/1",
                              std::chrono::milliseconds(400)};
    cr_assert(newcomer.bar(wrong));
    other.recordSafeRun({request, "s/1", clock.now()});
    cr_assert(!other.bar(wrong));
    const auto objection = other.objection(wrong);
    cr_assert(objection.has_value());
    cr_assert(newcomer.clearPart(*objection));
    cr_assert(!newcomer.isBarred("f"));
}

// Guards against a caller that sends new ids all the time and thereby pushes out what is known of
// parts that are in use, or takes memory without bound.
Test(crashQuarantine, newPartsDoNotPushOutThoseInUse)
{
    ManualClock clock;
    clock.advance(std::chrono::hours(1));
    CrashQuarantine quarantine(clock);
    const RequestIdentity shared{"", {"f"}};
    for (int i = 0; i < 20'000; ++i) {
        quarantine.recordSafeRun({{"", {"n" + std::to_string(i)}}, "s/1", clock.now()});
        if (i % 100 == 0)
            quarantine.recordSafeRun({shared, "s/1", clock.now()});
        clock.advance(std::chrono::milliseconds(1));
    }
    cr_assert(!quarantine.hasUnknownPart(shared, "s/1"));
    cr_assert(quarantine.hasUnknownPart({"", {"n1"}}, "s/1"));
    SoundParts parts(clock);
    for (int i = 0; i < 20'000; ++i) {
        parts.record("s/" + std::to_string(i), "f", clock.now());
        parts.recordRun("s/" + std::to_string(i), clock.now());
    }
    cr_assert_leq(parts.size(), SoundPartsOptions().maxParts);
}

namespace {

struct FleetCase
{
    std::size_t instances;
    double lossRate; // fraction of the reports that are lost
};

struct DelayedEnd
{
    TimePoint at;
    TargetEnd end;
};

} // namespace

// Guards against a crashing request being barred only at the instance where it crashed targets,
// while the others retry it: its caller uses another instance each time, and reports are late or
// lost.
ParameterizedTestParameters(crashQuarantine, reachesAllInstancesAtAnyFleetSize)
{
    static FleetCase cases[] = {{7, 0}, {7, 0.05}, {73, 0.02}, {195, 0.02}, {340, 0.05}};
    return cr_make_param_array(FleetCase, cases, std::size(cases));
}

ParameterizedTest(FleetCase *param, crashQuarantine, reachesAllInstancesAtAnyFleetSize)
{
    ManualClock clock;
    clock.advance(std::chrono::hours(1));
    std::mt19937_64 random(param->instances);
    std::vector<CrashQuarantine> fleet;
    for (std::size_t i = 0; i < param->instances; ++i)
        fleet.emplace_back(clock);
    std::vector<std::vector<DelayedEnd>> inTransit(param->instances);
    const auto arrives = [&] {
        return std::uniform_real_distribution<double>(0, 1)(random) >= param->lossRate;
    };
    std::size_t sends = 0;
    std::size_t lateSends = 0;
    TimePoint nextSend = clock.now();
    std::optional<TimePoint> thirdSendAt;
    // The caller sends the request every 0.4 s to a random instance; its target ends 0.1 s later.
    for (int step = 0; step < 1200; ++step) {
        clock.advance(std::chrono::milliseconds(10));
        const TimePoint now = clock.now();
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            for (const DelayedEnd &delayed : inTransit[i]) {
                if (delayed.at <= now) {
                    TargetEnd end = delayed.end;
                    end.ago = now - (delayed.at - std::chrono::milliseconds(20));
                    fleet[i].recordEnd(end);
                }
            }
            std::erase_if(inTransit[i],
                          [now](const DelayedEnd &delayed) { return delayed.at <= now; });
            const auto newlyBarred = fleet[i].evaluate();
            for (const BarredRequest &request : newlyBarred) {
                for (CrashQuarantine &other : fleet) {
                    if (arrives())
                        other.bar(request);
                }
            }
            // Once per second each instance sends its barred requests to three others.
            if (step % 100 == static_cast<int>(i % 100)) {
                for (const BarredRequest &request : fleet[i].barred()) {
                    for (int sent = 0; sent < 3; ++sent) {
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
        lateSends += thirdSendAt && now > *thirdSendAt + std::chrono::seconds(3) ? 1 : 0;
        if (sends == 3)
            thirdSendAt = now;
        const TargetEnd end =
                makeEnd("t" + std::to_string(sends), "p", std::chrono::milliseconds(90));
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            if (i == at || arrives() || arrives())
                inTransit[i].push_back({now + std::chrono::milliseconds(20), end});
        }
    }
    cr_assert_eq(lateSends, 0, "%zu instances: %zu sends", param->instances, sends);
    cr_assert_leq(sends, 6);
    const auto informed = std::count_if(fleet.begin(), fleet.end(), [](const CrashQuarantine &one) {
        return one.isBarred("p");
    });
    cr_assert_eq(static_cast<std::size_t>(informed), fleet.size());
}
