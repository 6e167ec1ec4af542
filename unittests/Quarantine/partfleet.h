// A fleet of instances before engines that crash under one part of prompts, on a virtual clock. The
// instances decide by their own CrashQuarantine and tell each other as CrashWatch does.
#ifndef JAYTRACK_TESTS_PARTFLEET_H
#define JAYTRACK_TESTS_PARTFLEET_H

#include "jaytrack/Quarantine/crashquarantine.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace jaytrack::testing {

// What an instance does with requests before it knows which part crashes engines.
enum class SuspicionPolicy {
    RetryAtOnce,       // a lost request goes to a second engine at once
    RetryAfterVerdict, // one with a part that is not known to run well waits for the verdict
    NeverRetry,        // one with such a part is given up
    HoldSuspected,     // as RetryAfterVerdict; requests with a part of two ends wait, too
};

struct PartFleetPlan
{
    std::size_t instances = 7;
    std::size_t engines = 18;
    double soundPerSecond = 16;
    double deadlyPerSecond = 4;
    std::size_t deadlyParts = 1;
    double chanceEndsPerSecond = 0; // engines that end whatever they run
    double lossRate = 0.02;         // of messages
    double killedShare = 0;         // of the instances, at the third end; they start again
    bool freshStart = false;        // no instance knows any part yet
    bool oneVersionOnly = false;    // half of the engines have a version that runs the part well
    SuspicionPolicy policy = SuspicionPolicy::HoldSuspected;
    std::uint64_t seed = 1;
};

struct PartFleetResult
{
    std::size_t deadlyEnds = 0;      // of engines that began a deadly request
    std::size_t lateDeadlySends = 0; // later than the users' bound after the fifth of these ends
    std::size_t soundSent = 0;       // sound requests since twice that bound
    std::size_t soundRefused = 0;    // of these
    std::size_t soundLost = 0;       // in the whole run, with an engine
    std::size_t soundHeld = 0;       // sound requests that waited for a verdict
    std::size_t messages = 0;        // datagrams of the quarantine
    bool sharedPartBarred = false;   // at some instance, ever
};

class PartFleet
{
public:
    explicit PartFleet(const PartFleetPlan &given);

    PartFleetResult run(std::chrono::seconds length);

private:
    struct Request
    {
        RequestIdentity identity;
        std::size_t instance = 0;
        bool deadly = false;
        int sends = 0;
        TimePoint arrivedAt;
        TimePoint sentAt;
    };
    using RequestPointer = std::shared_ptr<Request>;

    struct Engine
    {
        std::string name;
        std::string software;
        TimePoint upAt;
        std::set<RequestPointer> requests;
    };

    struct Instance
    {
        std::unique_ptr<CrashQuarantine> quarantine;
        std::size_t incarnation = 0;
    };

    void at(TimePoint when, std::function<void()> action);
    void arrive(bool deadly);
    void attempt(const RequestPointer &request);
    void begin(const RequestPointer &request, std::size_t engine);
    void complete(const RequestPointer &request, std::size_t engine, TimePoint beganAt);
    void endEngine(std::size_t engine, bool deadly);
    void lose(const RequestPointer &request, const std::string &software);
    void reportEnd(std::size_t instance, TargetEnd end);
    void tick(std::size_t instance);
    void acceptBars(std::size_t instance, const std::vector<BarredRequest> &bars);
    void send(std::size_t to, std::function<void(CrashQuarantine &)> message);
    void broadcast(std::size_t from, const std::function<void(CrashQuarantine &)> &message);
    void gossip(std::size_t from, const std::function<void(std::size_t)> &message);
    void restartSome();
    double draw() { return std::uniform_real_distribution<double>(0, 1)(this->random); }
    std::size_t drawIndex(std::size_t count) { return this->random() % count; }

    PartFleetPlan plan;
    ManualClock clock;
    std::mt19937_64 random;
    std::vector<Instance> instances;
    std::vector<Engine> engines;
    std::multimap<TimePoint, std::function<void()>> events;
    PartFleetResult result;
    std::size_t serial = 0;
    TimePoint fifthEndAt = TimePoint::max();
    TimePoint lastEndAt;
};

} // namespace jaytrack::testing

#endif
