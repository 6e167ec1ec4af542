// The memory that one generation reserves at engines, as this instance and the others account for
// it: each reservation is announced when it is made, and its release exactly once, however the
// generation ends.
#ifndef JAYTRACK_PROXY_ENGINERESERVATIONS_H
#define JAYTRACK_PROXY_ENGINERESERVATIONS_H

#include "jaytrack/Proxy/exchange.h"

#include <map>
#include <string>
#include <string_view>

namespace jaytrack {

class EngineReservations
{
public:
    EngineReservations(ExchangeContext &shared, std::string_view runId)
        : context(shared)
        , run(runId)
    {
    }

    // The prompt goes to the engine to be read there.
    void reserveForPrompt(std::string_view engine, const GenerationNeed &need);

    // A copy of the run goes to the engine.
    void reserveForCopy(std::string_view engine, const GenerationNeed &need);

    // The engine no longer holds anything of the run, which has added generated tokens there.
    void release(std::string_view engine, std::uint32_t generated);

    // No engine holds anything of the run any more.
    void releaseAll();

private:
    void reserve(std::string_view engine, std::uint32_t tokens);

    ExchangeContext &context;
    std::string run;
    std::map<std::string, std::uint32_t, std::less<>> reserved; // tokens at each engine
};

} // namespace jaytrack

#endif
