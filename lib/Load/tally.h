// The state that all callers of one run share. Private to the library.
#ifndef JAYTRACK_LIB_LOAD_TALLY_H
#define JAYTRACK_LIB_LOAD_TALLY_H

#include "jaytrack/Http/client.h"
#include "jaytrack/Load/runner.h"

#include <asio.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <random>

namespace jaytrack {

// The final result that the caller of one request received.
struct CallerResult
{
    std::string outcome; // complete, not-run or unknown
    int code = 0;
    bool once = false; // must have run exactly once if complete
    bool generation = false;
};

// Collects the results of all callers. Thread-safe.
class Tally
{
public:
    Tally(const LoadPlan &loadPlan, HttpClient &httpClient)
        : plan(loadPlan)
        , client(httpClient)
    {
    }

    const LoadPlan &plan;
    HttpClient &client;
    asio::io_context timers;
    std::atomic<std::uint64_t> open{0};

    // Runs a function on the timer thread after a pause.
    void runAfter(std::chrono::milliseconds pause, std::function<void()> step);

    // Returns the base URL for an attempt. Consecutive attempts use different entries if there are
    // several.
    std::string entryFor(std::size_t attempt) const
    {
        return this->plan.entries[attempt % this->plan.entries.size()];
    }

    void recordResult(const std::string &id, const CallerResult &last);
    void recordGarbled(const std::string &what);
    void updateReport(const std::function<void(LoadReport &)> &change);

    // Compares the results with the counts of the stand-ins and returns the report.
    LoadReport conclude();

private:
    void compare(const std::map<std::string, std::uint64_t> &runs,
                 const std::map<std::string, std::uint64_t> &starts);
    void mismatch(const std::string &what);

    std::mutex mutex;
    LoadReport report;
    std::map<std::string, CallerResult> results;
};

// Starts one caller. It increments the number of open callers and decrements it when it ends.
void startGenerationCaller(Tally &tally, const GenerationLoad &load, std::uint64_t number,
                           std::uint64_t seed);
void startServiceCaller(Tally &tally, const ServiceLoad &load, std::uint64_t number);

} // namespace jaytrack

#endif
