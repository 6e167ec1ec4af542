// The interface of every way to place generations on engines: the one that production uses and the
// baselines that it is measured against.
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

// What placement knows of an engine from the configuration in force.
struct EngineSpec
{
    std::string name;
    std::string model;
    std::string dataCentre;
    std::uint32_t slots = 64;
    std::uint64_t memoryTokens = 100'000;
    bool leaving = false;
};

// What an engine says of itself, some time after it was so.
struct EngineReport
{
    std::uint64_t memoryUsed = 0; // tokens
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    bool leaving = false;
    bool alive = true;
    TimePoint takenAt;
};

// One generation that wants an engine.
struct GenerationAsk
{
    std::uint64_t id = 0;
    std::string model;
    std::string customer;
    std::uint32_t weight = 1;
    int priority = 0;
    std::uint32_t promptTokens = 0;
    std::uint32_t maxTokens = 0;  // the caller's own bound; 0 if it gave none
    std::uint64_t prefixHash = 0; // 0 if the prompt shares no known prefix
    std::uint32_t prefixTokens = 0;
    bool mayWait = true;
    Duration maxWait = std::chrono::seconds(30);
    double overflowBound = 0.02;
    std::uint32_t trueLength = 0;   // only the oracle of the measurements may read this
    std::vector<std::string> avoid; // engines that failed this request before
};

// Where a generation goes, or why it goes nowhere, with the reason in words for operators.
struct Placement
{
    ResultCode code = ResultCode::Ok;
    std::string engine;
    std::string reason;
    Duration retryAfter{0};
};

// How a generation left its engine.
enum class Departure { Finished, Lost, Refused, Cancelled };

// Receives decisions. Called from within the functions of the policy.
class PlacementListener
{
public:
    virtual ~PlacementListener() = default;
    virtual void onPlacement(std::uint64_t id, const Placement &placement) = 0;
};

// A way to place generations, as one instance runs it. Pure decision code: it performs no input or
// output, takes its time from a clock and its messages through an interface. Not safe for several
// threads at once.
class PlacementPolicy
{
public:
    virtual ~PlacementPolicy() = default;

    // Replaces the engines known, when another configuration comes into force.
    virtual void setEngines(std::span<const EngineSpec> engines) = 0;

    // Replaces the live instances known, this one among them.
    virtual void setInstances(std::span<const std::string> names) = 0;

    // Asks for an engine. The listener hears exactly once, during this call or later.
    virtual void submit(const GenerationAsk &ask) = 0;

    // Withdraws an ask that was not yet placed; the listener hears no more of it.
    virtual void withdraw(std::uint64_t id) = 0;

    // Tells how many tokens a placed generation has produced so far.
    virtual void progress(std::uint64_t id, std::uint32_t producedTokens) = 0;

    // Tells that a placed generation no longer occupies its engine.
    virtual void departed(std::uint64_t id, Departure how, std::uint32_t producedTokens) = 0;

    // Takes a load report of an engine.
    virtual void report(std::string_view engine, const EngineReport &report) = 0;

    // Takes a message of another instance's policy.
    virtual void receive(std::string_view from, std::string_view message) = 0;

    // Does what is due by now; called every few milliseconds to tens of milliseconds.
    virtual void tick() = 0;
};

// Carries messages between the policies of several instances. They may be lost, late or doubled.
class PolicyTransport
{
public:
    virtual ~PolicyTransport() = default;
    virtual void send(std::string_view toInstance, std::string message) = 0;
};

} // namespace jaytrack

#endif
