// Runs a load plan with open-loop arrivals. Checks every byte of every answer and compares the
// results that callers received with the counts of the stand-ins.
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

// The results of a run.
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
    std::uint64_t garbled = 0;    // tokens duplicated, missing, out of order or of two generations
    std::uint64_t mismatches = 0; // caller results that differ from the stand-ins' counts
    std::vector<std::string> faults; // descriptions of the first few of either
    Samples firstToken;
    Samples betweenTokens;
    Samples longestStall; // of each generation
    Samples serviceTime;
    double seconds = 0;

    bool good() const { return this->garbled == 0 && this->mismatches == 0; }
};

// Runs a plan to its end. The plan's duration, its time limit for one answer and its number of
// requests bound the run.
LoadReport runLoad(const LoadPlan &plan);

// The report as lines of name=value.
std::string formatReport(const LoadReport &report);

} // namespace jaytrack

#endif
