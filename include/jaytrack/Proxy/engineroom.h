// The memory that one generation takes at engines, as this instance and the others account for it:
// told when it is taken, and told once when it is given back, whichever way the generation ends.
#ifndef JAYTRACK_PROXY_ENGINEROOM_H
#define JAYTRACK_PROXY_ENGINEROOM_H

#include "jaytrack/Proxy/exchange.h"

#include <map>
#include <string>
#include <string_view>

namespace jaytrack {

class EngineRoom
{
public:
    EngineRoom(ExchangeContext &shared, std::string_view runId)
        : context(shared)
        , run(runId)
    {
    }

    // The prompt goes to the engine to be read there.
    void takeForPrompt(std::string_view engine, const GenerationNeed &need);

    // A copy of the run goes to the engine.
    void takeForCopy(std::string_view engine, const GenerationNeed &need);

    // The engine no longer holds anything of the run. grown are the tokens that it added there.
    void giveBack(std::string_view engine, std::uint32_t grown);

    // No engine holds anything of the run any more.
    void giveBackAll();

private:
    void take(std::string_view engine, std::uint32_t tokens);

    ExchangeContext &context;
    std::string run;
    std::map<std::string, std::uint32_t, std::less<>> taken; // tokens at each engine
};

} // namespace jaytrack

#endif
