// jaytrackctl: the operators' tool.
#include "jaytrack/Config/inventory.h"
#include "jaytrack/Http/client.h"
#include "jaytrack/Policy/burnmeter.h"
#include "jaytrack/Serve/operatoranswers.h"
#include "jaytrack/Support/commandline.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <iomanip>
#include <iostream>
#include <optional>
#include <sstream>

namespace {

using jaytrack::ExitCode;

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
                          "the file for the document; default: standard output");
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

boost::program_options::options_description operatorOptions()
{
    namespace po = boost::program_options;
    po::options_description options("options");
    options.add_options()("help,h", "print this help")(
            "operators", po::value<std::string>()->required(),
            "address and port of an instance's operators' listener")(
            "format", po::value<std::string>()->default_value("table"), "table or json");
    return options;
}

// Queries the operators' interface of one instance. Prints the reason for a failure on standard
// error.
std::optional<std::string> queryInstance(const std::string &address, const std::string &method,
                                         const std::string &path)
{
    jaytrack::HttpClient client(1);
    jaytrack::HttpCall call;
    call.method = method;
    call.url = "http://" + address + path;
    call.totalTimeout = std::chrono::seconds(5);
    call.mayRepeat = method == "GET";
    const jaytrack::FetchedAnswer answer = jaytrack::fetch(client, call);
    if (answer.end.whole && answer.end.status == 200)
        return answer.body;
    std::cerr << "error: " << address << ": "
              << (answer.end.whole ? "status " + std::to_string(answer.end.status) + ": " +
                                             jaytrack::printableText(answer.body)
                                   : answer.end.error)
              << "\n";
    return std::nullopt;
}

void printError(const std::string &address, const jaytrack::Error &error)
{
    std::cerr << "error: " << address << ": " << static_cast<int>(error.code) << " "
              << jaytrack::describe(error.code).name << ": " << error.detail << "\n";
}

int queryAndPrint(int argc, const char *const *argv, const std::string &name,
                  const std::string &method, std::string path, bool takesRequest)
{
    namespace po = boost::program_options;
    po::options_description options = operatorOptions();
    if (takesRequest)
        options.add_options()("request", po::value<std::string>()->required(),
                              "the request's number, from its Jaytrack-Request header");
    po::variables_map values;
    int exitCode = jaytrack::ExitGood;
    if (!jaytrack::parseCommandLine(argc, argv, options,
                                    "jaytrackctl " + name + " --operators HOST:PORT [options]",
                                    values, exitCode))
        return exitCode;
    if (takesRequest)
        path = jaytrack::explainTarget(values["request"].as<std::string>());
    const std::string address = values["operators"].as<std::string>();
    const auto body = queryInstance(address, method, path);
    if (!body)
        return jaytrack::ExitFailed;
    if (values["format"].as<std::string>() == "json") {
        std::cout << *body << "\n";
        return jaytrack::ExitGood;
    }
    const auto table = jaytrack::formatObjectTable(*body);
    if (!table) {
        printError(address, table.error());
        return jaytrack::ExitFailed;
    }
    std::cout << table.value();
    return jaytrack::ExitGood;
}

int runStatus(int argc, const char *const *argv)
{
    return queryAndPrint(argc, argv, "status", "GET", "/status", false);
}

int runExplain(int argc, const char *const *argv)
{
    return queryAndPrint(argc, argv, "explain", "GET", {}, true);
}

int runDrain(int argc, const char *const *argv)
{
    return queryAndPrint(argc, argv, "drain", "POST", "/drain", false);
}

std::optional<std::vector<jaytrack::BurnRow>> readBurn(const std::string &address)
{
    const auto body = queryInstance(address, "GET", "/burn");
    if (!body)
        return std::nullopt;
    const auto rows = jaytrack::decodeBurnRows(*body);
    if (!rows) {
        printError(address, rows.error());
        return std::nullopt;
    }
    return rows.value();
}

void printBurnTable(const std::vector<jaytrack::BurnRow> &rows)
{
    std::cout << std::left << std::setw(20) << "customer" << std::setw(14) << "subject"
              << std::setw(13) << "objective" << std::setw(8) << "share" << std::setw(10) << "5 min"
              << std::setw(10) << "1 h" << std::setw(10) << "6 h"
              << "requests in 6 h\n";
    for (const jaytrack::BurnRow &row : rows) {
        std::cout << std::setw(20) << row.customer << std::setw(14) << row.subject << std::setw(13)
                  << row.objective << std::setw(8) << row.share;
        for (std::size_t i = 0; i < jaytrack::burnWindows.size(); ++i)
            std::cout << std::setw(10) << std::setprecision(3) << row.burn(i);
        std::cout << row.total.back() << "\n";
    }
}

nlohmann::json burnJson(const std::vector<jaytrack::BurnRow> &rows)
{
    nlohmann::json list = nlohmann::json::array();
    for (const jaytrack::BurnRow &row : rows) {
        list.push_back({{"customer", row.customer},
                        {"subject", row.subject},
                        {"objective", row.objective},
                        {"share", row.share},
                        {"burn", {row.burn(0), row.burn(1), row.burn(2)}},
                        {"total", row.total},
                        {"bad", row.bad}});
    }
    return list;
}

// A self-contained page: the figures are embedded as JSON and the browser draws them.
void printBurnPage(const std::vector<jaytrack::BurnRow> &rows)
{
    std::string data = burnJson(rows).dump();
    // A name that contains "</script>" would end the element that holds the data.
    for (std::size_t at = data.find('<'); at != std::string::npos; at = data.find('<', at))
        data.replace(at, 1, "\\u003c");
    std::cout << R"(<!doctype html><meta charset="utf-8"><title>Service-level burn</title>
<style>body{font:14px sans-serif}td,th{padding:2px 8px;text-align:left}
.bar{display:inline-block;height:10px;background:#4a7}.bad{background:#c43}</style>
<h1>Service-level burn</h1><p>1 uses the allowance up exactly.</p>
<table id=t><tr><th>customer<th>subject<th>objective<th>5 min<th>1 h<th>6 h</tr></table>
<script id=data type="application/json">)"
              << data << R"(</script>
<script>
for (const r of JSON.parse(document.getElementById('data').textContent)) {
  const row = document.getElementById('t').insertRow();
  for (const k of ['customer', 'subject', 'objective']) row.insertCell().textContent = r[k];
  for (const b of r.burn) {
    const cell = row.insertCell(), bar = document.createElement('span');
    bar.className = 'bar' + (b > 1 ? ' bad' : '');
    bar.style.width = Math.min(200, b * 40) + 'px';
    cell.append(bar, ' ' + b.toFixed(2));
  }
}
</script>
)";
}

int runBurn(int argc, const char *const *argv)
{
    namespace po = boost::program_options;
    po::options_description options("options");
    options.add_options()("help,h", "print this help")(
            "operators", po::value<std::vector<std::string>>()->multitoken()->required(),
            "operators' listeners of all instances to add up")(
            "format", po::value<std::string>()->default_value("table"), "table, json or html");
    po::variables_map values;
    int exitCode = jaytrack::ExitGood;
    if (!jaytrack::parseCommandLine(argc, argv, options,
                                    "jaytrackctl burn --operators HOST:PORT ... [--format FORMAT]",
                                    values, exitCode))
        return exitCode;
    std::vector<jaytrack::BurnRow> all;
    bool whole = true;
    for (const std::string &address : values["operators"].as<std::vector<std::string>>()) {
        const auto rows = readBurn(address);
        whole = whole && rows.has_value();
        if (rows)
            jaytrack::mergeBurn(all, *rows);
    }
    const std::string format = values["format"].as<std::string>();
    if (format == "json")
        std::cout << burnJson(all).dump() << "\n";
    else if (format == "html")
        printBurnPage(all);
    else
        printBurnTable(all);
    return whole ? jaytrack::ExitGood : jaytrack::ExitFailed;
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

constexpr jaytrack::Command commands[] = {
        {"check", "check an inventory and its rules", runCheck},
        {"compile", "compile both into the document that the platform publishes", runCompile},
        {"diff", "show what a new document would change", runDiff},
        {"status", "show an instance and the fleet as it sees it", runStatus},
        {"burn", "show how fast service levels are used up, over several instances", runBurn},
        {"explain", "explain the outcome of a request", runExplain},
        {"drain", "begin a graceful shutdown of an instance", runDrain},
        {"codes", "print the table of result codes", runCodes},
};

} // namespace

int main(int argc, char **argv)
{
    return jaytrack::runCommand("jaytrackctl", commands, argc, argv);
}
