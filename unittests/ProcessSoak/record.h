// What callers sent and saw, and what targets ran, by the id of the request; and whether the two
// keep the promises. Nothing here comes from the instances' own word.
#ifndef JAYTRACK_TESTS_PROCESSSOAK_RECORD_H
#define JAYTRACK_TESTS_PROCESSSOAK_RECORD_H

#include <chrono>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace jaytrack::soak {

using SteadyTime = std::chrono::steady_clock::time_point;

enum class WorkKind { Once, Repeatable, OnceStream, RepeatableStream };

// What a caller asks for.
struct Work
{
    WorkKind kind = WorkKind::Repeatable;
    bool lasting = false;        // a stream that may outlast the taking of connections at a stop
    std::string deadlyPart = {}; // of its prompt, under which targets end; empty for none
};

// How an answer ended for its caller.
struct CallerSaw
{
    int status = 0;     // 0 if no answer began
    bool whole = false; // it came to its end in the protocol
    bool stamped = false;
    bool extraBytes = false; // more came after it than was asked for
    std::string answeredId;
    std::string body;
};

class Record
{
public:
    // Time within which a system that nothing disturbs any longer serves again: the longest pause
    // between calls to the store, what peers need to find each other again, and a busy machine.
    static constexpr std::chrono::milliseconds recoveryBound{12000};

    // The bound of the operators within which a key that was taken away stops working, the one for
    // leaving targets, and what this machine may add to either when it is busy.
    static constexpr std::chrono::milliseconds keyBound{5000};
    static constexpr std::chrono::milliseconds leaveBound{2000};
    static constexpr std::chrono::milliseconds slack{700};

    // Requests that a cold target bears in a second, from all instances.
    static constexpr std::size_t coldRate = 4;

    // Of the limit that a target names, and requests beyond it, that may reach it in the window,
    // once it has been named for so long; counted from instances that heard of it that long ago.
    static constexpr double limitOverage = 1.5;
    static constexpr double limitExtra = 5;
    static constexpr std::chrono::milliseconds limitWindow{4000};
    static constexpr std::chrono::milliseconds limitBinds{3000};
    static constexpr std::chrono::milliseconds limitHeard{500};

    // Requests with a part under which five targets ended that may reach targets later than the
    // bound after the fifth end, from instances that have been undisturbed for some seconds.
    static constexpr std::size_t endsUnderPart = 5;
    static constexpr std::size_t lateUnderPart = 3;
    static constexpr std::chrono::milliseconds partBound{3000};

    // A stopping instance takes connections for 3 s, and the last answers leave it before its grace
    // of 6 s is over; both without what this machine may add.
    static constexpr std::chrono::milliseconds stopTakesFor{2800};
    static constexpr std::chrono::milliseconds stopServesFor{5400};

    // Something or somebody was disturbed, and is until the moment given.
    void disturbed(const std::string &who, SteadyTime until);

    void keyTaken(const std::string &key);
    void targetLeaves(const std::string &target);

    void targetStands(const std::string &target, const std::string &dataCentre);
    void dataCentreOutOfUse(const std::string &dataCentre, bool out);
    void targetCold(const std::string &target, std::chrono::milliseconds time);

    // The target names a limit from now on, or none any more.
    void targetLimited(const std::string &target, double perSecond);
    void targetFree(const std::string &target);

    // A target ends under a request with this part.
    void endedUnderPart(const std::string &id, const std::string &part);

    // A planned stop, of an instance that answers whoever connects to it within the time given.
    void stopOrdered(const std::string &instance, std::chrono::milliseconds takesFor);

    void sent(const std::string &id, const Work &work, const std::string &key,
              const std::string &instance);
    void saw(const std::string &id, const CallerSaw &answer);

    // A target loses or spoils the answer to a request, which it may have run.
    void spoiled(const std::string &id);

    // An answer to the request says that its target leaves.
    void toldOfLeaving(const std::string &id, const std::string &target);

    // An answer to the request names the limit of its target.
    void toldOfLimit(const std::string &id, const std::string &target);

    // A run goes on at a target from its copy.
    void wentOn(const std::string &id, const std::string &target);

    // A target of this version begins a stream, or goes on with one after its first events.
    void streamBegan(const std::string &id, const std::string &version);
    void streamWentOn(const std::string &id, const std::string &version);

    // A target begins to work on a request. Returns the number of this generation of it.
    int ran(const std::string &id, const std::string &target);

    // The generation that goes on when a run is resumed from a copy.
    int generationOf(const std::string &id);

    // A request reaches a server that is no target.
    void reachedOther(const std::string &id);

    // A request has a header line that a name of a foreign entry wrote into its head.
    void headWasInjected(const std::string &id);

    // Checks that somebody was served within the bound, while the store answers, targets stand and
    // an instance runs. Takes since when each instance runs that is not stopping.
    void checkService(const std::map<std::string, SteadyTime> &running);

    // What was broken so far; with the runs over, the promises that only the end can judge too.
    std::vector<std::string> violations(bool atEnd);

    std::size_t requests() const;
    std::map<std::string, std::size_t> outcomes() const;

private:
    struct Request
    {
        WorkKind kind = WorkKind::Repeatable;
        bool lasting = false;
        std::string key;
        std::string instance;
        SteadyTime sentAt;
        int runs = 0;
        bool refused = false; // told "not run"
        bool spoiled = false;
        std::string version; // of the target that began the stream
    };

    struct Stop
    {
        SteadyTime at;
        std::chrono::milliseconds takesFor;
    };

    struct ColdTime
    {
        SteadyTime from;
        SteadyTime until;
        std::deque<SteadyTime> arrivals; // in the last second
    };

    struct PartEnds
    {
        std::size_t ends = 0;
        SteadyTime fifthAt;
        std::size_t late = 0;
    };

    struct Limited
    {
        double perSecond;
        SteadyTime from;
        std::map<std::string, SteadyTime> told; // by instance
        std::deque<SteadyTime> arrivals;        // in the last window
    };

    void checkLimit(const std::string &id, const Request &request, const std::string &target);
    void checkOutOfUse(const std::string &id, const Request &request, const std::string &target);
    void checkCold(const std::string &id, const Request &request, const std::string &target);
    void broken(const std::string &promise, const std::string &id, const std::string &detail);
    void checkSuccess(const std::string &id, const Request &request, const CallerSaw &answer);
    void checkEvents(const std::string &id, const Request &request, const CallerSaw &answer);
    void checkToldLeaving(const std::string &id, const Request &request, const std::string &target);
    void checkStop(const std::string &id, const Request &request, const CallerSaw &answer);
    bool calm(const std::string &who, SteadyTime since) const;
    static bool isOwed(const Request &request, const Stop &stop);

    mutable std::mutex mutex;
    std::map<std::string, Request> byId;
    std::map<std::string, SteadyTime> disturbedUntil;
    std::map<std::string, SteadyTime> keysTaken;
    std::map<std::string, SteadyTime> leaving;
    std::map<std::string, std::string> homes;   // data centres of targets
    std::map<std::string, SteadyTime> outOfUse; // since when, by data centre
    std::map<std::string, ColdTime> coldTargets;
    std::map<std::string, Limited> limitedTargets;
    std::map<std::string, PartEnds> partEnds;
    // By instance and target, when an answer that passed there first said that the target leaves.
    std::map<std::pair<std::string, std::string>, SteadyTime> toldLeaving;
    std::map<std::string, Stop> stops;
    SteadyTime servedAt; // the last success, or the begin of the calls
    std::map<std::string, std::size_t> counts;
    std::vector<std::string> found;
};

// The header by which a target is told that a part of the prompt ends it.
constexpr const char *deadlyPartName = "X-Soak-Deadly";

// Before the path of a stream that is made to last, and the time limit of one.
constexpr const char *lastingPrefix = "/lasting";
constexpr std::chrono::milliseconds lastingLimit{8000};

// The events of every stream, and the text of each.
constexpr int eventsOfStream = 24;
std::string eventData(const std::string &id, int generation, int number);
std::string plainBody(const std::string &id);

} // namespace jaytrack::soak

#endif
