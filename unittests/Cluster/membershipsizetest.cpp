#include "membershiplab.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <algorithm>

namespace {

// The platform's list of seeds may lag by three seconds, so nobody can count on being known sooner.
constexpr std::chrono::seconds knownWithin{3};

// Notices of a new instance are dropped by whoever does not know it yet.
constexpr std::chrono::seconds newcomerKnownWithin{1};

struct FleetSize
{
    int instances;
};

std::string nameOf(int index)
{
    return "instance-" + std::to_string(index);
}

std::string addressOf(int index)
{
    return "10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250) + ":7200";
}

MembershipLab::Peer &addMember(MembershipLab &lab, int index, std::int64_t incarnation = 1)
{
    MembershipLab::Peer &added = lab.add(nameOf(index), addressOf(index), incarnation);
    added.membership.suggest(std::vector<std::string>{addressOf(0), addressOf(1), addressOf(2)});
    return added;
}

std::size_t leastKnown(const MembershipLab &lab)
{
    std::size_t least = lab.peers.size();
    for (const auto &peer : lab.peers) {
        if (!peer->stopped)
            least = std::min(least, peer->membership.members().size());
    }
    return least;
}

} // namespace

ParameterizedTestParameters(membershipSize, knowAllSoonAfterACommonStart)
{
    static FleetSize sizes[] = {{7}, {73}, {195}, {340}};
    return cr_make_param_array(FleetSize, sizes, std::size(sizes));
}

// Symptom: half a minute after a fleet started at once its instances still disagree on who is
// there, so dozens read the store and dozens ask the same engine. Events: 195 instances start
// within a moment and know three addresses. Cause: six members a message, most of them known
// already, so the last ones are heard of after some hundred messages.
ParameterizedTest(FleetSize *size, membershipSize, knowAllSoonAfterACommonStart)
{
    MembershipLab lab;
    for (int i = 0; i < size->instances; ++i)
        addMember(lab, i);
    lab.run(knownWithin);
    cr_assert(leastKnown(lab) == lab.peers.size(), "%zu of %zu known", leastKnown(lab),
              lab.peers.size());
}

// Symptom: the same, with two of the three addresses down. Cause: as above; one address has to do.
Test(membershipSize, oneLivingSeedIsEnough)
{
    MembershipLab lab;
    for (int i = 0; i < 195; ++i)
        addMember(lab, i);
    lab.peers[0]->stopped = true;
    lab.peers[1]->stopped = true;
    lab.run(knownWithin);
    cr_assert(leastKnown(lab) >= lab.peers.size() - 2, "%zu known", leastKnown(lab));
}

// Symptom: for seconds nobody takes in what a restarted instance tells. Events: one of 195 starts
// again in a settled fleet. Cause: the others hear of it one after another, as rumours go.
Test(membershipSize, newcomerIsKnownToAllAtOnce)
{
    MembershipLab lab;
    for (int i = 0; i < 195; ++i)
        addMember(lab, i);
    lab.run(std::chrono::seconds(20));
    lab.peers[100]->stopped = true;
    const MembershipLab::Peer &fresh = addMember(lab, 100, 2);
    lab.run(newcomerKnownWithin);
    cr_assert(fresh.membership.members().size() == 195);
    const auto knows = [](const auto &peer) {
        return peer->stopped || peer->membership.find(nameOf(100))->incarnation == 2;
    };
    cr_assert(std::all_of(lab.peers.begin(), lab.peers.end(), knows));
}

// The cost of agreeing: once everybody knows everybody, an instance asks for the table now and
// then, is not answered, and stays far below the 16 KB a second that control may take.
Test(membershipSize, settledFleetIsQuiet)
{
    MembershipLab lab;
    for (int i = 0; i < 195; ++i)
        addMember(lab, i);
    lab.run(std::chrono::seconds(20));
    const std::uint64_t before = lab.peers[7]->membership.counts().sentBytes;
    lab.run(std::chrono::seconds(10));
    const std::uint64_t perSecond = (lab.peers[7]->membership.counts().sentBytes - before) / 10;
    cr_assert(perSecond < 8'000, "%lu bytes a second", static_cast<unsigned long>(perSecond));
}

// The listener builds a list of all members at each call, so one call for each record of a
// message would cost the square of the fleet.
Test(membershipSize, changesOfOneMessageAreToldOnce)
{
    MembershipLab lab;
    for (int i = 0; i < 195; ++i)
        addMember(lab, i);
    lab.run(knownWithin);
    cr_assert(lab.peers[50]->timesChanged < 195, "%d calls", lab.peers[50]->timesChanged);
}

// Symptom: seven seconds after a common start the fleet calls some of its living instances gone.
// Events: three of 195 are held up for two seconds while all start, and are suspected. Cause: their
// objections wait behind the records of the whole fleet, each of which is passed on as news.
Test(membershipSize, heldUpAtACommonStartIsNotCalledGone)
{
    MembershipLab lab;
    for (int i = 0; i < 195; ++i)
        addMember(lab, i);
    lab.run(std::chrono::milliseconds(800));
    for (const std::size_t i : {50, 100, 150})
        lab.peers[i]->stopped = true;
    lab.run(std::chrono::seconds(2));
    for (const std::size_t i : {50, 100, 150})
        lab.peers[i]->stopped = false;
    for (int second = 0; second < 20; ++second) {
        lab.run(std::chrono::seconds(1));
        cr_assert(leastKnown(lab) == lab.peers.size(), "%zu known after %d s", leastKnown(lab),
                  second + 1);
    }
}
