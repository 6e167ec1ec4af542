// Command line parsing shared by all programs, for uniform help texts and error messages.
#ifndef JAYTRACK_SUPPORT_COMMANDLINE_H
#define JAYTRACK_SUPPORT_COMMANDLINE_H

#include <boost/program_options.hpp>

#include <span>
#include <string>
#include <string_view>

namespace jaytrack {

// Exit codes of every program.
enum ExitCode { ExitGood = 0, ExitFailed = 1, ExitUsage = 2 };

// Parses the command line. Returns true if the program should continue; otherwise, help or an error
// message was printed and the exit code is set.
bool parseCommandLine(int argc, const char *const *argv,
                      const boost::program_options::options_description &options,
                      const std::string &synopsis, boost::program_options::variables_map &values,
                      int &exitCode);

// One of the commands of a program that has several.
struct Command
{
    std::string_view name;
    std::string_view help;
    int (*run)(int argc, const char *const *argv);
};

// Runs the command named by the first argument with the remaining arguments; otherwise prints help
// or an error message.
int runCommand(std::string_view program, std::span<const Command> commands, int argc,
               const char *const *argv);

} // namespace jaytrack

#endif
