#include "jaytrack/Routing/datacentreuse.h"

#include <set>

namespace jaytrack {

bool DataCentreUse::apply(const DataCentreRecord &record)
{
    State &state = this->states[record.dataCentre];
    if (record.revision < state.revision)
        return false;
    const bool changes = state.outOfUse != record.outOfUse;
    state = {record.revision, record.outOfUse, false};
    return changes;
}

std::vector<std::string> DataCentreUse::applyAll(std::span<const DataCentreRecord> records,
                                                 bool keepMissing)
{
    std::vector<std::string> changed;
    // The listing is newer than all that is known about data centres in use.
    std::erase_if(this->states, [](const auto &entry) { return !entry.second.outOfUse; });
    for (const DataCentreRecord &record : records) {
        if (this->apply(record))
            changed.push_back(record.dataCentre);
    }
    std::set<std::string_view> listed;
    for (const DataCentreRecord &record : records)
        listed.insert(record.dataCentre);
    for (auto &[name, state] : this->states) {
        if (listed.count(name) > 0)
            continue;
        state.missing = state.outOfUse && keepMissing;
        if (!state.outOfUse || state.missing)
            continue;
        state.outOfUse = false;
        changed.push_back(name);
    }
    return changed;
}

std::vector<std::string> DataCentreUse::dropMissing()
{
    std::vector<std::string> changed;
    for (auto &[name, state] : this->states) {
        if (!state.missing)
            continue;
        state.missing = false;
        state.outOfUse = false;
        changed.push_back(name);
    }
    return changed;
}

void DataCentreUse::forgetRevisions()
{
    for (auto &[name, state] : this->states)
        state.revision = 0;
}

bool DataCentreUse::isOutOfUse(std::string_view dataCentre) const
{
    const auto found = this->states.find(dataCentre);
    return found != this->states.end() && found->second.outOfUse;
}

std::vector<std::string_view> DataCentreUse::namesOutOfUse() const
{
    std::vector<std::string_view> names;
    for (const auto &[name, state] : this->states) {
        if (state.outOfUse)
            names.push_back(name);
    }
    return names;
}

std::vector<DataCentreRecord> DataCentreUse::recordsOutOfUse() const
{
    std::vector<DataCentreRecord> records;
    for (const auto &[name, state] : this->states) {
        if (state.outOfUse)
            records.push_back({name, state.revision, true});
    }
    return records;
}

} // namespace jaytrack
