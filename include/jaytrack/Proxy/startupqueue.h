// Queues requests that reach an instance which has just started and has no configuration yet.
//
// When a fleet is killed and restarts within a second, the load balancer still considers each
// instance ready. An instance lists its targets within a few tenths of a second, and a caller that
// is refused meanwhile would only retry at another instance that is not ready either.
#ifndef JAYTRACK_PROXY_STARTUPQUEUE_H
#define JAYTRACK_PROXY_STARTUPQUEUE_H

#include "jaytrack/Net/callerconnection.h"
#include "jaytrack/Support/clock.h"

#include <asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <memory>

namespace jaytrack {

struct StartupQueueOptions
{
    // After this time since the start the store is considered unavailable, so requests no longer
    // wait.
    Duration maxWaitAfterStart = std::chrono::milliseconds(1000);

    // Maximum fraction of the caller's time limit that a request waits. If only this instance has
    // just started, a request with a short time limit is served sooner by another one.
    double maxTimeFraction = 1.0 / 6;

    std::size_t maxRequests = 256;
};

class StartupQueue
{
public:
    using Serve = std::function<void(std::shared_ptr<CallerConnection>, CallerRequest)>;

    // served is called for each queued request once the instance has its configuration and targets,
    // or the wait of the request has expired.
    StartupQueue(asio::io_context &loop, const Clock &time, std::function<bool()> hasInitialData,
                 Serve served, StartupQueueOptions queueOptions = {});

    // Whether a request with this time limit of its caller may wait now.
    bool canWait(std::optional<std::chrono::milliseconds> callerTimeLimit) const;

    void add(std::shared_ptr<CallerConnection> connection, CallerRequest request,
             std::optional<std::chrono::milliseconds> callerTimeLimit);

    // Passes all queued requests on at once, to be served or refused; used when the instance stops.
    void release();

private:
    struct Waiting
    {
        std::shared_ptr<CallerConnection> connection;
        CallerRequest request;
        TimePoint until;
    };

    Duration maxWait(std::optional<std::chrono::milliseconds> callerTimeLimit) const;
    void check();
    void scheduleCheck();

    const Clock &clock;
    std::function<bool()> isKnown;
    Serve serve;
    StartupQueueOptions options;
    TimePoint startedAt;
    std::deque<Waiting> waiting;
    asio::steady_timer timer;
};

} // namespace jaytrack

#endif
