#include "jaytrack/Proxy/engineroom.h"

namespace jaytrack {

void EngineRoom::take(std::string_view engine, std::uint32_t tokens)
{
    this->taken[std::string(engine)] += tokens;
}

void EngineRoom::takeForPrompt(std::string_view engine, const GenerationNeed &need)
{
    this->take(engine, need.promptTokens);
    this->context.engines.recordStart(engine, this->run, need);
    this->context.notices.announcePlaced(engine, need, false);
}

void EngineRoom::takeForCopy(std::string_view engine, const GenerationNeed &need)
{
    this->take(engine, need.promptTokens);
    this->context.engines.recordCopy(engine, need);
    this->context.notices.announcePlaced(engine, need, true);
}

void EngineRoom::giveBack(std::string_view engine, std::uint32_t grown)
{
    const auto found = this->taken.find(engine);
    if (found == this->taken.end())
        return;
    const std::uint32_t tokens = found->second + grown;
    this->taken.erase(found);
    this->context.engines.recordRelease(engine, this->run, tokens);
    this->context.notices.announceReleased(engine, tokens);
}

void EngineRoom::giveBackAll()
{
    while (!this->taken.empty()) {
        const std::string engine = this->taken.begin()->first;
        this->giveBack(engine, 0);
    }
}

} // namespace jaytrack
