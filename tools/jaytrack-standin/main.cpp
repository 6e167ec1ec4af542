// jaytrack-standin: test servers that replace the systems around jaytrack.
#include "jaytrack/Standin/servers.h"
#include "jaytrack/Support/commandline.h"
#include "jaytrack/Support/log.h"

#include <csignal>
#include <iostream>
#include <thread>

namespace {

namespace po = boost::program_options;

volatile std::sig_atomic_t stopping = 0;

void onStopSignal(int)
{
    stopping = 1;
}

po::options_description commonOptions(std::uint16_t &port, std::string &name)
{
    po::options_description options("options");
    options.add_options()("help,h", "print this help")("port", po::value(&port)->default_value(0),
                                                       "the port; 0 selects a free one")(
            "name", po::value(&name)->default_value("standin"), "its name in counts");
    return options;
}

// Prints the port, so that a script can wait for it, and then serves until a signal arrives.
int serve(jaytrack::Result<std::unique_ptr<jaytrack::Standin>> started)
{
    if (!started) {
        std::cerr << "error: " << started.error().detail << "\n";
        return jaytrack::ExitFailed;
    }
    std::cout << "port=" << started.value()->port() << std::endl;
    while (stopping == 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    return jaytrack::ExitGood;
}

int runEngine(int argc, const char *const *argv)
{
    jaytrack::EngineStandinOptions engine;
    std::int64_t reportLagMs = 0;
    bool ignoresFencing = false;
    po::options_description options = commonOptions(engine.port, engine.name);
    options.add_options()("slots", po::value(&engine.size.slots)->default_value(engine.size.slots),
                          "sequences decoded at once")(
            "memory", po::value(&engine.size.memoryTokens)->default_value(engine.size.memoryTokens),
            "key-value memory, tokens")(
            "cache", po::value(&engine.size.cacheTokens)->default_value(engine.size.cacheTokens),
            "prefix cache, tokens")(
            "step-ms", po::value(&engine.size.stepBaseMs)->default_value(engine.size.stepBaseMs),
            "one decode step with an empty batch")(
            "step-sequence-ms",
            po::value(&engine.size.stepPerSequenceMs)->default_value(engine.size.stepPerSequenceMs),
            "time added to a step for each sequence in the batch")(
            "threads", po::value(&engine.threads)->default_value(engine.threads), "server threads")(
            "report-lag-ms", po::value(&reportLagMs)->default_value(300),
            "age of its load reports")("ignores-fencing", po::bool_switch(&ignoresFencing),
                                       "accepts orders with any fencing number")(
            "slow", po::value(&engine.faults.slowFactor)->default_value(1.0),
            "fault: factor on the duration of each step")(
            "close-after", po::value(&engine.faults.closeAfterTokens)->default_value(0),
            "fault: end each stream once after this many tokens")(
            "duplicates", po::bool_switch(&engine.faults.duplicates), "fault: send frames twice")(
            "stalled", po::bool_switch(&engine.faults.stalled),
            "fault: send nothing")("comments", po::bool_switch(&engine.faults.comments),
                                   "fault: send comments instead of tokens");
    po::variables_map values;
    int exitCode = jaytrack::ExitGood;
    if (!jaytrack::parseCommandLine(argc, argv, options, "jaytrack-standin engine [options]",
                                    values, exitCode))
        return exitCode;
    engine.faults.reportLag = std::chrono::milliseconds(reportLagMs);
    engine.honoursFencing = !ignoresFencing;
    return serve(jaytrack::startEngineStandin(engine));
}

int runService(int argc, const char *const *argv)
{
    jaytrack::ServiceStandinOptions service;
    std::int64_t takesMs = 0;
    po::options_description options = commonOptions(service.port, service.name);
    options.add_options()("takes-ms", po::value(&takesMs)->default_value(2),
                          "time for each request")(
            "deduplicates", po::bool_switch(&service.deduplicates),
            "honours Idempotency-Key")("die-after", po::value(&service.dieAfter)->default_value(0),
                                       "fault: run all requests, answer only this many");
    po::variables_map values;
    int exitCode = jaytrack::ExitGood;
    if (!jaytrack::parseCommandLine(argc, argv, options, "jaytrack-standin service [options]",
                                    values, exitCode))
        return exitCode;
    service.takes = std::chrono::milliseconds(takesMs);
    return serve(jaytrack::startServiceStandin(service));
}

int runConfig(int argc, const char *const *argv)
{
    jaytrack::ConfigStandinOptions config;
    std::string unusedName;
    po::options_description options = commonOptions(config.port, unusedName);
    options.add_options()("document", po::value(&config.documentFile), "published at start");
    po::variables_map values;
    int exitCode = jaytrack::ExitGood;
    if (!jaytrack::parseCommandLine(argc, argv, options, "jaytrack-standin config [options]",
                                    values, exitCode))
        return exitCode;
    return serve(jaytrack::startConfigStandin(config));
}

constexpr jaytrack::Command commands[] = {
        {"engine", "a model engine with continuous batches", runEngine},
        {"service", "a plain service that counts the requests it ran", runService},
        {"config", "the configuration service and the list of instances", runConfig},
        {"instances", "the same program; the list is at /v1/instances", runConfig},
};

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGTERM, onStopSignal);
    std::signal(SIGINT, onStopSignal);
    std::signal(SIGPIPE, SIG_IGN);
    jaytrack::initialiseLog(argv[0]);
    return jaytrack::runCommand("jaytrack-standin", commands, argc, argv);
}
