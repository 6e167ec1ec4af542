// What becomes of numbers, texts and addresses in messages of other instances that none of them can
// mean.
#include "entryfixture.h"

#include "jaytrack/Peers/peerlink.h"
#include "jaytrack/Versions/streamversionmessage.h"
#include "jaytrack/Wire/codec.h"

#include "peer_types.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <limits>
#include <optional>

using namespace jaytrack;
using namespace jaytrack::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t lowest = std::numeric_limits<std::int64_t>::min();
constexpr std::int64_t highest = std::numeric_limits<std::int64_t>::max();
constexpr std::uint32_t mostTokens = std::numeric_limits<std::uint32_t>::max();

// Keeps what reaches an instance by messages of others.
class Received final : public PeerLinkListener
{
public:
    void onPlacedByPeer(std::string_view, const GenerationNeed &placed, bool) override
    {
        this->need = placed;
    }
    void onReleasedByPeer(std::string_view, std::uint32_t tokens) override
    {
        this->released = tokens;
    }
    void onLoadFromPeer(std::string_view, const EngineLoad &reported) override
    {
        this->load = reported;
    }
    void onStoreFromPeer(const SharedChanges &) override { ++this->storeNotices; }
    void onFreshnessAnswer(std::string_view, std::int64_t, const StoreFreshness &told) override
    {
        this->freshness = told;
    }
    void onColdFromPeer(std::string_view, Duration left) override { this->coldFor = left; }
    void onPausesFromPeer(std::string_view, bool) override {}
    void onFailedForPeer(std::string_view, std::string_view) override {}
    void onFreshnessQuery(std::string_view, std::int64_t) override {}
    void onLeavingFromPeer(std::string_view) override {}
    void onQuarantineNews(const QuarantineMessage &) override {}
    void onLimitNews(std::string_view, LimitKind, const LimitMessage &) override {}
    void onRetryPermits(std::string_view, const LimitMessage &) override {}
    void onStreamVersions(std::string_view, const StreamVersionMessage &) override {}
    void onPeersChanged(const std::vector<std::string> &) override {}
    void onRelayPeersChanged(std::vector<RelayPeer>) override {}

    std::optional<GenerationNeed> need;
    std::optional<std::uint32_t> released;
    std::optional<EngineLoad> load;
    int storeNotices = 0;
    std::optional<StoreFreshness> freshness;
    std::optional<Duration> coldFor;
};

struct Receiver
{
    void receive(const wire::EntryNotices &message)
    {
        MembershipListener &listener = this->link;
        listener.onPolicyMessage("two", encodeMessage(message));
    }

    asio::io_context loop;
    SystemClock clock;
    EngineShares shares{"one"};
    Received received;
    PeerLink link{
            this->loop, this->clock,  {"one", "dc", freeDatagramAddress(), {}, {fleetKeyOfTest()}},
            1,          this->shares, this->received};
};

struct RevisionCase
{
    char name[24];
    std::int64_t from;
    std::int64_t to;
    std::int64_t item;
    std::int64_t era;
    bool used;
};

RevisionCase revisionCases[] = {
        {"usual", 5, 6, 6, 1, true},
        {"no era", 5, 6, 6, 0, true},
        {"negative start", -1, 6, 6, 1, false},
        {"negative end", 5, -1, 6, 1, false},
        {"negative item", 5, 6, -1, 1, false},
        {"negative era", 5, 6, 6, -1, false},
        {"lowest", 5, lowest, 6, 1, false},
};

struct NumberCase
{
    char name[16];
    std::int64_t sent;
    std::uint32_t tokens;
    std::int64_t coldMillis;
};

NumberCase numberCases[] = {
        {"usual", 3'000'000, 3'000'000, 3000},
        {"negative", -1, 0, 0},
        {"lowest", lowest, 0, 0},
        {"beyond 32 bits", 1LL << 32U, mostTokens, 4'294'967},
        {"highest", highest, mostTokens, 86'400'000},
};

} // namespace

ParameterizedTestParameters(peerNumbers, negativeRevisionsAreNotUsed)
{
    return cr_make_param_array(RevisionCase, revisionCases, std::size(revisionCases));
}

// Guards against an instance that follows the store no more, since a negative revision of another
// one counts as later than each that the store gives.
ParameterizedTest(RevisionCase *param, peerNumbers, negativeRevisionsAreNotUsed)
{
    wire::EntryNotices message;
    message.stores.emplace_back();
    message.stores.back().fromRevision = param->from;
    message.stores.back().toRevision = param->to;
    message.stores.back().era = param->era;
    message.stores.back().items.emplace_back();
    message.stores.back().items.back().revision = param->item;
    Receiver receiver;
    receiver.receive(message);
    cr_assert_eq(receiver.received.storeNotices, param->used ? 1 : 0, "%s", param->name);
}

ParameterizedTestParameters(peerNumbers, stayInRange)
{
    return cr_make_param_array(NumberCase, numberCases, std::size(numberCases));
}

// Guards against counts and times that wrap around into others.
ParameterizedTest(NumberCase *param, peerNumbers, stayInRange)
{
    wire::EntryNotices message;
    message.placements.emplace_back();
    message.placements.back().promptTokens = param->sent;
    message.releases.emplace_back();
    message.releases.back().tokens = param->sent;
    message.loads.emplace_back();
    message.loads.back().waiting = -3;
    message.loads.back().running = -3;
    message.loads.back().memoryInUse = param->sent;
    message.loads.back().eventIntervalMicros = param->sent;
    message.coldTargets.emplace_back();
    message.coldTargets.back().leftMicros = param->sent;
    Receiver receiver;
    receiver.receive(message);
    const Received &seen = receiver.received;
    cr_expect_eq(seen.need->promptTokens, param->tokens, "%s", param->name);
    cr_expect_eq(*seen.released, param->tokens, "%s", param->name);
    cr_expect_eq(seen.load->memoryInUse, param->tokens, "%s", param->name);
    cr_expect_eq(seen.load->waiting, 0);
    cr_expect_eq(seen.load->running, 0);
    cr_expect(seen.load->eventInterval >= 0s && seen.load->eventInterval <= 1min);
    cr_expect_eq(toMillis(*seen.coldFor), param->coldMillis, "%s", param->name);
}

// Guards against data of another instance that counts as fresh, or as of a later era than each,
// since its numbers are out of range.
Test(peerNumbers, freshnessIsPlausible)
{
    const auto receive = [](std::int64_t age, std::int64_t revision, std::int64_t era) {
        wire::EntryNotices message;
        message.answers.emplace_back();
        message.answers.back().ageMicros = age;
        message.answers.back().revision = revision;
        message.answers.back().era = era;
        Receiver receiver;
        receiver.receive(message);
        return receiver.received.freshness;
    };
    cr_assert(receive(1000, 5, 1)->age == 1ms);
    cr_expect(receive(highest, 5, 1)->age == 24h);
    cr_expect_not(receive(-1, 5, 1).has_value());
    cr_expect_not(receive(lowest, 5, 1).has_value());
    cr_expect_not(receive(1000, -1, 1).has_value());
    cr_expect_not(receive(1000, 5, -1).has_value());
}

// Guards against versions that no target can have, passed on by an instance of an older version.
Test(peerNumbers, oddVersionsAreLeftOut)
{
    static constexpr std::size_t tooLong = 100'000;
    wire::StreamVersionNotices notices;
    for (const std::string &odd :
         {std::string("v\r\nX-Injected: 1"), std::string(tooLong, 'v'), std::string("v1")}) {
        notices.records.emplace_back();
        notices.records.back().stream = "s";
        notices.records.back().version = odd;
        notices.replies.emplace_back();
        notices.replies.back().known = true;
        notices.replies.back().version = odd;
        notices.services.emplace_back();
        notices.services.back().serviceName = "svc";
        notices.services.back().version = odd;
        notices.services.back().agoMicros = highest;
    }
    const StreamVersionMessage message = fromNotices(notices);
    cr_assert_eq(message.records.size(), 1);
    cr_expect_eq(message.records.back().version, std::string("v1"));
    cr_assert_eq(message.answers.size(), 3);
    cr_expect_not(message.answers.front().version.has_value());
    cr_expect(message.answers.back().version == "v1");
    cr_assert_eq(message.services.size(), 1);
    cr_expect(message.services.back().ago == 24h);
}
