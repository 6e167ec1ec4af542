// Simulates a fleet of instances before targets that crash when they have to refuse too many
// requests. Messages between the instances are delayed and may be lost.
#ifndef JAYTRACK_TESTS_BRITTLEFLEET_H
#define JAYTRACK_TESTS_BRITTLEFLEET_H

#include "jaytrack/Limits/refusalcontrol.h"
#include "jaytrack/Limits/targetlimits.h"

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace jaytrack::testing {

struct BrittleFleetPlan
{
    std::size_t instances = 7;
    std::size_t targets = 3;
    double tolerated = 10; // refusals within a second
    double load = 2;       // requests as a multiple of what the targets can serve
    Duration workTime = std::chrono::milliseconds(150);
    double lossRate = 0.02;
    bool isHeeded = true; // whether the instances hold requests back
};

class BrittleFleet
{
public:
    explicit BrittleFleet(const BrittleFleetPlan &fleetPlan);
    ~BrittleFleet();
    BrittleFleet(const BrittleFleet &) = delete;
    BrittleFleet &operator=(const BrittleFleet &) = delete;

    // Runs the simulation: the targets announce it from the start, and their load becomes too high
    // after some seconds.
    void run();

    std::size_t crashes() const;

    // Returns the served requests as a fraction of those that the targets could have served.
    double servedShare() const;

private:
    class Node;

    struct Target
    {
        std::vector<TimePoint> busyUntil;
        std::deque<TimePoint> refusals; // within the last second
        TimePoint downUntil;
        std::size_t crashes = 0;
        std::size_t served = 0;
    };

    struct Request
    {
        std::size_t from;
        std::size_t target;
    };

    struct InFlightMessage
    {
        TimePoint due;
        std::size_t from;
        std::size_t to;
        LimitMessage content;
    };

    double capacity() const;
    void step();
    void deliver();
    void arrive(double load);
    void post(std::size_t from, std::string_view to, const LimitMessage &content);
    void sendAfter(Duration wait, const Request &request);
    void sendDelayed();
    void onSent(Node &node, std::size_t target);
    void onRefused(Node &node, std::size_t target);

    BrittleFleetPlan plan;
    ManualClock clock;
    std::mt19937_64 random{7};
    std::vector<std::unique_ptr<Node>> nodes;
    std::vector<Target> targets;
    std::deque<InFlightMessage> messages;              // ordered by due time
    std::multimap<TimePoint, Request> delayedRequests; // by when they are sent
    TimePoint overloadedFrom;
};

} // namespace jaytrack::testing

#endif
