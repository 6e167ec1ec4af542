// One entry instance as a process of its own, started and signalled from outside.
#ifndef JAYTRACK_TESTS_PROCESSSOAK_INSTANCEPROCESS_H
#define JAYTRACK_TESTS_PROCESSSOAK_INSTANCEPROCESS_H

#include <sys/types.h>

#include <cstdint>
#include <string>
#include <vector>

namespace jaytrack::soak {

// A port of this machine that is free and was not given out before by this program. It lies below
// those that the system gives to outgoing connections, so nobody else takes it by chance.
std::uint16_t freePort();

struct InstancePlan
{
    std::string program;
    std::string directory; // for settings and log
    std::string name;
    std::string storeAddress;
    std::vector<std::string> seeds; // IP:PORT of all instances' peers
    std::uint16_t callers = 0;
    std::uint16_t readiness = 0;
    std::string peers; // IP:PORT
};

class InstanceProcess
{
public:
    explicit InstanceProcess(InstancePlan given);
    ~InstanceProcess();
    InstanceProcess(const InstanceProcess &) = delete;
    InstanceProcess &operator=(const InstanceProcess &) = delete;

    void start();

    // Sends a signal to the process that start() began, if it still runs.
    void signal(int number) const;

    // Whether it has ended; reaps it.
    bool hasEnded();

    // How it ended by itself: an exit other than 0 or a signal nobody sent; empty if well.
    std::string fault() const { return this->endFault; }

    const std::string &name() const { return this->plan.name; }
    std::uint16_t port() const { return this->plan.callers; }

private:
    void writeSettings() const;

    InstancePlan plan;
    pid_t process = -1;
    mutable bool killed = false;
    std::string endFault;
};

} // namespace jaytrack::soak

#endif
