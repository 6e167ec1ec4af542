// What all callers of one run share; private to the library.
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

// What one request's caller was told at last.
struct Told
{
    std::string outcome; // complete, not-run or unknown
    int code = 0;
    bool once = false; // must have run exactly once if complete
    bool generation = false;
};

// Collects results from all threads.
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

    // Runs a function after a pause, on the timers' thread.
    void later(std::chrono::milliseconds pause, std::function<void()> step);

    // A base URL other than the last one where possible.
    std::string entryAfter(std::size_t turn) const
    {
        return this->plan.entries[turn % this->plan.entries.size()];
    }

    void ended(const std::string &id, const Told &told);
    void garbled(const std::string &what);
    void with(const std::function<void(LoadReport &)> &change);

    // Compares with the stand-ins' counts and returns the report.
    LoadReport conclude();

private:
    void compare(const std::map<std::string, std::uint64_t> &runs,
                 const std::map<std::string, std::uint64_t> &starts);
    void mismatch(const std::string &what);

    std::mutex mutex;
    LoadReport report;
    std::map<std::string, Told> told;
};

// Starts one caller; it counts itself in and out of the tally's open callers.
void startGenerationCaller(Tally &tally, const GenerationLoad &load, std::uint64_t number,
                           std::uint64_t seed);
void startServiceCaller(Tally &tally, const ServiceLoad &load, std::uint64_t number);

} // namespace jaytrack

#endif
