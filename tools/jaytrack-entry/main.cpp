// jaytrack-entry: one entry instance on the users' platform.
#include "platformdialect.h"

#include "jaytrack/Proxy/entryinstance.h"
#include "jaytrack/Support/boottimeclock.h"
#include "jaytrack/Support/commandline.h"
#include "jaytrack/Support/log.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <memory>

namespace {

// The platform passes the path of the settings file in an environment variable.
constexpr const char *settingsVariable = "JAYTRACK_BOOT";

std::string settingsFile(const boost::program_options::variables_map &values)
{
    if (values.count("settings") != 0)
        return values["settings"].as<std::string>();
    const char *named = std::getenv(settingsVariable);
    return named == nullptr ? std::string() : std::string(named);
}

// Keeps the handlers of these signals until the process is gone. The instance takes its own away
// when it ends, and an order to stop that came after that would kill the process: it would look
// like a crash, and its last log lines would be lost.
void handleSignalsUntilExit()
{
    static asio::io_context *const context = std::make_unique<asio::io_context>().release();
    [[maybe_unused]] static asio::signal_set *const signals =
            std::make_unique<asio::signal_set>(*context, SIGTERM, SIGINT, SIGHUP).release();
}

} // namespace

int main(int argc, char **argv)
{
    namespace po = boost::program_options;
    po::options_description options("options");
    options.add_options()("help,h", "print this help")(
            "settings,s", po::value<std::string>(),
            "the settings file, TOML; default: the file that JAYTRACK_BOOT names")(
            "check", "check the settings and exit");
    po::variables_map values;
    int exitCode = jaytrack::ExitGood;
    if (!jaytrack::parseCommandLine(argc, argv, options,
                                    "jaytrack-entry [--settings FILE] [--check]", values, exitCode))
        return exitCode;
    const std::string file = settingsFile(values);
    if (file.empty()) {
        std::cerr << "error: no settings file; give --settings or set " << settingsVariable << "\n";
        return jaytrack::ExitUsage;
    }
    jaytrack::Problems problems;
    const jaytrack::EntrySettings settings = jaytrack::readEntrySettings(file, problems);
    for (const jaytrack::Problem &problem : problems)
        std::cerr << problem.text() << "\n";
    if (!problems.empty())
        return jaytrack::ExitFailed;
    if (values.count("check") != 0) {
        std::cout << "settings are good\n";
        return jaytrack::ExitGood;
    }
    jaytrack::initialiseLog(argv[0]);
    std::signal(SIGPIPE, SIG_IGN);
    const jaytrack::BoottimeClock clock;
    const auto dialect = jaytrack::makePlatformDialect();
    jaytrack::EntryInstance instance(settings, clock, *dialect);
    const auto opened = instance.open();
    if (!opened) {
        std::cerr << "error: " << opened.error().detail << "\n";
        return jaytrack::ExitFailed;
    }
    instance.run(file);
    handleSignalsUntilExit();
    return jaytrack::ExitGood;
}
