#include "jaytrack/Policy/lengthestimator.h"

#include <algorithm>
#include <cmath>

namespace jaytrack {

namespace {

constexpr double bucketsPerOctave = 2;
constexpr double decayThreshold = 4000; // total weight at which all weights are halved
constexpr double priorWeight = 8;       // weight of the prior, in observations
// Maximum weight of the model's lengths beside the customer's, in observations.
constexpr double modelWeight = 40;

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
    if (this->sum < decayThreshold)
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

// The prior spreads lengths evenly by octave from 16 to 8192 tokens. This is cautious enough not to
// fill an engine with generations of unknown length.
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
    if (this->customers.size() >= maxKinds)
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
        // The model's lengths predominate until the customer has enough observations.
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
    // Older than every recorded length: assume that the generation doubles its length with
    // probability one half.
    if (now < 1e-6)
        return more <= 0 ? 1.0 : age / (age + more);
    return std::clamp(this->above(age + more) / now, 0.0, 1.0);
}

} // namespace jaytrack
