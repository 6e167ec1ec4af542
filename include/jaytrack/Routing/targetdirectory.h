// The targets that the platform lists, and which of them may be given new work.
#ifndef JAYTRACK_ROUTING_TARGETDIRECTORY_H
#define JAYTRACK_ROUTING_TARGETDIRECTORY_H

#include "jaytrack/Routing/datacentreuse.h"
#include "jaytrack/Support/clock.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jaytrack {

// When one life of a target began, as the target itself tells it, in Unix milliseconds. It is only
// ever compared with what was told under the same name, so the clocks of others play no part.
using StartTime = std::chrono::milliseconds;

// The value of a target that does not tell when it started.
constexpr StartTime unknownStart{0};

// One life of a target as the platform lists it.
struct TargetEntry
{
    // Names this life: what is believed of a target ends with it. Made by incarnationId().
    std::string id;
    std::string name; // under which the platform lists it; a target may start again under it
    StartTime startedAt = unknownStart;
    std::string service;
    std::string address; // IP:PORT
    std::string dataCentre;
    int slots = 0;
    bool leaving = false;
    std::chrono::milliseconds coldFor{0}; // until it bears as much as usual
};

// The identity of one life of a target. Where targets do not tell their start, each has a new name
// at each start and the name alone is the identity.
std::string incarnationId(std::string_view name, StartTime startedAt);

// One item of the platform's store that changed or was read.
struct StoreItem
{
    std::string key;
    std::string value; // decoded bytes; empty if deleted or unreadable
    std::uint64_t revision = 0;
    bool deleted = false;
    bool unreadable = false; // the value is not in the store's encoding
};

// Told when a target may no longer be given work.
class TargetDirectoryListener
{
public:
    virtual ~TargetDirectoryListener() = default;
    virtual void onTargetLeaving(const TargetEntry &entry, std::string_view reason) = 0;
    virtual void onTargetListed(const TargetEntry &entry) = 0;

    // The target started again under its name. This life is over: nothing that was sent to it, read
    // there or copied there exists any more.
    virtual void onTargetRestarted(const TargetEntry &ended) = 0;

    // The target says that it is cold.
    virtual void onTargetCold(const TargetEntry &entry) = 0;

    // The operators put a data centre out of use, or back.
    virtual void onDataCentreUse(std::string_view dataCentre, bool outOfUse) = 0;
};

// Everything that the platform lists at one moment.
struct TargetListing
{
    std::vector<TargetEntry> entries;
    std::vector<std::string> unusable; // names whose entries name no target
};

// What the platform's list says now, and how entries that vanish during an outage are treated.
class TargetDirectory
{
public:
    explicit TargetDirectory(TargetDirectoryListener &events)
        : listener(events)
    {
    }

    // Takes a whole listing, read page by page. Entries that it lacks are gone, unless it was read
    // during the grace after an outage, when targets that live are still coming back.
    void replaceAll(TargetListing listing, bool keepMissing);

    // Takes one change. An entry of an earlier life than one that was listed or told of under the
    // same name changes nothing, however late it is read.
    void put(TargetEntry entry);
    void remove(std::string_view name, bool keepMissing);

    // The entry under the name was overwritten by something that names no target. Until a good one
    // is listed the target is given no new work; what it has is left to it, since nobody said that
    // it leaves.
    void suspend(std::string_view name);

    // Takes a target's own word that it is leaving before the platform lists it so, or lists it at
    // all. Returns whether it is news.
    bool markLeaving(std::string_view id, std::string_view reason);

    // Takes a target's own word of when it started. If this life is over, it is ended here; the new
    // one gets work once the platform lists it.
    void updateStartTime(std::string_view id, StartTime startedAt);

    // Ends the grace after an outage: what has not come back is gone, and a data centre that was
    // not put out of use again is back.
    void dropMissing();

    // Takes one change of what the operators say of a data centre, or all that they say now.
    void updateDataCentre(const DataCentreRecord &record);
    void replaceDataCentres(std::span<const DataCentreRecord> records, bool keepMissing);

    // The store came back from an older copy, whose revisions are given out again.
    void forgetDataCentreRevisions() { this->dataCentres.forgetRevisions(); }

    // The targets of a service that may be given new work.
    std::vector<const TargetEntry *> usable(std::string_view service) const;

    // The targets of a data centre that were not said to leave.
    std::vector<TargetEntry> nonLeavingTargets(std::string_view dataCentre) const;

    bool isOutOfUse(std::string_view dataCentre) const
    {
        return this->dataCentres.isOutOfUse(dataCentre);
    }

    // Whether the service has targets that would get work if their data centres were in use.
    bool hasTargetsOutOfUse(std::string_view service) const;

    // The life with this id, if it is still listed.
    const TargetEntry *find(std::string_view id) const;
    std::size_t size() const { return this->entries.size(); }

private:
    struct Row
    {
        TargetEntry entry;
        bool missing = false; // vanished while the store was away; still used until the grace ends
        bool suspended = false; // its entry was overwritten by something unusable
    };
    using Rows = std::map<std::string, Row, std::less<>>; // by name

    void tellOfUse(std::span<const std::string> changed);
    void add(TargetEntry entry);
    void tellIfCold(const TargetEntry &entry);
    void leave(Rows::iterator row, std::string_view reason);
    void endLife(Rows::iterator row);
    Rows::const_iterator rowOf(std::string_view id) const;
    bool isOutdated(const TargetEntry &entry) const;
    void noteStart(const std::string &name, StartTime startedAt);
    void noteLeft(const std::string &id);

    TargetDirectoryListener &listener;
    Rows entries;
    DataCentreUse dataCentres;
    // The latest start that was told under each name. It outlives the listing, so that an entry of
    // an ended life that is read late does not bring it back.
    std::map<std::string, StartTime, std::less<>> latestStarts;
    // Lives that leave or have left. They outlive the listing too: an entry that lapsed while the
    // store was away may come back as it was before the target said so.
    std::set<std::string, std::less<>> leftLives;
    std::deque<std::string> leftOrder; // the same, oldest first
};

} // namespace jaytrack

#endif
