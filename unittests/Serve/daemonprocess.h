// The program jaytrackd as a process of its own, started and signalled from outside.
#ifndef JAYTRACK_UNITTESTS_SERVE_DAEMONPROCESS_H
#define JAYTRACK_UNITTESTS_SERVE_DAEMONPROCESS_H

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <memory>
#include <string>

namespace jaytrack::test {

// One instance on ports that the system picks. Boost.Process stays out of this header, since it
// brings another Asio than the one that the tests use.
class DaemonProcess
{
public:
    explicit DaemonProcess(const std::string &configUrl);
    ~DaemonProcess();
    DaemonProcess(const DaemonProcess &) = delete;
    DaemonProcess &operator=(const DaemonProcess &) = delete;

    void signal(int number) const;
    bool endsWithin(std::chrono::milliseconds bound);
    int exitCode() const;

    std::string log() const;
    bool logged(const std::string &text) const;

    // As the log tells it, so only once the instance has started.
    std::uint16_t callersPort() const;

private:
    void writeSettings(const std::string &configUrl) const;

    struct Child;
    std::filesystem::path directory; // for settings and log
    std::unique_ptr<Child> child;
};

} // namespace jaytrack::test

#endif
