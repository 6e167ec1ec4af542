// Remembers at which version of the engines' software each stream began, for callers that take a
// stream up at another instance.
//
// The instance that begins a stream knows its version, but may have been killed, restarted or cut
// off when the caller comes back. While a service has several versions, each stream is therefore
// told to a few other instances, its keepers, found by rendezvous hashing of its name, when its run
// is placed and thus before the caller gets the first event. An instance that does not know a
// stream asks those that rank highest now. When the members change, each instance that holds a
// record sends it to the new keepers. While a service has one version, nothing is sent.
//
// An instance that has started sees only the versions that are listed now. What served before it
// learns from others that have run for longer than a stream lives, or have learnt it. If all
// instances have started since, no instance knows. Until a stream that began before can no longer
// be taken up, each stream then needs a record.
//
// An instance that was cut off or paused may not have seen a version that others have used since.
// So each stream that is taken up is asked about, also where this instance has seen one version,
// and those asked tell the services of which they have seen several.
#ifndef JAYTRACK_VERSIONS_STREAMVERSIONS_H
#define JAYTRACK_VERSIONS_STREAMVERSIONS_H

#include "jaytrack/Routing/instanceranking.h"
#include "jaytrack/Versions/serviceversions.h"
#include "jaytrack/Versions/streamversionmessage.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jaytrack {

// Sends a message to another instance. Messages may be lost.
class StreamVersionTransport
{
public:
    virtual ~StreamVersionTransport() = default;
    virtual void sendStreamVersions(std::string_view instance,
                                    const StreamVersionMessage &message) = 0;
};

class StreamVersions
{
public:
    // Instances besides the one that began a stream which know its version.
    static constexpr std::size_t keepers = 3;

    // Instances that are asked about a stream. They are more than the keepers because two instances
    // may know different members.
    static constexpr std::size_t asked = 5;

    // Where this instance has seen one version, so many others that have seen no other one either
    // settle that there was no other.
    static constexpr std::size_t witnesses = 3;

    // Time between two rounds of questions, and from the first one until the version counts as
    // unknown. A datagram between two data centres takes a few milliseconds.
    static constexpr Duration askInterval = std::chrono::milliseconds(60);
    static constexpr Duration maxSearch = std::chrono::milliseconds(300);

    // The same for an instance that has just started and knows no others yet.
    static constexpr Duration maxSearchWithoutOthers = std::chrono::milliseconds(1000);

    // Maximum number of streams remembered; the oldest are forgotten first.
    static constexpr std::size_t maxRecords = 16'384;

    // Receives the version, or nothing if no instance that answers knows it.
    using Found = std::function<void(const std::optional<std::string> &)>;

    // expectsOthers tells whether the settings name other instances; firstStart, whether the system
    // starts for the first time, so that there are no earlier streams.
    StreamVersions(const Clock &time, std::string ownName, bool expectsOthers, bool firstStart,
                   StreamVersionTransport &peerTransport);

    void setInstances(std::span<const std::string> others);

    // Records that a target with this version is listed. Returns whether the versions of the
    // service's other targets have to be recorded too.
    bool recordListed(std::string_view service, std::string_view version);

    // Whether the service has had several versions lately.
    bool isMixed(std::string_view service) const { return this->services.isMixed(service); }
    std::vector<std::string> mixedServices() const { return this->services.mixedServices(); }

    // Whether the version of a stream has to be found out before it goes on: the service has had
    // several versions lately, or this instance does not know whether it has, because it has just
    // started or could ask nobody.
    bool mustKnow(std::string_view service) const;

    // Records that a run of the stream is being sent to an engine of this version. The last call
    // before the first event counts.
    void recordBegun(const std::string &stream, std::string_view service, std::string_view version);

    // Records that the caller has the whole stream.
    void recordCompleted(const std::string &stream);

    // Finds the version at which a stream of the service began, and whether the service has had
    // several, which mustKnow() tells afterwards. Calls the callback once, at once or from tick()
    // or onMessage().
    void find(const std::string &stream, std::string_view service, const Found &found);

    void onMessage(std::string_view from, const StreamVersionMessage &message);

    // Must be called about every tenth of a second.
    void tick();

    std::size_t size() const { return this->records.size(); }

private:
    struct Record
    {
        std::string version;
        std::string service; // empty if another instance began the stream
        TimePoint at;
        std::vector<std::string> told; // the keepers that were sent the record
    };

    struct Search
    {
        std::string stream;
        std::string service;
        Found found;
        TimePoint since;
        TimePoint askAgainAt;
        std::size_t rounds = 0;
        std::set<std::string, std::less<>> unaware;   // instances that have no record of it
        std::set<std::string, std::less<>> witnesses; // those of them that know all versions
    };

    using Outgoing = std::map<std::string, StreamVersionMessage, std::less<>>; // by instance

    // Whether this instance knows all versions at which a stream may have begun that can still be
    // taken up.
    bool knowsVersions() const;
    bool isShared(const Record &record) const;
    void store(const std::string &stream, Record record);
    void tellKeepers(const std::string &stream, Record &record, Outgoing &outgoing) const;
    void send(Outgoing &outgoing);
    void tellServiceRecords(std::string_view service);
    void ask(std::int64_t serial, Search &search);
    bool isExhausted(const Search &search) const;
    bool isSettled(const Search &search) const;
    void concludeSettled();
    void giveUp(std::int64_t serial);
    void conclude(std::int64_t serial, const std::optional<std::string> &version);
    void concludeAll(const std::string &stream, const std::string &version);
    void answer(std::string_view from, const StreamVersionMessage &message);
    void learnServices(const StreamVersionMessage &message);
    void askForServices();
    void dropOldRecords();
    std::vector<std::string> others(std::string_view stream, std::size_t count) const;

    const Clock &clock;
    StreamVersionTransport &transport;
    InstanceRanking ranking;
    ServiceVersions services;
    std::map<std::string, Record, std::less<>> records;
    std::deque<std::pair<TimePoint, std::string>> recordOrder; // oldest first
    std::map<std::int64_t, Search> searches;
    std::int64_t nextSerial = 1;
    bool othersExpected;
    bool knowsPast;            // the versions that served before this instance started
    bool lacksWitness = false; // nobody that knows all versions answered the last search
    bool instancesChanged = false;
    TimePoint startedAt;
    TimePoint askedForServicesAt;
};

} // namespace jaytrack

#endif
