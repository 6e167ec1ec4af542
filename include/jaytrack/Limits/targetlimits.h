// Keeps a fleet to the limits that targets name.
//
// Load that it answers: a target in need says in its answers how many requests a second it takes
// from all instances together, a few a second perhaps, while hundreds of instances want it at once.
// No fixed share of a few a second makes whole requests, and an instance to which a share falls may
// have no caller for it. So one instance, the same for all that know the same fleet, keeps the
// account of the target, and the others ask it for each request. What goes by no answer goes to
// another target, or is refused.
#ifndef JAYTRACK_LIMITS_TARGETLIMITS_H
#define JAYTRACK_LIMITS_TARGETLIMITS_H

#include "jaytrack/Limits/permitbucket.h"
#include "jaytrack/Limits/limitmessage.h"
#include "jaytrack/Limits/advertisedlimits.h"
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

// Carries the news to other instances. They may be lost, which the limits allow for.
class LimitTransport
{
public:
    virtual ~LimitTransport() = default;
    virtual void sendLimits(std::string_view instance, const LimitMessage &news) = 0;
    virtual void broadcastLimits(const LimitMessage &news) = 0;

    // Tells some instances, others each time.
    virtual void sendLimitsToSample(const LimitMessage &news) = 0;
};

struct TargetLimitOptions
{
    // Permits that an account saves, beside a part of a second's: instances that want one ask
    // again at different moments, and a permit that finds nobody is lost.
    double savedPermits = 2;
    double savedSeconds = 0.1;

    // The part of the rate that an instance grants for each other one that comes before it in the
    // target's order: some of the fleet may still ask those. All together grant half too much at
    // most, which targets bear.
    double nextKeeperPart = 1.0 / 3;

    // A target that names next to nothing still gets a request each so often, or nobody would hear
    // that it has recovered.
    double leastPerSecond = 0.25;

    // An answer takes some milliseconds between data centres, and a plain request has a tenth of a
    // second.
    Duration answerBound = std::chrono::milliseconds(50);

    // A keeper that left so many questions in a row unanswered is passed over for a while: it has
    // ended, or stands behind a cut.
    int missesToPassOver = 2;
    Duration passedOverFor = std::chrono::seconds(1);

    // An instance that has just started, or was held up, does not know the others, and they do not
    // know of it.
    Duration settleTime = std::chrono::seconds(3);
    Duration heldUp = std::chrono::seconds(1);

    // Questions to a keeper for each permit that accrues. More of them cost the keeper time and
    // fewer leave permits without takers.
    double asksPerPermit = 3;
    Duration longestRest = std::chrono::seconds(2);
    Duration shortestRest = std::chrono::milliseconds(10);
    Duration lookAgain = std::chrono::milliseconds(200);

    // How often some instances are told of all limits whose accounts this one keeps: one that
    // starts, or missed the notice, knows them within a few of these.
    Duration tellGap = std::chrono::seconds(1);
};

// Whether a request may go to a target, and on whose word.
struct Permit
{
    bool granted = false;
    Duration wait{0};  // until another request had better be asked for
    std::string owner; // empty if there is nobody to ask
};

class TargetLimits
{
public:
    using Decided = std::function<void(const Permit &)>;

    // The settings name so many other instances, which may or may not be there.
    TargetLimits(const Clock &time, std::string ownName, std::size_t expected, std::uint64_t seed,
                 LimitTransport &others, TargetLimitOptions given = {});

    // The names of the other instances that are up.
    void setInstances(std::span<const std::string> others);

    // The target named a limit in an answer, or none in the answer to a request that was sent so
    // long ago. Returns whether that changed what is believed.
    bool recordLimit(std::string_view target, double perSecond);
    bool recordNoLimit(std::string_view target, Duration sentAgo);

    // The target's life ended.
    void forget(std::string_view target);

    // The limit that the target names; nothing if it names none.
    std::optional<double> limitOf(std::string_view target) const
    {
        return this->limits.find(target);
    }

    // How long no request of this instance had better be asked for; zero if one may go or be asked
    // for now.
    Duration remainingBackoff(std::string_view target) const;

    // Asks for one request to the target. What can be decided at once is returned: the target
    // names no limit, or rests, or its account is kept here. Else the function is called once,
    // after the keeper's answer or its bound. A request that is not granted leaves the target
    // resting for a while.
    std::optional<Permit> request(std::string_view target, const Decided &later);

    // A request goes to the target though none was asked for, since it could not be held back.
    void countSent(std::string_view target);

    // Takes what another instance tells. Returns the targets whose limit that changed.
    std::vector<std::string> onMessage(std::string_view from, const LimitMessage &news);

    // Does what is due. Called often enough for the bound of answers while nextStep() is near.
    void tick();

    // When the first question that is open will have waited too long; nothing if none is open.
    std::optional<TimePoint> nextStep() const;

private:
    struct Open
    {
        std::string target;
        std::string keeper;
        Decided later;
        TimePoint deadline;
        int asked = 1; // keepers so far
    };

    struct Peer
    {
        int misses = 0; // in a row
        TimePoint passedOverUntil;
    };

    void noteHeldUp();
    bool isSettled() const;
    void rankSettled();
    std::optional<std::string> keeperOf(std::string_view target);
    std::size_t placeAt(std::string_view target);
    double fleetPart() const;
    LimitAccount::Rate rateOf(std::string_view target, double perSecond);
    LimitAccount &accountOf(std::string_view target);
    Permit decide(std::string_view asker, std::string_view target, double perSecond);
    Duration restFor(const LimitAccount &account, const LimitAccount::Rate &rate,
                     std::size_t askers);
    std::optional<Permit> ask(const std::string &target, const Decided &later, int asked);
    Permit concluded(const std::string &target, const Permit &permit);
    void passOver(const std::string &keeper);
    bool takeWord(const NamedLimits::Word &word);
    void answerAsk(std::string_view from, const PermitAsk &asked);
    void onAnswer(std::string_view from, const PermitAnswer &answer);
    void onNoAnswer(const Open &question);
    void expire();
    void dropIdle();
    LimitMessage wordsKept();

    const Clock &clock;
    LimitTransport &spread;
    TargetLimitOptions options;
    std::mt19937_64 random;
    std::string self;
    std::size_t expectedOthers;
    TimePoint settlesFrom; // the start, or the end of the last hold-up
    TimePoint lastSeen;
    TimePoint toldAt;
    NamedLimits limits;
    KnownFleet fleet;
    InstanceRanking ranking;      // of this instance and those of the others that may keep accounts
    TimePoint rankedAgainAt = {}; // when one more will
    std::map<std::string, LimitAccount, std::less<>> accounts;
    std::map<std::string, TimePoint, std::less<>> restsUntil; // by target
    std::map<std::string, Peer, std::less<>> peers;           // that left questions unanswered
    std::map<std::int64_t, Open> open;                        // by serial, oldest first
    std::int64_t nextSerial = 1;
};

} // namespace jaytrack

#endif
