// Which way an instance calls targets that it may have lost its links to.
#include "jaytrack/Routing/targetreach.h"
#include "jaytrack/Routing/relaypeers.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace jaytrack;
using namespace std::chrono_literals;

namespace {

constexpr CallPurpose request = CallPurpose::Request;
constexpr CallPurpose background = CallPurpose::Background;

std::vector<RelayPeer> peersOf(std::size_t near, std::size_t far)
{
    std::vector<RelayPeer> peers;
    for (std::size_t i = 0; i < near + far; ++i)
        peers.push_back({"p" + std::to_string(i), i < near ? "home" : "away", "127.0.0.1:1"});
    return peers;
}

} // namespace

// Guards against callers that wait for a lost link with each request.
Test(targetReach, goesThroughPeersWhenOnlyTheyReachTheService)
{
    ManualClock clock;
    TargetReach reach(clock);
    cr_expect(reach.choose("t1", "s", request) == CallPath::Direct);
    cr_expect(!reach.recordReachedByPeer("t1", "s"));
    cr_expect(reach.choose("t1", "s", request) == CallPath::ThroughPeer);
    cr_expect(reach.choose("t2", "s", request) == CallPath::Direct, "only one is lost");
    cr_expect(reach.recordReachedByPeer("t2", "s"));
    cr_expect(reach.choose("t3", "s", request) == CallPath::ThroughPeer);
    cr_expect(reach.choose("u1", "other", request) == CallPath::Direct);
}

// Guards against an instance that goes on through others after its links are back.
Test(targetReach, findsOutThatLinksAreBack)
{
    ManualClock clock;
    TargetReach reach(clock);
    reach.recordReachedByPeer("t1", "s");
    reach.recordReachedByPeer("t2", "s");
    clock.advance(400ms);
    cr_expect(reach.choose("t3", "s", request) == CallPath::ThroughPeer);
    cr_expect(reach.choose("t3", "s", background) == CallPath::Direct);
    cr_expect(reach.choose("t1", "s", background) == CallPath::ThroughPeer, "one at a time");
    cr_expect(reach.recordConnected("t3", "s"));
    cr_expect(!reach.isCutOff("s"));
    cr_expect(reach.choose("t1", "s", request) == CallPath::Direct);
}

// Guards against an instance without background calls that never tries its links again.
Test(targetReach, requestsTryLostLinksNowAndThen)
{
    ManualClock clock;
    TargetReach reach(clock);
    reach.recordReachedByPeer("t1", "s");
    clock.advance(1s);
    cr_expect(reach.choose("t1", "s", request) == CallPath::ThroughPeer);
    clock.advance(1s);
    cr_expect(reach.choose("t1", "s", request) == CallPath::Direct);
    cr_expect(reach.choose("t1", "s", request) == CallPath::ThroughPeer);
}

// Guards against targets lost one after the other over hours that count as lost links.
Test(targetReach, connectionsInBetweenSpeakAgainstLostLinks)
{
    ManualClock clock;
    TargetReach reach(clock);
    for (int i = 0; i < 10; ++i) {
        reach.recordReachedByPeer("t" + std::to_string(i), "s");
        reach.recordConnected("sound", "s");
    }
    cr_expect(!reach.isCutOff("s"));
}

// Guards against asking others in vain for each request while a target is down.
Test(targetReach, asksNobodyForATargetThatIsDown)
{
    ManualClock clock;
    TargetReach reach(clock);
    reach.recordDown("t1");
    cr_expect(!reach.mayAskPeers("t1"));
    cr_expect(reach.mayAskPeers("t2"));
    clock.advance(1100ms);
    cr_expect(reach.mayAskPeers("t1"));
}

struct PeerCase
{
    std::size_t near;
    std::size_t far;
};

// Guards against instances cut off together that ask one another in vain.
ParameterizedTestParameters(relayPeers, leavesOutThoseThatCannotHelp)
{
    static PeerCase cases[] = {{1, 5}, {5, 0}, {0, 3}, {40, 150}};
    return cr_make_param_array(PeerCase, cases, std::size(cases));
}

ParameterizedTest(PeerCase *one, relayPeers, leavesOutThoseThatCannotHelp)
{
    ManualClock clock;
    RelayPeers peers(clock, "home", 5);
    peers.setPeers(peersOf(one->near, one->far));
    for (std::size_t i = 0; i < one->near + one->far; ++i) {
        const RelayPeer *chosen = peers.choose({}, {});
        cr_assert_not_null(chosen);
        cr_expect((chosen->dataCentre == "home") == (i < one->near), "the own data centre first");
        cr_expect(!peers.recordMissed(std::string(chosen->name)), "it has reached nothing");
    }
    cr_expect_null(peers.choose({}, {}));
    clock.advance(600ms);
    cr_expect_not_null(peers.choose({}, {}));
}

// Guards against a target that is down making sound instances look cut off.
Test(relayPeers, oneThatReachesOthersIsBelieved)
{
    ManualClock clock;
    RelayPeers peers(clock, "home", 5);
    peers.setPeers(peersOf(1, 0));
    peers.recordServed("p0");
    cr_expect(peers.recordMissed("p0"), "the target is down");
    cr_expect_not_null(peers.choose({}, {}));
    cr_expect_null(peers.choose({"p0"}, {}));
}

// Guards against a request that passes through a region where it may not be.
Test(relayPeers, keepsToAllowedDataCentres)
{
    ManualClock clock;
    RelayPeers peers(clock, "home", 5);
    peers.setPeers(peersOf(2, 2));
    const auto onlyAway = [](std::string_view dataCentre) { return dataCentre == "away"; };
    for (int i = 0; i < 20; ++i)
        cr_expect(peers.choose({}, onlyAway)->dataCentre == "away");
    cr_expect_null(peers.choose({}, [](std::string_view) { return false; }));
}
