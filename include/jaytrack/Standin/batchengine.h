// A model of one engine with continuous batching. Its memory fills as generations grow. When the
// memory is full, the engine preempts a sequence and recomputes it later. The model advances in
// steps and reads no clock, so that the stand-in server and the policy benchmark can both use it.
#ifndef JAYTRACK_STANDIN_BATCHENGINE_H
#define JAYTRACK_STANDIN_BATCHENGINE_H

#include "jaytrack/Support/clock.h"

#include <cstdint>
#include <deque>
#include <list>
#include <unordered_map>
#include <vector>

namespace jaytrack {

// The size and speed of an engine.
struct BatchEngineSpec
{
    std::uint32_t slots = 32;
    std::uint64_t memoryTokens = 60'000;
    double stepBaseMs = 12.0;        // one decode step with an empty batch
    double stepPerSequenceMs = 0.25; // added for each sequence in the batch
    double prefillTokensPerMs = 8.0;
    std::uint32_t prefillPerStep = 512; // prompt tokens processed between two decode steps
    std::uint64_t cacheTokens = 20'000; // capacity of the prefix cache
};

// One generation submitted to the engine.
struct EngineJob
{
    std::uint64_t id = 0;
    int priority = 0;
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 1;
    std::uint64_t prefixHash = 0;
    std::uint32_t prefixTokens = 0;
};

enum class EngineEventKind { Token, Finished, Preempted };

struct EngineEvent
{
    EngineEventKind kind = EngineEventKind::Token;
    std::uint64_t job = 0;
    std::uint32_t index = 0; // of the token
};

// The events of one step and its duration.
struct EngineStep
{
    Duration took{0};
    std::vector<EngineEvent> events;
};

class BatchEngine
{
public:
    explicit BatchEngine(BatchEngineSpec size)
        : spec(size)
    {
    }

    void submit(const EngineJob &job);
    void cancel(std::uint64_t id);

    // Runs one step. On an idle engine the step lasts as long as one with an empty batch.
    EngineStep step();

    bool idle() const { return this->running.empty() && this->waiting.empty(); }
    std::uint64_t memoryUsed() const { return this->used; }
    std::uint32_t runningCount() const { return static_cast<std::uint32_t>(this->running.size()); }
    std::uint32_t waitingCount() const { return static_cast<std::uint32_t>(this->waiting.size()); }
    std::uint64_t preemptions() const { return this->preempted; }
    const BatchEngineSpec &size() const { return this->spec; }

    // Whether the prompt prefix is in the cache now.
    bool caches(std::uint64_t prefixHash) const { return this->cache.count(prefixHash) != 0; }

private:
    struct Sequence
    {
        EngineJob job;
        std::uint32_t produced = 0;
        std::uint32_t toPrefill = 0; // prompt tokens not yet processed
        std::uint64_t memory = 0;
    };

    struct CachedPrefix
    {
        std::uint32_t tokens = 0;
        std::list<std::uint64_t>::iterator place;
    };

    void admitWaiting();
    double prefillStep();
    void decode(EngineStep &step);
    bool ensureMemory(std::size_t &index, EngineStep &step);
    std::size_t selectVictim() const;
    void touchPrefix(const EngineJob &job);
    std::uint32_t prefillNeeded(const Sequence &sequence);

    BatchEngineSpec spec;
    std::vector<Sequence> running; // oldest first
    std::deque<Sequence> waiting;
    std::uint64_t used = 0;
    std::uint64_t preempted = 0;
    std::unordered_map<std::uint64_t, CachedPrefix> cache;
    std::list<std::uint64_t> cacheOrder; // least recently used first
    std::uint64_t cached = 0;
};

} // namespace jaytrack

#endif
