// Grants the retries of an instance within the operators' bound for the whole fleet.
//
// An instance spends the retries that its own requests have earned. In a large fleet an instance
// gets a request every few seconds and earns a retry in half a minute, while the slack of the
// bound, which is meant for such failures, would be less than one retry for each instance.
// Therefore one part of the slack is not divided: an instance without an earned retry requests a
// permit from the instance that owns the service's permits, which are granted like those of targets
// with a rate limit.
#ifndef JAYTRACK_LIMITS_RETRYGATE_H
#define JAYTRACK_LIMITS_RETRYGATE_H

#include "jaytrack/Limits/limitgate.h"
#include "jaytrack/Routing/retrybudget.h"

#include <functional>
#include <span>
#include <string>
#include <string_view>

namespace jaytrack {

// Sends permit requests and answers to another instance. Messages may be lost.
class RetryTransport
{
public:
    virtual ~RetryTransport() = default;
    virtual void sendRetryPermits(std::string_view instance, const LimitMessage &message) = 0;
};

class RetryGate
{
public:
    // The part of the slack for which permits accrue in one window, and the part that the owner may
    // store. While the owner changes or the fleet is partitioned, all owners together grant up to
    // 1.5 times as much, which with the instances' own shares still is not more than the slack.
    static constexpr double sharedSlackPart = 0.2;

    // The parameter expectedOthers is the number of other instances in the settings.
    RetryGate(asio::io_context &loop, const Clock &time, std::string ownName,
              std::size_t expectedOthers, RetryBound retryBound, std::uint64_t seed,
              RetryTransport &peerTransport, Metrics &counters);

    void setInstances(std::span<const std::string> others);

    // Records the arrival of a caller's request for a service.
    void earn(std::string_view service) { this->budget.earn(service); }

    // Takes one retry to the service. Calls the callback once, immediately or from the event loop
    // after the owner's answer, with whether the retry was granted. A request does not wait until a
    // permit accrues: those that wait would all continue at the same moment.
    void take(std::string_view service, const std::function<void(bool)> &callback);

    void onMessage(std::string_view from, const LimitMessage &message);
    void tick() { this->permits.tick(); }

    // Returns the permits for retries to one service that accrue in a second.
    static double permitsPerSecond(const RetryBound &bound);

    // Returns the options under which permits for retries are granted.
    static TargetLimitOptions permitOptions(const RetryBound &bound);

private:
    // Passes on only permit requests and answers: every instance knows the rate from its settings.
    class PermitTransport final : public LimitTransport
    {
    public:
        explicit PermitTransport(RetryTransport &peerTransport)
            : transport(peerTransport)
        {
        }

        void sendLimits(std::string_view instance, const LimitMessage &message) override;
        void broadcastLimits(const LimitMessage &) override {}
        void sendLimitsToSample(const LimitMessage &) override {}

    private:
        RetryTransport &transport;
    };

    RetryBound bound;
    RetryBudget budget;
    PermitTransport transport;
    LimitGate permits; // by service
};

} // namespace jaytrack

#endif
