#include "jaytrack/Limits/limitgate.h"

#include "jaytrack/Support/log.h"
#include "jaytrack/Support/metrics.h"

#include <asio/post.hpp>

#include <utility>

namespace jaytrack {

namespace {

// How often it is looked whether a keeper's answer is overdue, while one is awaited.
constexpr std::chrono::milliseconds watchGap{10};

} // namespace

LimitGate::LimitGate(asio::io_context &loop, const Clock &time, std::string ownName,
                     std::size_t expectedOthers, std::uint64_t seed, LimitSpread &others,
                     Metrics &counters)
    : context(loop)
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

void LimitGate::onNews(std::string_view from, const LimitNews &news)
{
    {
        const std::lock_guard lock(this->mutex);
        for (const std::string &target : this->limits.onNews(from, news))
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

void LimitGate::named(std::string_view target, double perSecond)
{
    const std::lock_guard lock(this->mutex);
    if (this->limits.named(target, perSecond))
        this->logWord(target, "answer");
}

void LimitGate::namedNone(std::string_view target, Duration sentAgo)
{
    const std::lock_guard lock(this->mutex);
    if (this->limits.namedNone(target, sentAgo))
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

Duration LimitGate::rest(std::string_view target) const
{
    const std::lock_guard lock(this->mutex);
    return this->limits.rest(target);
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
    const std::optional<Permit> permit =
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
