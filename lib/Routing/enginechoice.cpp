#include "jaytrack/Routing/enginechoice.h"

#include <algorithm>
#include <limits>

namespace jaytrack {

namespace {

// A report tells the past: it is as old as the engine's own lag when it arrives.
constexpr std::chrono::milliseconds reportLag{500};

// Part by which one observation moves the learnt speed of reading.
constexpr double learningRate = 0.05;

// The learnt speed stays within these, whatever a stalled link or a freshly cached prompt suggests.
constexpr double slowestReading = 1;
constexpr double fastestReading = 100;

constexpr double anyMemory = std::numeric_limits<double>::infinity();

} // namespace

EngineChoice::EngineChoice(const Clock &time, std::uint64_t seed, std::string homeDataCentre,
                           EngineChoiceOptions given)
    : clock(time)
    , random(seed)
    , home(std::move(homeDataCentre))
    , options(given)
    , readingSpeed(given.promptTokensPerMilli)
{
}

void EngineChoice::onListed(const TargetEntry &entry)
{
    Board &board = this->boards[entry.id];
    board.leaving = entry.leaving;
    board.listed = true;
    board.service = entry.service;
}

void EngineChoice::onRemoved(std::string_view id)
{
    const auto found = this->boards.find(id);
    if (found == this->boards.end())
        return;
    const Board &board = found->second;
    if (board.listed)
        this->departures.push_back({board.service, this->memoryOf(board), this->clock.now()});
    this->boards.erase(found);
}

void EngineChoice::forget(std::string_view id)
{
    const auto found = this->boards.find(id);
    if (found != this->boards.end())
        this->boards.erase(found);
}

// The part of each engine's memory that the runs of engines which have just left will take, less
// those that have moved by now.
double EngineChoice::refugeShare(std::span<const TargetEntry *const> engines,
                                 const EngineTraits &traits)
{
    const TimePoint now = this->clock.now();
    const Duration time = this->options.evacuationTime;
    std::erase_if(this->departures,
                  [now, time](const Departure &one) { return now - one.at >= time; });
    if (this->departures.empty() || engines.empty())
        return 0;
    double tokens = 0;
    for (const Departure &one : this->departures) {
        const double passed = std::chrono::duration<double>(now - one.at) / time;
        if (one.service == engines.front()->service)
            tokens += one.tokens * (1 - passed);
    }
    const double room = static_cast<double>(engines.size()) * std::max(1U, traits.memoryTokens);
    return std::min(this->options.maxEvacuationReserve, tokens / room);
}

void EngineChoice::recordReport(std::string_view id, const EngineLoad &load)
{
    const auto found = this->boards.find(id);
    if (found == this->boards.end())
        return;
    found->second.load = load;
    found->second.reportedAt = this->clock.now();
    found->second.everReported = true;
    found->second.leaving = found->second.leaving || load.leaving;
    // What was placed before the moment that the report tells of is contained in it.
    const TimePoint told = found->second.reportedAt - reportLag;
    std::erase_if(found->second.changes, [told](const Change &one) { return one.since < told; });
}

void EngineChoice::noteFailure(Board &board, std::string_view instance)
{
    const TimePoint now = this->clock.now();
    // What was sent before the engine was left alone still comes back.
    if (now < board.avoidedUntil)
        return;
    if (now - std::max(board.failedAt, board.avoidedUntil) > this->options.failureWindow) {
        board.ownFailures = 0;
        board.failedBy.clear();
        board.timesAvoided = 0;
    }
    board.failedAt = now;
    board.failedBy.emplace(instance);
    board.ownFailures += instance.empty() ? 1 : 0;
    const std::size_t most = std::max(board.ownFailures, board.failedBy.size());
    if (most < this->options.failuresToAvoid && board.timesAvoided == 0)
        return;
    const int doublings = std::min(board.timesAvoided, this->options.mostDoublings);
    board.avoidedUntil = now + this->options.avoidFor * (1 << doublings);
    ++board.timesAvoided;
    board.ownFailures = 0;
    board.failedBy.clear();
}

void EngineChoice::recordFailure(std::string_view id)
{
    const auto found = this->boards.find(id);
    if (found != this->boards.end())
        this->noteFailure(found->second, {});
}

void EngineChoice::recordRemoteFailure(std::string_view id, std::string_view instance)
{
    const auto found = this->boards.find(id);
    if (found != this->boards.end())
        this->noteFailure(found->second, instance);
}

void EngineChoice::recordSuccess(std::string_view id)
{
    const auto found = this->boards.find(id);
    if (found == this->boards.end())
        return;
    found->second.ownFailures = 0;
    found->second.failedBy.clear();
    found->second.timesAvoided = 0;
}

Duration EngineChoice::readingTime(std::uint32_t tokens) const
{
    return std::chrono::duration_cast<Duration>(
            std::chrono::duration<double, std::milli>(tokens / this->readingSpeed));
}

void EngineChoice::addPrompt(Board &board, std::uint32_t tokens)
{
    board.promptsReadBy =
            std::max(board.promptsReadBy, this->clock.now()) + this->readingTime(tokens);
}

void EngineChoice::change(Board &board, double tokens)
{
    board.changes.push_back({tokens, this->clock.now()});
}

void EngineChoice::recordStart(std::string_view id, std::string_view run,
                               const GenerationNeed &need)
{
    Board &board = this->boards[std::string(id)];
    const TimePoint now = this->clock.now();
    const bool alone = board.promptsReadBy <= now;
    board.reading.insert_or_assign(std::string(run), Reading{need.promptTokens, now, alone});
    this->change(board, need.promptTokens);
    this->addPrompt(board, need.promptTokens);
}

void EngineChoice::recordCopy(std::string_view id, const GenerationNeed &need)
{
    this->change(this->boards[std::string(id)], need.promptTokens);
}

void EngineChoice::recordRelease(std::string_view id, std::string_view run, std::uint32_t tokens)
{
    const auto board = this->boards.find(id);
    if (board == this->boards.end())
        return;
    this->change(board->second, -static_cast<double>(tokens));
    const auto reading = board->second.reading.find(run);
    if (reading != board->second.reading.end())
        board->second.reading.erase(reading);
}

void EngineChoice::dropStaleBoards()
{
    const TimePoint oldest = this->clock.now() - this->options.keepUnlisted;
    std::erase_if(this->boards, [oldest](const auto &entry) {
        return !entry.second.listed && entry.second.noticedAt < oldest;
    });
}

EngineChoice::Board &EngineChoice::noticedBoard(std::string_view id)
{
    auto found = this->boards.find(id);
    if (found == this->boards.end()) {
        this->dropStaleBoards();
        found = this->boards.emplace(std::string(id), Board()).first;
    }
    found->second.noticedAt = this->clock.now();
    return found->second;
}

void EngineChoice::recordRemotePlacement(std::string_view id, const GenerationNeed &need,
                                         bool copied)
{
    Board &board = this->noticedBoard(id);
    this->change(board, need.promptTokens);
    if (!copied)
        this->addPrompt(board, need.promptTokens);
}

void EngineChoice::recordRemoteRelease(std::string_view id, std::uint32_t tokens)
{
    this->change(this->noticedBoard(id), -static_cast<double>(tokens));
}

void EngineChoice::firstToken(std::string_view id, std::string_view run)
{
    const auto board = this->boards.find(id);
    if (board == this->boards.end())
        return;
    const auto found = board->second.reading.find(run);
    if (found == board->second.reading.end())
        return;
    const Reading read = found->second;
    board->second.reading.erase(found);
    if (!read.alone)
        return;
    const double took =
            std::chrono::duration<double, std::milli>(this->clock.now() - read.since).count();
    const double speed =
            std::clamp(read.promptTokens / std::max(took, 1.0), slowestReading, fastestReading);
    this->readingSpeed += learningRate * (speed - this->readingSpeed);
}

// The report holds what everybody had there when it was made; what was taken and given back since
// is added, and what the runs there have grown by.
double EngineChoice::memoryOf(const Board &board) const
{
    double tokens = 0;
    if (board.everReported) {
        const Duration since = this->clock.now() - board.reportedAt + reportLag;
        const double grown = board.load.running * this->options.growthPerRun *
                             std::chrono::duration<double>(since).count();
        // Requests wait at an engine because its memory is spoken for; whoever comes after them
        // waits too.
        tokens = board.load.memoryInUse + grown +
                 static_cast<double>(board.load.waiting) * board.load.firstWaitingTokens;
    }
    for (const Change &one : board.changes)
        tokens += one.tokens;
    return std::max(0.0, tokens);
}

Duration EngineChoice::delayOf(const Board &board) const
{
    return std::max(Duration(0), board.promptsReadBy - this->clock.now());
}

EngineChoice::Forecast EngineChoice::forecast(std::string_view id) const
{
    const auto found = this->boards.find(id);
    if (found == this->boards.end())
        return {};
    const Board &board = found->second;
    return {this->memoryOf(board),
            board.everReported ? this->clock.now() - board.reportedAt : Duration(-1),
            this->delayOf(board)};
}

bool EngineChoice::avoided(const TargetEntry &entry)
{
    const Board &board = this->boards[entry.id];
    return board.leaving || this->clock.now() < board.avoidedUntil;
}

double EngineChoice::memoryWith(const Board &board, const EngineTraits &traits,
                                const GenerationNeed &need) const
{
    return (this->memoryOf(board) + need.promptTokens) / std::max<double>(1, traits.memoryTokens);
}

double EngineChoice::costOf(const TargetEntry &entry, const EngineTraits &traits,
                            const GenerationNeed &need, const Preference &preference)
{
    const double capacity = std::max<double>(1, traits.memoryTokens);
    const Board &board = this->boards[entry.id];
    const double memory =
            (this->memoryOf(board) + need.promptTokens + need.outputTokens / 2.0) / capacity;
    const double delay = std::chrono::duration<double>(this->delayOf(board)).count();
    const double cost = memory + preference.delayWeight * delay;
    const bool distant = entry.dataCentre != preference.dataCentre;
    return distant ? cost + preference.remotePenalty : cost;
}

const TargetEntry *EngineChoice::cheapest(std::vector<const TargetEntry *> open,
                                          const EngineTraits &traits, const GenerationNeed &need,
                                          const Preference &preference)
{
    std::shuffle(open.begin(), open.end(), this->random);
    std::uniform_real_distribution<double> blur(0, preference.blur);
    const std::size_t compared = std::min(open.size(), preference.candidates);
    this->shortage = {};
    const TargetEntry *best = nullptr;
    double bestCost = std::numeric_limits<double>::infinity();
    for (std::size_t i = 0; i < compared; ++i) {
        const Board &board = this->boards[open[i]->id];
        if (this->memoryWith(board, traits, need) > preference.mostMemory) {
            ++this->shortage.full;
            continue;
        }
        // A prompt that alone takes most of the time there is must find an engine that reads
        // nothing else, but it must not be shut out everywhere for its length.
        const Duration own =
                std::min(this->readingTime(need.promptTokens), preference.maxDelay / 2);
        if (this->delayOf(board) > preference.maxDelay - own) {
            ++this->shortage.slow;
            continue;
        }
        const double cost = this->costOf(*open[i], traits, need, preference) + blur(this->random);
        if (cost < bestCost) {
            best = open[i];
            bestCost = cost;
        }
    }
    return best;
}

std::vector<const TargetEntry *>
EngineChoice::openAmong(std::span<const TargetEntry *const> engines,
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
    const bool isUrgent = this->isShort(need);
    const double most = isUrgent ? this->options.urgentShare : this->options.newRunShare;
    const bool leavesRefuge = !isUrgent || this->options.urgentKeepsEvacuationReserve;
    const double share = most - (leavesRefuge ? this->refugeShare(engines, traits) : 0);
    const Preference preference{
            this->home, this->options.remotePenalty, this->options.candidates, share, need.maxDelay,
            0,          this->options.delayWeight};
    return this->cheapest(this->openAmong(engines, avoid), traits, need, preference);
}

const TargetEntry *EngineChoice::chooseEvacuationTarget(std::span<const TargetEntry *const> engines,
                                                        const EngineTraits &traits,
                                                        const GenerationNeed &need,
                                                        const TargetEntry &running,
                                                        const std::set<std::string> &avoid)
{
    std::set<std::string> others = avoid;
    others.insert(running.id);
    // Every engine is compared: those of the run's own data centre are few.
    const Preference preference{running.dataCentre,
                                this->options.remoteCopyPenalty,
                                engines.size(),
                                anyMemory,
                                Duration::max(),
                                this->options.evacuationCostJitter,
                                this->options.evacuationDelayWeight};
    return this->cheapest(this->openAmong(engines, others), traits, need, preference);
}

} // namespace jaytrack
