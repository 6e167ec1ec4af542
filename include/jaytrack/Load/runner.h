// Runs a load plan: open-loop arrivals, every byte of every answer checked, and what callers were
// told compared with what the stand-ins counted.
#ifndef JAYTRACK_LOAD_RUNNER_H
#define JAYTRACK_LOAD_RUNNER_H

#include "jaytrack/Load/loadplan.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace jaytrack {

// The samples of one quantity, in seconds.
class Samples
{
public:
    void add(double seconds) { this->values.push_back(seconds); }
    std::size_t count() const { return this->values.size(); }

    // The quantile, for example 0.99; 0 if there are no samples.
    double quantile(double q) const;

private:
    std::vector<double> values;
};

// What a run found.
struct LoadReport
{
    std::uint64_t requests = 0;
    std::uint64_t complete = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t tokens = 0;
    std::uint64_t resumes = 0;
    std::uint64_t preemptions = 0; // counted by the engines
    std::map<int, std::uint64_t> byCode;
    std::uint64_t garbled = 0;       // tokens doubled, missing, out of order or of two generations
    std::uint64_t mismatches = 0;    // callers told otherwise than the stand-ins counted
    std::vector<std::string> faults; // the first few of either, in words
    Samples firstToken;
    Samples betweenTokens;
    Samples longestStall; // of each generation
    Samples serviceTime;
    double seconds = 0;

    bool good() const { return this->garbled == 0 && this->mismatches == 0; }
};

// Runs a plan to its end. Bounded by the plan's duration, patience and number of requests.
LoadReport runLoad(const LoadPlan &plan);

// The report as lines of name=value.
std::string formatReport(const LoadReport &report);

} // namespace jaytrack

#endif
