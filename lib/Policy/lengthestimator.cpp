#include "jaytrack/Policy/lengthestimator.h"

#include <algorithm>
#include <cmath>

namespace jaytrack {

namespace {

constexpr double bucketsPerOctave = 2;
constexpr double fadeAbove = 4000; // total weight at which all weights are halved
constexpr double priorWeight = 8;  // observations that the prior counts for
constexpr double modelWeight = 40; // observations that the model counts for beside the customer's

double position(double length)
{
    return length <= 1 ? 0 : std::log2(length) * bucketsPerOctave;
}

} // namespace

void LengthHistogram::add(double length, double weight)
{
    const auto bucket = std::min(static_cast<std::size_t>(position(length)), buckets - 1);
    this->weights[bucket] += weight;
    this->sum += weight;
    if (this->sum < fadeAbove)
        return;
    for (double &value : this->weights)
        value /= 2;
    this->sum /= 2;
}

double LengthHistogram::above(double length) const
{
    const double at = position(length);
    const auto bucket = std::min(static_cast<std::size_t>(at), buckets - 1);
    const double within = std::min(1.0, at - static_cast<double>(bucket));
    double weight = this->weights[bucket] * (1 - within);
    for (std::size_t i = bucket + 1; i < buckets; ++i)
        weight += this->weights[i];
    return weight;
}

// Before anything is known lengths are taken to spread evenly, by octaves, from sixteen tokens to
// eight thousand: cautious enough not to fill an engine with strangers.
LengthEstimator::LengthEstimator()
{
    static constexpr int firstOctave = 4;
    static constexpr int lastOctave = 13;
    for (int octave = firstOctave; octave < lastOctave; ++octave)
        this->prior.add(std::exp2(octave + 0.5), 1.0 / (lastOctave - firstOctave));
}

std::string LengthEstimator::keyOf(std::string_view model, std::string_view customer)
{
    std::string key(model);
    key += '\n';
    key += customer;
    return key;
}

void LengthEstimator::learn(std::string_view model, std::string_view customer, std::uint32_t length)
{
    this->models[std::string(model)].add(length);
    if (this->customers.size() >= mostKinds)
        this->customers.erase(this->customers.begin());
    this->customers[keyOf(model, customer)].add(length);
}

LengthEstimator::Kind LengthEstimator::kindOf(std::string_view model,
                                              std::string_view customer) const
{
    Kind kind;
    kind.prior = &this->prior;
    const auto byModel = this->models.find(std::string(model));
    if (byModel != this->models.end()) {
        kind.model = &byModel->second;
        // The model speaks for a customer until that has shown enough of its own.
        kind.modelScale = std::min(1.0, modelWeight / byModel->second.total());
    }
    const auto own = this->customers.find(keyOf(model, customer));
    if (own != this->customers.end())
        kind.customer = &own->second;
    kind.priorScale = priorWeight;
    return kind;
}

double LengthEstimator::Kind::above(double length) const
{
    double weight = this->priorScale * this->prior->above(length);
    if (this->model != nullptr)
        weight += this->modelScale * this->model->above(length);
    if (this->customer != nullptr)
        weight += this->customer->above(length);
    return weight;
}

double LengthEstimator::Kind::survives(double age, double more) const
{
    const double now = this->above(age);
    // Older than anything seen: assume it goes on as far again as it has come, half the time.
    if (now < 1e-6)
        return more <= 0 ? 1.0 : age / (age + more);
    return std::clamp(this->above(age + more) / now, 0.0, 1.0);
}

} // namespace jaytrack
