#include "membershiplab.h"

#include "jaytrack/Cluster/wakefulness.h"

#include <criterion/criterion.h>

using namespace jaytrack;

Test(membership, findsEverybodyFromSeeds)
{
    MembershipLab lab;
    for (const char *name : {"a", "b", "c", "d"})
        lab.add(name, std::string(name) + ":1");
    lab.run(std::chrono::seconds(5));
    for (const auto &peer : lab.peers)
        cr_assert(peer->membership.members().size() == 4);
}

Test(membership, noticesTheDead)
{
    MembershipLab lab;
    for (const char *name : {"a", "b", "c", "d"})
        lab.add(name, std::string(name) + ":1");
    lab.run(std::chrono::seconds(5));
    lab.peers[3]->stopped = true;
    lab.run(std::chrono::seconds(12));
    for (int i = 0; i < 3; ++i)
        cr_assert(lab.peers[static_cast<std::size_t>(i)]->membership.find("d")->state ==
                  MemberState::Gone);
}

// Symptom: a healthy instance is called gone. Events: one link between two is cut, all others are
// well. Cause: judging by direct probes alone.
Test(membership, probesThroughOthers)
{
    MembershipLab lab;
    for (const char *name : {"a", "b", "c", "d"})
        lab.add(name, std::string(name) + ":1");
    lab.run(std::chrono::seconds(5));
    lab.cutBothWays("a:1", "b:1");
    lab.run(std::chrono::seconds(30));
    cr_assert(lab.peers[0]->membership.find("b")->takesWork());
    cr_assert(lab.peers[1]->membership.find("a")->takesWork());
}

// Symptom: after a partition two halves of the fleet stay apart for ever. Events: each side has
// declared the other gone and probes only its own. Cause: the gone are never tried again.
Test(membership, growsTogetherAfterAPartition)
{
    MembershipLab lab;
    for (const char *name : {"a", "b", "c", "d"})
        lab.add(name, std::string(name) + ":1");
    lab.run(std::chrono::seconds(5));
    for (const char *left : {"a:1", "b:1"}) {
        for (const char *right : {"c:1", "d:1"})
            lab.cutBothWays(left, right);
    }
    lab.run(std::chrono::seconds(60));
    cr_assert(lab.peers[0]->membership.members().size() == 2);
    lab.cuts.clear();
    lab.run(std::chrono::seconds(40));
    for (const auto &peer : lab.peers)
        cr_assert(peer->membership.members().size() == 4);
}

// Symptom: an instance that was paused declares the whole fleet gone. Events: it wakes with a probe
// unanswered and its clock far ahead. Cause: counting the time in which it could not listen.
Test(membership, forgivesItsOwnPause)
{
    MembershipLab lab;
    for (const char *name : {"a", "b", "c", "d"})
        lab.add(name, std::string(name) + ":1");
    lab.run(std::chrono::seconds(5));
    lab.peers[0]->stopped = true;
    lab.run(std::chrono::seconds(30));
    lab.peers[0]->stopped = false;
    lab.peers[0]->membership.tick();
    cr_assert(lab.peers[0]->membership.members().size() == 4);
    lab.run(std::chrono::seconds(30));
    for (const auto &peer : lab.peers)
        cr_assert(peer->membership.members().size() == 4);
}

// Symptom: a dead instance looks alive for ever. Events: a replacement under another name answers
// the probes at its address. Cause: taking the address for the instance.
Test(membership, replacementRetiresTheFormerOne)
{
    MembershipLab lab;
    for (const char *name : {"a", "b", "c"})
        lab.add(name, std::string(name) + ":1");
    lab.run(std::chrono::seconds(5));
    lab.peers[2]->stopped = true;
    lab.add("c2", "c:1", 2);
    lab.run(std::chrono::seconds(10));
    cr_assert(lab.peers[0]->membership.find("c")->state == MemberState::Gone);
    cr_assert(lab.peers[0]->membership.find("c2")->takesWork());
}

Test(membership, spreadsLeavingAtOnce)
{
    MembershipLab lab;
    for (const char *name : {"a", "b", "c", "d"})
        lab.add(name, std::string(name) + ":1");
    lab.run(std::chrono::seconds(5));
    lab.peers[1]->membership.leave();
    lab.run(std::chrono::seconds(2));
    cr_assert(lab.peers[0]->membership.find("b")->state == MemberState::Leaving);
    cr_assert(!lab.peers[0]->membership.find("b")->takesWork());
}

Test(membership, carriesRevisions)
{
    MembershipLab lab;
    for (const char *name : {"a", "b", "c", "d"})
        lab.add(name, std::string(name) + ":1");
    lab.run(std::chrono::seconds(5));
    lab.peers[0]->membership.setConfig(9, Duration(0));
    lab.run(std::chrono::seconds(3));
    for (std::size_t i = 1; i < 4; ++i)
        cr_assert(lab.peers[i]->heardRevision == 9);
}

// Symptom: anybody on the network can take instances out. Events: a stranger sends a well-formed
// message that calls one gone. Cause: datagrams without authentication.
Test(membership, ignoresStrangers)
{
    MembershipLab lab;
    lab.add("a", "a:1");
    lab.add("b", "b:1");
    lab.run(std::chrono::seconds(5));
    const KeyRing strange({"another fleet's key"});
    MembershipLab::Peer stranger(lab, "b", "x:1", 99, strange);
    stranger.membership.suggest(std::vector<std::string>{"a:1"});
    stranger.membership.tick();
    lab.deliver();
    cr_assert(lab.peers[0]->membership.counts().rejected > 0);
    cr_assert(lab.peers[0]->membership.find("b")->peerAddress == "b:1");
    lab.peers[0]->membership.receive("x:1", "no message at all");
    lab.peers[0]->membership.receive("x:1", "");
    cr_assert(lab.peers[0]->membership.counts().rejected >= 3);
}

// Symptom: a payment goes to a target that left while the process was stopped. Events: the process
// wakes and the thread of a request runs before the one that keeps time. Cause: leaving it to the
// timer to notice the pause.
Test(wakefulness, noticesBeforeItsOwnTick)
{
    ManualClock clock;
    clock.advance(std::chrono::hours(1));
    Wakefulness wakefulness(clock, std::chrono::seconds(2));
    clock.advance(std::chrono::seconds(1));
    cr_assert(wakefulness.mayAct());
    const TimePoint beforePause = clock.now();
    clock.advance(std::chrono::seconds(3));
    cr_assert(!wakefulness.mayAct());
    wakefulness.tick();
    cr_assert(!wakefulness.mayAct());
    wakefulness.refreshed(beforePause);
    cr_assert(!wakefulness.mayAct(), "an answer to an old question is old");
    wakefulness.refreshed(clock.now());
    cr_assert(wakefulness.mayAct());
    cr_assert(wakefulness.lateWakings() == 1);
}
