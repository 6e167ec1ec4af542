#include "membershipfixture.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <algorithm>

namespace {

// The platform's list of seeds may lag by three seconds, so no instance can rely on being known
// sooner.
constexpr std::chrono::seconds discoveryTimeout{3};

// Instances that do not know a new instance yet drop its notices.
constexpr std::chrono::seconds restartDiscoveryTimeout{1};

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

MembershipFixture::Peer &addMember(MembershipFixture &fixture, int index,
                                   std::int64_t incarnation = 1)
{
    MembershipFixture::Peer &added = fixture.add(nameOf(index), addressOf(index), incarnation);
    added.membership.suggest(std::vector<std::string>{addressOf(0), addressOf(1), addressOf(2)});
    return added;
}

std::size_t minKnownMembers(const MembershipFixture &fixture)
{
    std::size_t least = fixture.peers.size();
    for (const auto &peer : fixture.peers) {
        if (!peer->stopped)
            least = std::min(least, peer->membership.members().size());
    }
    return least;
}

} // namespace

ParameterizedTestParameters(membershipSize, discoversAllAfterASimultaneousStart)
{
    static FleetSize sizes[] = {{7}, {73}, {195}, {340}};
    return cr_make_param_array(FleetSize, sizes, std::size(sizes));
}

// Guards against slow discovery: 195 instances start together and know three addresses. With six
// records per message, most of them already known, the last members were discovered only after some
// hundred messages. For half a minute the instances disagreed on the members, so dozens read the
// store and dozens polled the same engine.
ParameterizedTest(FleetSize *size, membershipSize, discoversAllAfterASimultaneousStart)
{
    MembershipFixture fixture;
    for (int i = 0; i < size->instances; ++i)
        addMember(fixture, i);
    fixture.run(discoveryTimeout);
    cr_assert(minKnownMembers(fixture) == fixture.peers.size(), "%zu of %zu known",
              minKnownMembers(fixture), fixture.peers.size());
}

// Guards against three known addresses that each send the records of the whole fleet to a third of
// it, which their links do not carry: what matters is dropped with it, and others wait behind it.
Test(membershipSize, seedsSendWhatTheirLinksCarry)
{
    // A fifth of a link of 20 Mbit/s, and as much for everything else.
    constexpr std::uint64_t bytesPerSecond = 1'000'000;
    MembershipFixture fixture;
    for (int i = 0; i < 340; ++i)
        addMember(fixture, i);
    for (int second = 1; second <= discoveryTimeout.count(); ++second) {
        const std::uint64_t before = fixture.peers[0]->membership.counts().sentBytes;
        fixture.run(std::chrono::seconds(1));
        const std::uint64_t sent = fixture.peers[0]->membership.counts().sentBytes - before;
        cr_expect(sent <= bytesPerSecond, "%llu bytes in second %d",
                  static_cast<unsigned long long>(sent), second);
    }
    cr_expect(minKnownMembers(fixture) == fixture.peers.size(), "%zu of %zu known",
              minKnownMembers(fixture), fixture.peers.size());
}

// Guards against the same slow discovery when two of the three known addresses are down.
Test(membershipSize, oneLiveSeedIsEnough)
{
    MembershipFixture fixture;
    for (int i = 0; i < 195; ++i)
        addMember(fixture, i);
    fixture.peers[0]->stopped = true;
    fixture.peers[1]->stopped = true;
    fixture.run(discoveryTimeout);
    cr_assert(minKnownMembers(fixture) >= fixture.peers.size() - 2, "%zu known",
              minKnownMembers(fixture));
}

// Guards against dropped notices of a restarted instance: one of 195 restarts in a settled fleet,
// and for seconds the others drop its notices because gossip reaches them one after another.
Test(membershipSize, restartedInstanceIsKnownWithinASecond)
{
    MembershipFixture fixture;
    for (int i = 0; i < 195; ++i)
        addMember(fixture, i);
    fixture.run(std::chrono::seconds(20));
    fixture.peers[100]->stopped = true;
    const MembershipFixture::Peer &restarted = addMember(fixture, 100, 2);
    fixture.run(restartDiscoveryTimeout);
    cr_assert(restarted.membership.members().size() == 195);
    const auto knows = [](const auto &peer) {
        return peer->stopped || peer->membership.find(nameOf(100))->incarnation == 2;
    };
    cr_assert(std::all_of(fixture.peers.begin(), fixture.peers.end(), knows));
}

// Guards against excessive table traffic. Once all members are known, an instance requests a table
// now and then, receives no table in return, and must stay far below the 16 KB/s allowed for
// control traffic.
Test(membershipSize, settledFleetSendsLittle)
{
    MembershipFixture fixture;
    for (int i = 0; i < 195; ++i)
        addMember(fixture, i);
    fixture.run(std::chrono::seconds(20));
    const std::uint64_t before = fixture.peers[7]->membership.counts().sentBytes;
    fixture.run(std::chrono::seconds(10));
    const std::uint64_t perSecond = (fixture.peers[7]->membership.counts().sentBytes - before) / 10;
    cr_assert(perSecond < 8'000, "%lu bytes a second", static_cast<unsigned long>(perSecond));
}

// The listener builds a list of all members at each call, so one call for each record of a message
// would have a cost quadratic in the fleet size.
Test(membershipSize, changesOfOneMessageAreReportedOnce)
{
    MembershipFixture fixture;
    for (int i = 0; i < 195; ++i)
        addMember(fixture, i);
    fixture.run(discoveryTimeout);
    cr_assert(fixture.peers[50]->changeCalls < 195, "%d calls", fixture.peers[50]->changeCalls);
}

// Guards against declaring live instances gone after a simultaneous start. Three of 195 instances
// are paused for two seconds during the start and suspected. Their refutations were queued behind
// the records of the whole fleet, each passed on by gossip, and they were declared gone after seven
// seconds.
Test(membershipSize, instancesPausedDuringStartAreNotDeclaredGone)
{
    MembershipFixture fixture;
    for (int i = 0; i < 195; ++i)
        addMember(fixture, i);
    fixture.run(std::chrono::milliseconds(800));
    for (const std::size_t i : {50, 100, 150})
        fixture.peers[i]->stopped = true;
    fixture.run(std::chrono::seconds(2));
    for (const std::size_t i : {50, 100, 150})
        fixture.peers[i]->stopped = false;
    for (int second = 0; second < 20; ++second) {
        fixture.run(std::chrono::seconds(1));
        cr_assert(minKnownMembers(fixture) == fixture.peers.size(), "%zu known after %d s",
                  minKnownMembers(fixture), second + 1);
    }
}
