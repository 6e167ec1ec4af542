#include "jaytrack/Limits/retrygate.h"

#include <utility>

namespace jaytrack {

RetryGate::RetryGate(asio::io_context &loop, const Clock &time, std::string ownName,
                     std::size_t expectedOthers, RetryBound retryBound, std::uint64_t seed,
                     RetryTransport &peerTransport, Metrics &counters)
    : bound(retryBound)
    , budget(time, retryBound)
    , transport(peerTransport)
    , permits(loop, time, std::move(ownName), expectedOthers, seed, this->transport, counters,
              {permitOptions(retryBound), "jaytrack_retry_permits_total"})
{
}

double RetryGate::permitsPerSecond(const RetryBound &bound)
{
    return bound.slack * sharedSlackPart / std::chrono::duration<double>(bound.window).count();
}

TargetLimitOptions RetryGate::permitOptions(const RetryBound &bound)
{
    TargetLimitOptions options;
    options.burstPermits = 0;
    options.burstSeconds = std::chrono::duration<double>(bound.window).count();
    options.minPerSecond = 0;
    return options;
}

void RetryGate::setInstances(std::span<const std::string> others)
{
    this->budget.setInstances(others.size() + 1);
    this->permits.setInstances(others);
}

void RetryGate::take(std::string_view service, const std::function<void(bool)> &callback)
{
    if (this->budget.take(service))
        return callback(true);
    const double perSecond = permitsPerSecond(this->bound);
    if (perSecond <= 0)
        return callback(false);
    this->permits.recordLimit(service, perSecond);
    const auto decided = [callback](const Permit &permit) { callback(permit.granted); };
    if (const auto permit = this->permits.request(service, decided))
        decided(*permit);
}

void RetryGate::onMessage(std::string_view from, const LimitMessage &message)
{
    this->permits.onMessage(from, message);
}

void RetryGate::PermitTransport::sendLimits(std::string_view instance, const LimitMessage &message)
{
    if (!message.requests.empty() || !message.answers.empty())
        this->transport.sendRetryPermits(instance, message);
}

} // namespace jaytrack
