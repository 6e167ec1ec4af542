#include "membershipfixture.h"

#include "jaytrack/Cluster/pausedetector.h"

#include <criterion/criterion.h>

using namespace jaytrack;

Test(membership, discoversAllMembersFromSeeds)
{
    MembershipFixture fixture;
    for (const char *name : {"a", "b", "c", "d"})
        fixture.add(name, std::string(name) + ":1");
    fixture.run(std::chrono::seconds(5));
    for (const auto &peer : fixture.peers)
        cr_assert(peer->membership.members().size() == 4);
}

Test(membership, detectsFailedMembers)
{
    MembershipFixture fixture;
    for (const char *name : {"a", "b", "c", "d"})
        fixture.add(name, std::string(name) + ":1");
    fixture.run(std::chrono::seconds(5));
    fixture.peers[3]->stopped = true;
    fixture.run(std::chrono::seconds(12));
    for (int i = 0; i < 3; ++i)
        cr_assert(fixture.peers[static_cast<std::size_t>(i)]->membership.find("d")->state ==
                  MemberState::Gone);
}

// Guards against relying on direct probes alone: a healthy instance would be declared gone when
// only the link to one other instance is cut.
Test(membership, probesIndirectly)
{
    MembershipFixture fixture;
    for (const char *name : {"a", "b", "c", "d"})
        fixture.add(name, std::string(name) + ":1");
    fixture.run(std::chrono::seconds(5));
    fixture.cutBothWays("a:1", "b:1");
    fixture.run(std::chrono::seconds(30));
    cr_assert(fixture.peers[0]->membership.find("b")->acceptsWork());
    cr_assert(fixture.peers[1]->membership.find("a")->acceptsWork());
}

// Guards against a permanent split after a partition: each side has declared the other gone and
// probes only its own members, if gone members are never tried again.
Test(membership, reconnectsAfterAPartition)
{
    MembershipFixture fixture;
    for (const char *name : {"a", "b", "c", "d"})
        fixture.add(name, std::string(name) + ":1");
    fixture.run(std::chrono::seconds(5));
    for (const char *left : {"a:1", "b:1"}) {
        for (const char *right : {"c:1", "d:1"})
            fixture.cutBothWays(left, right);
    }
    fixture.run(std::chrono::seconds(60));
    cr_assert(fixture.peers[0]->membership.members().size() == 2);
    fixture.cuts.clear();
    fixture.run(std::chrono::seconds(40));
    for (const auto &peer : fixture.peers)
        cr_assert(peer->membership.members().size() == 4);
}

// Guards against counting the time of an own pause: the instance resumes with an unanswered probe
// and its clock far ahead, and would declare the whole fleet gone.
Test(membership, keepsMembersAfterItsOwnPause)
{
    MembershipFixture fixture;
    for (const char *name : {"a", "b", "c", "d"})
        fixture.add(name, std::string(name) + ":1");
    fixture.run(std::chrono::seconds(5));
    fixture.peers[0]->stopped = true;
    fixture.run(std::chrono::seconds(30));
    fixture.peers[0]->stopped = false;
    fixture.peers[0]->membership.tick();
    cr_assert(fixture.peers[0]->membership.members().size() == 4);
    fixture.run(std::chrono::seconds(30));
    for (const auto &peer : fixture.peers)
        cr_assert(peer->membership.members().size() == 4);
}

// Guards against identifying an instance by its address: a replacement under another name answers
// the probes, and the dead instance would look alive indefinitely.
Test(membership, replacementAtTheSameAddressRetiresTheOldMember)
{
    MembershipFixture fixture;
    for (const char *name : {"a", "b", "c"})
        fixture.add(name, std::string(name) + ":1");
    fixture.run(std::chrono::seconds(5));
    fixture.peers[2]->stopped = true;
    fixture.add("c2", "c:1", 2);
    fixture.run(std::chrono::seconds(10));
    cr_assert(fixture.peers[0]->membership.find("c")->state == MemberState::Gone);
    cr_assert(fixture.peers[0]->membership.find("c2")->acceptsWork());
}

Test(membership, announcesLeavingAtOnce)
{
    MembershipFixture fixture;
    for (const char *name : {"a", "b", "c", "d"})
        fixture.add(name, std::string(name) + ":1");
    fixture.run(std::chrono::seconds(5));
    fixture.peers[1]->membership.leave();
    fixture.run(std::chrono::seconds(2));
    cr_assert(fixture.peers[0]->membership.find("b")->state == MemberState::Leaving);
    cr_assert(!fixture.peers[0]->membership.find("b")->acceptsWork());
}

Test(membership, propagatesRevisions)
{
    MembershipFixture fixture;
    for (const char *name : {"a", "b", "c", "d"})
        fixture.add(name, std::string(name) + ":1");
    fixture.run(std::chrono::seconds(5));
    fixture.peers[0]->membership.setConfig(9, Duration(0));
    fixture.run(std::chrono::seconds(3));
    for (std::size_t i = 1; i < 4; ++i)
        cr_assert(fixture.peers[i]->latestRevision == 9);
}

// Guards against datagrams without authentication: any host on the network could send a well-formed
// message that declares an instance gone.
Test(membership, rejectsUnauthenticatedMessages)
{
    MembershipFixture fixture;
    fixture.add("a", "a:1");
    fixture.add("b", "b:1");
    fixture.run(std::chrono::seconds(5));
    const KeyRing foreignKeys({"another fleet's key"});
    MembershipFixture::Peer outsider(fixture, "b", "x:1", 99, foreignKeys);
    outsider.membership.suggest(std::vector<std::string>{"a:1"});
    outsider.membership.tick();
    fixture.deliver();
    cr_assert(fixture.peers[0]->membership.counts().rejected > 0);
    cr_assert(fixture.peers[0]->membership.find("b")->peerAddress == "b:1");
    fixture.peers[0]->membership.receive("x:1", "no message at all");
    fixture.peers[0]->membership.receive("x:1", "");
    cr_assert(fixture.peers[0]->membership.counts().rejected >= 3);
}

// Guards against leaving the detection of a pause to the timer: after the pause a request's thread
// may run before the ticking thread, and would send a payment to a target that left meanwhile.
Test(pauseDetector, detectsAPauseBeforeTheNextTick)
{
    ManualClock clock;
    clock.advance(std::chrono::hours(1));
    PauseDetector detector(clock, std::chrono::seconds(2));
    clock.advance(std::chrono::seconds(1));
    cr_assert(detector.mayAct());
    const TimePoint beforePause = clock.now();
    clock.advance(std::chrono::seconds(3));
    cr_assert(!detector.mayAct());
    detector.tick();
    cr_assert(!detector.mayAct());
    detector.refreshed(beforePause);
    cr_assert(!detector.mayAct(), "an answer to a request from before the pause is not fresh");
    detector.refreshed(clock.now());
    cr_assert(detector.mayAct());
    cr_assert(detector.detectedPauses() == 1);
}
