#include "jaytrack/Routing/targetdirectory.h"

#include <set>

namespace jaytrack {

void TargetDirectory::replaceAll(std::vector<TargetEntry> listed, bool keepMissing)
{
    std::set<std::string, std::less<>> present;
    for (TargetEntry &entry : listed) {
        present.insert(entry.id);
        this->put(std::move(entry));
    }
    std::vector<std::string> absent;
    for (const auto &[id, row] : this->entries) {
        if (present.count(id) == 0)
            absent.push_back(id);
    }
    for (const std::string &id : absent)
        this->remove(id, keepMissing);
}

void TargetDirectory::put(TargetEntry entry)
{
    const auto found = this->entries.find(entry.id);
    if (found == this->entries.end()) {
        const auto added = this->entries.emplace(entry.id, Row{entry, false}).first;
        if (entry.leaving)
            this->listener.onTargetLeaving(added->second.entry, "listed_leaving");
        else
            this->listener.onTargetListed(added->second.entry);
        return;
    }
    const bool wasLeaving = found->second.entry.leaving;
    // A target never takes its leaving back; an older entry read late must not revive it.
    entry.leaving = entry.leaving || wasLeaving;
    found->second.entry = std::move(entry);
    found->second.missing = false;
    if (found->second.entry.leaving && !wasLeaving)
        this->listener.onTargetLeaving(found->second.entry, "announced");
}

void TargetDirectory::remove(std::string_view id, bool keepMissing)
{
    const auto found = this->entries.find(id);
    if (found == this->entries.end())
        return;
    if (keepMissing && !found->second.entry.leaving) {
        found->second.missing = true;
        return;
    }
    this->leave(found, "unlisted");
}

void TargetDirectory::markLeaving(std::string_view id, std::string_view reason)
{
    const auto found = this->entries.find(id);
    if (found == this->entries.end() || found->second.entry.leaving)
        return;
    found->second.entry.leaving = true;
    this->listener.onTargetLeaving(found->second.entry, reason);
}

void TargetDirectory::dropMissing()
{
    for (auto row = this->entries.begin(); row != this->entries.end();) {
        const auto next = std::next(row);
        if (row->second.missing)
            this->leave(row, "missing_after_outage");
        row = next;
    }
}

void TargetDirectory::leave(std::map<std::string, Row, std::less<>>::iterator row,
                            std::string_view reason)
{
    const TargetEntry entry = std::move(row->second.entry);
    this->entries.erase(row);
    if (!entry.leaving)
        this->listener.onTargetLeaving(entry, reason);
}

std::vector<const TargetEntry *> TargetDirectory::usable(std::string_view service) const
{
    std::vector<const TargetEntry *> found;
    for (const auto &[id, row] : this->entries) {
        if (row.entry.service == service && !row.entry.leaving)
            found.push_back(&row.entry);
    }
    return found;
}

const TargetEntry *TargetDirectory::find(std::string_view id) const
{
    const auto found = this->entries.find(id);
    return found == this->entries.end() ? nullptr : &found->second.entry;
}

} // namespace jaytrack
