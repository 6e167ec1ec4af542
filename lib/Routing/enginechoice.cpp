#include "jaytrack/Routing/enginechoice.h"

#include <algorithm>
#include <limits>

namespace jaytrack {

namespace {

// A report tells the past: it is as old as the engine's own lag when it arrives.
constexpr std::chrono::milliseconds reportLag{500};

// Prompts that an engine still has to read delay the first token of whoever comes next, by about as
// much as ten times their memory delays the tokens of those that run.
constexpr double unreadPromptWeight = 3.0;

// A request that waits at an engine stands for a mean prompt that is still unread.
constexpr double waitingTokens = 3000;

constexpr double anyCost = std::numeric_limits<double>::infinity();

} // namespace

EngineChoice::EngineChoice(const Clock &time, std::uint64_t seed, std::string homeDataCentre,
                           EngineChoiceOptions given)
    : clock(time)
    , random(seed)
    , home(std::move(homeDataCentre))
    , options(given)
{
}

void EngineChoice::listed(const TargetEntry &entry)
{
    this->boards[entry.id].leaving = entry.leaving;
}

void EngineChoice::gone(std::string_view id)
{
    const auto found = this->boards.find(id);
    if (found != this->boards.end())
        this->boards.erase(found);
}

void EngineChoice::reported(std::string_view id, const EngineLoad &load)
{
    const auto found = this->boards.find(id);
    if (found == this->boards.end())
        return;
    found->second.load = load;
    found->second.reportedAt = this->clock.now();
    found->second.everReported = true;
    found->second.leaving = found->second.leaving || load.leaving;
}

void EngineChoice::unreachable(std::string_view id)
{
    const auto found = this->boards.find(id);
    if (found == this->boards.end())
        return;
    if (++found->second.failures >= this->options.failuresToAvoid)
        found->second.avoidedUntil = this->clock.now() + this->options.avoidFor;
}

void EngineChoice::reached(std::string_view id)
{
    const auto found = this->boards.find(id);
    if (found != this->boards.end())
        found->second.failures = 0;
}

void EngineChoice::began(std::string_view id, std::string_view run, const GenerationNeed &need)
{
    this->boards[std::string(id)].placed.insert_or_assign(
            std::string(run), Placed{need, this->clock.now(), false, false});
}

void EngineChoice::firstToken(std::string_view id, std::string_view run)
{
    const auto board = this->boards.find(id);
    if (board == this->boards.end())
        return;
    const auto placed = board->second.placed.find(run);
    if (placed != board->second.placed.end())
        placed->second.decoding = true;
}

void EngineChoice::ended(std::string_view id, std::string_view run)
{
    const auto board = this->boards.find(id);
    if (board == this->boards.end())
        return;
    const auto placed = board->second.placed.find(run);
    if (placed != board->second.placed.end())
        board->second.placed.erase(placed);
}

void EngineChoice::backupPlaced(std::string_view id, std::string_view run,
                                const GenerationNeed &need)
{
    this->boards[std::string(id)].placed.insert_or_assign(
            std::string(run), Placed{need, this->clock.now(), true, true});
}

void EngineChoice::backupDropped(std::string_view id, std::string_view run)
{
    this->ended(id, run);
}

// The report holds what everybody had there when it was made; what this instance placed since is
// added. What it placed before and has ended since is still in the report, which errs on the side of
// caution.
double EngineChoice::loadOf(const Board &board) const
{
    double tokens = board.everReported ? board.load.memoryInUse : 0;
    tokens += unreadPromptWeight * waitingTokens * board.load.waiting;
    for (const auto &[run, placed] : board.placed) {
        const bool reported = board.everReported &&
                              placed.since + reportLag < board.reportedAt - reportLag;
        if (!reported)
            tokens += placed.need.promptTokens;
        tokens += placed.copy ? 0 : placed.need.outputTokens / 2.0;
        if (!placed.decoding)
            tokens += unreadPromptWeight * placed.need.promptTokens;
    }
    return tokens;
}

EngineChoice::Forecast EngineChoice::forecast(std::string_view id) const
{
    const auto found = this->boards.find(id);
    if (found == this->boards.end())
        return {};
    const Board &board = found->second;
    return {this->loadOf(board),
            board.everReported ? this->clock.now() - board.reportedAt : Duration(-1),
            board.load.waiting};
}

bool EngineChoice::avoided(const TargetEntry &entry)
{
    const Board &board = this->boards[entry.id];
    return board.leaving || this->clock.now() < board.avoidedUntil;
}

double EngineChoice::costOf(const TargetEntry &entry, const EngineTraits &traits,
                            const GenerationNeed &need, const Preference &preference)
{
    const double capacity = std::max<double>(1, traits.memoryTokens);
    const double cost = (this->loadOf(this->boards[entry.id]) + need.promptTokens) / capacity;
    const bool distant = entry.dataCentre != preference.dataCentre;
    return distant ? cost + preference.distantHandicap : cost;
}

const TargetEntry *EngineChoice::cheapest(std::vector<const TargetEntry *> open,
                                          const EngineTraits &traits, const GenerationNeed &need,
                                          const Preference &preference)
{
    std::shuffle(open.begin(), open.end(), this->random);
    const std::size_t compared = std::min(open.size(), preference.candidates);
    const TargetEntry *best = nullptr;
    double bestCost = preference.mostCost;
    for (std::size_t i = 0; i < compared; ++i) {
        const double cost = this->costOf(*open[i], traits, need, preference);
        if (cost < bestCost) {
            best = open[i];
            bestCost = cost;
        }
    }
    return best;
}

std::vector<const TargetEntry *> EngineChoice::openAmong(std::span<const TargetEntry *const> engines,
                                                         const std::set<std::string> &avoid)
{
    std::vector<const TargetEntry *> reachable;
    std::vector<const TargetEntry *> others;
    for (const TargetEntry *engine : engines) {
        if (avoid.count(engine->id) > 0)
            continue;
        (this->avoided(*engine) ? others : reachable).push_back(engine);
    }
    // An engine that seems unreachable is still better than none.
    return reachable.empty() ? others : reachable;
}

const TargetEntry *EngineChoice::choose(std::span<const TargetEntry *const> engines,
                                        const EngineTraits &traits, const GenerationNeed &need,
                                        const std::set<std::string> &avoid)
{
    const Preference preference{this->home, this->options.distantHandicap,
                                this->options.candidates, anyCost};
    return this->cheapest(this->openAmong(engines, avoid), traits, need, preference);
}

const TargetEntry *EngineChoice::chooseRefuge(std::span<const TargetEntry *const> engines,
                                              const EngineTraits &traits,
                                              const GenerationNeed &need,
                                              const TargetEntry &running,
                                              const std::set<std::string> &avoid)
{
    std::set<std::string> others = avoid;
    others.insert(running.id);
    // Every engine is compared: those of the run's own data centre are few.
    const Preference preference{running.dataCentre, this->options.distantCopyHandicap,
                                engines.size(), anyCost};
    return this->cheapest(this->openAmong(engines, others), traits, need, preference);
}

const TargetEntry *EngineChoice::chooseBackup(std::span<const TargetEntry *const> engines,
                                              const EngineTraits &traits,
                                              const GenerationNeed &need,
                                              const TargetEntry &running)
{
    const Preference preference{running.dataCentre, this->options.distantHandicap,
                                this->options.candidates + 1, this->options.backupShare};
    return this->cheapest(this->openAmong(engines, {running.id}), traits, need, preference);
}

} // namespace jaytrack
