#include "jaytrack/Limits/limitgate.h"

#include "jaytrack/Support/log.h"
#include "jaytrack/Support/metrics.h"

#include <asio/post.hpp>

#include <algorithm>
#include <utility>

namespace jaytrack {

namespace {

// Interval of the check for expired permit requests while any is pending.
constexpr std::chrono::milliseconds expiryCheckInterval{10};

// A load probe counts against the target's limit, so at most one in this many permitted requests is
// a probe.
constexpr double requestsPerProbe = 4;
constexpr std::chrono::milliseconds maxProbeInterval{10'000};

} // namespace

struct LimitGate::RetriedRequest
{
    std::string target;
    TimePoint deadline;
    std::function<void(bool)> callback;
    asio::steady_timer timer;
};

LimitGate::LimitGate(asio::io_context &loop, const Clock &time, std::string ownName,
                     std::size_t expectedOthers, std::uint64_t seed, LimitTransport &peerTransport,
                     Metrics &counters, const LimitGateOptions &options)
    : context(loop)
    , clock(time)
    , metrics(counters)
    , grantedMetric(options.permitMetric + "{result=\"granted\"}")
    , deniedMetric(options.permitMetric + "{result=\"denied\"}")
    , limits(time, std::move(ownName), expectedOthers, seed, peerTransport, options.limits)
    , timer(loop)
{
}

LimitGate::~LimitGate()
{
    *this->alive = false;
}

void LimitGate::logLimitChange(std::string_view target, std::string_view source) const
{
    const std::optional<double> perSecond = this->limits.limitOf(target);
    if (!perSecond) {
        logEvent(Severity::Info, "target_limit_ended", {{"target", target}, {"source", source}});
        return;
    }
    logEvent(Severity::Info, "target_limited",
             {{"target", target},
              {"per_second", std::string_view(std::to_string(*perSecond))},
              {"source", source}});
    this->metrics.count("jaytrack_targets_limited_total");
}

void LimitGate::setInstances(std::span<const std::string> others)
{
    const std::lock_guard lock(this->mutex);
    this->limits.setInstances(others);
}

void LimitGate::onMessage(std::string_view from, const LimitMessage &message)
{
    {
        const std::lock_guard lock(this->mutex);
        for (const std::string &target : this->limits.onMessage(from, message))
            this->logLimitChange(target, "peer");
    }
    this->runCallbacks();
}

void LimitGate::tick()
{
    {
        const std::lock_guard lock(this->mutex);
        this->limits.tick();
    }
    this->runCallbacks();
}

void LimitGate::recordLimit(std::string_view target, double perSecond)
{
    const std::lock_guard lock(this->mutex);
    if (this->limits.recordLimit(target, perSecond))
        this->logLimitChange(target, "answer");
}

void LimitGate::recordNoLimit(std::string_view target, Duration sentAgo)
{
    const std::lock_guard lock(this->mutex);
    if (this->limits.recordNoLimit(target, sentAgo))
        this->logLimitChange(target, "answer");
}

void LimitGate::imposeLimit(std::string_view target, double perSecond)
{
    const std::lock_guard lock(this->mutex);
    this->limits.imposeLimit(target, perSecond);
    this->logLimitChange(target, "refusal");
}

std::optional<Duration> LimitGate::sinceNamed(std::string_view target) const
{
    const std::lock_guard lock(this->mutex);
    return this->limits.sinceNamed(target);
}

void LimitGate::forget(std::string_view target)
{
    const std::lock_guard lock(this->mutex);
    this->limits.forget(target);
}

std::optional<double> LimitGate::limitOf(std::string_view target) const
{
    const std::lock_guard lock(this->mutex);
    return this->limits.limitOf(target);
}

Duration LimitGate::remainingBackoff(std::string_view target) const
{
    const std::lock_guard lock(this->mutex);
    return this->limits.remainingBackoff(target);
}

void LimitGate::countPermit(const Permit &permit)
{
    this->metrics.count(permit.granted ? this->grantedMetric : this->deniedMetric);
}

// Calls the callback when the permit has accrued.
void LimitGate::answer(const PermitCallback &callback, const Permit &permit)
{
    if (!permit.granted || permit.wait <= Duration(0))
        return callback(permit);
    const auto accrual = std::make_shared<asio::steady_timer>(this->context, permit.wait);
    accrual->async_wait([accrual, kept = this->alive, callback,
                         owner = permit.owner](const asio::error_code &failure) {
        if (!failure && *kept)
            callback({true, Duration(0), owner});
    });
}

std::optional<Permit> LimitGate::request(std::string_view target, const PermitCallback &callback)
{
    const std::lock_guard lock(this->mutex);
    if (!this->limits.limitOf(target))
        return Permit{true, Duration(0), {}};
    const auto decided = [this, callback](const Permit &permit) {
        this->countPermit(permit);
        this->pendingCallbacks.emplace_back(
                [this, callback, permit] { this->answer(callback, permit); });
    };
    std::optional<Permit> permit = this->limits.request(target, decided);
    if (!permit) {
        this->scheduleExpiryCheckFromLoop();
        return std::nullopt;
    }
    this->countPermit(*permit);
    if (!permit->granted || permit->wait <= Duration(0))
        return permit;
    asio::post(this->context, [this, kept = this->alive, callback, granted = *permit] {
        if (*kept)
            this->answer(callback, granted);
    });
    return std::nullopt;
}

void LimitGate::requestWithin(std::string_view target, Duration timeout,
                              std::function<void(bool)> callback)
{
    this->tryRequest(std::make_shared<RetriedRequest>(
            RetriedRequest{std::string(target), this->clock.now() + timeout, std::move(callback),
                           asio::steady_timer(this->context)}));
}

void LimitGate::tryRequest(const std::shared_ptr<RetriedRequest> &request)
{
    const auto later = [this, kept = this->alive, request](const Permit &permit) {
        if (*kept)
            this->onPermit(request, permit);
    };
    if (const auto permit = this->request(request->target, later))
        this->onPermit(request, *permit);
}

void LimitGate::onPermit(const std::shared_ptr<RetriedRequest> &request, const Permit &permit)
{
    if (permit.granted || this->clock.now() + permit.wait > request->deadline)
        return request->callback(permit.granted);
    request->timer.expires_after(permit.wait);
    request->timer.async_wait([this, kept = this->alive, request](const asio::error_code &failure) {
        if (!failure && *kept)
            this->tryRequest(request);
    });
}

std::chrono::milliseconds LimitGate::probeInterval(std::string_view target,
                                                   std::chrono::milliseconds defaultInterval) const
{
    const std::optional<double> limit = this->limitOf(target);
    if (!limit)
        return defaultInterval;
    const double maxGap = std::chrono::duration<double>(maxProbeInterval).count();
    const double gap = *limit > 0 ? std::min(requestsPerProbe / *limit, maxGap) : maxGap;
    return std::max(defaultInterval, std::chrono::duration_cast<std::chrono::milliseconds>(
                                             std::chrono::duration<double>(gap)));
}

void LimitGate::countSent(std::string_view target)
{
    const std::lock_guard lock(this->mutex);
    this->limits.countSent(target);
}

void LimitGate::runCallbacks()
{
    std::vector<std::function<void()>> callbacks;
    {
        const std::lock_guard lock(this->mutex);
        callbacks.swap(this->pendingCallbacks);
    }
    for (const std::function<void()> &callback : callbacks)
        callback();
}

void LimitGate::scheduleExpiryCheckFromLoop()
{
    asio::post(this->context, [this, kept = this->alive] {
        if (*kept)
            this->scheduleExpiryCheck();
    });
}

void LimitGate::scheduleExpiryCheck()
{
    if (this->isExpiryCheckScheduled)
        return;
    {
        const std::lock_guard lock(this->mutex);
        if (!this->limits.nextDeadline())
            return;
    }
    this->isExpiryCheckScheduled = true;
    this->timer.expires_after(expiryCheckInterval);
    this->timer.async_wait([this, kept = this->alive](const asio::error_code &failure) {
        if (failure || !*kept)
            return;
        this->isExpiryCheckScheduled = false;
        this->tick();
        this->scheduleExpiryCheck();
    });
}

} // namespace jaytrack
