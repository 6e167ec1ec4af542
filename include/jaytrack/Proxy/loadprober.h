// Queries model engines for their load, on which placement is based. Each engine is queried by one
// instance, which sends the report to the others.
#ifndef JAYTRACK_PROXY_LOADPROBER_H
#define JAYTRACK_PROXY_LOADPROBER_H

#include "jaytrack/Calls/targetcalls.h"
#include "jaytrack/Proxy/selfreports.h"
#include "jaytrack/Routing/enginechoice.h"
#include "jaytrack/Routing/probeschedule.h"
#include "jaytrack/Routing/targetdirectory.h"

#include <asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <span>
#include <string>

namespace jaytrack {

// Divides the probing of engines among the instances.
class LoadSharing
{
public:
    virtual ~LoadSharing() = default;
    virtual bool isMineToAsk(std::string_view engine) const = 0;

    // Whether this instance places work on the engine and therefore needs its load.
    virtual bool isMine(std::string_view engine) const = 0;

    // An engine reported its load to this instance.
    virtual void onLoad(std::string_view engine, const EngineLoad &load) = 0;

    // An engine did not answer a probe.
    virtual void onNoLoad(std::string_view engine) = 0;
};

class LoadProber final
{
public:
    LoadProber(asio::io_context &loop, TargetCalls &targetCalls, const Clock &time,
               const Dialect &platform, EngineChoice &engineChoice, LoadSharing &loadSharing,
               SelfReports &reports, LimitGate &gate, std::mt19937_64 &source,
               std::chrono::milliseconds timeBetweenProbes);

    // Probes the engine from now on, if this instance places work there.
    void add(const TargetEntry &entry);
    void remove(std::string_view id);

    // Adapts to a change of the engines at which this instance places work; candidates are all that
    // may receive work.
    void reassign(std::span<const TargetEntry *const> candidates);

private:
    class Probe;

    asio::io_context &context;
    TargetCalls &calls;
    const Clock &clock;
    const Dialect &dialect;
    EngineChoice &engines;
    LoadSharing &sharing;
    SelfReports &selfReports;
    LimitGate &limits;
    std::mt19937_64 &random;
    std::chrono::milliseconds interval; // between two checks whether an engine is to be probed
    ProbeSchedule schedule;
    std::map<std::string, std::shared_ptr<Probe>, std::less<>> probes;
};

} // namespace jaytrack

#endif
