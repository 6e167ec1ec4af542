// Keeps brittle targets from crashing: requests permits for requests to those that refused some for
// want of room. The permits accrue at a rate that RefusalControl works out, and are granted by one
// instance for the whole fleet like those of targets that name a limit.
#ifndef JAYTRACK_LIMITS_BRITTLEGATE_H
#define JAYTRACK_LIMITS_BRITTLEGATE_H

#include "jaytrack/Limits/limitgate.h"
#include "jaytrack/Limits/refusalcontrol.h"

namespace jaytrack {

class BrittleGate
{
public:
    BrittleGate(asio::io_context &loop, const Clock &time, std::string ownName,
                std::size_t expectedOthers, std::uint64_t seed, LimitTransport &peerTransport,
                Metrics &counters);

    void setInstances(std::span<const std::string> others) { this->permits.setInstances(others); }
    void onMessage(std::string_view from, const LimitMessage &message)
    {
        this->permits.onMessage(from, message);
    }
    void tick() { this->permits.tick(); }

    // Records that an answer of the target announced how many refusals within a second it
    // tolerates.
    void recordBrittle(std::string_view target, double toleratedRefusals);

    // Records an answer without that announcement to a request that was sent this long ago.
    void recordSound(std::string_view target, Duration sentAgo);

    // Records how long a request took that a target of the service served.
    void recordServed(std::string_view service, int slots, Duration took);

    // Records that the target had no room for a request. Has no effect unless it is brittle.
    void recordRefusal(std::string_view target, std::string_view service);

    void forget(std::string_view target);

    // Returns the time for which the target should be given no request; zero if it may be.
    Duration remainingBackoff(std::string_view target) const
    {
        return this->permits.remainingBackoff(target);
    }

    // Requests a permit for one request to the target, as TargetLimits::request() does.
    std::optional<Permit> request(std::string_view target,
                                  const LimitGate::PermitCallback &callback)
    {
        return this->permits.request(target, callback);
    }

private:
    RefusalControl control;
    LimitGate permits;
};

} // namespace jaytrack

#endif
