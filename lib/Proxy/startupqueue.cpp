#include "jaytrack/Proxy/startupqueue.h"

#include <algorithm>
#include <utility>

namespace jaytrack {

namespace {

constexpr std::chrono::milliseconds lookGap{10};

} // namespace

StartupQueue::StartupQueue(asio::io_context &loop, const Clock &time,
                           std::function<bool()> knowsEnough, Serve served,
                           StartupQueueOptions given)
    : clock(time)
    , isKnown(std::move(knowsEnough))
    , serve(std::move(served))
    , options(given)
    , startedAt(time.now())
    , timer(loop)
{
}

// How much longer a request may wait that arrives now.
Duration StartupQueue::longestWait(std::optional<std::chrono::milliseconds> callersTime) const
{
    const Duration left = this->startedAt + this->options.waitsAfterStart - this->clock.now();
    if (!callersTime)
        return left;
    const std::chrono::duration<double, std::milli> part = *callersTime * this->options.partOfTime;
    return std::min(left, std::chrono::duration_cast<Duration>(part));
}

bool StartupQueue::mayWait(std::optional<std::chrono::milliseconds> callersTime) const
{
    return this->waiting.size()<this->options.mostRequests &&this->longestWait(callersTime)>
            Duration(0);
}

void StartupQueue::add(std::shared_ptr<CallerConnection> connection, CallerRequest request,
                       std::optional<std::chrono::milliseconds> callersTime)
{
    const TimePoint until = this->clock.now() + this->longestWait(callersTime);
    this->waiting.push_back({std::move(connection), std::move(request), until});
    if (this->waiting.size() == 1)
        this->lookAgain();
}

void StartupQueue::lookAgain()
{
    this->timer.expires_after(lookGap);
    this->timer.async_wait([this](const asio::error_code &failure) {
        if (!failure)
            this->look();
    });
}

void StartupQueue::look()
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
        this->lookAgain();
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
