// The targets that the platform lists, and which of them may receive new work.
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

// The start time of one incarnation of a target in Unix milliseconds, as reported by the target. It
// is compared only with other values reported under the same name, so clock differences between
// machines do not matter.
using StartTime = std::chrono::milliseconds;

// The start time of a target that does not report one.
constexpr StartTime unknownStart{0};

// One incarnation of a target as listed by the platform.
struct TargetEntry
{
    // Identifies this incarnation; all that is known of a target is discarded when its incarnation
    // ends. Made by incarnationId().
    std::string id;
    std::string name; // the name in the listing; a target may restart under the same name
    StartTime startedAt = unknownStart;
    std::string service;
    std::string address; // IP:PORT
    std::string dataCentre;
    std::string softwareVersion; // of the target's program, not of a model; has no order
    int slots = 0;
    bool leaving = false;
    std::chrono::milliseconds coldFor{0}; // until it accepts its usual load
};

// Returns the id of one incarnation of a target. Targets that do not report a start time have a new
// name at each start, so the name alone identifies the incarnation.
std::string incarnationId(std::string_view name, StartTime startedAt);

// An item of the platform's store that was changed or read.
struct StoreItem
{
    std::string key;
    std::string value; // decoded bytes; empty if deleted or unreadable
    std::uint64_t revision = 0;
    bool deleted = false;
    bool unreadable = false; // the value is not in the store's encoding
};

// Receives changes of the targets' state.
class TargetDirectoryListener
{
public:
    virtual ~TargetDirectoryListener() = default;
    virtual void onTargetLeaving(const TargetEntry &entry, std::string_view reason) = 0;
    virtual void onTargetListed(const TargetEntry &entry) = 0;

    // The target restarted under the same name. The given incarnation has ended: requests sent to
    // it, prompts read there and copies held there no longer exist.
    virtual void onTargetRestarted(const TargetEntry &ended) = 0;

    // The target reports that it is cold.
    virtual void onTargetCold(const TargetEntry &entry) = 0;

    // The operators put a data centre out of use or back.
    virtual void onDataCentreUse(std::string_view dataCentre, bool outOfUse) = 0;
};

// All targets that the platform lists at one moment.
struct TargetListing
{
    std::vector<TargetEntry> entries;
    std::vector<std::string> unusable; // names whose entries do not describe a target
    // Names whose entries were removed, and are listed only because the store was restored from an
    // older copy.
    std::set<std::string, std::less<>> withheld = {};
};

// The current list of targets. Entries that disappear during an outage of the store are kept for a
// grace period.
class TargetDirectory
{
public:
    explicit TargetDirectory(TargetDirectoryListener &events)
        : listener(events)
    {
    }

    // Applies a complete listing, read page by page. Targets that it lacks are removed, unless it
    // was read during the grace period after an outage, when live targets are still being listed
    // again. Where the store was restored from an older copy, entries of targets that were removed
    // meanwhile are withheld. Returns the number of those.
    std::size_t replaceAll(TargetListing listing, bool keepMissing, bool restoredFromCopy = false);

    // Ends the withholding of entries that are still listed, so that their targets must be alive.
    void releaseWithheld();

    // Applies one change. An entry of an earlier incarnation than one already listed or reported
    // under the same name is ignored, however late it is read.
    void put(TargetEntry entry);
    void remove(std::string_view name, bool keepMissing);

    // Handles an entry that was overwritten with something that does not describe a target. The
    // target receives no new work until a valid entry is listed; its current work continues,
    // because nothing says that the target is leaving.
    void suspend(std::string_view name);

    // Records a target's own announcement that it is leaving, which may come before the platform
    // lists it as leaving or lists it at all. Returns whether this was unknown.
    bool markLeaving(std::string_view id, std::string_view reason);

    // Records the start time that a target reports. If the known incarnation has ended, it is
    // removed here; the new one receives work once the platform lists it.
    void updateStartTime(std::string_view id, StartTime startedAt);

    // Ends the grace period after an outage: targets that have not been listed again are removed,
    // and data centres that were not put out of use again are back in use.
    void dropMissing();

    // Apply one change of the operators' setting for a data centre, or all current settings.
    void updateDataCentre(const DataCentreRecord &record);
    void replaceDataCentres(std::span<const DataCentreRecord> records, bool keepMissing);

    // Forgets the revisions, because the store was restored from an older copy and assigns revision
    // numbers again.
    void forgetDataCentreRevisions() { this->dataCentres.forgetRevisions(); }

    // Returns the targets of a service that may receive new work.
    std::vector<const TargetEntry *> usable(std::string_view service) const;

    // Returns the versions of the software of a service's targets, those that are leaving included.
    std::set<std::string> versionsOf(std::string_view service) const;

    // Returns the targets of a data centre that are not known to be leaving.
    std::vector<TargetEntry> nonLeavingTargets(std::string_view dataCentre) const;

    bool isOutOfUse(std::string_view dataCentre) const
    {
        return this->dataCentres.isOutOfUse(dataCentre);
    }

    // Returns whether the service has targets that would receive work if their data centres were in
    // use.
    bool hasTargetsOutOfUse(std::string_view service) const;

    // Returns the incarnation with this id; null if it is no longer listed.
    const TargetEntry *find(std::string_view id) const;

    // Returns the incarnation that is listed under this name; null if none is.
    const TargetEntry *findByName(std::string_view name) const;

    // Returns an incarnation that was removed from the list and may still serve what it was given;
    // null if there is none with this id.
    const TargetEntry *findRemoved(std::string_view id) const;

    // Whether the incarnation is listed and neither leaving nor withheld.
    bool isOpen(std::string_view id) const;
    std::size_t size() const { return this->entries.size(); }

    // Returns all that the store lists as far as it is known, without what has disappeared from it.
    TargetListing listing() const;

    // Returns the names under which targets are listed.
    std::vector<std::string_view> names() const;

    std::vector<std::string_view> dataCentresOutOfUse() const
    {
        return this->dataCentres.namesOutOfUse();
    }

    std::vector<DataCentreRecord> recordsOutOfUse() const
    {
        return this->dataCentres.recordsOutOfUse();
    }

private:
    struct Row
    {
        TargetEntry entry;
        bool missing = false;   // disappeared during an outage of the store; used until the grace
                                // period ends
        bool suspended = false; // its entry was overwritten with an invalid one
        bool withheld = false;  // removed before, and listed by an older copy of the store
    };
    using Rows = std::map<std::string, Row, std::less<>>; // by name

    void notifyUseChanges(std::span<const std::string> changed);
    void add(TargetEntry entry);
    void notifyIfCold(const TargetEntry &entry);
    void removeRow(Rows::iterator row, std::string_view reason);
    void endIncarnation(Rows::iterator row);
    Rows::const_iterator rowOf(std::string_view id) const;
    bool isOutdated(const TargetEntry &entry) const;
    void recordStart(const std::string &name, StartTime startedAt);
    void recordLeft(const std::string &id);
    void recordRemoved(const TargetEntry &entry);

    TargetDirectoryListener &listener;
    Rows entries;
    DataCentreUse dataCentres;
    // The latest start time reported under each name. It is kept after the target is removed from
    // the list, so that an entry of an ended incarnation that is read late is not listed again.
    std::map<std::string, StartTime, std::less<>> latestStarts;
    // Incarnations that are leaving or have left. They are kept after removal from the list: an
    // entry that expired during an outage of the store may return as it was before the target
    // announced that it is leaving.
    std::set<std::string, std::less<>> leftIncarnations;
    std::deque<std::string> leftOrder; // the same ids, oldest first
    // Incarnations whose entries were removed, by id. Unlike those that announced that they leave,
    // they may only have lapsed, so a newly written entry makes them usable again.
    std::map<std::string, TargetEntry, std::less<>> removed;
    std::deque<std::string> removedOrder; // the same ids, oldest first; some may be listed again
};

} // namespace jaytrack

#endif
