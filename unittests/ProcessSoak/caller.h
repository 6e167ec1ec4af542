// Callers of the instances: each keeps its connection open for many requests, until the instance
// closes it or is gone.
#ifndef JAYTRACK_TESTS_PROCESSSOAK_CALLER_H
#define JAYTRACK_TESTS_PROCESSSOAK_CALLER_H

#include "record.h"

#include <asio.hpp>

#include <memory>
#include <string>

namespace jaytrack::soak {

// A connection to one instance.
class CallerLine
{
public:
    explicit CallerLine(std::uint16_t port);
    ~CallerLine();
    CallerLine(const CallerLine &) = delete;
    CallerLine &operator=(const CallerLine &) = delete;

    bool isOpen() const;

    // Sends one request and takes its answer, or what comes of it within the time given.
    CallerSaw exchange(const std::string &request, std::chrono::milliseconds patience);

private:
    struct State;
    std::unique_ptr<State> state;
};

// The request of a caller for a kind of work.
std::string workRequest(const std::string &id, const Work &work, const std::string &key);

} // namespace jaytrack::soak

#endif
