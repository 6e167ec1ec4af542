// The placement policy used in production. Each engine has one home instance, found by rendezvous
// hashing, and only the home grants room on it. Every instance chooses engines by the last
// summaries of their homes and requests room from the home before it sends a generation.
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

// Options that measurements vary.
struct FleetPolicyOptions
{
    EngineHomeOptions home;
    bool useHomes = true; // otherwise each instance decides alone by the summaries it has received
    bool affinity = true; // prefer the engine that probably caches the prompt's prefix
    std::size_t subset = 24;    // maximum number of engines of a model that one instance uses
    std::size_t candidates = 4; // random engines compared for each request
    std::size_t queues = 3;     // maximum number of engines at which a request queues
    Duration answerTimeout = std::chrono::milliseconds(60); // for the answer of a home
    // Interval at which a waiting request looks for another engine.
    Duration reconsiderInterval = std::chrono::milliseconds(200);
    Duration summaryInterval = std::chrono::milliseconds(100);
    double summaryBytesPerSecond = 2000; // maximum rate of summaries
    double releaseBytesPerSecond = 3000; // maximum rate of datagrams with deferrable messages
};

// Event counters.
struct FleetPolicyCounts
{
    std::uint64_t asked = 0;
    std::uint64_t granted = 0;
    std::uint64_t fallbacks = 0;        // placed without an answer of the home
    std::uint64_t additionalQueues = 0; // additional queues that waiting requests joined
    std::uint64_t expired = 0;
    std::uint64_t sentMessages = 0;
    std::uint64_t sentBytes = 0;
};

class FleetPolicy final : public PlacementPolicy
{
public:
    FleetPolicy(std::string selfName, const Clock &clockSource, std::uint64_t seed,
                PolicyTransport &messages, PlacementListener &placementListener,
                const FleetPolicyOptions &policyOptions = {});
    ~FleetPolicy() override;

    void setEngines(std::span<const EngineSpec> engines) override;
    void setInstances(std::span<const std::string> names) override;
    void submit(const GenerationRequest &ask) override;
    void withdraw(std::uint64_t id) override;
    void progress(std::uint64_t id, std::uint32_t producedTokens) override;
    void departed(std::uint64_t id, Departure how, std::uint32_t producedTokens) override;
    void report(std::string_view engine, const EngineReport &report) override;
    void receive(std::string_view from, std::string_view message) override;
    void tick() override;

    // Whether this instance is the home of an engine and therefore polls its load reports.
    bool isHomeOf(std::string_view engine) const;

    const FleetPolicyCounts &counts() const { return this->tally; }

private:
    // The state of an engine as this instance knows it.
    struct EngineView
    {
        EngineSpec spec;
        std::string homeName;
        std::unique_ptr<EngineHome> home; // set if this instance is its home
        std::uint64_t nameHash = 0;       // used to rank engines for a prefix
        bool alive = true;
        bool leaving = false;
        double room = 1; // free share of memory in the home's last summary
        int queued = 0;
        double requestedSince = 0; // share of memory requested since that summary
        std::uint32_t own = 0;     // generations that this instance has placed on it
        double stepSeconds = 0;    // time between tokens as measured by this instance
        // No new generations until then, because it lost or refused a generation of this instance.
        TimePoint avoidedUntil;
    };

    enum class RequestPhase { Requesting, Queued, Placed };

    struct RequestState
    {
        GenerationRequest ask;
        RequestPhase phase = RequestPhase::Requesting;
        // Engine that room was last requested on, or that the generation is placed on.
        std::string engine;
        std::vector<std::string> queuedAt; // engines in whose queues the request waits
        TimePoint submittedAt;
        TimePoint stepAt; // when it entered its phase or last changed its engine
        int attempts = 0;
        std::vector<std::string> unresponsive; // engines whose homes did not answer in time
        std::uint32_t produced = 0;
        TimePoint producedAt;
        std::uint32_t reportedTokens = 0; // tokens last reported to the home
    };

    using Views = std::map<std::string, EngineView, std::less<>>;
    using ViewList = std::vector<EngineView *>;
    using Requests = std::unordered_map<std::uint64_t, RequestState>;

    bool isUsable(const EngineView &view, const RequestState &state) const;
    double score(const EngineView &view, const RequestState &state, double medianStep) const;
    EngineView *choose(const RequestState &state);
    EngineView *affinityChoice(const RequestState &state, std::span<EngineView *const> usableViews);
    double medianStep(const ViewList &views) const;
    void requestRoom(RequestState &state);
    void requestRoomOn(RequestState &state, EngineView &view);
    void place(RequestState &state, EngineView &view, std::string reason);
    void refuse(std::uint64_t id, ResultCode code, std::string reason);
    void fallBack(RequestState &state);
    void checkRequest(RequestState &state);

    RoomRequest roomRequest(const RequestState &state) const;
    wire::GrantBody grantBody(const RequestState &state, const std::string &engine, int kind) const;
    void joinAnotherQueue(RequestState &state);
    void onRefused(RequestState &state, const std::string &engine);
    void sendOrDefer(const std::string &instance, const wire::GrantBody &body);
    void sendMessage(const std::string &instance, const wire::PolicyMessage &message);
    void flush();
    void notifyHome(const RequestState &state, int kind);
    void notifyHomeOf(const std::string &engine, const RequestState &state, int kind);
    void withdrawElsewhere(RequestState &state, std::string_view keep);
    void onGrantBody(std::string_view from, const wire::GrantBody &body);
    void onAnswer(std::string_view from, const wire::GrantBody &body);
    void onSummary(const wire::EngineSummary &summary);
    void serveHome(EngineView &view);
    void answer(const RoomRequest &request, const EngineView &view, int kind);
    wire::EngineSummary summaryOf(EngineView &view);
    void sendSummaries();
    void assignHomes();
    void assignSubsets();
    void reportCommitments(const EngineView &view);

    std::string self;
    const Clock &clock;
    std::mt19937_64 random;
    PolicyTransport &transport;
    PlacementListener &listener;
    FleetPolicyOptions options;
    LengthEstimator lengths;
    Views engines;
    // Engines of this instance's subset, by model.
    std::map<std::string, ViewList, std::less<>> used;
    std::vector<std::string> instances;
    Requests requests;
    // When each instance last sent a message to a home here.
    std::map<std::string, TimePoint, std::less<>> subscribers;
    // Messages not yet sent, by receiver.
    std::unique_ptr<std::map<std::string, wire::PolicyMessage>> deferred;
    TimePoint nextSummaryAt;
    TimePoint nextFlushAt;
    FleetPolicyCounts tally;
};

} // namespace jaytrack

#endif
