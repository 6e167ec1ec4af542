// Checks how many requests a whole fleet sends to a cold target when its instances have different
// views of the fleet.
#include "jaytrack/Routing/coldtargets.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <random>

using namespace jaytrack;

namespace {

constexpr std::chrono::milliseconds step{10};
constexpr std::chrono::seconds simulatedTime{20};
constexpr double ownRate = 25;
constexpr ColdBound bound{1.5, 5};
constexpr double maxPerSecond = ownRate * bound.overage + bound.extra;
const std::string target = "cold-target";

std::string instanceName(std::size_t index)
{
    return "instance-" + std::to_string(index);
}

enum class Disturbance {
    None,
    Split,         // into two halves, each of which considers the other one gone
    AllIsolated,   // every instance considers all others gone
    RollingStarts, // instances restart one after the other and at first know no others
    CommonStart,   // all restart at once and discover each other within two seconds
    DelayedUpdates // instances learn of joins and departures at different moments
};

struct FleetCase
{
    char name[32];
    std::size_t instances;
    Disturbance disturbance;
    std::size_t minPerSecond; // on average, so that the target is not left idle
};

// A fleet in which each instance sends whenever it may, as if all callers needed this one target.
class Fleet
{
public:
    explicit Fleet(const FleetCase &param)
        : fleet(param)
        , random(7)
    {
        for (std::size_t i = 0; i < param.instances; ++i)
            this->members.push_back(this->startInstance(i));
        this->clock.advance(std::chrono::seconds(5));
        this->connectAll();
    }

    void run()
    {
        const auto steps = simulatedTime / step;
        for (int i = 0; i < steps; ++i) {
            this->applyDisturbance(i);
            for (const auto &member : this->members)
                this->sendIfAllowed(*member);
            this->clock.advance(step);
        }
    }

    std::size_t maxSentInSecond() const
    {
        std::size_t worst = 0;
        for (auto first = this->sends.begin(); first != this->sends.end(); ++first) {
            const auto end =
                    std::lower_bound(first, this->sends.end(), *first + std::chrono::seconds(1));
            worst = std::max(worst, static_cast<std::size_t>(end - first));
        }
        return worst;
    }

    double meanPerSecond() const
    {
        return static_cast<double>(this->sends.size()) /
               std::chrono::duration<double>(simulatedTime).count();
    }

private:
    std::unique_ptr<ColdTargets> startInstance(std::size_t index)
    {
        const bool others = this->fleet.instances > 1;
        auto one = std::make_unique<ColdTargets>(this->clock, instanceName(index), bound, others);
        one->recordCold(target, std::chrono::hours(1));
        return one;
    }

    void setVisible(std::size_t index, const std::function<bool(std::size_t)> &sees)
    {
        std::vector<std::string> names;
        for (std::size_t other = 0; other < this->members.size(); ++other) {
            if (other != index && sees(other))
                names.push_back(instanceName(other));
        }
        this->members[index]->setInstances(names);
    }

    void connectAll()
    {
        for (std::size_t i = 0; i < this->members.size(); ++i)
            this->setVisible(i, [](std::size_t) { return true; });
    }

    void applyDisturbance(int atStep)
    {
        const std::size_t count = this->members.size();
        const bool isDisturbanceStep = atStep == 100;
        switch (this->fleet.disturbance) {
        case Disturbance::None:
            return;
        case Disturbance::Split:
            for (std::size_t i = 0; isDisturbanceStep && i < count; ++i)
                this->setVisible(i, [i, count](std::size_t other) {
                    return (i < count / 2) == (other < count / 2);
                });
            return;
        case Disturbance::AllIsolated:
            for (std::size_t i = 0; isDisturbanceStep && i < count; ++i)
                this->setVisible(i, [](std::size_t) { return false; });
            return;
        case Disturbance::RollingStarts:
            if (atStep % 20 == 0)
                this->members[static_cast<std::size_t>(atStep / 20) % count] =
                        this->startInstance(static_cast<std::size_t>(atStep / 20) % count);
            if (atStep % 20 == 10)
                this->connectAll();
            return;
        case Disturbance::CommonStart:
            for (std::size_t i = 0; isDisturbanceStep && i < count; ++i)
                this->members[i] = this->startInstance(i);
            if (atStep > 100 && atStep < 300 && atStep % 50 == 0)
                this->connectSome(0.5);
            if (atStep == 300)
                this->connectAll();
            return;
        case Disturbance::DelayedUpdates:
            if (atStep % 50 == 0)
                this->connectSome(0.9);
            return;
        }
    }

    void connectSome(double part)
    {
        std::bernoulli_distribution sees(part);
        for (std::size_t i = 0; i < this->members.size(); ++i)
            this->setVisible(i, [this, &sees](std::size_t) { return sees(this->random); });
    }

    void sendIfAllowed(ColdTargets &member)
    {
        if (member.wait(target, ownRate) > Duration(0))
            return;
        member.recordSend(target);
        this->sends.push_back(this->clock.now());
    }

    FleetCase fleet;
    std::mt19937_64 random;
    ManualClock clock;
    std::vector<std::unique_ptr<ColdTargets>> members;
    std::vector<TimePoint> sends;
};

FleetCase fleetCases[] = {
        {"one", 1, Disturbance::None, 10},
        {"7", 7, Disturbance::None, 10},
        {"60", 60, Disturbance::None, 10},
        {"195", 195, Disturbance::None, 10},
        {"340", 340, Disturbance::None, 10},
        {"7, split", 7, Disturbance::Split, 10},
        {"60, split", 60, Disturbance::Split, 10},
        {"340, split", 340, Disturbance::Split, 10},
        {"7, all isolated", 7, Disturbance::AllIsolated, 10},
        {"60, all isolated", 60, Disturbance::AllIsolated, 10},
        {"340, all isolated", 340, Disturbance::AllIsolated, 10},
        {"7, rolling starts", 7, Disturbance::RollingStarts, 0},
        {"60, rolling starts", 60, Disturbance::RollingStarts, 5},
        {"340, rolling starts", 340, Disturbance::RollingStarts, 5},
        {"60, common start", 60, Disturbance::CommonStart, 5},
        {"340, common start", 340, Disturbance::CommonStart, 5},
        {"60, delayed updates", 60, Disturbance::DelayedUpdates, 5},
        {"195, delayed updates", 195, Disturbance::DelayedUpdates, 5},
};

} // namespace

// Guards against overloading a cold target by the sum of all instances, and against leaving it
// idle.
ParameterizedTestParameters(coldTargets, fleetStaysWithinBound)
{
    return cr_make_param_array(FleetCase, fleetCases, std::size(fleetCases));
}

ParameterizedTest(FleetCase *param, coldTargets, fleetStaysWithinBound)
{
    Fleet fleet(*param);
    fleet.run();
    cr_log_info("%s: at most %zu requests in one second, %.1f on average", param->name,
                fleet.maxSentInSecond(), fleet.meanPerSecond());
    cr_expect_leq(static_cast<double>(fleet.maxSentInSecond()), maxPerSecond,
                  "%s: %zu requests in one second", param->name, fleet.maxSentInSecond());
    cr_expect_geq(fleet.meanPerSecond(), static_cast<double>(param->minPerSecond),
                  "%s: %.1f requests per second on average", param->name, fleet.meanPerSecond());
}

namespace {

// An instance that has known its fleet for a while.
struct SettledInstance
{
    SettledInstance()
        : targets(this->clock, "own", bound, false)
    {
        this->clock.advance(std::chrono::seconds(10));
    }

    ManualClock clock;
    ColdTargets targets;
};

} // namespace

Test(coldTargets, warmTargetsAndServicesWithoutRateAreUnlimited)
{
    SettledInstance own;
    cr_assert_eq(own.targets.wait("a", ownRate), Duration(0));
    own.targets.recordCold("a", std::chrono::seconds(1));
    for (int i = 0; i < 100; ++i)
        own.targets.recordSend("a");
    cr_assert_gt(own.targets.wait("a", ownRate), Duration(0));
    cr_assert_eq(own.targets.wait("a", 0), Duration(0));
    own.clock.advance(std::chrono::seconds(1));
    cr_assert_not(own.targets.isCold("a"));
    cr_assert_eq(own.targets.wait("a", ownRate), Duration(0));
}

// Guards against ending a cold period early because of an older, shorter report that arrives late.
Test(coldTargets, shorterReportDoesNotEndColdPeriod)
{
    SettledInstance own;
    cr_assert(own.targets.recordCold("a", std::chrono::seconds(3)));
    cr_assert_not(own.targets.recordCold("a", std::chrono::seconds(1)));
    cr_assert_not(own.targets.recordCold("a", std::chrono::milliseconds(3100)),
                  "the heartbeat repeats a known cold period");
    own.clock.advance(std::chrono::seconds(2));
    cr_assert(own.targets.isCold("a"));
    cr_assert(own.targets.recordCold("a", std::chrono::seconds(3)), "the target became cold again");
}

// Guards against telling a caller to retry before the target accepts another request.
Test(coldTargets, waitEndsWhenNextRequestIsAllowed)
{
    SettledInstance own;
    own.targets.recordCold("a", std::chrono::seconds(30));
    const std::size_t allowed = own.targets.allowance("a", ownRate);
    for (std::size_t i = 0; i < allowed; ++i) {
        cr_assert_eq(own.targets.wait("a", ownRate), Duration(0));
        own.targets.recordSend("a");
    }
    const Duration wait = own.targets.wait("a", ownRate);
    cr_assert_gt(wait, std::chrono::milliseconds(900));
    own.clock.advance(wait);
    cr_assert_eq(own.targets.wait("a", ownRate), Duration(0));
}
