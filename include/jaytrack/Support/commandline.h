// What the command lines of all programs have in common: one style of help and of errors.
#ifndef JAYTRACK_SUPPORT_COMMANDLINE_H
#define JAYTRACK_SUPPORT_COMMANDLINE_H

#include <boost/program_options.hpp>

#include <string>

namespace jaytrack {

// Exit codes of every program.
enum ExitCode { ExitGood = 0, ExitFailed = 1, ExitUsage = 2 };

// Parses the command line. Returns true if the program should go on; otherwise help or a complaint
// was printed and the exit code is set.
bool parseCommandLine(int argc, const char *const *argv,
                      const boost::program_options::options_description &options,
                      const std::string &synopsis, boost::program_options::variables_map &values,
                      int &exitCode);

} // namespace jaytrack

#endif
