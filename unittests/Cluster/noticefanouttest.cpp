#include "jaytrack/Cluster/noticefanout.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <deque>
#include <map>
#include <set>

using namespace jaytrack;

namespace {

struct FanoutCase
{
    int dataCentres;
    int instancesInEach;
    std::size_t maxBetweenDataCentres; // copies of one notice
};

std::vector<Member> fleetOf(const FanoutCase &size)
{
    std::vector<Member> fleet;
    for (int centre = 0; centre < size.dataCentres; ++centre) {
        for (int i = 0; i < size.instancesInEach; ++i) {
            Member member;
            member.name = "i" + std::to_string(centre) + "-" + std::to_string(i);
            member.dataCentre = "dc" + std::to_string(centre);
            fleet.push_back(member);
        }
    }
    return fleet;
}

std::vector<Member> fleetWithout(const std::vector<Member> &fleet, std::string_view name)
{
    std::vector<Member> others;
    for (const Member &member : fleet) {
        if (member.name != name)
            others.push_back(member);
    }
    return others;
}

std::string dataCentreOf(const std::string &name)
{
    return "dc" + name.substr(1, name.find('-') - 1);
}

} // namespace

ParameterizedTestParameters(noticeFanout, reachesAllWithFewDistantCopies)
{
    static FanoutCase cases[] = {{3, 3, 6}, {4, 18, 3}, {6, 32, 5}, {7, 48, 6}};
    return cr_make_param_array(FanoutCase, cases, std::size(cases));
}

// Guards against sending one copy to each instance of a distant data centre. With 195 instances
// that notify each other of fifty placements per second, the traffic between data centres would
// grow with the square of the fleet size.
ParameterizedTest(FanoutCase *size, noticeFanout, reachesAllWithFewDistantCopies)
{
    const std::vector<Member> fleet = fleetOf(*size);
    std::mt19937_64 random(1);
    NoticeFanout sender("dc0");
    sender.setPeers(fleetWithout(fleet, "i0-0"));
    const NoticeFanout::Recipients recipients = sender.recipients(random);
    std::multiset<std::string> received(recipients.direct.begin(), recipients.direct.end());
    std::size_t distant = 0;
    for (const std::string &name : recipients.direct)
        distant += dataCentreOf(name) != "dc0" ? 1 : 0;
    for (const std::string &name : recipients.relays) {
        ++distant;
        received.insert(name);
        NoticeFanout relay(dataCentreOf(name));
        relay.setPeers(fleetWithout(fleet, name));
        for (const std::string &neighbour : relay.neighbours())
            received.insert(neighbour);
    }
    for (const Member &member : fleetWithout(fleet, "i0-0"))
        cr_assert(received.count(member.name) == 1, "%s receives the notice once",
                  member.name.c_str());
    cr_assert(distant <= size->maxBetweenDataCentres, "%zu copies", distant);
}

// Guards against using the same relay for every notice: a data centre would receive no notices
// while that instance is frozen.
Test(noticeFanout, relaysAreChosenPerNotice)
{
    const std::vector<Member> fleet = fleetOf({2, 32, 0});
    std::mt19937_64 random(1);
    NoticeFanout sender("dc0");
    sender.setPeers(fleetWithout(fleet, "i0-0"));
    std::set<std::string> relays;
    for (int i = 0; i < 200; ++i) {
        const NoticeFanout::Recipients recipients = sender.recipients(random);
        cr_assert(recipients.relays.size() == 1);
        relays.insert(recipients.relays.front());
    }
    cr_assert(relays.size() > 24, "%zu different relays", relays.size());
}

namespace {

struct SpreadCase
{
    char name[32];
    int dataCentres;
    int instancesInEach;
    int unknown; // part in a hundred of the members that each instance does not know
    int gone;    // instances of each data centre that are down and not known to be
    int maxHops;
    double minReached; // part of the living instances
};

// Three readers send each change, so that one in fifty is missed by all of them at most.
constexpr double reachedByOneReader = 0.73;

SpreadCase spreadCases[] = {
        {"small", 3, 3, 0, 0, 1, 1},
        {"195", 6, 33, 0, 0, 3, 1},
        {"584", 6, 97, 0, 0, 4, 1},
        {"2000", 6, 333, 0, 0, 5, 1},
        {"584, members unknown", 6, 97, 5, 0, 5, reachedByOneReader},
        {"584, members down", 6, 97, 0, 2, 4, reachedByOneReader},
};

struct Delivery
{
    std::string to;
    std::optional<SpreadRange> range;
    int hops;
};

// Simulates how one notice of i0-0 is passed on.
class SpreadSimulation
{
public:
    explicit SpreadSimulation(const SpreadCase &fleetCase)
        : plan(fleetCase)
        , fleet(fleetOf({fleetCase.dataCentres, fleetCase.instancesInEach, 0}))
    {
    }

    void run()
    {
        std::deque<Delivery> deliveries;
        this->add(deliveries, this->fanoutOf("i0-0").spread(this->random), 1);
        this->received.clear();
        while (!deliveries.empty()) {
            const Delivery next = deliveries.front();
            deliveries.pop_front();
            ++this->received[next.to];
            this->hops = std::max(this->hops, next.hops);
            if (next.range && !this->isDown(next.to))
                this->add(deliveries, this->fanoutOf(next.to).passOn(*next.range, "i0-0"),
                          next.hops + 1);
        }
    }

    std::map<std::string, int> received;
    std::size_t maxSent = 0; // by one instance
    int hops = 0;

    bool isDown(const std::string &name) const
    {
        return std::stoi(name.substr(name.find('-') + 1)) >
               this->plan.instancesInEach - 1 - this->plan.gone;
    }

    const std::vector<Member> &members() const { return this->fleet; }

private:
    NoticeFanout fanoutOf(const std::string &name)
    {
        std::vector<Member> known;
        std::uniform_int_distribution<int> part(0, 99);
        // Who passes a notice on needs to know only its own data centre.
        const bool isOrigin = name == "i0-0";
        for (const Member &member : this->fleet) {
            const bool isNeeded = isOrigin || member.dataCentre == dataCentreOf(name);
            if (isNeeded && member.name != name && part(this->random) >= this->plan.unknown)
                known.push_back(member);
        }
        NoticeFanout fanout(dataCentreOf(name));
        fanout.setPeers(known);
        return fanout;
    }

    void add(std::deque<Delivery> &deliveries, const std::vector<SpreadTarget> &targets, int hop)
    {
        this->maxSent = std::max(this->maxSent, targets.size());
        for (const SpreadTarget &target : targets)
            deliveries.push_back({target.name, target.passOn, hop});
    }

    SpreadCase plan;
    std::vector<Member> fleet;
    std::mt19937_64 random{9};
};

} // namespace

ParameterizedTestParameters(noticeFanout, largeNoticesReachAllOnceThroughATree)
{
    return cr_make_param_array(SpreadCase, spreadCases, std::size(spreadCases));
}

// Guards against an instance that has to send a change of 20 KB to each of 97 neighbours, which
// takes it two seconds, and against notices that come back or go round where instances know
// different members.
ParameterizedTest(SpreadCase *param, noticeFanout, largeNoticesReachAllOnceThroughATree)
{
    static constexpr int notices = 20;
    SpreadSimulation simulation(*param);
    double reached = 0;
    double living = 0;
    for (int notice = 0; notice < notices; ++notice) {
        simulation.run();
        for (const Member &member : simulation.members()) {
            const int count = simulation.received.count(member.name) > 0
                                      ? simulation.received[member.name]
                                      : 0;
            cr_assert_leq(count, 1, "%s: %s receives it %d times", param->name, member.name.c_str(),
                          count);
            if (member.name == "i0-0" || simulation.isDown(member.name))
                continue;
            ++living;
            reached += count;
        }
    }
    cr_log_info("%s: %.3f reached in %d hops", param->name, reached / living, simulation.hops);
    cr_assert_geq(reached / living, param->minReached, "%s: %.3f", param->name, reached / living);
    cr_assert_leq(simulation.hops, param->maxHops, "%s: %d hops", param->name, simulation.hops);
    const std::size_t distant = static_cast<std::size_t>(param->dataCentres) - 1;
    cr_assert_leq(simulation.maxSent, distant * 3 + NoticeFanout::maxSpreadTargets);
}
