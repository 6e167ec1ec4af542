// The targets that the platform lists, and which of them may be given new work.
#ifndef JAYTRACK_ROUTING_TARGETDIRECTORY_H
#define JAYTRACK_ROUTING_TARGETDIRECTORY_H

#include "jaytrack/Support/clock.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace jaytrack {

// One target as the platform lists it.
struct TargetEntry
{
    std::string id; // new at each start of the target
    std::string service;
    std::string address; // IP:PORT
    std::string dataCentre;
    int slots = 0;
    bool leaving = false;
    std::chrono::milliseconds slowFor{0}; // how long it is still slow after its start
};

// One item of the platform's store that changed or was read.
struct StoreItem
{
    std::string key;
    std::string value; // decoded bytes; empty if deleted
    std::uint64_t revision = 0;
    bool deleted = false;
};

// Told when a target may no longer be given work.
class TargetDirectoryListener
{
public:
    virtual ~TargetDirectoryListener() = default;
    virtual void onTargetLeaving(const TargetEntry &entry, std::string_view reason) = 0;
    virtual void onTargetListed(const TargetEntry &entry) = 0;
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
    void replaceAll(std::vector<TargetEntry> entries, bool keepMissing);

    // Takes one change.
    void put(TargetEntry entry);
    void remove(std::string_view id, bool keepMissing);

    // Takes a target's own word, or a failure, that it is leaving before the platform lists it so.
    void markLeaving(std::string_view id, std::string_view reason);

    // Ends the grace after an outage: what has not come back is gone.
    void dropMissing();

    // The targets of a service that may be given new work.
    std::vector<const TargetEntry *> usable(std::string_view service) const;

    const TargetEntry *find(std::string_view id) const;
    std::size_t size() const { return this->entries.size(); }

private:
    struct Row
    {
        TargetEntry entry;
        bool missing = false; // vanished while the store was away; still used until the grace ends
    };

    void leave(std::map<std::string, Row, std::less<>>::iterator row, std::string_view reason);

    TargetDirectoryListener &listener;
    std::map<std::string, Row, std::less<>> entries;
};

} // namespace jaytrack

#endif
