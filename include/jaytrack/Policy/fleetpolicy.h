// The placement policy of production: each engine has one home among the instances, found by
// rendezvous hashing, which alone hands out its room. Every instance chooses engines by what their
// homes said last, and asks the home before it sends.
#ifndef JAYTRACK_POLICY_FLEETPOLICY_H
#define JAYTRACK_POLICY_FLEETPOLICY_H

#include "jaytrack/Policy/enginehome.h"
#include "jaytrack/Policy/lengthestimator.h"
#include "jaytrack/Policy/placement.h"

#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace jaytrack {

namespace wire {
class EngineSummary;
class GrantBody;
class PolicyMessage;
} // namespace wire

// What can be varied for measurements.
struct FleetPolicyOptions
{
    EngineHomeOptions home;
    bool askHomes = true;       // else each instance decides by itself on what it has heard
    bool affinity = true;       // prefer the engine that likely caches the prompt's prefix
    std::size_t subset = 24;    // engines of a model that one instance uses at the most
    std::size_t candidates = 4; // random engines compared for each request
    std::size_t queues = 3;     // engines that a waiting request queues at
    Duration answerWait = std::chrono::milliseconds(60);  // for a home's answer
    Duration reconsider = std::chrono::milliseconds(200); // while waiting for one engine
    Duration summaryGap = std::chrono::milliseconds(100);
    double summaryBytesPerSecond = 2000; // spent on summaries at the most
    double releaseBytesPerSecond = 3000; // spent on the datagrams of what can be put off
};

// How often what happened.
struct FleetPolicyCounts
{
    std::uint64_t asked = 0;
    std::uint64_t granted = 0;
    std::uint64_t fallbacks = 0;   // placed without a home's answer
    std::uint64_t queuedTwice = 0; // further queues that waiting requests joined
    std::uint64_t expired = 0;
    std::uint64_t sentMessages = 0;
    std::uint64_t sentBytes = 0;
};

class FleetPolicy final : public PlacementPolicy
{
public:
    FleetPolicy(std::string selfName, const Clock &time, std::uint64_t seed,
                PolicyTransport &messages, PlacementListener &target,
                const FleetPolicyOptions &chosen = {});
    ~FleetPolicy() override;

    void setEngines(std::span<const EngineSpec> engines) override;
    void setInstances(std::span<const std::string> names) override;
    void submit(const GenerationAsk &ask) override;
    void withdraw(std::uint64_t id) override;
    void progress(std::uint64_t id, std::uint32_t producedTokens) override;
    void departed(std::uint64_t id, Departure how, std::uint32_t producedTokens) override;
    void report(std::string_view engine, const EngineReport &report) override;
    void receive(std::string_view from, std::string_view message) override;
    void tick() override;

    // Whether this instance is the home of an engine, and so is to ask it for load reports.
    bool isHomeOf(std::string_view engine) const;

    const FleetPolicyCounts &counts() const { return this->tally; }

private:
    // An engine as this instance knows it.
    struct EngineView
    {
        EngineSpec spec;
        std::string homeName;
        std::unique_ptr<EngineHome> home; // if this instance is its home
        std::uint64_t nameHash = 0;       // for ranking prefixes
        bool alive = true;
        bool leaving = false;
        double room = 1; // share of memory free, as its home said last
        int queued = 0;
        double askedSince = 0;     // share of memory asked for since then
        std::uint32_t own = 0;     // generations of this instance on it
        double stepSeconds = 0;    // between tokens, seen by this instance
        TimePoint distrustedUntil; // it lost a generation of ours
    };

    enum class AskPhase { Asking, Queued, Placed };

    struct AskState
    {
        GenerationAsk ask;
        AskPhase phase = AskPhase::Asking;
        std::string engine;                // asked last, or placed on
        std::vector<std::string> queuedAt; // engines whose homes hold it in their queues
        TimePoint submittedAt;
        TimePoint stepAt; // when it entered its phase or last changed its engine
        int attempts = 0;
        std::vector<std::string> silent; // engines whose homes gave no answer
        std::uint32_t produced = 0;
        TimePoint producedAt;
        std::uint32_t toldHome = 0; // tokens, when its home was last told
    };

    using Views = std::map<std::string, EngineView, std::less<>>;
    using ViewList = std::vector<EngineView *>;
    using Asks = std::unordered_map<std::uint64_t, AskState>;

    bool usable(const EngineView &view, const AskState &state) const;
    double score(const EngineView &view, const AskState &state, double medianStep) const;
    EngineView *choose(const AskState &state);
    EngineView *affinityChoice(const AskState &state, std::span<EngineView *const> usableViews);
    double medianStep(const ViewList &views) const;
    void askFor(AskState &state);
    void askEngine(AskState &state, EngineView &view);
    void place(AskState &state, EngineView &view, std::string reason);
    void refuse(std::uint64_t id, ResultCode code, std::string reason);
    void fallBack(AskState &state);
    void checkAsk(AskState &state);

    RoomRequest roomRequest(const AskState &state) const;
    wire::GrantBody grantBody(const AskState &state, const std::string &engine, int kind) const;
    void queueElsewhere(AskState &state);
    void onRefused(AskState &state, const std::string &engine);
    void post(const std::string &instance, const wire::GrantBody &body);
    void sendMessage(const std::string &instance, const wire::PolicyMessage &message);
    void flush();
    void tellHome(const AskState &state, int kind);
    void tellHomeOf(const std::string &engine, const AskState &state, int kind);
    void withdrawElsewhere(AskState &state, std::string_view keep);
    void onGrantBody(std::string_view from, const wire::GrantBody &body);
    void onAnswer(std::string_view from, const wire::GrantBody &body);
    void onSummary(const wire::EngineSummary &summary);
    void serveHome(EngineView &view);
    void answer(const RoomRequest &request, const EngineView &view, int kind);
    wire::EngineSummary summaryOf(EngineView &view);
    void sendSummaries();
    void assignHomes();
    void assignSubsets();
    void moveCommitments(const EngineView &view);

    std::string self;
    const Clock &clock;
    std::mt19937_64 random;
    PolicyTransport &transport;
    PlacementListener &listener;
    FleetPolicyOptions options;
    LengthEstimator lengths;
    Views engines;
    std::map<std::string, ViewList, std::less<>> used; // by model, within the subset
    std::vector<std::string> instances;
    Asks asks;
    std::map<std::string, TimePoint, std::less<>> subscribers;          // who asked here lately
    std::unique_ptr<std::map<std::string, wire::PolicyMessage>> putOff; // by receiver
    TimePoint nextSummaryAt;
    TimePoint nextFlushAt;
    FleetPolicyCounts tally;
};

} // namespace jaytrack

#endif
