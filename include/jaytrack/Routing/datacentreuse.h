// Tracks which data centres the operators have put out of use. Targets there receive no new work
// until the data centre is put back; work that already runs there continues.
//
// This serves maintenance or failure of a whole data centre. Every instance must stop using about a
// quarter of all targets within seconds, and must use them again as soon as the data centre is put
// back, even if its targets are cold.
#ifndef JAYTRACK_ROUTING_DATACENTREUSE_H
#define JAYTRACK_ROUTING_DATACENTREUSE_H

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jaytrack {

// The operators' setting for one data centre, at a revision of the platform's store.
struct DataCentreRecord
{
    std::string dataCentre;
    std::uint64_t revision = 0;
    bool outOfUse = false;
};

class DataCentreUse
{
public:
    // Applies one change; returns whether it changes the data centre's use. Notices of several
    // instances may arrive out of order, so a record older than one already applied is ignored.
    bool apply(const DataCentreRecord &record);

    // Applies all records that the store holds, and returns the data centres whose use changes.
    // Data centres without a record are back in use, unless the store has just been restored from
    // an older copy and the operators' settings are still being written again.
    std::vector<std::string> applyAll(std::span<const DataCentreRecord> records, bool keepMissing);

    // Puts back the data centres whose settings have not been written again since the store was
    // restored, and returns their names.
    std::vector<std::string> dropMissing();

    // Forgets all known revisions, because they belong to a store history that no longer exists.
    void forgetRevisions();

    bool isOutOfUse(std::string_view dataCentre) const;
    std::vector<std::string_view> namesOutOfUse() const;

    // Returns the records of all data centres that are out of use.
    std::vector<DataCentreRecord> recordsOutOfUse() const;

private:
    struct State
    {
        std::uint64_t revision = 0;
        bool outOfUse = false;
        bool missing = false; // not in the restored store; out of use until dropMissing()
    };

    std::map<std::string, State, std::less<>> states;
};

} // namespace jaytrack

#endif
