#include "instanceprocess.h"

#include <asio.hpp>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <csignal>
#include <fstream>
#include <stdexcept>

namespace jaytrack::soak {

namespace {

constexpr int firstPort = 12000;
constexpr int portCount = 18000;

bool isFree(std::uint16_t port)
{
    asio::io_context context;
    const asio::ip::tcp::endpoint here(asio::ip::make_address("127.0.0.1"), port);
    asio::ip::tcp::acceptor probe(context);
    asio::error_code failure;
    probe.open(here.protocol(), failure);
    if (!failure)
        probe.bind(here, failure);
    return !failure;
}

} // namespace

std::uint16_t freePort()
{
    // Programs that run side by side begin at different places.
    static std::atomic<int> next{::getpid() * 37};
    for (;;) {
        const auto port = static_cast<std::uint16_t>(firstPort + next++ % portCount);
        if (isFree(port))
            return port;
    }
}

InstanceProcess::InstanceProcess(InstancePlan given)
    : plan(std::move(given))
{
    this->writeSettings();
}

InstanceProcess::~InstanceProcess()
{
    if (this->process < 0)
        return;
    ::kill(this->process, SIGCONT);
    ::kill(this->process, SIGKILL);
    ::waitpid(this->process, nullptr, 0);
}

void InstanceProcess::writeSettings() const
{
    std::ofstream file(this->plan.directory + "/" + this->plan.name + ".toml");
    const auto here = [](std::uint16_t port) {
        return "\"127.0.0.1:" + std::to_string(port) + "\"\n";
    };
    file << "name = \"" << this->plan.name
         << "\"\ndata_centre = \"dc\"\n[listen]\ncallers = " << here(this->plan.callers)
         << "readiness = " << here(this->plan.readiness) << "[store]\naddress = \""
         << this->plan.storeAddress << "\"\n[peers]\nlisten = \"" << this->plan.peers
         << "\"\nseed_hosts = [";
    for (std::size_t i = 0; i < this->plan.seeds.size(); ++i)
        file << (i > 0 ? ", " : "") << "\"" << this->plan.seeds[i] << "\"";
    file << "]\nkeys = [\"process-soak-fleet-key\"]\n[bounds]\ndrain_grace_s = 6\n";
}

void InstanceProcess::start()
{
    const std::string base = this->plan.directory + "/" + this->plan.name;
    const std::string log = base + ".log";
    const std::string settings = base + ".toml";
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
    // An inherited socket stays open when this program closes it: ports stay taken, and peers never
    // see that a connection ended.
    posix_spawn_file_actions_addclosefrom_np(&files, STDERR_FILENO + 1);
    std::vector<std::string> words = {this->plan.program, "--settings", settings};
    std::vector<char *> arguments;
    for (std::string &word : words)
        arguments.push_back(word.data());
    arguments.push_back(nullptr);
    const int failed = ::posix_spawn(&this->process, this->plan.program.c_str(), &files, nullptr,
                                     arguments.data(), environ);
    posix_spawn_file_actions_destroy(&files);
    this->killed = false;
    if (failed != 0)
        throw std::runtime_error("cannot start " + this->plan.program);
}

void InstanceProcess::signal(int number) const
{
    if (this->process < 0)
        return;
    this->killed = this->killed || number == SIGKILL;
    ::kill(this->process, number);
}

bool InstanceProcess::hasEnded()
{
    if (this->process < 0)
        return true;
    int status = 0;
    if (::waitpid(this->process, &status, WNOHANG) != this->process)
        return false;
    this->process = -1;
    if (WIFSIGNALED(status) && !this->killed)
        this->endFault = this->plan.name + " ended by signal " + std::to_string(WTERMSIG(status));
    if (WIFEXITED(status) && WEXITSTATUS(status) != 0)
        this->endFault = this->plan.name + " exited " + std::to_string(WEXITSTATUS(status));
    return true;
}

} // namespace jaytrack::soak
