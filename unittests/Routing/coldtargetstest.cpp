// How many requests a cold target gets of a whole fleet, whatever its instances know of each other.
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
constexpr std::chrono::seconds played{20};
constexpr double ownRate = 25;
constexpr ColdBound bound{1.5, 5};
constexpr double mostInSecond = ownRate * bound.overage + bound.extra;
const std::string target = "cold-target";

std::string instanceName(std::size_t index)
{
    return "instance-" + std::to_string(index);
}

enum class Trouble {
    None,
    Split,         // in two halves that take each other for gone
    AllAlone,      // every instance takes all others for gone
    RollingStarts, // one instance after the other starts anew and knows nobody at first
    CommonStart,   // all start anew at once, and learn of each other within two seconds
    LateNews       // instances learn of each other's coming and going at different moments
};

struct FleetCase
{
    char name[32];
    std::size_t instances;
    Trouble trouble;
    std::size_t leastInSecond; // on average, so that the target is not left idle
};

// Each instance sends whenever it may, as if all callers wanted this one target.
class Fleet
{
public:
    explicit Fleet(const FleetCase &given)
        : fleet(given)
        , random(7)
    {
        for (std::size_t i = 0; i < given.instances; ++i)
            this->members.push_back(this->started(i));
        this->clock.advance(std::chrono::seconds(5));
        this->meetAll();
    }

    void play()
    {
        const auto steps = played / step;
        for (int i = 0; i < steps; ++i) {
            this->stir(i);
            for (const auto &member : this->members)
                this->sendIfAllowed(*member);
            this->clock.advance(step);
        }
    }

    std::size_t worstSecond() const
    {
        std::size_t worst = 0;
        for (auto first = this->sends.begin(); first != this->sends.end(); ++first) {
            const auto end =
                    std::lower_bound(first, this->sends.end(), *first + std::chrono::seconds(1));
            worst = std::max(worst, static_cast<std::size_t>(end - first));
        }
        return worst;
    }

    double perSecond() const
    {
        return static_cast<double>(this->sends.size()) /
               std::chrono::duration<double>(played).count();
    }

private:
    std::unique_ptr<ColdTargets> started(std::size_t index)
    {
        const bool others = this->fleet.instances > 1;
        auto one = std::make_unique<ColdTargets>(this->clock, instanceName(index), bound, others);
        one->recordCold(target, std::chrono::hours(1));
        return one;
    }

    void meet(std::size_t index, const std::function<bool(std::size_t)> &sees)
    {
        std::vector<std::string> names;
        for (std::size_t other = 0; other < this->members.size(); ++other) {
            if (other != index && sees(other))
                names.push_back(instanceName(other));
        }
        this->members[index]->setInstances(names);
    }

    void meetAll()
    {
        for (std::size_t i = 0; i < this->members.size(); ++i)
            this->meet(i, [](std::size_t) { return true; });
    }

    void stir(int atStep)
    {
        const std::size_t count = this->members.size();
        const bool early = atStep == 100;
        switch (this->fleet.trouble) {
        case Trouble::None:
            return;
        case Trouble::Split:
            for (std::size_t i = 0; early && i < count; ++i)
                this->meet(i, [i, count](std::size_t other) {
                    return (i < count / 2) == (other < count / 2);
                });
            return;
        case Trouble::AllAlone:
            for (std::size_t i = 0; early && i < count; ++i)
                this->meet(i, [](std::size_t) { return false; });
            return;
        case Trouble::RollingStarts:
            if (atStep % 20 == 0)
                this->members[static_cast<std::size_t>(atStep / 20) % count] =
                        this->started(static_cast<std::size_t>(atStep / 20) % count);
            if (atStep % 20 == 10)
                this->meetAll();
            return;
        case Trouble::CommonStart:
            for (std::size_t i = 0; early && i < count; ++i)
                this->members[i] = this->started(i);
            if (atStep > 100 && atStep < 300 && atStep % 50 == 0)
                this->meetSome(0.5);
            if (atStep == 300)
                this->meetAll();
            return;
        case Trouble::LateNews:
            if (atStep % 50 == 0)
                this->meetSome(0.9);
            return;
        }
    }

    void meetSome(double part)
    {
        std::bernoulli_distribution sees(part);
        for (std::size_t i = 0; i < this->members.size(); ++i)
            this->meet(i, [this, &sees](std::size_t) { return sees(this->random); });
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
        {"one", 1, Trouble::None, 10},
        {"7", 7, Trouble::None, 10},
        {"60", 60, Trouble::None, 10},
        {"195", 195, Trouble::None, 10},
        {"340", 340, Trouble::None, 10},
        {"7, split", 7, Trouble::Split, 10},
        {"60, split", 60, Trouble::Split, 10},
        {"340, split", 340, Trouble::Split, 10},
        {"7, all alone", 7, Trouble::AllAlone, 10},
        {"60, all alone", 60, Trouble::AllAlone, 10},
        {"340, all alone", 340, Trouble::AllAlone, 10},
        {"7, rolling starts", 7, Trouble::RollingStarts, 0},
        {"60, rolling starts", 60, Trouble::RollingStarts, 5},
        {"340, rolling starts", 340, Trouble::RollingStarts, 5},
        {"60, common start", 60, Trouble::CommonStart, 5},
        {"340, common start", 340, Trouble::CommonStart, 5},
        {"60, late news", 60, Trouble::LateNews, 5},
        {"195, late news", 195, Trouble::LateNews, 5},
};

} // namespace

// Guards against the sum of all instances breaking a cold target down, and against leaving it idle.
ParameterizedTestParameters(coldTargets, sumOfTheFleetHolds)
{
    return cr_make_param_array(FleetCase, fleetCases, std::size(fleetCases));
}

ParameterizedTest(FleetCase *given, coldTargets, sumOfTheFleetHolds)
{
    Fleet fleet(*given);
    fleet.play();
    cr_log_info("%s: at worst %zu in a second, %.1f on average", given->name, fleet.worstSecond(),
                fleet.perSecond());
    cr_expect_leq(static_cast<double>(fleet.worstSecond()), mostInSecond, "%s: %zu", given->name,
                  fleet.worstSecond());
    cr_expect_geq(fleet.perSecond(), static_cast<double>(given->leastInSecond), "%s: %.1f",
                  given->name, fleet.perSecond());
}

namespace {

// One instance that has known its fleet for a while.
struct Settled
{
    Settled()
        : targets(this->clock, "own", bound, false)
    {
        this->clock.advance(std::chrono::seconds(10));
    }

    ManualClock clock;
    ColdTargets targets;
};

} // namespace

Test(coldTargets, warmTargetsAndServicesWithoutARateAreFree)
{
    Settled own;
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

// Guards against an entry read late that ends a coldness told since.
Test(coldTargets, shorterNewsEndsNothing)
{
    Settled own;
    cr_assert(own.targets.recordCold("a", std::chrono::seconds(3)));
    cr_assert_not(own.targets.recordCold("a", std::chrono::seconds(1)));
    cr_assert_not(own.targets.recordCold("a", std::chrono::milliseconds(3100)),
                  "a beat tells no news");
    own.clock.advance(std::chrono::seconds(2));
    cr_assert(own.targets.isCold("a"));
    cr_assert(own.targets.recordCold("a", std::chrono::seconds(3)), "it became cold again");
}

// Guards against a caller that is told to come back before the target takes one more.
Test(coldTargets, tellsWhenTheNextMayGo)
{
    Settled own;
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
