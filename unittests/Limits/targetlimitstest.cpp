// Tests the decisions and messages of a single instance; limitsumtest.cpp tests the sum over a
// fleet.
#include "jaytrack/Limits/targetlimits.h"

#include <criterion/criterion.h>

#include <utility>

using namespace jaytrack;
using namespace std::chrono_literals;

namespace {

class RecordingTransport final : public LimitTransport
{
public:
    void sendLimits(std::string_view instance, const LimitMessage &message) override
    {
        this->messages.emplace_back(instance, message);
    }
    void broadcastLimits(const LimitMessage &message) override
    {
        this->messages.emplace_back("all", message);
    }
    void sendLimitsToSample(const LimitMessage &message) override
    {
        this->messages.emplace_back("some", message);
    }

    std::vector<std::pair<std::string, LimitMessage>> messages;
};

// An instance that has known another one for longer than the settling time, and a target with a
// limit.
struct SettledInstance
{
    explicit SettledInstance(std::vector<std::string> known = {"other"}, double limit = 2,
                             const TargetLimitOptions &options = {})
        : others(std::move(known))
        , limits(this->clock, "own", this->others.size(), 1, this->transport, options)
    {
        this->limits.setInstances(this->others);
        this->advance(10s);
        this->limits.recordLimit("t", limit);
    }

    // Calls tick() while time advances, as in a process that does not stall.
    void advance(Duration time)
    {
        for (Duration elapsed{0}; elapsed < time; elapsed += 100ms) {
            this->clock.advance(100ms);
            this->limits.tick();
        }
    }

    std::optional<Permit> request()
    {
        return this->limits.request("t", [this](const Permit &permit) { this->decision = permit; });
    }

    // Requests a permit for a target whose limit another instance owns. Returns the target.
    std::string requestFromOther()
    {
        for (int i = 0; i < 16; ++i) {
            const std::string target = "t" + std::to_string(i);
            this->limits.recordLimit(target, 2);
            const auto decide = [this](const Permit &permit) { this->decision = permit; };
            if (!this->limits.request(target, decide))
                return target;
        }
        cr_assert_fail("another instance has to own the limit of some target");
        return {};
    }

    std::vector<std::string> others;
    ManualClock clock;
    RecordingTransport transport;
    TargetLimits limits;
    std::optional<Permit> decision;
};

// An instance without others owns every limit.
struct SingleInstance : SettledInstance
{
    explicit SingleInstance(double limit = 2, const TargetLimitOptions &options = {})
        : SettledInstance({}, limit, options)
    {
    }
};

} // namespace

// Guards against an instance that joins and sends requests without limit until its first answer.
Test(targetLimits, newInstanceIsNotifiedImmediately)
{
    SettledInstance own;
    // Only the owner sends the limit to the new instance, so try targets until this instance owns
    // one.
    for (int i = 0; i < 16; ++i)
        own.limits.recordLimit("t" + std::to_string(i), 2);
    own.transport.messages.clear();
    own.limits.setInstances(std::vector<std::string>{"newcomer", "other"});
    cr_assert_eq(own.transport.messages.size(), 1);
    cr_expect_eq(own.transport.messages.front().first, std::string("newcomer"));
    cr_expect_gt(own.transport.messages.front().second.states.size(), 0);
}

// Guards against a back-off that never ends, and against requests during the back-off.
Test(targetLimits, grantsAtAdvertisedRate)
{
    SingleInstance own;
    cr_expect_not(own.request()->granted, "a new bucket has to be empty");
    const Duration wait = own.limits.remainingBackoff("t");
    cr_expect_gt(wait, 0ms);
    cr_expect_leq(wait, 500ms);
    cr_expect_not(own.request()->granted, "no permit may be granted during the back-off");
    own.advance(500ms);
    cr_expect(own.request()->granted);
    cr_expect_not(own.request()->granted);
    own.advance(30s);
    int granted = 0;
    while (own.request()->granted)
        ++granted;
    cr_expect_eq(granted, 2, "the bucket has to store two permits, but granted %d", granted);
}

// Guards against a lost answer that costs a permit, and against one request that gets two permits.
Test(targetLimits, repeatedRequestGetsTheSamePermit)
{
    TargetLimitOptions options;
    options.resendTimeout = 15ms;
    SingleInstance own(2, options);
    own.request();
    own.advance(500ms);
    const AdvertisedLimits::State state{"t", 2, 1s, std::nullopt};
    own.transport.messages.clear();
    own.limits.onMessage("other", {{}, {{1, state, false}}, {}});
    own.limits.onMessage("other", {{}, {{1, state, false}}, {}});
    own.limits.onMessage("other", {{}, {{2, state, false}}, {}});
    cr_assert_eq(own.transport.messages.size(), 3);
    cr_expect(own.transport.messages[0].second.answers.front().granted);
    cr_expect(own.transport.messages[1].second.answers.front().granted);
    cr_expect_not(own.transport.messages[2].second.answers.front().granted);
}

// Guards against requests that are not sent again, or again and again.
Test(targetLimits, unansweredRequestIsSentOnceMore)
{
    TargetLimitOptions options;
    options.resendTimeout = 15ms;
    SettledInstance own({"other"}, 2, options);
    own.requestFromOther();
    own.transport.messages.clear();
    own.clock.advance(10ms);
    own.limits.tick();
    cr_expect_eq(own.transport.messages.size(), 0);
    for (int i = 0; i < 3; ++i) {
        own.clock.advance(10ms);
        own.limits.tick();
    }
    cr_assert_eq(own.transport.messages.size(), 1);
    cr_expect_eq(own.transport.messages.front().second.requests.size(), 1);
}

// Guards against never detecting that a target with a limit near zero has recovered.
Test(targetLimits, limitNearZeroStillAllowsRequests)
{
    SingleInstance own(0);
    own.advance(4s);
    own.request();
    own.advance(4s);
    cr_expect(own.request()->granted);
}

// Guards against a permit request that is never answered blocking its request.
Test(targetLimits, unansweredPermitRequestIsDeniedOnTimeout)
{
    SettledInstance own;
    const std::string requested = own.requestFromOther();
    cr_assert_not(own.decision.has_value());
    cr_assert(own.limits.nextDeadline() == own.clock.now() + 50ms);
    own.clock.advance(50ms);
    own.limits.tick();
    cr_assert(own.decision.has_value());
    cr_expect_not(own.decision->granted);
    cr_expect_gt(own.limits.remainingBackoff(requested), 0ms);
    cr_expect_not(own.limits.nextDeadline().has_value());
}

// Guards against permits that are lost because no instance requests one in the moment they accrue.
Test(targetLimits, permitsAreGrantedBeforeTheyAccrue)
{
    TargetLimitOptions options;
    options.maxReservation = 700ms;
    SingleInstance own(2, options);
    const auto first = own.request();
    cr_assert(first->granted);
    cr_expect(first->wait == 500ms, "a new bucket is empty");
    cr_expect_not(own.request()->granted, "the next one accrues in a second");
    own.advance(500ms);
    const auto second = own.request();
    cr_assert(second->granted);
    cr_expect(second->wait == 500ms, "the one that accrues now is granted already");
}

// Guards against a request that waits for its permit longer than the owner meant, by the time that
// its answer took.
Test(targetLimits, timeOfTheAnswerCountsForTheWait)
{
    SettledInstance own({"other"}, 2);
    const std::string target = own.requestFromOther();
    own.clock.advance(10ms);
    LimitMessage message;
    message.answers.push_back({1, true, 20ms, true, {target, 2, Duration(0), std::nullopt}});
    own.limits.onMessage("other", message);
    cr_assert(own.decision && own.decision->granted);
    cr_expect(own.decision->wait == 15ms, "the answer took half of 10 ms");
}

// Guards against a second owner that grants permits too, because messages of a first one that is
// reachable were lost.
Test(targetLimits, lostAnswersOfAReachableOwnerDoNotChangeTheOwner)
{
    SettledInstance own({"other", "third"});
    const std::string target = own.requestFromOther();
    own.limits.request(target, [](const Permit &) {});
    const std::string owner = own.transport.messages.back().first;
    own.clock.advance(10ms);
    own.limits.request(target, [](const Permit &) {});
    const std::int64_t serial = own.transport.messages.back().second.requests.front().serial;
    LimitMessage message;
    message.answers.push_back({serial, true, 0ms, true, {target, 2, Duration(0), std::nullopt}});
    own.limits.onMessage(owner, message);
    own.clock.advance(50ms);
    own.limits.tick();
    own.clock.advance(50ms);
    own.limits.request(target, [](const Permit &) {});
    cr_expect_eq(own.transport.messages.back().first, owner);
}

// Guards against an instance granting permits by outdated state after its process stalled.
Test(targetLimits, stalledInstanceGrantsNoPermits)
{
    SingleInstance own;
    own.request(); // creates the bucket
    own.advance(2s);
    cr_assert(own.request()->granted);
    own.clock.advance(2s);
    const auto permit = own.request();
    cr_expect_not(permit->granted);
    cr_expect_eq(permit->owner, std::string());
    own.advance(3100ms);
    cr_expect(own.request()->granted);
}
