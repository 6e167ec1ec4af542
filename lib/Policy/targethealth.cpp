#include "jaytrack/Policy/targethealth.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace jaytrack {

namespace {

constexpr double smoothing = 0.2;
constexpr double minimumDrift = 1.01;   // how fast an old best latency is forgotten, per answer
constexpr double congestedRatio = 2.0;  // latency over its best that shows a queue
constexpr double congestedFloor = 0.02; // seconds above the best that are never called a queue
constexpr double decrease = 0.9;
constexpr Duration slowStart = std::chrono::seconds(10);
constexpr std::size_t peersForMedian = 3;

} // namespace

TargetHealth::TargetHealth(const Clock &time, std::uint64_t seed, TargetHealthBounds limits)
    : clock(time)
    , random(seed)
    , bounds(limits)
    , retryTokens(limits.retryBurst)
{
}

TargetHealth::State &TargetHealth::stateOf(std::string_view target)
{
    const auto [found, added] = this->states.try_emplace(std::string(target));
    if (added)
        found->second.limit = this->bounds.firstLimit;
    return found->second;
}

// A target that comes back cold is brought up to its limit step by step, or the whole fleet would
// push it over at once.
double TargetHealth::effectiveLimit(const State &state) const
{
    const Duration since = this->clock.now() - state.returnedAt;
    if (state.returnedAt == TimePoint{} || since >= slowStart)
        return state.limit;
    const double share =
            std::chrono::duration<double>(since) / std::chrono::duration<double>(slowStart);
    return std::max(1.0, state.limit * share);
}

bool TargetHealth::usable(const State &state) const
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
        if (this->usable(state))
            candidates.push_back(static_cast<int>(i));
        else if (this->clock.now() < state.ejectedUntil)
            ejected.push_back(static_cast<int>(i));
    }
    // When every target is ejected the judgement itself is in doubt, the cause more likely a link
    // or this instance; trying is better than refusing all.
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
    assert(state.outstanding > 0 && "a request ends after it began");
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

void TargetHealth::forget(std::string_view target)
{
    const auto found = this->states.find(std::string(target));
    if (found == this->states.end())
        return;
    found->second.gone = true;
    if (found->second.outstanding == 0)
        this->states.erase(found);
}

// Additive increase while answers come about as fast as they ever did, multiplicative decrease
// when they queue: the target's own limit is found without being configured.
void TargetHealth::adapt(State &state, double seconds, bool failed)
{
    if (!failed) {
        const double drifted = state.bestLatency * minimumDrift;
        state.bestLatency = state.bestLatency == 0 ? seconds : std::min(seconds, drifted);
    }
    if (failed || seconds > congestedRatio * state.bestLatency + congestedFloor)
        state.limit = std::max(1.0, state.limit * decrease);
    else
        state.limit = std::min(this->bounds.mostLimit, state.limit + 1.0 / state.limit);
}

void TargetHealth::eject(State &state)
{
    const int doublings = std::min(state.ejectionsInRow, 10);
    const Duration length =
            std::min(this->bounds.longestEjection, this->bounds.ejectFor * (1 << doublings));
    ++state.ejectionsInRow;
    state.failuresInRow = 0;
    state.ejectedUntil = this->clock.now() + length;
    state.returnedAt = state.ejectedUntil;
    state.latency = 0;
}

// A slow target hurts more than a dead one, because everything waits for it. With few peers there
// is no telling who is the odd one, so nobody is ejected for slowness then.
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
    return found == this->states.end() ? this->bounds.firstLimit
                                       : this->effectiveLimit(found->second);
}

} // namespace jaytrack
