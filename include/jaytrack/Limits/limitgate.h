// Requests permits for requests to targets that advertise a rate limit, and logs changes of the
// limits. Adds locking, timers, metrics and logging to TargetLimits.
#ifndef JAYTRACK_LIMITS_LIMITGATE_H
#define JAYTRACK_LIMITS_LIMITGATE_H

#include "jaytrack/Limits/targetlimits.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace jaytrack {

class Metrics;

struct LimitGateOptions
{
    TargetLimitOptions limits;
    std::string permitMetric = "jaytrack_permits_total"; // name of the counter of permits
};

// onMessage(), setInstances() and tick() have to be called from the event loop's thread; the other
// functions may be called from any thread. The transport is called from the calling thread with the
// mutex held, and must not call back into this class.
class LimitGate
{
public:
    using PermitCallback = TargetLimits::PermitCallback;

    LimitGate(asio::io_context &loop, const Clock &time, std::string ownName,
              std::size_t expectedOthers, std::uint64_t seed, LimitTransport &peerTransport,
              Metrics &counters, const LimitGateOptions &options = {});
    ~LimitGate();
    LimitGate(const LimitGate &) = delete;
    LimitGate &operator=(const LimitGate &) = delete;

    void setInstances(std::span<const std::string> others);
    void onMessage(std::string_view from, const LimitMessage &message);
    void tick();

    // Records the limit in an answer of the target, or an answer without a limit to a request that
    // was sent this long ago.
    void recordLimit(std::string_view target, double perSecond);
    void recordNoLimit(std::string_view target, Duration sentAgo);

    // Sets the limit of a target that names none itself, for all instances.
    void imposeLimit(std::string_view target, double perSecond);

    // Returns how long ago the target's limit was last named; nullopt if it has none.
    std::optional<Duration> sinceNamed(std::string_view target) const;

    // Removes the state of a target that has terminated.
    void forget(std::string_view target);

    std::optional<double> limitOf(std::string_view target) const;

    // Returns the time for which no permit should be requested for the target; zero if one may be
    // requested now.
    Duration remainingBackoff(std::string_view target) const;

    // Requests a permit for one request to the target, as TargetLimits::request() does. The
    // callback is called from the event loop's thread, when the request may be sent if the permit
    // is granted.
    std::optional<Permit> request(std::string_view target, const PermitCallback &callback);

    // Requests a permit repeatedly until it is granted or the time-out would pass. Calls the
    // callback once, immediately or from the event loop's thread, with whether the request may be
    // sent.
    void requestWithin(std::string_view target, Duration timeout,
                       std::function<void(bool)> callback);

    // Charges a request that is sent without a permit because it could not be delayed.
    void countSent(std::string_view target);

    // Returns the interval between two load probes of a target: the default interval, or a longer
    // one if the target has a limit.
    std::chrono::milliseconds probeInterval(std::string_view target,
                                            std::chrono::milliseconds defaultInterval) const;

private:
    struct RetriedRequest;

    void answer(const PermitCallback &callback, const Permit &permit);
    void tryRequest(const std::shared_ptr<RetriedRequest> &request);
    void onPermit(const std::shared_ptr<RetriedRequest> &request, const Permit &permit);
    void runCallbacks();
    void scheduleExpiryCheckFromLoop();
    void scheduleExpiryCheck();
    void countPermit(const Permit &permit);
    void logLimitChange(std::string_view target, std::string_view source) const;

    asio::io_context &context;
    const Clock &clock;
    Metrics &metrics;
    std::string grantedMetric;
    std::string deniedMetric;
    mutable std::mutex mutex; // guards limits and pendingCallbacks
    TargetLimits limits;
    std::vector<std::function<void()>> pendingCallbacks; // to be called without the lock
    asio::steady_timer timer;
    bool isExpiryCheckScheduled = false; // only used on the event loop's thread
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace jaytrack

#endif
