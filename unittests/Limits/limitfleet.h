// A fleet of simulated instances that all want one target, with messages between them that take
// time, are lost, and find nobody.
#ifndef JAYTRACK_TESTS_LIMITFLEET_H
#define JAYTRACK_TESTS_LIMITFLEET_H

#include "jaytrack/Limits/targetlimits.h"

#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace jaytrack::testing {

enum class LimitTrouble {
    None,
    Split,         // in two halves that do not reach each other
    AllAlone,      // no instance reaches another
    RollingStarts, // one instance after the other starts anew
    CommonStart,   // all start anew at once, and meet within two seconds
    Kills,         // instances end without a word and come back
    Freezes,       // instances stand still for seconds and go on
    LateViews,     // each instance sees another part of the fleet
    Lossy          // messages are lost and late
};

struct LimitFleetPlan
{
    std::size_t instances = 7;
    double limit = 2.5;
    double wanted = 200; // requests a second, over all instances
    LimitTrouble trouble = LimitTrouble::None;
};

class LimitFleet
{
public:
    explicit LimitFleet(const LimitFleetPlan &given);
    ~LimitFleet();
    LimitFleet(const LimitFleet &) = delete;
    LimitFleet &operator=(const LimitFleet &) = delete;

    // Plays the day: the target names its limit, and the trouble comes two seconds later.
    void play();

    // The most requests in 4 s of instances that had heard of the limit.
    std::size_t worstWindow() const;

    // The most that the target may get in 4 s.
    double mostAllowed() const;

    // Requests a second, as a part of the limit.
    double usedPart() const;

    // Requests of instances that had not heard of the limit, and how often one started.
    std::size_t unaware() const { return this->unawareSends; }
    std::size_t starts() const { return this->startCount; }

    // The most messages that one instance sent in a second.
    std::size_t worstMessages() const;

private:
    class Node;

    struct Message
    {
        TimePoint due;
        std::size_t from;
        std::size_t to;
        LimitMessage news;
    };

    void start(std::size_t index);
    void step();
    void deliver();
    void wantSome();
    void stir(int atStep);
    void stirEach(int atStep);
    void meetAll();
    void meetSome(double part);
    bool reaches(std::size_t from, std::size_t to) const;
    void post(std::size_t from, const std::string &to, const LimitMessage &news);
    void sent(std::size_t index);

    LimitFleetPlan plan;
    ManualClock clock;
    std::mt19937_64 random{11};
    std::vector<std::unique_ptr<Node>> nodes;
    std::vector<int> parts;       // instances of different parts do not reach each other
    std::deque<Message> messages; // in the order of their moments
    std::vector<TimePoint> sends;
    TimePoint namedAt;
    std::size_t unawareSends = 0;
    std::size_t startCount = 0;
};

} // namespace jaytrack::testing

#endif
