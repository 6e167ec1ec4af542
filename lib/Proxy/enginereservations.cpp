#include "jaytrack/Proxy/enginereservations.h"

namespace jaytrack {

void EngineReservations::reserve(std::string_view engine, std::uint32_t tokens)
{
    this->reserved[std::string(engine)] += tokens;
}

void EngineReservations::reserveForPrompt(std::string_view engine, const GenerationNeed &need)
{
    this->reserve(engine, need.promptTokens);
    this->context.engines.recordStart(engine, this->run, need);
    this->context.notices.announcePlaced(engine, need, false);
}

void EngineReservations::reserveForCopy(std::string_view engine, const GenerationNeed &need)
{
    this->reserve(engine, need.promptTokens);
    this->context.engines.recordCopy(engine, need);
    this->context.notices.announcePlaced(engine, need, true);
}

void EngineReservations::release(std::string_view engine, std::uint32_t generated)
{
    const auto found = this->reserved.find(engine);
    if (found == this->reserved.end())
        return;
    const std::uint32_t tokens = found->second + generated;
    this->reserved.erase(found);
    this->context.engines.recordRelease(engine, this->run, tokens);
    this->context.notices.announceReleased(engine, tokens);
}

void EngineReservations::releaseAll()
{
    while (!this->reserved.empty()) {
        const std::string engine = this->reserved.begin()->first;
        this->release(engine, 0);
    }
}

} // namespace jaytrack
