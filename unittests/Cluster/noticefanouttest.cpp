#include "jaytrack/Cluster/noticefanout.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

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
