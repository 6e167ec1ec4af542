#include "jaytrack/Support/commandline.h"

#include <iomanip>
#include <iostream>

namespace jaytrack {

bool parseCommandLine(int argc, const char *const *argv,
                      const boost::program_options::options_description &options,
                      const std::string &synopsis, boost::program_options::variables_map &values,
                      int &exitCode)
{
    namespace po = boost::program_options;
    try {
        po::store(po::parse_command_line(argc, argv, options), values);
        if (values.count("help") != 0) {
            std::cout << "usage: " << synopsis << "\n\n" << options;
            exitCode = ExitGood;
            return false;
        }
        po::notify(values);
    } catch (const po::error &e) {
        std::cerr << "error: " << e.what() << "\nusage: " << synopsis << "\n";
        exitCode = ExitUsage;
        return false;
    }
    return true;
}

namespace {

void printCommands(std::ostream &out, std::string_view program, std::span<const Command> commands)
{
    out << "usage: " << program << " COMMAND [options]\n\ncommands:\n";
    for (const Command &command : commands)
        out << "  " << std::left << std::setw(12) << command.name << command.help << "\n";
    out << "\n`" << program << " COMMAND --help` lists a command's options.\n";
}

} // namespace

int runCommand(std::string_view program, std::span<const Command> commands, int argc,
               const char *const *argv)
{
    const std::string_view wanted = argc > 1 ? argv[1] : "";
    for (const Command &command : commands) {
        if (command.name == wanted)
            return command.run(argc - 1, argv + 1);
    }
    const bool helpRequested = wanted == "--help" || wanted == "-h";
    printCommands(helpRequested ? std::cout : std::cerr, program, commands);
    return helpRequested ? ExitGood : ExitUsage;
}

} // namespace jaytrack
