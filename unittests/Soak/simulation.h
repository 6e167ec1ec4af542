// The stage of the randomised runs: a virtual clock, an ordered list of events, and links that
// lose, delay, double and cut what is sent. It holds no decision of jaytrack's.
#ifndef JAYTRACK_UNITTESTS_SOAK_SIMULATION_H
#define JAYTRACK_UNITTESTS_SOAK_SIMULATION_H

#include "jaytrack/Support/clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace jaytrack::soak {

// Runs steps in the order of their times; equal times in the order in which they were added.
class Schedule
{
public:
    void after(Duration delay, std::function<void()> step)
    {
        this->steps.push({this->clock.now() + delay, this->nextNumber++, std::move(step)});
    }

    // Runs until the given moment.
    void runUntil(TimePoint end)
    {
        while (!this->steps.empty() && this->steps.top().at <= end) {
            const Step step = this->steps.top();
            this->steps.pop();
            this->clock.advance(step.at - this->clock.now());
            ++this->count;
            step.run();
        }
        this->clock.advance(end - this->clock.now());
    }

    ManualClock clock;
    std::uint64_t count = 0;

private:
    struct Step
    {
        TimePoint at;
        std::uint64_t number;
        std::function<void()> run;

        bool operator<(const Step &other) const
        {
            return this->at != other.at ? this->at > other.at : this->number > other.number;
        }
    };

    std::priority_queue<Step> steps;
    std::uint64_t nextNumber = 0;
};

// The network between named places.
class Network
{
public:
    Network(Schedule &list, std::mt19937_64 &source)
        : schedule(list)
        , random(source)
    {
    }

    // Delivers after a delay, perhaps never, perhaps twice; reordering follows from the delays.
    void send(const std::string &from, const std::string &to, const std::function<void()> &deliver)
    {
        this->sendOnce(from, to, deliver);
        if (this->chance(this->doubling))
            this->sendOnce(from, to, deliver);
    }

    bool isCut(const std::string &from, const std::string &to) const
    {
        return this->cuts.count({from, to}) != 0;
    }

    void cut(const std::string &from, const std::string &to) { this->cuts.insert({from, to}); }
    void heal() { this->cuts.clear(); }

    bool chance(double probability)
    {
        return std::uniform_real_distribution<double>(0, 1)(this->random) < probability;
    }

    double loss = 0.01;
    double doubling = 0.01;
    Duration longest = std::chrono::milliseconds(6);

private:
    void sendOnce(const std::string &from, const std::string &to,
                  const std::function<void()> &deliver)
    {
        if (this->isCut(from, to) || this->chance(this->loss))
            return;
        const auto spread = static_cast<std::uint64_t>(this->longest.count());
        const Duration delay = std::chrono::microseconds(500) +
                               Duration(static_cast<Duration::rep>(this->random() % (spread + 1)));
        this->schedule.after(delay, deliver);
    }

    Schedule &schedule;
    std::mt19937_64 &random;
    std::set<std::pair<std::string, std::string>> cuts;
};

} // namespace jaytrack::soak

#endif
