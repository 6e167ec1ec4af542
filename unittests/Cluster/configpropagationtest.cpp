#include "jaytrack/Cluster/configpropagation.h"

#include <criterion/criterion.h>

#include <vector>

using namespace jaytrack;

namespace {

struct Fixture final : DocumentSink, DocumentFetcher
{
    Fixture() { this->clock.advance(std::chrono::hours(1)); }

    void offer(std::string_view, std::uint64_t offered, std::string_view) override
    {
        if (!this->refuses)
            this->currentRevision = std::max(this->currentRevision, offered);
    }
    std::uint64_t revision() const override { return this->currentRevision; }
    void fetchDocument(const std::string &peer) override { this->fetched.push_back(peer); }

    ManualClock clock;
    std::uint64_t currentRevision = 0;
    bool refuses = false;
    std::vector<std::string> fetched;
};

} // namespace

// Guards against a new instance that serves replaced rules: it starts while the service's replica
// is behind, and becomes ready without comparing its revision with its peers.
Test(configpropagation, newInstanceComparesWithPeersFirst)
{
    Fixture fixture;
    ConfigPropagation propagation(fixture.clock, 1, fixture, fixture);
    fixture.currentRevision = 3;
    propagation.onService(3, fixture.clock.now());
    cr_assert(!propagation.mayServe());
    propagation.onPeer("p", 5, Duration(0), fixture.clock.now());
    cr_assert(fixture.fetched.size() == 1);
    propagation.onFetched("p", 5, "bytes");
    cr_assert(fixture.currentRevision == 5);
    propagation.onPeer("p", 5, Duration(0), fixture.clock.now());
    cr_assert(propagation.mayServe());
}

Test(configpropagation, servesWithoutPeersAfterADelay)
{
    Fixture fixture;
    ConfigPropagation propagation(fixture.clock, 1, fixture, fixture);
    cr_assert(!propagation.mayServe());
    fixture.currentRevision = 3;
    fixture.clock.advance(std::chrono::seconds(2));
    cr_assert(propagation.mayServe());
}

// Guards against waiting for one peer without a time-out: the instance would never receive a
// revision if the peer it fetches from has died.
Test(configpropagation, fetchesFromAnotherPeerAfterATimeout)
{
    Fixture fixture;
    ConfigPropagation propagation(fixture.clock, 1, fixture, fixture);
    propagation.onPeer("dead", 5, Duration(0), fixture.clock.now());
    propagation.onPeer("alive", 5, Duration(0), fixture.clock.now());
    cr_assert(fixture.fetched.size() == 1);
    fixture.clock.advance(std::chrono::seconds(3));
    propagation.tick();
    cr_assert(fixture.fetched.size() == 2);
    cr_assert(fixture.fetched[0] != fixture.fetched[1]);
}

// Guards against confirming old rules without an answer to an own request. A paused instance would
// otherwise accept a stale replica or an unsolicited message of a peer as confirmation.
Test(configpropagation, onlyAnswersConfirmARevision)
{
    Fixture fixture;
    ConfigPropagation propagation(fixture.clock, 1, fixture, fixture);
    fixture.currentRevision = 5;
    fixture.clock.advance(std::chrono::seconds(60));
    propagation.onService(4, fixture.clock.now());
    propagation.onPeer("p", 5, Duration(0), std::nullopt);
    cr_assert(propagation.mayBeStale());
    propagation.onPeer("p", 5, std::chrono::seconds(30), fixture.clock.now());
    cr_assert(propagation.mayBeStale(), "the peer has not confirmed the revision for 30 s");
    propagation.onPeer("p", 5, std::chrono::seconds(1), fixture.clock.now());
    cr_assert(!propagation.mayBeStale());
    fixture.clock.advance(std::chrono::seconds(30));
    cr_assert(propagation.mayBeStale());
}

// Guards against fetching a document that this instance refuses with each message of each peer that
// has it in force.
Test(configpropagation, refusedDocumentIsFetchedAtIntervals)
{
    constexpr int messages = 100;
    Fixture fixture;
    fixture.refuses = true;
    ConfigPropagation propagation(fixture.clock, 1, fixture, fixture);
    fixture.currentRevision = 3;
    std::size_t answered = 0;
    for (int i = 0; i < messages; ++i) {
        const std::string peer = "p" + std::to_string(i % 7);
        propagation.onPeer(peer, 5, Duration(0), fixture.clock.now());
        while (answered < fixture.fetched.size()) {
            const std::string asked = fixture.fetched[answered++];
            propagation.onFetched(asked, 5, "faulty");
        }
        fixture.clock.advance(std::chrono::milliseconds(100));
    }
    cr_expect_leq(fixture.fetched.size(), 4U, "%zu fetches in 10 s", fixture.fetched.size());
    cr_expect_eq(fixture.currentRevision, 3U);
    fixture.refuses = false;
    propagation.onPeer("p", 6, Duration(0), fixture.clock.now());
    cr_assert_eq(fixture.fetched.back(), std::string("p"), "a newer revision is fetched at once");
}
