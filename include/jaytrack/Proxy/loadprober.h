// Queries model engines for their load, on which placement is based. Each engine is queried by one
// instance, which sends the report to the others.
#ifndef JAYTRACK_PROXY_LOADPROBER_H
#define JAYTRACK_PROXY_LOADPROBER_H

#include "jaytrack/Net/targetcall.h"
#include "jaytrack/Proxy/selfreports.h"
#include "jaytrack/Routing/enginechoice.h"
#include "jaytrack/Routing/targetdirectory.h"

#include <asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <random>
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
    // An instance without a report for this long probes the engine itself, because the instance
    // responsible for it must be gone.
    static constexpr std::chrono::milliseconds maxReportAge{2500};

    // Interval at which an engine that gets its work from other instances is checked, because it
    // may have been reassigned to this instance.
    static constexpr std::chrono::milliseconds assignmentCheckInterval{4000};

    LoadProber(asio::io_context &loop, const Clock &time, const Dialect &platform,
               EngineChoice &engineChoice, LoadSharing &loadSharing, SelfReports &reports,
               LimitGate &gate, std::mt19937_64 &source,
               std::chrono::milliseconds timeBetweenProbes);

    void add(const TargetEntry &entry);
    void remove(std::string_view id);

private:
    class Probe;

    asio::io_context &context;
    const Clock &clock;
    const Dialect &dialect;
    EngineChoice &engines;
    LoadSharing &sharing;
    SelfReports &selfReports;
    LimitGate &limits;
    std::mt19937_64 &random;
    std::chrono::milliseconds interval; // between two probes of an engine
    std::map<std::string, std::shared_ptr<Probe>, std::less<>> probes;
};

} // namespace jaytrack

#endif
