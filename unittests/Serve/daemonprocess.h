// Runs the program jaytrackd as a child process for tests of its start, signals and exit.
#ifndef JAYTRACK_UNITTESTS_SERVE_DAEMONPROCESS_H
#define JAYTRACK_UNITTESTS_SERVE_DAEMONPROCESS_H

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <memory>
#include <string>

namespace jaytrack::test {

// Runs one instance on ports picked by the system. This header does not include Boost.Process,
// because that includes a different Asio from the one that the tests use.
class DaemonProcess
{
public:
    explicit DaemonProcess(const std::string &configUrl, const std::string &instancesUrl = "");
    ~DaemonProcess();
    DaemonProcess(const DaemonProcess &) = delete;
    DaemonProcess &operator=(const DaemonProcess &) = delete;

    void signal(int number) const;
    bool endsWithin(std::chrono::milliseconds bound);
    int exitCode() const;

    std::string log() const;
    bool logged(const std::string &text) const;
    std::size_t countLogged(const std::string &text) const;

    // Reads the port from the log. Returns 0 until the instance has started.
    std::uint16_t callersPort() const;

private:
    void writeSettings(const std::string &configUrl, const std::string &instancesUrl) const;

    struct Child;
    std::filesystem::path directory; // for settings and log
    std::unique_ptr<Child> child;
};

} // namespace jaytrack::test

#endif
