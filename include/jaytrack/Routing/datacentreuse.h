// Which data centres the operators have put out of use. Nothing new is sent to the targets there
// until they are put back; what runs there goes on.
//
// Load that it answers: maintenance or trouble of a whole data centre. A quarter of all targets is
// to be left alone within seconds by every instance, and comes back at once, cold as it may be.
#ifndef JAYTRACK_ROUTING_DATACENTREUSE_H
#define JAYTRACK_ROUTING_DATACENTREUSE_H

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jaytrack {

// What the operators say of one data centre, at a revision of the platform's store.
struct DataCentreRecord
{
    std::string dataCentre;
    std::uint64_t revision = 0;
    bool outOfUse = false;
};

class DataCentreUse
{
public:
    // Takes one change; returns whether it changes the data centre's use. Notices of several
    // instances overtake each other, so a record that is older than one taken before is ignored.
    bool take(const DataCentreRecord &record);

    // Takes all records that the store holds, and returns the data centres whose use changes. Those
    // that it lacks are back in use, unless the store came back from an older copy just now and the
    // operators' orders are still being written again.
    std::vector<std::string> takeAll(std::span<const DataCentreRecord> records, bool keepMissing);

    // Puts back what no order has confirmed since the store's return, and returns which.
    std::vector<std::string> dropMissing();

    // Revisions known so far belong to a history that no longer exists.
    void forgetRevisions();

    bool isOutOfUse(std::string_view dataCentre) const;

private:
    struct State
    {
        std::uint64_t revision = 0;
        bool outOfUse = false;
        bool missing = false; // not in the store's copy; out of use until that is settled
    };

    std::map<std::string, State, std::less<>> states;
};

} // namespace jaytrack

#endif
