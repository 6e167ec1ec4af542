// Finds out which lost connections were ends of targets, keeps the quarantine with the other
// instances, and says what may not be sent.
#ifndef JAYTRACK_QUARANTINE_CRASHWATCH_H
#define JAYTRACK_QUARANTINE_CRASHWATCH_H

#include "jaytrack/Quarantine/quarantinemessage.h"

#include <asio/io_context.hpp>

#include <memory>
#include <mutex>

namespace jaytrack {

class Metrics;

// Within this time of a target's end it is known whether a request is barred for it: the check of
// its address, what the others tell, and a tick.
constexpr std::chrono::milliseconds verdictDelay{500};

// A request that was lost unanswered at so many targets in a row waits for the verdict before it is
// sent to another one. Sent on at once it ended six engines in the half second that a verdict
// takes.
constexpr int lossesBeforePause = 2;

// Carries the news to other instances. They may be lost, which the watch allows for.
class QuarantineTransport
{
public:
    virtual ~QuarantineTransport() = default;
    virtual void broadcastQuarantine(const QuarantineMessage &news) = 0;

    // Tells some instances, others each time.
    virtual void sendQuarantineToSample(const QuarantineMessage &news) = 0;
};

class CrashWatchListener
{
public:
    virtual ~CrashWatchListener() = default;

    // No target may be given the request any more; one that waits at a target has to be taken back.
    virtual void onRequestBarred(std::string_view digest) = 0;
};

// recordUnansweredLoss(), recordSafeRun() and the questions may be called from any thread, the rest
// from the loop's, from which spread and listener are called too.
class CrashWatch
{
public:
    CrashWatch(asio::io_context &loop, const Clock &time, Metrics &counters,
               QuarantineTransport &others, CrashWatchListener &told);
    ~CrashWatch();
    CrashWatch(const CrashWatch &) = delete;
    CrashWatch &operator=(const CrashWatch &) = delete;

    // The connection on which the request went to the target at that moment has just been lost
    // before anything came back. The id names the target's life, the address is IP:PORT.
    void recordUnansweredLoss(std::string_view target, std::string_view address,
                              std::string_view digest, TimePoint sentAt);

    // A target has answered the request, or has worked on it for long enough.
    void recordSafeRun(std::string_view digest);

    void onMessage(const QuarantineMessage &news);

    // To be called some times a second.
    void tick();

    // Whether nothing is suspected or barred, so that no request need be looked at.
    bool isIdle() const;
    bool isBarred(std::string_view digest) const;
    Duration barredFor(std::string_view digest) const;

private:
    struct Loss // of connections to one target, until it is known what became of it
    {
        std::string address;
        TimePoint firstAt;
        std::map<std::string, TimePoint, std::less<>> suspects; // with the moment of sending
    };

    void addLoss(const std::string &target, const std::string &address, const std::string &digest,
                 TimePoint sentAt, TimePoint lostAt);
    void check(const std::string &target);
    void conclude(const std::string &target, bool ended);
    void tellEnd(const TargetEnd &end);
    void announce(const std::vector<BarredRequest> &fresh, std::string_view source);
    void repeatEnds();
    void tellBarred();

    asio::io_context &context;
    const Clock &clock;
    Metrics &metrics;
    QuarantineTransport &spread;
    CrashWatchListener &listener;
    mutable std::mutex mutex; // guards the quarantine
    CrashQuarantine quarantine;
    std::map<std::string, Loss, std::less<>> losses;
    std::deque<std::pair<TimePoint, TargetEnd>> toRepeat; // with the moment of the first telling
    TimePoint barredToldAt;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true); // checks may outlive the watch
};

} // namespace jaytrack

#endif
