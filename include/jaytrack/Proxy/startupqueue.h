// Requests that reach an instance which has just started and knows no configuration yet.
//
// Load that it answers: a fleet that was killed and starts again within a second. The balancer
// still takes each instance for ready, an instance lists its targets within some tenths of a
// second, and whoever is refused meanwhile comes back to another one that is no further.
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
    // After this the store is not to be had, and nothing is gained by waiting.
    Duration waitsAfterStart = std::chrono::milliseconds(1000);

    // The part of its caller's time that a request waits at most: a short one is served sooner by
    // another instance, if only this one has started.
    double partOfTime = 1.0 / 6;

    std::size_t mostRequests = 256;
};

class StartupQueue
{
public:
    using Serve = std::function<void(std::shared_ptr<CallerConnection>, CallerRequest)>;

    // Served is whatever waited, once the instance knows enough or will not in time.
    StartupQueue(asio::io_context &loop, const Clock &time, std::function<bool()> knowsEnough,
                 Serve served, StartupQueueOptions given = {});

    // Whether a request whose caller gives it so long may wait now.
    bool mayWait(std::optional<std::chrono::milliseconds> callersTime) const;

    void add(std::shared_ptr<CallerConnection> connection, CallerRequest request,
             std::optional<std::chrono::milliseconds> callersTime);

    // Serves or refuses all that wait, since the instance stops.
    void release();

private:
    struct Waiting
    {
        std::shared_ptr<CallerConnection> connection;
        CallerRequest request;
        TimePoint until;
    };

    Duration longestWait(std::optional<std::chrono::milliseconds> callersTime) const;
    void look();
    void lookAgain();

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
