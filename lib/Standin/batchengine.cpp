#include "jaytrack/Standin/batchengine.h"

#include <algorithm>

namespace jaytrack {

void BatchEngine::submit(const EngineJob &job)
{
    Sequence sequence;
    sequence.job = job;
    // Higher priorities come first; jobs of equal priority stay in order of arrival.
    const auto place =
            std::find_if(this->waiting.begin(), this->waiting.end(), [&job](const Sequence &other) {
                return other.job.priority < job.priority;
            });
    this->waiting.insert(place, sequence);
}

void BatchEngine::cancel(std::uint64_t id)
{
    std::erase_if(this->waiting, [id](const Sequence &s) { return s.job.id == id; });
    for (auto it = this->running.begin(); it != this->running.end(); ++it) {
        if (it->job.id != id)
            continue;
        this->used -= it->memory;
        this->running.erase(it);
        return;
    }
}

std::uint32_t BatchEngine::prefillNeeded(const Sequence &sequence)
{
    const std::uint32_t whole = sequence.job.promptTokens + sequence.produced;
    const bool hit = sequence.job.prefixHash != 0 && this->caches(sequence.job.prefixHash);
    const std::uint32_t saved = hit ? std::min(sequence.job.prefixTokens, whole) : 0;
    return std::max<std::uint32_t>(1, whole - saved);
}

void BatchEngine::admitWaiting()
{
    while (!this->waiting.empty() && this->running.size() < this->spec.slots) {
        Sequence &next = this->waiting.front();
        const std::uint64_t needs = next.job.promptTokens + next.produced + 1;
        // Admit a sequence that is larger than the whole memory too; it would otherwise wait
        // forever.
        if (this->used + needs > this->spec.memoryTokens && !this->running.empty())
            return;
        next.toPrefill = this->prefillNeeded(next);
        next.memory = needs;
        this->used += needs;
        this->touchPrefix(next.job);
        this->running.push_back(next);
        this->waiting.pop_front();
    }
}

double BatchEngine::prefillStep()
{
    std::uint32_t budget = this->spec.prefillPerStep;
    for (Sequence &sequence : this->running) {
        const std::uint32_t part = std::min(budget, sequence.toPrefill);
        sequence.toPrefill -= part;
        budget -= part;
    }
    return (this->spec.prefillPerStep - budget) / this->spec.prefillTokensPerMs;
}

// Selects the sequence to preempt: the latest one of the lowest priority.
std::size_t BatchEngine::selectVictim() const
{
    std::size_t chosen = 0;
    for (std::size_t i = 1; i < this->running.size(); ++i) {
        if (this->running[i].job.priority <= this->running[chosen].job.priority)
            chosen = i;
    }
    return chosen;
}

// Frees memory for one more token of the sequence at the index. Returns false if that sequence
// itself was preempted. Adjusts the index if an earlier sequence was preempted.
bool BatchEngine::ensureMemory(std::size_t &index, EngineStep &step)
{
    while (this->used + 1 > this->spec.memoryTokens && this->running.size() > 1) {
        const std::size_t chosen = this->selectVictim();
        Sequence evicted = this->running[chosen];
        this->used -= evicted.memory;
        evicted.memory = 0;
        this->running.erase(this->running.begin() + static_cast<std::ptrdiff_t>(chosen));
        ++this->preempted;
        step.events.push_back({EngineEventKind::Preempted, evicted.job.id, evicted.produced});
        const int priority = evicted.job.priority;
        const auto place = std::find_if(
                this->waiting.begin(), this->waiting.end(),
                [priority](const Sequence &other) { return other.job.priority <= priority; });
        this->waiting.insert(place, evicted);
        if (chosen == index)
            return false;
        if (chosen < index)
            --index;
    }
    return true;
}

void BatchEngine::decode(EngineStep &step)
{
    for (std::size_t i = 0; i < this->running.size();) {
        if (this->running[i].toPrefill > 0) {
            ++i;
            continue;
        }
        if (!this->ensureMemory(i, step))
            continue;
        Sequence &sequence = this->running[i];
        ++sequence.memory;
        ++this->used;
        step.events.push_back({EngineEventKind::Token, sequence.job.id, sequence.produced});
        ++sequence.produced;
        if (sequence.produced < sequence.job.outputTokens) {
            ++i;
            continue;
        }
        step.events.push_back({EngineEventKind::Finished, sequence.job.id, sequence.produced});
        this->used -= sequence.memory;
        this->running.erase(this->running.begin() + static_cast<std::ptrdiff_t>(i));
    }
}

EngineStep BatchEngine::step()
{
    EngineStep step;
    this->admitWaiting();
    const double prefillMs = this->prefillStep();
    const double decodeMs =
            this->spec.stepBaseMs +
            this->spec.stepPerSequenceMs * static_cast<double>(this->running.size());
    this->decode(step);
    step.took = std::chrono::duration_cast<Duration>(
            std::chrono::duration<double, std::milli>(prefillMs + decodeMs));
    return step;
}

void BatchEngine::touchPrefix(const EngineJob &job)
{
    if (job.prefixHash == 0 || job.prefixTokens > this->spec.cacheTokens)
        return;
    const auto found = this->cache.find(job.prefixHash);
    if (found != this->cache.end()) {
        this->cacheOrder.splice(this->cacheOrder.end(), this->cacheOrder, found->second.place);
        return;
    }
    while (this->cached + job.prefixTokens > this->spec.cacheTokens) {
        const auto oldest = this->cache.find(this->cacheOrder.front());
        this->cached -= oldest->second.tokens;
        this->cache.erase(oldest);
        this->cacheOrder.pop_front();
    }
    const auto place = this->cacheOrder.insert(this->cacheOrder.end(), job.prefixHash);
    this->cache[job.prefixHash] = {job.prefixTokens, place};
    this->cached += job.prefixTokens;
}

} // namespace jaytrack
