// Asks for each request to a target that names a limit, and says in the log what is believed.
#ifndef JAYTRACK_LIMITS_LIMITGATE_H
#define JAYTRACK_LIMITS_LIMITGATE_H

#include "jaytrack/Limits/targetlimits.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace jaytrack {

class Metrics;

// onMessage(), setInstances() and tick() are for the loop's thread, the rest for any. Spread is
// called from the thread of whoever calls, under the gate's lock, and must not come back here.
class LimitGate
{
public:
    using Decided = TargetLimits::Decided;

    LimitGate(asio::io_context &loop, const Clock &time, std::string ownName,
              std::size_t expectedOthers, std::uint64_t seed, LimitTransport &others,
              Metrics &counters);
    ~LimitGate();
    LimitGate(const LimitGate &) = delete;
    LimitGate &operator=(const LimitGate &) = delete;

    void setInstances(std::span<const std::string> others);
    void onMessage(std::string_view from, const LimitMessage &news);
    void tick();

    // The target named a limit in an answer, or none in the answer to a request that was sent so
    // long ago.
    void recordLimit(std::string_view target, double perSecond);
    void recordNoLimit(std::string_view target, Duration sentAgo);

    // The target's life ended.
    void forget(std::string_view target);

    std::optional<double> limitOf(std::string_view target) const;

    // How long no request had better be asked for; zero if one may be asked for now.
    Duration remainingBackoff(std::string_view target) const;

    // Asks for one request to the target, as TargetLimits::request() does. The function is called
    // from the loop's thread.
    std::optional<Permit> request(std::string_view target, Decided later);

    // Asks again and again for so long. The function is called once, from the loop's thread or at
    // once, with whether a request may go.
    void requestWithin(std::string_view target, Duration patience,
                       std::function<void(bool)> decided);

    // A request goes to the target though none was asked for, since it could not be held back.
    void countSent(std::string_view target);

    // The time between two questions about the load of a target that is usually asked so often.
    std::chrono::milliseconds probeInterval(std::string_view target,
                                            std::chrono::milliseconds usual) const;

private:
    struct PatientRequest;

    void tryAgain(const std::shared_ptr<PatientRequest> &request);
    void goOnWith(const std::shared_ptr<PatientRequest> &request, const Permit &permit);
    void runDue();
    void watchAnswers();
    void note(const Permit &permit);
    void logWord(std::string_view target, std::string_view source) const;

    asio::io_context &context;
    const Clock &clock;
    Metrics &metrics;
    mutable std::mutex mutex; // guards limits and due
    TargetLimits limits;
    std::vector<std::function<void()>> due; // decisions to be told without the lock
    asio::steady_timer timer;
    bool watching = false; // for the loop's thread
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace jaytrack

#endif
