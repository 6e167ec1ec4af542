// Asks model engines for their load, so that placement has something to go by.
#ifndef JAYTRACK_PROXY_LOADPROBER_H
#define JAYTRACK_PROXY_LOADPROBER_H

#include "jaytrack/Net/targetcall.h"
#include "jaytrack/Routing/enginechoice.h"
#include "jaytrack/Routing/targetdirectory.h"

#include <asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace jaytrack {

class LoadProber final
{
public:
    // How often each engine is asked. A question has a price at the engine; its answer is half a
    // second old when it comes, so asking much more often tells little more.
    static constexpr std::chrono::milliseconds gap{1000};

    LoadProber(asio::io_context &loop, const Dialect &words, TargetDirectory &listed,
               EngineChoice &told, std::mt19937_64 &source);

    void add(const TargetEntry &entry);
    void remove(std::string_view id);

private:
    class Probe;

    asio::io_context &context;
    const Dialect &dialect;
    TargetDirectory &directory;
    EngineChoice &engines;
    std::mt19937_64 &random;
    std::map<std::string, std::shared_ptr<Probe>, std::less<>> probes;
};

} // namespace jaytrack

#endif
