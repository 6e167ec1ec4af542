#include "jaytrack/Policy/enginehome.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace jaytrack {

namespace {

// Forecast horizons in tokens. All sequences of a batch advance together.
constexpr std::array<double, 12> horizonTokens = {0,   16,   32,   64,   128,  256,
                                                  512, 1024, 2048, 4096, 8192, 16384};
constexpr Duration refreshInterval = std::chrono::milliseconds(50);
constexpr double smoothing = 0.1;
constexpr double staticReserve = 1000;
constexpr double staticShare = 0.8;
constexpr double negligibleShare = 0.002; // share of memory
// The same for requests with a priority above 0, which may not wait.
constexpr double urgentShare = 0.02;
constexpr double agedShare = 0.5; // share of its maximum wait after which a request is served first

// Returns the number of standard deviations that a normal variable exceeds with this probability
// (Abramowitz and Stegun 26.2.23; absolute error below 4.5e-4).
double deviationsFor(double chance)
{
    const double t = std::sqrt(-2 * std::log(std::clamp(chance, 1e-6, 0.5)));
    return t - (2.515517 + 0.802853 * t + 0.010328 * t * t) /
                       (1 + 1.432788 * t + 0.189269 * t * t + 0.001308 * t * t * t);
}

} // namespace

EngineHome::EngineHome(EngineSpec engineSpec, const Clock &clockSource, LengthEstimator &estimator,
                       EngineHomeOptions homeOptions)
    : spec(std::move(engineSpec))
    , clock(clockSource)
    , lengths(estimator)
    , options(homeOptions)
{
}

bool EngineHome::acceptsWork() const
{
    return this->isAlive() && !this->isLeaving();
}

// The report describes a moment in the past. Commitments granted since then are counted in
// addition, so only the memory beyond the commitments of that moment is taken from the report.
void EngineHome::report(const EngineReport &latest)
{
    this->lastReport = latest;
    double explained = 0;
    for (const auto &[key, commitment] : this->commitments) {
        if (commitment.grantedAt > latest.takenAt)
            continue;
        explained += commitment.request.promptTokens + this->producedNow(commitment);
    }
    this->unexplained = std::max(0.0, static_cast<double>(latest.memoryUsed) - explained);
}

double EngineHome::producedNow(const Commitment &commitment) const
{
    const double since =
            std::chrono::duration<double>(this->clock.now() - commitment.reportedAt).count();
    return commitment.produced + std::max(0.0, since) * this->tokensPerSecond;
}

EngineHome::Forecast EngineHome::forecastOf(const RoomRequest &request, double produced) const
{
    Forecast forecast;
    const LengthEstimator::Kind kind = this->lengths.kindOf(this->spec.model, request.customer);
    const double limit = request.maxTokens == 0 ? 1e9 : request.maxTokens;
    for (std::size_t i = 0; i < horizons; ++i) {
        const double ahead = horizonTokens[i];
        const double chance = produced + ahead > limit ? 0.0 : kind.survives(produced, ahead);
        const double size = request.promptTokens + produced + ahead;
        forecast.mean[i] = chance * size;
        forecast.variance[i] = chance * (1 - chance) * size * size;
    }
    return forecast;
}

void EngineHome::addToSums(const Forecast &forecast, double sign)
{
    for (std::size_t i = 0; i < horizons; ++i) {
        this->sums.mean[i] += sign * forecast.mean[i];
        this->sums.variance[i] += sign * forecast.variance[i];
    }
}

void EngineHome::refresh()
{
    const TimePoint now = this->clock.now();
    if (now - this->sumsAt < refreshInterval)
        return;
    this->sums = Forecast{};
    for (auto &[key, commitment] : this->commitments) {
        commitment.counted = this->forecastOf(commitment.request, this->producedNow(commitment));
        this->addToSums(commitment.counted, 1);
    }
    this->sumsAt = now;
}

bool EngineHome::fitsStatically(const RoomRequest &request) const
{
    double used = this->unexplained;
    for (const auto &[key, commitment] : this->commitments)
        used += commitment.request.promptTokens + this->producedNow(commitment);
    return used + request.promptTokens + staticReserve <=
           staticShare * static_cast<double>(this->spec.memoryTokens);
}

// Returns whether the probability that memory overflows at any horizon stays within the operators'
// bound if this request is admitted.
bool EngineHome::fits(const RoomRequest &request)
{
    if (this->commitments.size() >= std::max<std::size_t>(1, this->spec.slots))
        return false;
    // A request alone on the engine is admitted, however large; waiting would not make it
    // smaller.
    if (this->commitments.empty() && this->unexplained < 1)
        return true;
    if (!this->options.forecast)
        return this->fitsStatically(request);
    this->refresh();
    const Forecast own = this->forecastOf(request, request.producedTokens);
    const double deviations = deviationsFor(request.overflowBound);
    const auto capacity = static_cast<double>(this->spec.memoryTokens) - this->unexplained;
    for (std::size_t i = 0; i < horizons; ++i) {
        const double mean = this->sums.mean[i] + own.mean[i];
        const double variance = std::max(0.0, this->sums.variance[i]) + own.variance[i];
        // A short request that ends before this horizon hardly adds to its risk, and
        // holding it back would not reduce the risk.
        const double share = request.priority > 0 ? urgentShare : negligibleShare;
        const bool negligible = i > 0 && own.mean[i] < share * capacity;
        if (mean + deviations * std::sqrt(variance) > capacity && !negligible)
            return false;
    }
    return true;
}

int EngineHome::roomPerMille()
{
    this->refresh();
    const auto capacity = static_cast<double>(this->spec.memoryTokens);
    double worst = this->unexplained;
    for (std::size_t i = 0; i < horizons; ++i) {
        worst = std::max(worst, this->unexplained + this->sums.mean[i] +
                                        std::sqrt(std::max(0.0, this->sums.variance[i])));
    }
    const double slotRoom = 1.0 - static_cast<double>(this->commitments.size()) /
                                          static_cast<double>(this->spec.slots);
    return static_cast<int>(1000 * std::min(slotRoom, 1.0 - worst / capacity));
}

void EngineHome::enqueue(const RoomRequest &request)
{
    // The message may be a duplicate, or a retransmission after its answer was lost.
    if (this->commitments.count(request.key) == 0 && !this->isWaiting(request.key))
        this->waiting.push_back(request);
}

bool EngineHome::isWaiting(const GrantKey &key) const
{
    return std::any_of(this->waiting.begin(), this->waiting.end(),
                       [&key](const RoomRequest &other) { return other.key == key; });
}

void EngineHome::adopt(const RoomRequest &request)
{
    if (this->commitments.count(request.key) == 0)
        this->commit(request);
}

void EngineHome::commit(const RoomRequest &request)
{
    Commitment commitment;
    commitment.request = request;
    commitment.produced = request.producedTokens;
    commitment.grantedAt = this->clock.now();
    commitment.reportedAt = commitment.grantedAt;
    auto &[memory, slots] = this->usage[request.customer];
    memory += request.promptTokens;
    slots += 1;
    commitment.counted = this->forecastOf(request, request.producedTokens);
    this->addToSums(commitment.counted, 1);
    this->commitments.emplace(request.key, std::move(commitment));
}

void EngineHome::progress(const GrantKey &key, std::uint32_t producedTokens)
{
    const auto found = this->commitments.find(key);
    if (found == this->commitments.end())
        return;
    Commitment &commitment = found->second;
    const TimePoint now = this->clock.now();
    const double seconds = std::chrono::duration<double>(now - commitment.reportedAt).count();
    if (producedTokens > commitment.produced && seconds > 0) {
        const double rate = (producedTokens - commitment.produced) / seconds;
        this->tokensPerSecond += smoothing * (rate - this->tokensPerSecond);
        this->usage[commitment.request.customer].first += producedTokens - commitment.produced;
    }
    commitment.produced = std::max(commitment.produced, producedTokens);
    commitment.reportedAt = now;
}

void EngineHome::withdraw(const GrantKey &key)
{
    std::erase_if(this->waiting, [&key](const RoomRequest &other) { return other.key == key; });
}

void EngineHome::departed(const GrantKey &key, Departure how, std::uint32_t producedTokens)
{
    this->withdraw(key);
    const auto found = this->commitments.find(key);
    if (found == this->commitments.end())
        return;
    const Commitment &commitment = found->second;
    if (how == Departure::Finished)
        this->lengths.learn(this->spec.model, commitment.request.customer, producedTokens);
    const auto used = this->usage.find(commitment.request.customer);
    used->second.first -= commitment.request.promptTokens + commitment.produced -
                          commitment.request.producedTokens;
    used->second.second -= 1;
    if (used->second.second < 0.5)
        this->usage.erase(used);
    this->addToSums(commitment.counted, -1);
    this->commitments.erase(found);
}

void EngineHome::forgetInstance(std::string_view instance)
{
    std::erase_if(this->waiting,
                  [instance](const RoomRequest &other) { return other.key.first == instance; });
    std::vector<GrantKey> gone;
    for (const auto &[key, commitment] : this->commitments) {
        if (key.first == instance)
            gone.push_back(key);
    }
    for (const GrantKey &key : gone)
        this->departed(key, Departure::Lost, 0);
}

// Returns the larger of the customer's shares of memory and of slots on this engine, divided by its
// weight (dominant resource fairness, Ghodsi et al., 2011). Each engine is shared fairly on its
// own, which needs no sums over instances or engines.
double EngineHome::dominantShare(const std::string &customer, std::uint32_t weight) const
{
    const auto found = this->usage.find(customer);
    if (found == this->usage.end())
        return 0;
    const double memory = found->second.first / static_cast<double>(this->spec.memoryTokens);
    const double slots = found->second.second / static_cast<double>(this->spec.slots);
    return std::max(memory, slots) / std::max<std::uint32_t>(1, weight);
}

// Orders by priority; then requests that have waited half of their maximum wait, which prevents
// starvation; then the customer with the smallest dominant share; then the oldest request.
std::deque<RoomRequest>::iterator EngineHome::choose()
{
    const TimePoint now = this->clock.now();
    const auto rank = [&](const RoomRequest &request) {
        const Duration waitLimit = request.deadline - request.since;
        const bool aged = now - request.since > waitLimit * agedShare;
        const double share = this->options.fairShares && !aged
                                     ? this->dominantShare(request.customer, request.weight)
                                     : 0.0;
        return std::make_tuple(-request.priority, !aged, share, request.since);
    };
    return std::min_element(
            this->waiting.begin(), this->waiting.end(),
            [&](const RoomRequest &a, const RoomRequest &b) { return rank(a) < rank(b); });
}

std::vector<RoomRequest> EngineHome::grantRoom()
{
    std::vector<RoomRequest> granted;
    while (this->acceptsWork() && !this->waiting.empty()) {
        const auto next = this->choose();
        if (!this->fits(*next))
            break; // later requests may not overtake it, or a large request would never be served
        this->commit(*next);
        granted.push_back(std::move(*next));
        this->waiting.erase(next);
    }
    return granted;
}

std::vector<RoomRequest> EngineHome::expire()
{
    const TimePoint now = this->clock.now();
    std::vector<RoomRequest> expired;
    for (auto it = this->waiting.begin(); it != this->waiting.end();) {
        if (now < it->deadline) {
            ++it;
            continue;
        }
        expired.push_back(std::move(*it));
        it = this->waiting.erase(it);
    }
    return expired;
}

std::vector<RoomRequest> EngineHome::takeWaiting()
{
    std::vector<RoomRequest> all(std::make_move_iterator(this->waiting.begin()),
                                 std::make_move_iterator(this->waiting.end()));
    this->waiting.clear();
    return all;
}

} // namespace jaytrack
