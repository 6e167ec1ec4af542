// A target as a stand-in that names a limit in its answers and counts what it gets.
#ifndef JAYTRACK_TESTS_LIMITEDTARGET_H
#define JAYTRACK_TESTS_LIMITEDTARGET_H

#include "platformstandin.h"

#include <atomic>
#include <chrono>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace jaytrack::testing {

class LimitedTarget
{
public:
    // Makes the answer to a request, with these further header lines.
    using Answering = std::function<Answer(const SeenRequest &, const std::string &headers)>;

    // The header by which it names its limit.
    LimitedTarget(std::string limitHeader, double limitPerSecond, Answering answers);

    // Names its limit from now on, or none any more.
    void nameLimit(bool names) { this->naming = names; }

    std::string address() const { return this->server.address(); }

    // The most that it got in 4 s, from the given time after it first named its limit.
    std::size_t worstWindow(std::chrono::milliseconds after) const;

    // What it got in so long until now.
    std::size_t gotWithin(std::chrono::milliseconds time) const;

    // The most that it may get in 4 s.
    double mostAllowed() const;

private:
    Answer answer(const SeenRequest &request);

    std::string header;
    double limit;
    Answering answering;
    std::atomic<bool> naming{false};
    mutable std::mutex mutex;
    std::vector<std::chrono::steady_clock::time_point> arrivals;
    std::chrono::steady_clock::time_point firstNamed = {};
    ScriptedServer server;
};

// Calls a function so many times a second, on some threads, until it goes.
class Pressure
{
public:
    Pressure(double perSecond, std::size_t threads, std::function<void()> call);
    ~Pressure();
    Pressure(const Pressure &) = delete;
    Pressure &operator=(const Pressure &) = delete;

private:
    std::atomic<bool> ended{false};
    std::vector<std::thread> workers;
};

} // namespace jaytrack::testing

#endif
