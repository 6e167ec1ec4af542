// Decides whether an instance calls a target itself or through another instance.
//
// An instance may lose its links to some or all targets while callers, the store and the other
// instances still reach it. Its own failures look the same as those of a target that is down. What
// tells them apart is the word of another instance that reaches the target.
#ifndef JAYTRACK_ROUTING_TARGETREACH_H
#define JAYTRACK_ROUTING_TARGETREACH_H

#include "jaytrack/Support/clock.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace jaytrack {

enum class CallPath { Direct, ThroughPeer };

// Background calls have no caller waiting, so they are preferred for finding out whether a link is
// back.
enum class CallPurpose { Request, Background };

struct TargetReachOptions
{
    // A connection that is not open after this long is attempted through another instance. It is
    // far longer than the way between data centres and leaves time for several attempts.
    Duration connectPatience = std::chrono::milliseconds(100);

    // Number of targets of a service that only others reached, with no connection of this instance
    // in between, from which on it counts as cut off from the service.
    std::size_t targetsToBeCutOff = 2;

    // A link that is believed lost is attempted again after this long.
    Duration backgroundRetry = std::chrono::milliseconds(300);
    Duration requestRetry = std::chrono::seconds(2);

    // A target that others did not reach either is not asked of them again for this long.
    Duration downMemory = std::chrono::seconds(1);

    // An instance that connected to no target for this long may have lost its links.
    Duration connectedMemory = std::chrono::seconds(1);
};

class TargetReach
{
public:
    explicit TargetReach(const Clock &time, TargetReachOptions initialOptions = {});

    const TargetReachOptions &limits() const { return this->options; }

    // Returns how to call the target next. A link that is believed lost is attempted from time to
    // time, by one call.
    CallPath choose(std::string_view target, std::string_view service, CallPurpose purpose);

    // Whether other instances may be asked to call the target; not if they did not reach it either.
    bool mayAskPeers(std::string_view target) const;

    // Records that a connection of this instance to the target was opened. Returns true if this
    // instance was cut off from the service until now.
    bool recordConnected(std::string_view target, std::string_view service);

    // Records that another instance reached a target to which this one had failed to connect.
    // Returns true if this instance counts as cut off from the service from now on.
    bool recordReachedByPeer(std::string_view target, std::string_view service);

    // Records that an instance that reaches other targets failed to connect to this one too.
    void recordDown(std::string_view target);

    // Whether only other instances reach the targets of the service.
    bool isCutOff(std::string_view service) const;

    // Whether only other instances reach this target.
    bool isLost(std::string_view target, std::string_view service) const;

    // Whether a failure to connect to the target is likely to be the target's, because this or
    // another instance reached other targets at the same time.
    bool isTargetsFault(std::string_view target, std::string_view service) const;

    // Time since the last connection to any target, or since the start.
    Duration sinceConnected() const { return this->clock.now() - this->connectedAt; }

    void forget(std::string_view target);

private:
    struct Link
    {
        std::string service;
        bool lost = false;   // others reached the target when this instance did not
        TimePoint retriedAt; // of the last attempt of this instance on a lost link
        TimePoint downUntil;
    };

    struct ServiceLinks
    {
        std::size_t lostInRow = 0; // targets lost since the last connection
        bool cutOff = false;
        TimePoint retriedAt; // last attempt while cut off
    };

    bool isRetryDue(TimePoint lastRetry, CallPurpose purpose) const;
    Link &linkOf(std::string_view target, std::string_view service);

    const Clock &clock;
    TargetReachOptions options;
    std::map<std::string, Link, std::less<>> links; // only of targets with a failure
    std::map<std::string, ServiceLinks, std::less<>> services;
    TimePoint connectedAt;
};

} // namespace jaytrack

#endif
