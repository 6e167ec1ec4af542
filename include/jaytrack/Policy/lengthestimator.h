// Estimates how long generations become from the lengths of finished ones: the probability that a
// generation of a given age produces at least a given number of further tokens.
#ifndef JAYTRACK_POLICY_LENGTHESTIMATOR_H
#define JAYTRACK_POLICY_LENGTHESTIMATOR_H

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace jaytrack {

// A histogram of lengths with two buckets per octave. The weight of old observations decays.
class LengthHistogram
{
public:
    static constexpr std::size_t buckets = 34; // up to 2^17 tokens

    void add(double length, double weight = 1.0);

    // Returns the weight of all lengths above the given one, interpolated within a bucket.
    double above(double length) const;

    double total() const { return this->sum; }

private:
    std::array<double, buckets> weights{};
    double sum = 0;
};

// Keeps the length distribution of each model, and of each customer of a model with enough
// observations. Memory is bounded. Without observations a wide prior is used. Not thread-safe.
class LengthEstimator
{
public:
    LengthEstimator();

    // Records that a generation finished by itself after `length` tokens.
    void learn(std::string_view model, std::string_view customer, std::uint32_t length);

    // The length distribution of one model and customer. Valid until the next call of learn().
    class Kind
    {
    public:
        // Returns the probability that a generation of this age produces more than `more`
        // further tokens.
        double survives(double age, double more) const;

    private:
        friend class LengthEstimator;
        double above(double length) const;

        const LengthHistogram *prior = nullptr;
        const LengthHistogram *model = nullptr;
        const LengthHistogram *customer = nullptr;
        double modelScale = 0;
        double priorScale = 0;
    };

    Kind kindOf(std::string_view model, std::string_view customer) const;

private:
    static constexpr std::size_t maxKinds = 8192;

    using Histograms = std::unordered_map<std::string, LengthHistogram>;

    static std::string keyOf(std::string_view model, std::string_view customer);

    LengthHistogram prior;
    Histograms models;
    Histograms customers; // keyed by model and customer
};

} // namespace jaytrack

#endif
