// How long generations get, learnt from those that ended: the chance that one of a given age goes
// on for so many tokens more.
#ifndef JAYTRACK_POLICY_LENGTHESTIMATOR_H
#define JAYTRACK_POLICY_LENGTHESTIMATOR_H

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace jaytrack {

// A histogram of lengths over buckets that widen by half an octave, in which old observations fade.
class LengthHistogram
{
public:
    static constexpr std::size_t buckets = 34; // up to 2^17 tokens

    void add(double length, double weight = 1.0);

    // The weight of all lengths above the given one, interpolated within a bucket.
    double above(double length) const;

    double total() const { return this->sum; }

private:
    std::array<double, buckets> weights{};
    double sum = 0;
};

// The lengths of each model's generations, and of each customer's where that one has enough of its
// own. Memory is bounded; without any observation a wide prior stands in. Not safe for several
// threads at once.
class LengthEstimator
{
public:
    LengthEstimator();

    // A generation ended by itself after so many tokens.
    void learn(std::string_view model, std::string_view customer, std::uint32_t length);

    // A view of one kind of generation, valid until the next call of learn().
    class Kind
    {
    public:
        // The chance that a generation of this age produces more than this many tokens more.
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
    static constexpr std::size_t mostKinds = 8192;

    using Histograms = std::unordered_map<std::string, LengthHistogram>;

    static std::string keyOf(std::string_view model, std::string_view customer);

    LengthHistogram prior;
    Histograms models;
    Histograms customers; // by model and customer
};

} // namespace jaytrack

#endif
