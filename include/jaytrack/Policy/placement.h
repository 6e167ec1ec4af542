// The interface of all placement policies: the production policy and the baselines it is compared
// with.
#ifndef JAYTRACK_POLICY_PLACEMENT_H
#define JAYTRACK_POLICY_PLACEMENT_H

#include "jaytrack/Support/clock.h"
#include "jaytrack/Support/result.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jaytrack {

// The properties of an engine in the configuration in force.
struct EngineSpec
{
    std::string name;
    std::string model;
    std::string dataCentre;
    std::uint32_t slots = 64;
    std::uint64_t memoryTokens = 100'000;
    bool leaving = false;
};

// A load report of an engine. It describes the engine at `takenAt`, some time before it is
// received.
struct EngineReport
{
    std::uint64_t memoryUsed = 0; // tokens
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    bool leaving = false;
    bool alive = true;
    TimePoint takenAt;
};

// A request to place one generation on an engine.
struct GenerationRequest
{
    std::uint64_t id = 0;
    std::string model;
    std::string customer;
    std::uint32_t weight = 1;
    int priority = 0;
    std::uint32_t promptTokens = 0;
    std::uint32_t maxTokens = 0;  // limit set by the caller; 0 if there is none
    std::uint64_t prefixHash = 0; // 0 if the prompt shares no known prefix
    std::uint32_t prefixTokens = 0;
    bool mayWait = true;
    Duration maxWait = std::chrono::seconds(30);
    double overflowBound = 0.02;
    std::uint32_t trueLength = 0;   // for the oracle in measurements only
    std::vector<std::string> avoid; // engines that already failed this request
};

// The placement decision: the engine, or the result code of the refusal, with a reason for
// operators.
struct Placement
{
    ResultCode code = ResultCode::Ok;
    std::string engine;
    std::string reason;
    Duration retryAfter{0};
};

// How a generation left its engine.
enum class Departure { Finished, Lost, Refused, Cancelled };

// Receives placement decisions. The policy calls it from within its own functions.
class PlacementListener
{
public:
    virtual ~PlacementListener() = default;
    virtual void onPlacement(std::uint64_t id, const Placement &placement) = 0;
};

// A placement policy as run by one instance. It performs no input or output: it takes the time from
// a clock and exchanges messages through an interface. Not thread-safe.
class PlacementPolicy
{
public:
    virtual ~PlacementPolicy() = default;

    // Replaces the known engines when another configuration comes into force.
    virtual void setEngines(std::span<const EngineSpec> engines) = 0;

    // Replaces the list of live instances, which includes this one.
    virtual void setInstances(std::span<const std::string> names) = 0;

    // Requests an engine. The listener is called exactly once, during this call or later.
    virtual void submit(const GenerationRequest &ask) = 0;

    // Cancels a request that is not yet placed. The listener is not called for it afterwards.
    virtual void withdraw(std::uint64_t id) = 0;

    // Reports how many tokens a placed generation has produced so far.
    virtual void progress(std::uint64_t id, std::uint32_t producedTokens) = 0;

    // Reports that a placed generation no longer occupies its engine.
    virtual void departed(std::uint64_t id, Departure how, std::uint32_t producedTokens) = 0;

    // Handles a load report of an engine.
    virtual void report(std::string_view engine, const EngineReport &report) = 0;

    // Handles a message from the policy of another instance.
    virtual void receive(std::string_view from, std::string_view message) = 0;

    // Performs the work that is due. Called every few milliseconds to tens of milliseconds.
    virtual void tick() = 0;
};

// Carries messages between the policies of instances. Messages may be lost, delayed or duplicated.
class PolicyTransport
{
public:
    virtual ~PolicyTransport() = default;
    virtual void send(std::string_view toInstance, std::string message) = 0;
};

} // namespace jaytrack

#endif
