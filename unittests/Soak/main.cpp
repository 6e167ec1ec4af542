// jaytrack-soak: long randomised runs of the protocol code of production. A seed replays exactly.
#include "fleet.h"

#include "jaytrack/Support/commandline.h"

#include <glog/logging.h>

#include <algorithm>
#include <atomic>
#include <iostream>
#include <mutex>
#include <thread>

namespace {

using namespace jaytrack;
using namespace jaytrack::soak;

struct Total
{
    std::mutex mutex;
    FleetResult sum;
    std::uint64_t seeds = 0;
    double hours = 0;
};

void add(Total &total, const FleetResult &result, double hours)
{
    const std::lock_guard lock(total.mutex);
    FleetResult &sum = total.sum;
    ++total.seeds;
    total.hours += hours;
    sum.events += result.events;
    sum.requests += result.requests;
    sum.unknown += result.unknown;
    sum.streams += result.streams;
    sum.resumes += result.resumes;
    for (const auto &[kind, count] : result.faults)
        sum.faults[kind] += count;
    sum.violations.insert(sum.violations.end(), result.violations.begin(), result.violations.end());
    sum.spreadSeconds.insert(sum.spreadSeconds.end(), result.spreadSeconds.begin(),
                             result.spreadSeconds.end());
}

double quantile(std::vector<double> values, double q)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(q * static_cast<double>(values.size() - 1))];
}

void print(const Total &total)
{
    static constexpr std::size_t shown = 20;
    const FleetResult &sum = total.sum;
    std::uint64_t faults = 0;
    for (const auto &[kind, count] : sum.faults) {
        std::cout << "fault_" << kind << "=" << count << "\n";
        faults += count;
    }
    std::cout << "streams=" << sum.streams << " resumes=" << sum.resumes
              << " spread_p50_s=" << quantile(sum.spreadSeconds, 0.5)
              << " spread_p99_s=" << quantile(sum.spreadSeconds, 0.99)
              << " spread_max_s=" << quantile(sum.spreadSeconds, 1) << "\n";
    for (std::size_t i = 0; i < std::min(shown, sum.violations.size()); ++i)
        std::cout << "violation: " << sum.violations[i] << "\n";
    std::cout << "seeds=" << total.seeds << " virtual_hours=" << total.hours
              << " events=" << sum.events << " requests=" << sum.requests << " faults=" << faults
              << " unknown=" << sum.unknown << " violations=" << sum.violations.size() << std::endl;
}

} // namespace

int main(int argc, char **argv)
{
    namespace po = boost::program_options;
    std::uint64_t first = 0;
    std::uint64_t last = 0;
    std::size_t instances = 0;
    int minutes = 0;
    unsigned threads = 0;
    bool calm = false;
    bool trace = false;
    po::options_description options("options");
    options.add_options()("help,h", "print this help")("first", po::value(&first)->default_value(1),
                                                       "the first seed")(
            "last", po::value(&last)->default_value(20), "the last seed")(
            "instances", po::value(&instances)->default_value(7), "instances in each run")(
            "minutes", po::value(&minutes)->default_value(10), "virtual minutes of each run")(
            "threads", po::value(&threads)->default_value(4), "runs at the same time")(
            "trace", po::bool_switch(&trace), "print faults and acceptances as they come")(
            "calm", po::bool_switch(&calm), "no faults; for figures of an ordinary day");
    po::variables_map values;
    int exitCode = ExitGood;
    if (!parseCommandLine(argc, argv, options, "jaytrack-soak [options]", values, exitCode))
        return exitCode;
    FLAGS_minloglevel = google::GLOG_FATAL;
    google::InitGoogleLogging(argv[0]);

    Total total;
    std::atomic<std::uint64_t> next{first};
    std::vector<std::thread> workers;
    for (unsigned i = 0; i < threads; ++i) {
        workers.emplace_back([&] {
            for (std::uint64_t seed = next.fetch_add(1); seed <= last; seed = next.fetch_add(1)) {
                FleetOptions chosen;
                chosen.seed = seed;
                chosen.instances = instances;
                chosen.length = std::chrono::minutes(minutes);
                chosen.faults = !calm;
                chosen.trace = trace;
                Fleet fleet(chosen);
                add(total, fleet.run(), (minutes * 60.0 + 90) / 3600);
            }
        });
    }
    for (std::thread &worker : workers)
        worker.join();
    print(total);
    return total.sum.violations.empty() ? ExitGood : ExitFailed;
}
