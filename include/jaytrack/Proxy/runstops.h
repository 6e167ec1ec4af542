// Tells engines to stop runs that have gone on elsewhere.
//
// Closing a run's connection does not stop it at every engine. At some the run continues without a
// reader, and then two engines work on one run. An engine stops a run when it is told to copy it
// for the last time. Engines that did stop with their connection answer that they have no such run.
#ifndef JAYTRACK_PROXY_RUNSTOPS_H
#define JAYTRACK_PROXY_RUNSTOPS_H

#include "jaytrack/Calls/targetcalls.h"
#include "jaytrack/Routing/dialect.h"
#include "jaytrack/Routing/targetdirectory.h"
#include "jaytrack/Support/clock.h"

#include <asio/io_context.hpp>

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace jaytrack {

class LimitGate;
class Metrics;

// A run that must not go on at an engine.
struct RunStop
{
    std::string run;         // id of the attempt that it serves
    TargetEntry engine;      // where it is stopped
    std::string destination; // IP:PORT of the engine where it goes on
    std::string usedHandle;  // of the copy with which it goes on there; may be empty
};

// What an engine's answer to a stop order means.
enum class StopOutcome {
    NotThere, // the engine has no such run
    Stopped,
    Unknown // the order has to be repeated
};

// Evaluates an answer to a stop order. The handle is empty if the answer contains none. An engine
// that has stopped the run but cannot copy it refuses and returns a handle all the same.
StopOutcome evaluateStopAnswer(int status, std::string_view handle);

class RunStops
{
public:
    // Time between closing a run's connection and the order, in which most engines end the run.
    // An order that reaches the run before would have it copied for nothing.
    static constexpr std::chrono::milliseconds closeGrace{60};

    RunStops(asio::io_context &loop, TargetCalls &targetCalls, const Clock &time,
             const Dialect &platform, LimitGate &limitGate, Metrics &counters);
    ~RunStops();
    RunStops(const RunStops &) = delete;
    RunStops &operator=(const RunStops &) = delete;

    // Has the run stopped. Its connection to the engine has been closed.
    void order(RunStop stop);

    // Withdraws an order that has not been sent, because the run goes on at the engine again.
    void withdraw(std::string_view run, std::string_view engine);

    // Whether an order for the run is under way to the engine, so that the run must not go on
    // there.
    bool isPending(std::string_view run, std::string_view engine) const;

    bool isIdle() const { return this->orders.empty(); }

private:
    class Order;
    using Key = std::pair<std::string, std::string>; // run and engine

    void remove(const Key &key) { this->orders.erase(key); }

    asio::io_context &context;
    TargetCalls &calls;
    const Clock &clock;
    const Dialect &dialect;
    LimitGate &limits;
    Metrics &metrics;
    std::map<Key, std::shared_ptr<Order>> orders;
};

} // namespace jaytrack

#endif
