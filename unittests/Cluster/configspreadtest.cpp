#include "jaytrack/Cluster/configspread.h"

#include <criterion/criterion.h>

#include <vector>

using namespace jaytrack;

namespace {

struct Bench final : DocumentSink, DocumentFetcher
{
    Bench() { this->clock.advance(std::chrono::hours(1)); }

    void offer(std::string_view, std::uint64_t offered, std::string_view) override
    {
        this->held = std::max(this->held, offered);
    }
    std::uint64_t revision() const override { return this->held; }
    void fetchDocument(const std::string &peer) override { this->fetched.push_back(peer); }

    ManualClock clock;
    std::uint64_t held = 0;
    std::vector<std::string> fetched;
};

} // namespace

// Symptom: a fresh instance serves rules that were replaced. Events: it starts while the service's
// replica is behind, reads that and is ready. Cause: not comparing with its peers first.
Test(configspread, freshInstanceWaitsForItsPeers)
{
    Bench bench;
    ConfigSpread spread(bench.clock, 1, bench, bench);
    bench.held = 3;
    spread.onService(3, bench.clock.now());
    cr_assert(!spread.mayServe());
    spread.onPeer("p", 5, Duration(0), bench.clock.now());
    cr_assert(bench.fetched.size() == 1);
    spread.onFetched("p", 5, "bytes");
    cr_assert(bench.held == 5);
    spread.onPeer("p", 5, Duration(0), bench.clock.now());
    cr_assert(spread.mayServe());
}

Test(configspread, servesAloneAfterAWhile)
{
    Bench bench;
    ConfigSpread spread(bench.clock, 1, bench, bench);
    cr_assert(!spread.mayServe());
    bench.held = 3;
    bench.clock.advance(std::chrono::seconds(2));
    cr_assert(spread.mayServe());
}

// Symptom: an instance never receives a revision. Events: the peer it fetches from has died. Cause:
// waiting for one answer without a bound.
Test(configspread, turnsToAnotherPeer)
{
    Bench bench;
    ConfigSpread spread(bench.clock, 1, bench, bench);
    spread.onPeer("dead", 5, Duration(0), bench.clock.now());
    spread.onPeer("alive", 5, Duration(0), bench.clock.now());
    cr_assert(bench.fetched.size() == 1);
    bench.clock.advance(std::chrono::seconds(3));
    spread.tick();
    cr_assert(bench.fetched.size() == 2);
    cr_assert(bench.fetched[0] != bench.fetched[1]);
}

// Symptom: a paused instance vouches for its old rules. Events: a stale replica or a peer's unasked
// word is taken as proof. Cause: confirming without an answer to an own question.
Test(configspread, onlyAnswersConfirm)
{
    Bench bench;
    ConfigSpread spread(bench.clock, 1, bench, bench);
    bench.held = 5;
    bench.clock.advance(std::chrono::seconds(60));
    spread.onService(4, bench.clock.now());
    spread.onPeer("p", 5, Duration(0), std::nullopt);
    cr_assert(spread.cautious());
    spread.onPeer("p", 5, std::chrono::seconds(30), bench.clock.now());
    cr_assert(spread.cautious(), "the peer itself has not heard for long");
    spread.onPeer("p", 5, std::chrono::seconds(1), bench.clock.now());
    cr_assert(!spread.cautious());
    bench.clock.advance(std::chrono::seconds(30));
    cr_assert(spread.cautious());
}
