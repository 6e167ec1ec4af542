// Enforces the rate limits that targets advertise over a whole fleet of instances.
//
// An overloaded target advertises in its answers how many requests per second it accepts from all
// instances together. This may be a few per second while hundreds of instances want to use the
// target at once. Fixed shares do not work: the share of an instance would be less than one
// request, and an instance that gets a share may have no caller for it. Therefore one instance owns
// the token bucket of the target, and the others request a permit from it for each request. All
// instances that know the same fleet select the same owner. A request that gets no permit goes to
// another target or is refused.
#ifndef JAYTRACK_LIMITS_TARGETLIMITS_H
#define JAYTRACK_LIMITS_TARGETLIMITS_H

#include "jaytrack/Limits/advertisedlimits.h"
#include "jaytrack/Limits/limitmessage.h"
#include "jaytrack/Limits/permitbucket.h"
#include "jaytrack/Routing/instanceranking.h"
#include "jaytrack/Routing/knownfleet.h"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>

namespace jaytrack {

// Sends limit messages to other instances. Messages may be lost; TargetLimits tolerates that.
class LimitTransport
{
public:
    virtual ~LimitTransport() = default;
    virtual void sendLimits(std::string_view instance, const LimitMessage &message) = 0;
    virtual void broadcastLimits(const LimitMessage &message) = 0;

    // Sends the message to a random sample of the instances.
    virtual void sendLimitsToSample(const LimitMessage &message) = 0;
};

struct TargetLimitOptions
{
    // Capacity of a bucket: burstPermits plus the permits of burstSeconds. Instances retry at
    // different times, and a permit that accrues while no instance requests it would otherwise be
    // lost.
    double burstPermits = 2;
    double burstSeconds = 0.1;

    // An instance grants the rate multiplied by this factor to the power of its rank in the
    // target's order, since part of the fleet may still send permit requests to the instances that
    // precede it. All instances together grant at most 1.5 times the limit, which targets tolerate.
    double nextOwnerShare = 1.0 / 3;

    // Minimum rate. A target that advertises a limit near zero still gets a request at this rate,
    // since only an answer can show that it has recovered.
    double minPerSecond = 0.25;

    // An answer takes a few milliseconds between data centres, and a plain request has a budget of
    // 100 ms.
    Duration answerTimeout = std::chrono::milliseconds(50);

    // A permit request that is unanswered for this long is sent once more, since a message may have
    // been lost. The owner repeats the last permit that it granted; a denied request is decided
    // again.
    Duration resendTimeout = Duration::max();

    // An owner that left this many consecutive permit requests unanswered is skipped for skipTime,
    // because it has terminated or is unreachable.
    int missesToSkip = 2;
    Duration skipTime = std::chrono::seconds(1);

    // An instance that has just started, or whose process stalled for stallThreshold, grants no
    // permits for settleTime, because it does not know the other instances yet and they do not know
    // it.
    Duration settleTime = std::chrono::seconds(3);
    Duration stallThreshold = std::chrono::seconds(1);

    // Permit requests to an owner for each permit that accrues. More of them cost the owner
    // processing time; with fewer, permits remain unused.
    double requestsPerPermit = 3;
    Duration maxBackoff = std::chrono::seconds(2);
    Duration minBackoff = std::chrono::milliseconds(10);
    Duration noOwnerBackoff = std::chrono::milliseconds(200);

    // A permit may be granted this long before it accrues. Otherwise one that accrues while no
    // instance requests it is lost if the bucket is full.
    Duration maxReservation{0};

    // Permits that are withheld each time the limit is lowered, so that what the target has queued
    // drains before it gets more.
    int permitsPerDecrease = 0;

    // Interval at which the limits that this instance owns are sent to a sample of the instances.
    // An instance that starts, or that missed a message, receives them within a few intervals.
    Duration announceInterval = std::chrono::seconds(1);

    // A limit that an instance imposed grows by this factor each second and ends after the
    // lifetime. One that the target names stays as it is.
    double growthPerSecond = 1;
    Duration lifetime = Duration::max();
};

// The decision whether a request may be sent to a target, and the instance that made it.
struct Permit
{
    bool granted = false;
    Duration wait{0};  // if granted, until the request may be sent; else until the next attempt
    std::string owner; // empty if no owner is known
};

class TargetLimits
{
public:
    using PermitCallback = std::function<void(const Permit &)>;

    // The parameter expected is the number of other instances in the settings, which may or may not
    // be running.
    TargetLimits(const Clock &time, std::string ownName, std::size_t expected, std::uint64_t seed,
                 LimitTransport &peerTransport, TargetLimitOptions tuning = {});

    // Sets the names of the other instances that are up.
    void setInstances(std::span<const std::string> others);

    // Records the limit in an answer of the target, or an answer without a limit to a request that
    // was sent this long ago. Both return true if the limit in force changed.
    bool recordLimit(std::string_view target, double perSecond);
    bool recordNoLimit(std::string_view target, Duration sentAgo);

    // Sets the limit of a target that names none itself, and tells all instances.
    void imposeLimit(std::string_view target, double perSecond);

    // Removes the state of a target that has terminated.
    void forget(std::string_view target);

    // Returns the limit of the target, or nullopt if it has none.
    std::optional<double> limitOf(std::string_view target) const;

    // Returns how long ago the target's limit was last named; nullopt if it has none.
    std::optional<Duration> sinceNamed(std::string_view target) const;

    // Returns the time for which this instance should not request a permit for the target; zero if
    // it may request one now or needs none.
    Duration remainingBackoff(std::string_view target) const;

    // Requests a permit for one request to the target. Returns the permit if it can be decided at
    // once: the target has no limit, the back-off time has not passed, or this instance owns the
    // limit. Otherwise calls the callback once, after the owner's answer or a time-out. A denied
    // request starts a back-off for the target.
    std::optional<Permit> request(std::string_view target, const PermitCallback &callback);

    // Charges a request that is sent without a permit because it could not be delayed.
    void countSent(std::string_view target);

    // Processes a message of another instance. Returns the targets whose limit changed.
    std::vector<std::string> onMessage(std::string_view from, const LimitMessage &message);

    // Expires permit requests and sends the periodic announcements. The caller has to call it often
    // enough to observe answerTimeout while nextDeadline() returns a time.
    void tick();

    // Returns the deadline of the oldest pending permit request, or nullopt if none is pending.
    // Requests are sent again before it.
    std::optional<TimePoint> nextDeadline() const;

private:
    struct PendingRequest
    {
        std::string target;
        std::string owner;
        PermitCallback callback;
        TimePoint sentAt;
        int attempts = 1; // number of owners tried
        std::optional<TimePoint> resentAt = std::nullopt;
    };

    struct Peer
    {
        int misses = 0; // consecutive
        TimePoint skippedUntil;
    };

    void detectStall();
    bool isSettled() const;
    void updateRanking();
    std::optional<std::string> ownerOf(std::string_view target);
    std::size_t rankOf(std::string_view target);
    double fleetShare() const;
    PermitBucket::Rate rateOf(std::string_view target, double perSecond);
    PermitBucket &bucketOf(std::string_view target);
    Permit decide(std::string_view requester, std::string_view target, double perSecond,
                  std::int64_t serial = 0);
    Duration backoffFor(const PermitBucket &bucket, const PermitBucket::Rate &rate,
                        std::size_t requesters);
    std::optional<Permit> requestFromOwner(const std::string &target,
                                           const PermitCallback &callback, int attempts);
    Permit recordDecision(const std::string &target, const Permit &permit);
    bool countMiss(const PendingRequest &pendingRequest);
    void skipOwner(const std::string &owner);
    bool applyState(const AdvertisedLimits::State &state);
    void chargeDecrease(std::string_view target, std::optional<double> before);
    void onPermitRequest(std::string_view from, const PermitRequest &permitRequest);
    void onPermitAnswer(std::string_view from, const PermitAnswer &answer);
    Duration ageOfAnswer(const PendingRequest &pendingRequest) const;
    void onMissingAnswer(const PendingRequest &pendingRequest);
    void resendPending();
    void expirePending();
    void removeIdle();
    LimitMessage ownedLimits();

    const Clock &clock;
    LimitTransport &transport;
    TargetLimitOptions options;
    std::mt19937_64 random;
    std::string self;
    std::size_t expectedOthers;
    TimePoint settlingSince; // the start, or the end of the last stall
    TimePoint lastActiveAt;
    TimePoint announcedAt;
    AdvertisedLimits limits;
    KnownFleet fleet;
    InstanceRanking ranking;      // of this instance and the other instances that may own limits
    TimePoint nextRankingAt = {}; // when the set of possible owners changes next
    std::map<std::string, PermitBucket, std::less<>> buckets;
    std::map<std::string, TimePoint, std::less<>> backoffUntil; // by target
    std::map<std::string, Peer, std::less<>> peers; // that left permit requests unanswered
    std::map<std::string, TimePoint, std::less<>> answeredAt; // by owner
    std::map<std::int64_t, PendingRequest> pending;           // by serial, oldest first
    std::int64_t nextSerial = 1;
};

} // namespace jaytrack

#endif
