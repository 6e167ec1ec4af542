// Detects which lost connections were caused by the end of a target, shares the crash quarantine
// with the other instances, and answers which requests are barred.
#ifndef JAYTRACK_QUARANTINE_CRASHWATCH_H
#define JAYTRACK_QUARANTINE_CRASHWATCH_H

#include "jaytrack/Quarantine/quarantinemessage.h"

#include <asio/io_context.hpp>

#include <functional>
#include <memory>
#include <mutex>

namespace jaytrack {

class Metrics;

// Within this time after a target's end it is known whether a request is barred for it: the check
// of the target's address, the reports of other instances and one tick.
constexpr std::chrono::milliseconds verdictDelay{500};

// A request that was lost unanswered at this many targets in a row waits for verdictDelay before it
// is sent to another one. When it was retried immediately, it crashed six engines within the half
// second that a verdict takes.
constexpr int lossesBeforePause = 2;

// Sends quarantine messages to other instances. Messages may be lost; CrashWatch tolerates that.
class QuarantineTransport
{
public:
    virtual ~QuarantineTransport() = default;
    virtual void broadcastQuarantine(const QuarantineMessage &message) = 0;

    // Sends the message to a random sample of the instances.
    virtual void sendQuarantineToSample(const QuarantineMessage &message) = 0;
};

class CrashWatchListener
{
public:
    virtual ~CrashWatchListener() = default;

    // Called when a request is barred. The listener has to stop sending it to targets and to
    // withdraw it from a target where it waits.
    virtual void onRequestBarred(std::string_view digest) = 0;

    // Called when a target that lost connections refuses new ones. The listener calls done once
    // with whether the target has ended, rather than this instance's links to it.
    virtual void verifyEnd(const std::string &target, const std::function<void(bool ended)> &done)
    {
        (void)target;
        done(true);
    }
};

// recordUnansweredLoss(), recordSafeRun() and the const functions may be called from any thread,
// the others only from the event loop's thread, on which transport and listener are called too.
class CrashWatch
{
public:
    CrashWatch(asio::io_context &loop, const Clock &time, Metrics &counters,
               QuarantineTransport &peerTransport, CrashWatchListener &barListener);
    ~CrashWatch();
    CrashWatch(const CrashWatch &) = delete;
    CrashWatch &operator=(const CrashWatch &) = delete;

    // Records that the connection on which the request was sent at sentAt has just been lost before
    // any answer arrived. The parameter target identifies the target's incarnation; the address has
    // the form IP:PORT.
    void recordUnansweredLoss(std::string_view target, std::string_view address,
                              std::string_view digest, TimePoint sentAt);

    // Records that a target has answered the request or has worked on it for long enough.
    void recordSafeRun(std::string_view digest);

    void onMessage(const QuarantineMessage &message);

    // Has to be called several times per second.
    void tick();

    // Returns true if no request is suspected or barred, so that requests need not be checked.
    bool isIdle() const;
    bool isBarred(std::string_view digest) const;
    Duration barredFor(std::string_view digest) const;

private:
    struct Loss // lost connections to one target, until its address has been checked
    {
        std::string address;
        TimePoint firstAt;
        std::map<std::string, TimePoint, std::less<>> suspects; // with the time of sending
    };

    void addLoss(const std::string &target, const std::string &address, const std::string &digest,
                 TimePoint sentAt, TimePoint lostAt);
    void check(const std::string &target);
    void onTargetChecked(const std::string &target, bool ended);
    void broadcastEnd(const TargetEnd &end);
    void reportBarred(const std::vector<BarredRequest> &newlyBarred, std::string_view source);
    void repeatEnds();
    void sendBarred();

    asio::io_context &context;
    const Clock &clock;
    Metrics &metrics;
    QuarantineTransport &transport;
    CrashWatchListener &listener;
    mutable std::mutex mutex; // guards the quarantine
    CrashQuarantine quarantine;
    std::map<std::string, Loss, std::less<>> losses;
    std::deque<std::pair<TimePoint, TargetEnd>>
            pendingRepeats; // with the time of the first broadcast
    TimePoint barredSentAt;
    std::shared_ptr<bool> alive =
            std::make_shared<bool>(true); // pending checks may outlive this object
};

} // namespace jaytrack

#endif
