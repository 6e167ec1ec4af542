#include "jaytrack/Proxy/startupqueue.h"

#include <algorithm>
#include <utility>

namespace jaytrack {

namespace {

constexpr std::chrono::milliseconds checkInterval{10};

} // namespace

StartupQueue::StartupQueue(asio::io_context &loop, const Clock &time,
                           std::function<bool()> hasInitialData, Serve served,
                           StartupQueueOptions queueOptions)
    : clock(time)
    , isKnown(std::move(hasInitialData))
    , serve(std::move(served))
    , options(queueOptions)
    , startedAt(time.now())
    , timer(loop)
{
}

// Returns how long a request that arrives now may wait.
Duration StartupQueue::maxWait(std::optional<std::chrono::milliseconds> callerTimeLimit) const
{
    const Duration remaining =
            this->startedAt + this->options.maxWaitAfterStart - this->clock.now();
    if (!callerTimeLimit)
        return remaining;
    const std::chrono::duration<double, std::milli> part =
            *callerTimeLimit * this->options.maxTimeFraction;
    return std::min(remaining, std::chrono::duration_cast<Duration>(part));
}

bool StartupQueue::canWait(std::optional<std::chrono::milliseconds> callerTimeLimit) const
{
    return this->waiting.size()<this->options.maxRequests &&this->maxWait(callerTimeLimit)>
            Duration(0);
}

void StartupQueue::add(std::shared_ptr<CallerConnection> connection, CallerRequest request,
                       std::optional<std::chrono::milliseconds> callerTimeLimit)
{
    const TimePoint until = this->clock.now() + this->maxWait(callerTimeLimit);
    this->waiting.push_back({std::move(connection), std::move(request), until});
    if (this->waiting.size() == 1)
        this->scheduleCheck();
}

void StartupQueue::scheduleCheck()
{
    this->timer.expires_after(checkInterval);
    this->timer.async_wait([this](const asio::error_code &failure) {
        if (!failure)
            this->check();
    });
}

void StartupQueue::check()
{
    if (this->isKnown())
        return this->release();
    const TimePoint now = this->clock.now();
    std::deque<Waiting> before = std::move(this->waiting);
    this->waiting.clear();
    for (Waiting &one : before) {
        if (one.until > now)
            this->waiting.push_back(std::move(one));
        else if (one.connection->isOpen())
            this->serve(std::move(one.connection), std::move(one.request));
    }
    if (!this->waiting.empty())
        this->scheduleCheck();
}

void StartupQueue::release()
{
    this->timer.cancel();
    std::deque<Waiting> all = std::move(this->waiting);
    this->waiting.clear();
    for (Waiting &one : all) {
        if (one.connection->isOpen())
            this->serve(std::move(one.connection), std::move(one.request));
    }
}

} // namespace jaytrack
