#include "jaytrack/Policy/targethealth.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace jaytrack {

namespace {

constexpr double smoothing = 0.2;
constexpr double bestLatencyGrowth = 1.01; // growth of the recorded best latency per answer
constexpr double congestedRatio = 2.0; // ratio of latency to best latency that indicates queueing
// Differences up to this many seconds never indicate queueing.
constexpr double congestedFloor = 0.02;
constexpr double decrease = 0.9;
constexpr Duration slowStart = std::chrono::seconds(10);
constexpr std::size_t peersForMedian = 3;

} // namespace

TargetHealth::TargetHealth(const Clock &clockSource, std::uint64_t seed, TargetHealthBounds limits)
    : clock(clockSource)
    , random(seed)
    , bounds(limits)
    , retryTokens(limits.retryBurst)
{
}

TargetHealth::State &TargetHealth::stateOf(std::string_view target)
{
    const auto [found, added] = this->states.try_emplace(std::string(target));
    if (added)
        found->second.limit = this->bounds.initialLimit;
    return found->second;
}

// Raises the limit of a target that returns from an ejection step by step. Otherwise the whole
// fleet would overload the cold target at once.
double TargetHealth::effectiveLimit(const State &state) const
{
    const Duration since = this->clock.now() - state.returnedAt;
    if (state.returnedAt == TimePoint{} || since >= slowStart)
        return state.limit;
    const double share =
            std::chrono::duration<double>(since) / std::chrono::duration<double>(slowStart);
    return std::max(1.0, state.limit * share);
}

bool TargetHealth::isUsable(const State &state) const
{
    return this->clock.now() >= state.ejectedUntil &&
           state.outstanding < this->effectiveLimit(state);
}

int TargetHealth::choose(std::span<const std::string_view> names)
{
    std::vector<int> candidates;
    std::vector<int> ejected;
    for (std::size_t i = 0; i < names.size(); ++i) {
        const State &state = this->stateOf(names[i]);
        if (this->isUsable(state))
            candidates.push_back(static_cast<int>(i));
        else if (this->clock.now() < state.ejectedUntil)
            ejected.push_back(static_cast<int>(i));
    }
    // If every target is ejected, the cause is more likely a network link or this instance than
    // the targets. Trying one is better than refusing all requests.
    if (candidates.empty() && ejected.size() == names.size())
        candidates = std::move(ejected);
    if (candidates.empty())
        return -1;
    const int left = candidates[this->random() % candidates.size()];
    const int right = candidates[this->random() % candidates.size()];
    const State &leftState = this->stateOf(names[static_cast<std::size_t>(left)]);
    const State &rightState = this->stateOf(names[static_cast<std::size_t>(right)]);
    return leftState.outstanding <= rightState.outstanding ? left : right;
}

void TargetHealth::began(std::string_view target, std::string_view group)
{
    State &state = this->stateOf(target);
    state.group = group;
    ++state.outstanding;
    this->retryTokens =
            std::min(this->bounds.retryBurst, this->retryTokens + this->bounds.retryShare);
}

void TargetHealth::ended(std::string_view target, bool failed, Duration took)
{
    State &state = this->stateOf(target);
    assert(state.outstanding > 0 && "a request can end only after it began");
    --state.outstanding;
    if (state.gone) {
        this->forget(target);
        return;
    }
    const double seconds = std::chrono::duration<double>(took).count();
    this->adapt(state, seconds, failed);
    if (failed) {
        if (++state.failuresInRow >= this->bounds.failuresToEject)
            this->eject(state);
        return;
    }
    state.failuresInRow = 0;
    state.latency =
            state.latency == 0 ? seconds : state.latency + smoothing * (seconds - state.latency);
    this->ejectIfSlow(state);
}

void TargetHealth::abandoned(std::string_view target)
{
    State &state = this->stateOf(target);
    assert(state.outstanding > 0 && "a request can end only after it began");
    --state.outstanding;
    if (state.gone)
        this->forget(target);
}

void TargetHealth::forget(std::string_view target)
{
    const auto found = this->states.find(std::string(target));
    if (found == this->states.end())
        return;
    found->second.gone = true;
    if (found->second.outstanding == 0)
        this->states.erase(found);
}

// Finds the target's concurrency limit without configuration: additive increase while latency stays
// close to its best value, multiplicative decrease when requests queue or fail.
void TargetHealth::adapt(State &state, double seconds, bool failed)
{
    if (!failed) {
        const double drifted = state.bestLatency * bestLatencyGrowth;
        state.bestLatency = state.bestLatency == 0 ? seconds : std::min(seconds, drifted);
    }
    if (failed || seconds > congestedRatio * state.bestLatency + congestedFloor)
        state.limit = std::max(1.0, state.limit * decrease);
    else
        state.limit = std::min(this->bounds.maxLimit, state.limit + 1.0 / state.limit);
}

void TargetHealth::eject(State &state)
{
    const int doublings = std::min(state.ejectionsInRow, 10);
    const Duration length =
            std::min(this->bounds.maxEjection, this->bounds.firstEjection * (1 << doublings));
    ++state.ejectionsInRow;
    state.failuresInRow = 0;
    state.ejectedUntil = this->clock.now() + length;
    state.returnedAt = state.ejectedUntil;
    state.latency = 0;
}

// Ejects a target that is much slower than its peers. A slow target does more harm than a dead one,
// because every request to it waits. With fewer than three measured peers the outlier can't be
// determined, so no target is ejected for slowness.
void TargetHealth::ejectIfSlow(State &state)
{
    std::vector<double> latencies;
    for (const auto &[name, other] : this->states) {
        if (other.latency > 0 && other.group == state.group && !other.gone)
            latencies.push_back(other.latency);
    }
    if (latencies.size() < peersForMedian) {
        state.ejectionsInRow = 0;
        return;
    }
    const auto middle = latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() / 2);
    std::nth_element(latencies.begin(), middle, latencies.end());
    if (state.latency > this->bounds.slowFactor * *middle)
        this->eject(state);
    else
        state.ejectionsInRow = 0;
}

bool TargetHealth::takeRetry()
{
    if (this->retryTokens < 1)
        return false;
    this->retryTokens -= 1;
    return true;
}

bool TargetHealth::isEjected(std::string_view target) const
{
    const auto found = this->states.find(std::string(target));
    return found != this->states.end() && this->clock.now() < found->second.ejectedUntil;
}

double TargetHealth::limitOf(std::string_view target) const
{
    const auto found = this->states.find(std::string(target));
    return found == this->states.end() ? this->bounds.initialLimit
                                       : this->effectiveLimit(found->second);
}

} // namespace jaytrack
