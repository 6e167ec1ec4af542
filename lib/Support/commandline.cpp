#include "jaytrack/Support/commandline.h"

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

} // namespace jaytrack
