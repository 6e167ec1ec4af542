#include "daemonprocess.h"

#include <boost/process/args.hpp>
#include <boost/process/child.hpp>
#include <boost/process/extend.hpp>
#include <boost/process/io.hpp>

#include <sys/prctl.h>

#include <csignal>
#include <fstream>
#include <iterator>
#include <regex>

namespace jaytrack::test {

namespace {

int startedProcesses = 0;

} // namespace

struct DaemonProcess::Child
{
    boost::process::child process;
};

DaemonProcess::DaemonProcess(const std::string &configUrl, const std::string &instancesUrl)
    : directory(std::filesystem::temp_directory_path() /
                ("jaytrackd-test-" + std::to_string(::getpid()) + "-" +
                 std::to_string(startedProcesses++)))
{
    std::filesystem::create_directories(this->directory);
    this->writeSettings(configUrl, instancesUrl);
    const std::string settings = (this->directory / "settings.toml").string();
    const std::string log = (this->directory / "log").string();
    // A failed assertion ends the test without running destructors.
    const auto killWithParent = [](auto &) { ::prctl(PR_SET_PDEATHSIG, SIGKILL); };
    boost::process::child started(JAYTRACK_DAEMON, "--settings", settings,
                                  boost::process::std_out > log,
                                  boost::process::extend::on_exec_setup = killWithParent);
    this->child = std::make_unique<Child>(Child{std::move(started)});
}

DaemonProcess::~DaemonProcess()
{
    if (this->child->process.running())
        this->child->process.terminate();
    std::filesystem::remove_all(this->directory);
}

void DaemonProcess::writeSettings(const std::string &configUrl,
                                  const std::string &instancesUrl) const
{
    std::ofstream file(this->directory / "settings.toml");
    file << "name = \"falun-1\"\ndata_centre = \"falun\"\n"
         << "[callers]\naddress = \"127.0.0.1\"\nport = 0\n"
         << "[peers]\naddress = \"127.0.0.1\"\nport = 0\n"
         << "keys = [\"the key of the test's fleet\"]\n"
         << "[platform]\nconfig_url = \"" << configUrl << "\"\n"
         << "instances_url = \"" << instancesUrl << "\"\n"
         << "[limits]\nready_delay_ms = 300\n";
}

void DaemonProcess::signal(int number) const
{
    ::kill(this->child->process.id(), number);
}

bool DaemonProcess::endsWithin(std::chrono::milliseconds bound)
{
    return this->child->process.wait_for(bound);
}

int DaemonProcess::exitCode() const
{
    return this->child->process.exit_code();
}

std::string DaemonProcess::log() const
{
    std::ifstream file(this->directory / "log");
    return {std::istreambuf_iterator<char>(file), {}};
}

bool DaemonProcess::logged(const std::string &text) const
{
    return this->log().find(text) != std::string::npos;
}

std::size_t DaemonProcess::countLogged(const std::string &text) const
{
    const std::string seen = this->log();
    std::size_t count = 0;
    for (std::size_t at = seen.find(text); at != std::string::npos; at = seen.find(text, at + 1))
        ++count;
    return count;
}

std::uint16_t DaemonProcess::callersPort() const
{
    const std::string seen = this->log();
    std::smatch found;
    if (!std::regex_search(seen, found, std::regex("callers_port=([0-9]+)")))
        return 0;
    return static_cast<std::uint16_t>(std::stoi(found[1]));
}

} // namespace jaytrack::test
