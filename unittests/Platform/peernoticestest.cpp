// What two instances tell each other about engines.
#include "entryfixture.h"

#include "jaytrack/Peers/peerlink.h"

#include <criterion/criterion.h>

#include <functional>
#include <optional>

using namespace jaytrack;
using namespace jaytrack::testing;
using namespace std::chrono_literals;

namespace {

const std::string engine = "e1";

// Keeps the notices about engines; the others matter to no test here.
class NoticeRecorder final : public PeerLinkListener
{
public:
    void onPlacedByPeer(std::string_view at, const GenerationNeed &need, bool copied) override
    {
        if (at == engine)
            (copied ? this->copiedTokens : this->placedTokens) += need.promptTokens;
    }
    void onReleasedByPeer(std::string_view at, std::uint32_t tokens) override
    {
        this->releasedTokens += at == engine ? tokens : 0;
    }
    void onPausesFromPeer(std::string_view at, bool pausedTooLong) override
    {
        if (at == engine)
            ++(pausedTooLong ? this->longPauses : this->shortPauses);
    }
    void onLoadFromPeer(std::string_view at, const EngineLoad &reported) override
    {
        if (at == engine)
            this->load = reported;
    }
    void onPeersChanged(const std::vector<std::string> &names) override
    {
        this->peers = names.size();
    }
    void onFailedForPeer(std::string_view, std::string_view) override {}
    void onStoreFromPeer(const SharedChanges &) override {}
    void onFreshnessQuery(std::string_view, std::int64_t) override {}
    void onFreshnessAnswer(std::string_view, std::int64_t, const StoreFreshness &) override {}
    void onLeavingFromPeer(std::string_view) override {}
    void onColdFromPeer(std::string_view, Duration) override {}
    void onQuarantineNews(const QuarantineMessage &) override {}
    void onLimitNews(std::string_view, LimitKind, const LimitMessage &) override {}
    void onRetryPermits(std::string_view, const LimitMessage &) override {}
    void onStreamVersions(std::string_view, const StreamVersionMessage &) override {}
    void onRelayPeersChanged(std::vector<RelayPeer>) override {}

    std::uint32_t placedTokens = 0;
    std::uint32_t copiedTokens = 0;
    std::uint32_t releasedTokens = 0;
    int longPauses = 0;
    int shortPauses = 0;
    std::optional<EngineLoad> load;
    std::size_t peers = 0;
};

struct Member
{
    Member(asio::io_context &loop, const Clock &clock, const std::string &name,
           const std::string &address, const std::string &seed)
        : shares(name)
        , link(loop, clock, {name, "dc", address, {seed}, {fleetKeyOfTest()}}, 1, this->shares,
               this->notices)
    {
        this->shares.onListed(engine);
    }

    NoticeRecorder notices;
    EngineShares shares;
    PeerLink link;
};

class TwoMembers
{
public:
    TwoMembers()
    {
        cr_assert(this->sender.link.open());
        cr_assert(this->receiver.link.open());
        cr_assert(this->becomes([this] {
            return this->sender.notices.peers == 1 && this->receiver.notices.peers == 1;
        }));
    }

    // Runs both until the condition is true or five seconds have passed.
    bool becomes(const std::function<bool()> &condition)
    {
        const auto limit = std::chrono::steady_clock::now() + 5s;
        while (!condition() && std::chrono::steady_clock::now() < limit)
            this->loop.run_for(10ms);
        return condition();
    }

private:
    asio::io_context loop;
    SystemClock clock;
    const std::string senderAddress = freeDatagramAddress();
    const std::string receiverAddress = freeDatagramAddress();

public:
    Member sender{this->loop, this->clock, "one", this->senderAddress, this->receiverAddress};
    Member receiver{this->loop, this->clock, "two", this->receiverAddress, this->senderAddress};
};

} // namespace

// Guards against instances that place long generations on engines where those of others pause, and
// against notices of releases that displace those of pauses in the same batch.
Test(peerNotices, pausesAndReleasesArriveOnce)
{
    TwoMembers members;
    members.sender.link.announcePauses(engine, true);
    members.sender.link.announcePauses(engine, false);
    members.sender.link.announcePauses(engine, false);
    members.sender.link.announceReleased(engine, 3000);
    members.sender.link.announceReleased(engine, 500);
    members.sender.link.announcePauses("another", true);
    const NoticeRecorder &seen = members.receiver.notices;
    cr_assert(members.becomes([&] { return seen.releasedTokens > 0 && seen.shortPauses > 1; }));
    members.becomes([] { return false; });
    cr_expect_eq(seen.releasedTokens, 3500);
    cr_expect_eq(seen.longPauses, 1);
    cr_expect_eq(seen.shortPauses, 2);
}

// Guards against copies whose prompt is taken for unread at their destination.
Test(peerNotices, placementsAndCopiesAreTold)
{
    TwoMembers members;
    members.sender.link.announce(engine, GenerationNeed{2000, 100}, false);
    members.sender.link.announce(engine, GenerationNeed{3500, 100}, true);
    const NoticeRecorder &seen = members.receiver.notices;
    cr_assert(members.becomes([&] { return seen.placedTokens > 0 && seen.copiedTokens > 0; }));
    cr_expect_eq(seen.placedTokens, 2000);
    cr_expect_eq(seen.copiedTokens, 3500);
}

// Guards against instances that know the speed only of the engines that they poll themselves.
Test(peerNotices, loadsCarryTheEventInterval)
{
    TwoMembers members;
    EngineLoad load;
    load.running = 4;
    load.memoryInUse = 12'000;
    load.eventInterval = 45ms;
    members.sender.link.announce(engine, load);
    const NoticeRecorder &seen = members.receiver.notices;
    cr_assert(members.becomes([&] { return seen.load.has_value(); }));
    cr_expect_eq(seen.load->running, 4);
    cr_expect_eq(seen.load->memoryInUse, 12'000);
    cr_expect_eq(toMillis(seen.load->eventInterval), 45);
}
