// jaytrack-process-soak: real processes on this machine under seeded faults from outside. The seed
// fixes the faults and their moments; how far each request has come by then varies from run to run.
#include "scenario.h"

#include "jaytrack/Support/commandline.h"

#include <csignal>
#include <filesystem>
#include <iostream>
#include <mutex>

namespace {

using namespace jaytrack;
using namespace jaytrack::soak;

struct Total
{
    std::mutex mutex;
    std::size_t seeds = 0;
    std::size_t failed = 0;
    std::size_t requests = 0;
    std::map<std::string, std::size_t> outcomes;
    std::map<std::string, std::size_t> faults;
};

void runSeed(const ScenarioOptions &options, Total &total)
{
    std::filesystem::create_directories(options.directory);
    const ScenarioResult result = Scenario(options).run();
    const std::lock_guard lock(total.mutex);
    ++total.seeds;
    total.requests += result.requests;
    for (const auto &[name, count] : result.outcomes)
        total.outcomes[name] += count;
    for (const auto &[name, count] : result.faults)
        total.faults[name] += count;
    if (result.violations.empty()) {
        std::filesystem::remove_all(options.directory);
        return;
    }
    ++total.failed;
    for (const std::string &violation : result.violations)
        std::cout << "violation seed=" << options.seed << " " << violation << "\n";
    std::cout << "logs seed=" << options.seed << " directory=" << options.directory << std::endl;
}

void print(const Total &total)
{
    for (const auto &[name, count] : total.faults)
        std::cout << "fault_" << name << "=" << count << "\n";
    for (const auto &[name, count] : total.outcomes)
        std::cout << "answers_" << name << "=" << count << "\n";
    std::cout << "seeds=" << total.seeds << " requests=" << total.requests
              << " failed_seeds=" << total.failed << std::endl;
}

} // namespace

int main(int argc, char **argv)
{
    namespace po = boost::program_options;
    std::uint64_t first = 1;
    std::uint64_t last = 1;
    int threads = 1;
    int length = 12;
    ScenarioOptions base;
    std::string directory = std::filesystem::temp_directory_path() / "jaytrack-process-soak";
    po::options_description options("options");
    options.add_options()("help,h", "print this help")("first", po::value(&first), "first seed")(
            "last", po::value(&last), "last seed")(
            "threads", po::value(&threads), "seeds at a time")("seconds", po::value(&length),
                                                               "time with faults, for each seed")(
            "instances", po::value(&base.instances),
            "processes of each seed")("callers", po::value(&base.callers), "callers of each seed")(
            "program", po::value(&base.program)->required(), "the jaytrack-entry to run")(
            "logs", po::value(&directory), "directory for settings and logs");
    po::variables_map values;
    int exitCode = ExitGood;
    if (!parseCommandLine(argc, argv, options, "jaytrack-process-soak --program FILE [options]",
                          values, exitCode))
        return exitCode;
    std::signal(SIGPIPE, SIG_IGN);
    Total total;
    std::atomic<std::uint64_t> next{first};
    std::vector<std::thread> workers;
    for (int i = 0; i < threads; ++i) {
        workers.emplace_back([&] {
            for (std::uint64_t seed = next++; seed <= last; seed = next++) {
                ScenarioOptions chosen = base;
                chosen.seed = seed;
                chosen.length = std::chrono::seconds(length);
                chosen.directory = directory + "/" + std::to_string(seed);
                runSeed(chosen, total);
            }
        });
    }
    for (std::thread &worker : workers)
        worker.join();
    print(total);
    return total.failed == 0 ? ExitGood : ExitFailed;
}
