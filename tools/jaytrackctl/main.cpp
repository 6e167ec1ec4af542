// jaytrackctl: the operators' tool.
#include "jaytrack/Config/inventory.h"
#include "jaytrack/Support/commandline.h"

#include <fstream>
#include <iostream>
#include <sstream>

namespace {

using jaytrack::ExitCode;

struct Command
{
    std::string_view name;
    std::string_view help;
    int (*run)(int argc, const char *const *argv);
};

std::string readFile(const std::string &path, bool &good)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    good = static_cast<bool>(file);
    return text.str();
}

boost::program_options::options_description inventoryOptions()
{
    namespace po = boost::program_options;
    po::options_description options("options");
    options.add_options()("help,h", "print this help")(
            "inventory,i", po::value<std::string>()->required(), "the exported inventory, TOML")(
            "rules,r", po::value<std::string>()->required(), "the operators' rules, TOML");
    return options;
}

int compileWith(int argc, const char *const *argv, bool write)
{
    boost::program_options::options_description options = inventoryOptions();
    options.add_options()("output,o", boost::program_options::value<std::string>(),
                          "where the document goes; standard output if absent");
    boost::program_options::variables_map values;
    int exitCode = jaytrack::ExitGood;
    if (!jaytrack::parseCommandLine(argc, argv, options,
                                    "jaytrackctl check|compile --inventory FILE --rules FILE",
                                    values, exitCode))
        return exitCode;
    jaytrack::Problems problems;
    const jaytrack::Document document = jaytrack::compileInventory(
            values["inventory"].as<std::string>(), values["rules"].as<std::string>(), problems);
    for (const jaytrack::Problem &problem : problems)
        std::cerr << problem.text() << "\n";
    if (!problems.empty())
        return jaytrack::ExitFailed;
    const std::string bytes = document.serialise();
    std::cerr << "good: " << bytes.size() << " bytes, " << document.engines.size() << " engines, "
              << document.services.size() << " services, " << document.customers.size()
              << " customers\n";
    if (!write)
        return jaytrack::ExitGood;
    if (values.count("output") == 0) {
        std::cout << bytes << "\n";
        return jaytrack::ExitGood;
    }
    std::ofstream file(values["output"].as<std::string>());
    file << bytes;
    file.close();
    if (!file) {
        std::cerr << "error: cannot write " << values["output"].as<std::string>() << "\n";
        return jaytrack::ExitFailed;
    }
    return jaytrack::ExitGood;
}

int runCheck(int argc, const char *const *argv)
{
    return compileWith(argc, argv, false);
}

int runCompile(int argc, const char *const *argv)
{
    return compileWith(argc, argv, true);
}

int runDiff(int argc, const char *const *argv)
{
    namespace po = boost::program_options;
    po::options_description options("options");
    options.add_options()("help,h", "print this help")("from", po::value<std::string>()->required(),
                                                       "the document in force")(
            "to", po::value<std::string>()->required(), "the new document");
    po::variables_map values;
    int exitCode = jaytrack::ExitGood;
    if (!jaytrack::parseCommandLine(argc, argv, options, "jaytrackctl diff --from FILE --to FILE",
                                    values, exitCode))
        return exitCode;
    std::vector<std::shared_ptr<const jaytrack::Document>> documents;
    for (const char *side : {"from", "to"}) {
        const std::string path = values[side].as<std::string>();
        bool good = false;
        const std::string text = readFile(path, good);
        auto parsed = jaytrack::Document::parse(text, 0);
        if (!good || !parsed) {
            std::cerr << path << ": " << (good ? parsed.error().detail : "cannot be read") << "\n";
            return jaytrack::ExitFailed;
        }
        documents.push_back(parsed.value());
    }
    for (const std::string &line : jaytrack::describeChanges(*documents[0], *documents[1]))
        std::cout << line << "\n";
    return jaytrack::ExitGood;
}

int runCodes(int, const char *const *)
{
    std::cout << "| code | name | outcome | HTTP | meaning |\n| --- | --- | --- | --- | --- |\n";
    for (const jaytrack::ResultCodeInfo &row : jaytrack::allResultCodes())
        std::cout << "| " << static_cast<int>(row.code) << " | " << row.name << " | "
                  << jaytrack::outcomeName(row.outcome) << " | " << row.httpStatus << " | "
                  << row.meaning << " |\n";
    return jaytrack::ExitGood;
}

constexpr Command commands[] = {
        {"check", "check an inventory and its rules", runCheck},
        {"compile", "compile both into the document that the platform publishes", runCompile},
        {"diff", "say what a new document would change", runDiff},
        {"codes", "print the table of result codes", runCodes},
};

void printHelp(std::ostream &out)
{
    out << "usage: jaytrackctl COMMAND [options]\n\ncommands:\n";
    for (const Command &command : commands)
        out << "  " << command.name << "\t" << command.help << "\n";
    out << "\n`jaytrackctl COMMAND --help` lists a command's options.\n";
}

} // namespace

int main(int argc, char **argv)
{
    const std::string_view wanted = argc > 1 ? argv[1] : "";
    for (const Command &command : commands) {
        if (command.name == wanted)
            return command.run(argc - 1, argv + 1);
    }
    const bool asked = wanted == "--help" || wanted == "-h";
    printHelp(asked ? std::cout : std::cerr);
    return asked ? jaytrack::ExitGood : jaytrack::ExitUsage;
}
