// jaytrack-load: an open-loop load generator that checks every byte that it receives.
#include "jaytrack/Load/runner.h"
#include "jaytrack/Support/commandline.h"
#include "jaytrack/Support/log.h"

#include <csignal>
#include <iostream>

int main(int argc, char **argv)
{
    namespace po = boost::program_options;
    std::signal(SIGPIPE, SIG_IGN);
    po::options_description options("options");
    options.add_options()("help,h", "print this help")(
            "plan,p", po::value<std::string>()->required(), "the load plan, TOML");
    po::variables_map values;
    int exitCode = jaytrack::ExitGood;
    if (!jaytrack::parseCommandLine(argc, argv, options, "jaytrack-load --plan FILE", values,
                                    exitCode))
        return exitCode;
    jaytrack::initialiseLog(argv[0]);
    jaytrack::Problems problems;
    const jaytrack::LoadPlan plan =
            jaytrack::readLoadPlan(values["plan"].as<std::string>(), problems);
    for (const jaytrack::Problem &problem : problems)
        std::cerr << problem.text() << "\n";
    if (!problems.empty())
        return jaytrack::ExitFailed;
    const jaytrack::LoadReport report = jaytrack::runLoad(plan);
    std::cout << jaytrack::formatReport(report);
    return report.good() ? jaytrack::ExitGood : jaytrack::ExitFailed;
}
