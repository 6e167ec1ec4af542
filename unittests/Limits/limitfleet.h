// Simulates a fleet of instances that all use one target. Messages between the instances are
// delayed, may be lost, and may be addressed to instances that are down.
#ifndef JAYTRACK_TESTS_LIMITFLEET_H
#define JAYTRACK_TESTS_LIMITFLEET_H

#include "jaytrack/Limits/targetlimits.h"

#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace jaytrack::testing {

enum class LimitFault {
    None,
    Split,               // two halves that cannot reach each other
    Isolated,            // no instance can reach another
    RollingRestart,      // the instances restart one after the other
    SimultaneousRestart, // all restart at once and discover each other within two seconds
    Kills,               // instances are killed without notice and restart
    Stalls,              // instances stall for seconds and resume
    PartialViews,        // each instance knows a different part of the fleet
    Lossy                // messages are lost or delayed
};

struct LimitFleetPlan
{
    std::size_t instances = 7;
    double limit = 2.5;
    double requestsPerSecond = 200; // over all instances
    LimitFault fault = LimitFault::None;
};

class LimitFleet
{
public:
    explicit LimitFleet(const LimitFleetPlan &fleetPlan);
    ~LimitFleet();
    LimitFleet(const LimitFleet &) = delete;
    LimitFleet &operator=(const LimitFleet &) = delete;

    // Runs the simulation: the target advertises its limit, and the fault starts two seconds later.
    void run();

    // Returns the maximum number of requests within 4 s that were sent by instances that knew the
    // limit.
    std::size_t maxRequestsInWindow() const;

    // Returns the maximum number of requests that the target may receive within 4 s.
    double allowedInWindow() const;

    // Returns the achieved request rate as a fraction of the limit.
    double usedShare() const;

    // The number of requests from instances that did not know the limit, and the number of instance
    // starts.
    std::size_t unawareRequests() const { return this->unawareCount; }
    std::size_t starts() const { return this->startCount; }

    // Returns the maximum number of messages that one instance sent within a second.
    std::size_t maxMessagesPerSecond() const;

private:
    class Node;

    struct InFlightMessage
    {
        TimePoint due;
        std::size_t from;
        std::size_t to;
        LimitMessage content;
    };

    void start(std::size_t index);
    void step();
    void deliver();
    void generateRequests();
    void injectFault(int atStep);
    void injectFaultPerInstance(int atStep);
    void updateAllViews();
    void updateViews(double part);
    bool reaches(std::size_t from, std::size_t to) const;
    void post(std::size_t from, const std::string &to, const LimitMessage &content);
    void onRequestSent(std::size_t index);

    LimitFleetPlan plan;
    ManualClock clock;
    std::mt19937_64 random{11};
    std::vector<std::unique_ptr<Node>> nodes;
    std::vector<int> partitions; // instances of different partitions cannot reach each other
    std::deque<InFlightMessage> messages; // ordered by due time
    std::vector<TimePoint> sends;
    TimePoint advertisedAt;
    std::size_t unawareCount = 0;
    std::size_t startCount = 0;
};

} // namespace jaytrack::testing

#endif
