// Asks model engines for their load, so that placement has something to go by. Each engine is asked
// by one of the instances, which tells the others.
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

// Shares the asking with other instances.
class LoadSharing
{
public:
    virtual ~LoadSharing() = default;
    virtual bool isMineToAsk(std::string_view engine) const = 0;

    // Whether this instance gives work to the engine and has to know its load.
    virtual bool isMine(std::string_view engine) const = 0;

    // An engine reported its load to this instance.
    virtual void onLoad(std::string_view engine, const EngineLoad &load) = 0;

    // An engine did not answer when it was asked.
    virtual void onNoLoad(std::string_view engine) = 0;
};

class LoadProber final
{
public:
    // Without any report for this long an instance asks for itself: whoever should has gone.
    static constexpr std::chrono::milliseconds askAnyway{2500};

    // An engine that gets its work from others is looked at again after this time: it may have
    // fallen to this instance.
    static constexpr std::chrono::milliseconds lookAgain{4000};

    LoadProber(asio::io_context &loop, const Clock &time, const Dialect &words, EngineChoice &told,
               LoadSharing &shared, SelfReports &heard, LimitGate &gate, std::mt19937_64 &source,
               std::chrono::milliseconds askGap);

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
    std::chrono::milliseconds gap; // between two questions to an engine
    std::map<std::string, std::shared_ptr<Probe>, std::less<>> probes;
};

} // namespace jaytrack

#endif
