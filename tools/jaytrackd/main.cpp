// jaytrackd: one entry instance. Reads its settings, serves until it receives a signal and then
// shuts down gracefully.
#include "jaytrack/Serve/instance.h"
#include "jaytrack/Support/commandline.h"
#include "jaytrack/Support/log.h"

#include <atomic>
#include <csignal>
#include <iostream>
#include <thread>

namespace {

// The system may run the handler on any thread, so sig_atomic_t does not suffice.
std::atomic<int> stopSignals{0};
static_assert(std::atomic<int>::is_always_lock_free, "a signal handler must not block");

void onStopSignal(int)
{
    stopSignals.fetch_add(1);
}

void installSignals()
{
    std::signal(SIGTERM, onStopSignal);
    std::signal(SIGINT, onStopSignal);
    std::signal(SIGPIPE, SIG_IGN);
}

// The first signal begins a graceful shutdown; a second one aborts the requests still in service.
// Their callers receive an answer that reports this and has to be sent like any other, so the
// function waits for the end in that case too.
void serveUntilStopped(jaytrack::Instance &instance)
{
    static constexpr std::chrono::milliseconds pollInterval{50};
    bool draining = false;
    bool cut = false;
    while (!instance.drained()) {
        std::this_thread::sleep_for(pollInterval);
        if (stopSignals > 0 && !draining) {
            draining = true;
            instance.drain();
        }
        if (stopSignals > 1 && !cut) {
            cut = true;
            instance.abortRequests();
        }
    }
}

} // namespace

int main(int argc, char **argv)
{
    namespace po = boost::program_options;
    po::options_description options("options");
    options.add_options()("help,h", "print this help")(
            "settings,s", po::value<std::string>()->required(),
            "the settings file, TOML")("check", "check the settings and exit");
    po::variables_map values;
    int exitCode = jaytrack::ExitGood;
    if (!jaytrack::parseCommandLine(argc, argv, options, "jaytrackd --settings FILE [--check]",
                                    values, exitCode))
        return exitCode;

    jaytrack::Problems problems;
    const jaytrack::Settings settings =
            jaytrack::readSettings(values["settings"].as<std::string>(), problems);
    for (const jaytrack::Problem &problem : problems)
        std::cerr << problem.text() << "\n";
    if (!problems.empty())
        return jaytrack::ExitFailed;
    if (values.count("check") != 0) {
        std::cout << "settings are good\n";
        return jaytrack::ExitGood;
    }

    jaytrack::initialiseLog(argv[0]);
    installSignals();
    const jaytrack::SystemClock clock;
    auto instance = jaytrack::Instance::start(settings, clock);
    if (!instance) {
        std::cerr << "error: " << instance.error().detail << "\n";
        return jaytrack::ExitFailed;
    }
    serveUntilStopped(*instance.value());
    jaytrack::logEvent(
            jaytrack::Severity::Info, "instance_stopped",
            {{"name", settings.name},
             {"unsent_answers", static_cast<std::int64_t>(instance.value()->unsentAnswers())}});
    return jaytrack::ExitGood;
}
