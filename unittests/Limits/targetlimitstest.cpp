// What one instance decides and tells of targets with limits, beside the sum of a fleet.
#include "jaytrack/Limits/targetlimits.h"

#include <criterion/criterion.h>

#include <utility>

using namespace jaytrack;
using namespace std::chrono_literals;

namespace {

class Told final : public LimitTransport
{
public:
    void sendLimits(std::string_view instance, const LimitMessage &news) override
    {
        this->messages.emplace_back(instance, news);
    }
    void broadcastLimits(const LimitMessage &news) override
    {
        this->messages.emplace_back("all", news);
    }
    void sendLimitsToSample(const LimitMessage &news) override
    {
        this->messages.emplace_back("some", news);
    }

    std::vector<std::pair<std::string, LimitMessage>> messages;
};

// An instance that has known one other for a while, and a target that names a limit.
struct Settled
{
    explicit Settled(std::vector<std::string> known = {"other"}, double limit = 2)
        : others(std::move(known))
    {
        this->limits.setInstances(this->others);
        this->pass(10s);
        this->limits.recordLimit("t", limit);
    }

    // The loop ticks while time passes, as in a process that is not held up.
    void pass(Duration time)
    {
        for (Duration passed{0}; passed < time; passed += 100ms) {
            this->clock.advance(100ms);
            this->limits.tick();
        }
    }

    std::optional<Permit> request()
    {
        return this->limits.request("t", [this](const Permit &permit) { this->later = permit; });
    }

    std::vector<std::string> others;
    ManualClock clock;
    Told told;
    TargetLimits limits{this->clock, "own", this->others.size(), 1, this->told};
    std::optional<Permit> later;
};

// One without others keeps every account.
struct Alone : Settled
{
    explicit Alone(double limit = 2)
        : Settled({}, limit)
    {
    }
};

} // namespace

// Guards against an instance that joins and sends what it likes until its first answer.
Test(targetLimits, newcomerIsToldAtOnce)
{
    Settled own;
    // Whichever of the two keeps the account tells: try targets until one falls to this instance.
    for (int i = 0; i < 16; ++i)
        own.limits.recordLimit("t" + std::to_string(i), 2);
    own.told.messages.clear();
    own.limits.setInstances(std::vector<std::string>{"newcomer", "other"});
    cr_assert_eq(own.told.messages.size(), 1);
    cr_expect_eq(own.told.messages.front().first, std::string("newcomer"));
    cr_expect_gt(own.told.messages.front().second.words.size(), 0);
}

// Guards against a target that rests for ever, and one that is used while it rests.
Test(targetLimits, grantsAtTheRateNamed)
{
    Alone own;
    cr_expect_not(own.request()->granted, "an account opens empty");
    const Duration wait = own.limits.remainingBackoff("t");
    cr_expect_gt(wait, 0ms);
    cr_expect_leq(wait, 500ms);
    cr_expect_not(own.request()->granted, "it rests");
    own.pass(500ms);
    cr_expect(own.request()->granted);
    cr_expect_not(own.request()->granted);
    own.pass(30s);
    int granted = 0;
    while (own.request()->granted)
        ++granted;
    cr_expect_eq(granted, 2, "no more are saved: %d", granted);
}

// Guards against never hearing that a target that named next to nothing has recovered.
Test(targetLimits, nextToNothingStillGetsARequest)
{
    Alone own(0);
    own.pass(4s);
    own.request();
    own.pass(4s);
    cr_expect(own.request()->granted);
}

// Guards against a question that is never answered holding its request.
Test(targetLimits, unansweredQuestionIsDeniedInTime)
{
    Settled own;
    std::optional<Permit> now;
    std::string asked;
    for (int i = 0; i < 16 && !asked.size(); ++i) {
        const std::string target = "t" + std::to_string(i);
        own.limits.recordLimit(target, 2);
        now = own.limits.request(target, [&own](const Permit &permit) { own.later = permit; });
        if (!now)
            asked = target;
    }
    cr_assert(!asked.empty(), "the other one keeps some account");
    cr_assert_not(own.later.has_value());
    cr_assert(own.limits.nextStep() == own.clock.now() + 50ms);
    own.clock.advance(50ms);
    own.limits.tick();
    cr_assert(own.later.has_value());
    cr_expect_not(own.later->granted);
    cr_expect_gt(own.limits.remainingBackoff(asked), 0ms);
    cr_expect_not(own.limits.nextStep().has_value());
}

// Guards against an instance that was held up granting on what it knew before.
Test(targetLimits, heldUpInstanceKeepsNoAccount)
{
    Alone own;
    own.request(); // opens the account
    own.pass(2s);
    cr_assert(own.request()->granted);
    own.clock.advance(2s);
    const auto permit = own.request();
    cr_expect_not(permit->granted);
    cr_expect_eq(permit->owner, std::string());
    own.pass(3100ms);
    cr_expect(own.request()->granted);
}
