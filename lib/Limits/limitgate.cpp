#include "jaytrack/Limits/limitgate.h"

#include "jaytrack/Support/log.h"
#include "jaytrack/Support/metrics.h"

#include <asio/post.hpp>

#include <algorithm>
#include <utility>

namespace jaytrack {

namespace {

// How often it is looked whether a keeper's answer is overdue, while one is awaited.
constexpr std::chrono::milliseconds watchGap{10};

// Of so many requests that a target with a limit takes one may be a question about its load.
constexpr double requestsPerQuestion = 4;
constexpr std::chrono::milliseconds longestGap{10'000};

} // namespace

struct LimitGate::PatientRequest
{
    std::string target;
    TimePoint until;
    std::function<void(bool)> decided;
    asio::steady_timer timer;
};

LimitGate::LimitGate(asio::io_context &loop, const Clock &time, std::string ownName,
                     std::size_t expectedOthers, std::uint64_t seed, LimitTransport &others,
                     Metrics &counters)
    : context(loop)
    , clock(time)
    , metrics(counters)
    , limits(time, std::move(ownName), expectedOthers, seed, others)
    , timer(loop)
{
}

LimitGate::~LimitGate()
{
    *this->alive = false;
}

void LimitGate::logWord(std::string_view target, std::string_view source) const
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

void LimitGate::onMessage(std::string_view from, const LimitMessage &news)
{
    {
        const std::lock_guard lock(this->mutex);
        for (const std::string &target : this->limits.onMessage(from, news))
            this->logWord(target, "peer");
    }
    this->runDue();
}

void LimitGate::tick()
{
    {
        const std::lock_guard lock(this->mutex);
        this->limits.tick();
    }
    this->runDue();
}

void LimitGate::recordLimit(std::string_view target, double perSecond)
{
    const std::lock_guard lock(this->mutex);
    if (this->limits.recordLimit(target, perSecond))
        this->logWord(target, "answer");
}

void LimitGate::recordNoLimit(std::string_view target, Duration sentAgo)
{
    const std::lock_guard lock(this->mutex);
    if (this->limits.recordNoLimit(target, sentAgo))
        this->logWord(target, "answer");
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

void LimitGate::note(const Permit &permit)
{
    this->metrics.count(permit.granted ? "jaytrack_permits_total{result=\"granted\"}"
                                       : "jaytrack_permits_total{result=\"denied\"}");
}

std::optional<Permit> LimitGate::request(std::string_view target, Decided later)
{
    const std::lock_guard lock(this->mutex);
    if (!this->limits.limitOf(target))
        return Permit{true, Duration(0), {}};
    std::optional<Permit> permit =
            this->limits.request(target, [this, later = std::move(later)](const Permit &decided) {
                this->due.emplace_back([later, decided] { later(decided); });
                this->note(decided);
            });
    if (permit) {
        this->note(*permit);
        return permit;
    }
    asio::post(this->context, [this, kept = this->alive] {
        if (*kept)
            this->watchAnswers();
    });
    return std::nullopt;
}

void LimitGate::requestWithin(std::string_view target, Duration patience,
                              std::function<void(bool)> decided)
{
    this->tryAgain(std::make_shared<PatientRequest>(
            PatientRequest{std::string(target), this->clock.now() + patience, std::move(decided),
                           asio::steady_timer(this->context)}));
}

void LimitGate::tryAgain(const std::shared_ptr<PatientRequest> &request)
{
    const auto later = [this, kept = this->alive, request](const Permit &permit) {
        if (*kept)
            this->goOnWith(request, permit);
    };
    if (const auto permit = this->request(request->target, later))
        this->goOnWith(request, *permit);
}

void LimitGate::goOnWith(const std::shared_ptr<PatientRequest> &request, const Permit &permit)
{
    if (permit.granted || this->clock.now() + permit.wait > request->until)
        return request->decided(permit.granted);
    request->timer.expires_after(permit.wait);
    request->timer.async_wait([this, kept = this->alive, request](const asio::error_code &failure) {
        if (!failure && *kept)
            this->tryAgain(request);
    });
}

std::chrono::milliseconds LimitGate::probeInterval(std::string_view target,
                                                   std::chrono::milliseconds usual) const
{
    const std::optional<double> limit = this->limitOf(target);
    if (!limit)
        return usual;
    const double most = std::chrono::duration<double>(longestGap).count();
    const double spaced = *limit > 0 ? std::min(requestsPerQuestion / *limit, most) : most;
    return std::max(usual, std::chrono::duration_cast<std::chrono::milliseconds>(
                                   std::chrono::duration<double>(spaced)));
}

void LimitGate::countSent(std::string_view target)
{
    const std::lock_guard lock(this->mutex);
    this->limits.countSent(target);
}

void LimitGate::runDue()
{
    std::vector<std::function<void()>> now;
    {
        const std::lock_guard lock(this->mutex);
        now.swap(this->due);
    }
    for (const std::function<void()> &step : now)
        step();
}

void LimitGate::watchAnswers()
{
    if (this->watching)
        return;
    {
        const std::lock_guard lock(this->mutex);
        if (!this->limits.nextStep())
            return;
    }
    this->watching = true;
    this->timer.expires_after(watchGap);
    this->timer.async_wait([this, kept = this->alive](const asio::error_code &failure) {
        if (failure || !*kept)
            return;
        this->watching = false;
        this->tick();
        this->watchAnswers();
    });
}

} // namespace jaytrack
