#include "limitedtarget.h"

#include <algorithm>

namespace jaytrack::testing {

namespace {

// The users' bound on what a target gets that names a limit.
constexpr std::chrono::seconds window{4};
constexpr double overage = 1.5;
constexpr double extra = 5;

} // namespace

LimitedTarget::LimitedTarget(std::string limitHeader, double limitPerSecond, Answering answers)
    : header(std::move(limitHeader))
    , limit(limitPerSecond)
    , answering(std::move(answers))
    , server([this](const SeenRequest &request) { return this->answer(request); })
{
}

Answer LimitedTarget::answer(const SeenRequest &request)
{
    const std::lock_guard lock(this->mutex);
    const auto now = std::chrono::steady_clock::now();
    this->arrivals.push_back(now);
    if (!this->naming)
        return this->answering(request, "");
    if (this->firstNamed == std::chrono::steady_clock::time_point{})
        this->firstNamed = now;
    return this->answering(request, this->header + ": " + std::to_string(this->limit) + "\r\n");
}

std::size_t LimitedTarget::worstWindow(std::chrono::milliseconds after) const
{
    const std::lock_guard lock(this->mutex);
    std::size_t worst = 0;
    const auto begin = std::lower_bound(this->arrivals.begin(), this->arrivals.end(),
                                        this->firstNamed + after);
    for (auto first = begin; first != this->arrivals.end(); ++first) {
        const auto end = std::lower_bound(first, this->arrivals.end(), *first + window);
        worst = std::max(worst, static_cast<std::size_t>(end - first));
    }
    return worst;
}

std::size_t LimitedTarget::gotWithin(std::chrono::milliseconds time) const
{
    const std::lock_guard lock(this->mutex);
    const auto since = std::chrono::steady_clock::now() - time;
    const auto first = std::lower_bound(this->arrivals.begin(), this->arrivals.end(), since);
    return static_cast<std::size_t>(this->arrivals.end() - first);
}

double LimitedTarget::mostAllowed() const
{
    return this->limit * overage * std::chrono::duration<double>(window).count() + extra;
}

Pressure::Pressure(double perSecond, std::size_t threads, std::function<void()> call)
{
    const std::chrono::duration<double> gap(static_cast<double>(threads) / perSecond);
    for (std::size_t i = 0; i < threads; ++i) {
        this->workers.emplace_back([this, call, gap] {
            while (!this->ended) {
                const auto next = std::chrono::steady_clock::now() + gap;
                call();
                std::this_thread::sleep_until(next);
            }
        });
    }
}

Pressure::~Pressure()
{
    this->ended = true;
    for (std::thread &worker : this->workers)
        worker.join();
}

} // namespace jaytrack::testing
