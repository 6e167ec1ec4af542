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
// of the target's address, the reports of other instances and one tick. A request with a part that
// is not known to run well is not sent to a second target before, because it may crash that too.
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

    // Called when a request, or a part of prompts, with this digest is barred. The listener has to
    // stop sending such requests to targets and to withdraw them from targets where they wait.
    virtual void onRequestBarred(std::string_view digest) = 0;

    // Called when a target that lost connections refuses new ones. The listener calls done once
    // with whether the target has ended, rather than this instance's links to it.
    virtual void verifyEnd(const std::string &target, const std::function<void(bool ended)> &done)
    {
        (void)target;
        done(true);
    }
};

// A request whose connection was lost before any answer arrived.
struct LostRequest
{
    std::string_view target;   // identifies the target's incarnation
    std::string_view address;  // IP:PORT
    std::string_view software; // the target's service and the version of its software
    const RequestIdentity &request;
    TimePoint sentAt;
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

    // Records that a connection has just been lost.
    void recordUnansweredLoss(const LostRequest &lost);

    // Records that a target has just begun to answer some request.
    void recordAnswerBegun(std::string_view software);

    // Records that a target has answered the request or has worked on it for long enough.
    void recordSafeRun(const SafeRun &run);

    void onMessage(const QuarantineMessage &message);

    // Has to be called several times per second.
    void tick();

    // Returns true if no request is suspected or barred, so that requests need not be checked.
    bool isIdle() const;
    bool isBarred(std::string_view digest) const;

    // See CrashQuarantine.
    bool hasBars() const;
    bool awaitsVerdict() const;
    Duration barredFor(const RequestIdentity &request) const;
    Duration barredAt(const RequestIdentity &request, std::string_view software) const;
    bool hasUnknownPart(const RequestIdentity &request, std::string_view software) const;
    Duration suspectedFor(const RequestIdentity &request, std::string_view software) const;

private:
    struct SentRequest
    {
        TimePoint at;
        std::vector<std::string> parts;
    };

    struct Loss // lost connections to one target, until its address has been checked
    {
        std::string address;
        std::string software;
        TimePoint firstAt;
        std::map<std::string, SentRequest, std::less<>> suspects; // by digest
    };

    void addLoss(const std::string &target, const Loss &lost);
    TargetEnd makeEnd(const std::string &target, const Loss &loss) const;
    void check(const std::string &target);
    void onTargetChecked(const std::string &target, bool ended);
    void broadcastEnd(const TargetEnd &end);
    void acceptBars(const std::vector<BarredRequest> &bars);
    void reportBarred(const std::vector<BarredRequest> &newlyBarred, std::string_view source);
    void reportLifted(const std::vector<SoundPart> &parts, std::string_view source);
    void announceCleared(std::string_view digest, const Cleared &cleared);
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
