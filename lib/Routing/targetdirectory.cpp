#include "jaytrack/Routing/targetdirectory.h"

#include <algorithm>
#include <set>

namespace jaytrack {

namespace {

// Maximum number of names whose start times are kept. At 130 restarts per day this covers a month,
// and each entry takes some hundred bytes.
constexpr std::size_t maxStartsKept = 4096;

// Maximum number of ids of incarnations that have left, which covers the same time.
constexpr std::size_t maxLeftKept = 4096;

// Maximum number of removed entries, which take some hundred bytes each and are needed for seconds.
constexpr std::size_t maxRemovedKept = 1024;

} // namespace

std::string incarnationId(std::string_view name, StartTime startedAt)
{
    std::string id(name);
    if (startedAt != unknownStart)
        id += "@" + std::to_string(startedAt.count());
    return id;
}

std::size_t TargetDirectory::replaceAll(TargetListing listing, bool keepMissing,
                                        bool restoredFromCopy)
{
    std::size_t withheld = 0;
    std::set<std::string, std::less<>> present;
    for (TargetEntry &entry : listing.entries) {
        present.insert(entry.name);
        const std::string id = entry.id;
        const std::string name = entry.name;
        const bool withhold = (restoredFromCopy && this->removed.count(id) > 0) ||
                              listing.withheld.count(name) > 0;
        this->put(std::move(entry));
        const auto row = this->entries.find(name);
        if (!withhold || row == this->entries.end())
            continue;
        row->second.withheld = true;
        this->recordRemoved(row->second.entry);
        ++withheld;
    }
    for (std::string &name : listing.unusable) {
        this->suspend(name);
        present.insert(std::move(name));
    }
    std::vector<std::string> absent;
    for (const auto &[name, row] : this->entries) {
        if (present.count(name) == 0)
            absent.push_back(name);
    }
    for (const std::string &name : absent)
        this->remove(name, keepMissing);
    return withheld;
}

void TargetDirectory::releaseWithheld()
{
    for (auto &[name, row] : this->entries)
        row.withheld = false;
}

bool TargetDirectory::isOutdated(const TargetEntry &entry) const
{
    const auto latest = this->latestStarts.find(entry.name);
    return latest != this->latestStarts.end() && entry.startedAt < latest->second;
}

void TargetDirectory::recordStart(const std::string &name, StartTime startedAt)
{
    if (startedAt == unknownStart)
        return;
    if (this->latestStarts.size() >= maxStartsKept)
        this->latestStarts.clear();
    this->latestStarts.insert_or_assign(name, startedAt);
}

void TargetDirectory::recordLeft(const std::string &id)
{
    if (!this->leftIncarnations.insert(id).second)
        return;
    this->leftOrder.push_back(id);
    if (this->leftOrder.size() <= maxLeftKept)
        return;
    this->leftIncarnations.erase(this->leftOrder.front());
    this->leftOrder.pop_front();
}

void TargetDirectory::recordRemoved(const TargetEntry &entry)
{
    if (!this->removed.insert_or_assign(entry.id, entry).second)
        return;
    this->removedOrder.push_back(entry.id);
    if (this->removedOrder.size() <= maxRemovedKept)
        return;
    this->removed.erase(this->removedOrder.front());
    this->removedOrder.pop_front();
}

void TargetDirectory::add(TargetEntry entry)
{
    this->removed.erase(entry.id);
    entry.leaving = entry.leaving || this->leftIncarnations.count(entry.id) > 0;
    if (entry.leaving)
        this->recordLeft(entry.id);
    this->recordStart(entry.name, entry.startedAt);
    const std::string name = entry.name;
    const TargetEntry added = entry;
    this->entries.insert_or_assign(name, Row{std::move(entry)});
    if (added.leaving)
        this->listener.onTargetLeaving(added, "listed_leaving");
    else
        this->listener.onTargetListed(added);
    this->notifyIfCold(added);
}

void TargetDirectory::notifyIfCold(const TargetEntry &entry)
{
    if (entry.coldFor > std::chrono::milliseconds(0) && !entry.leaving)
        this->listener.onTargetCold(entry);
}

void TargetDirectory::put(TargetEntry entry)
{
    if (this->isOutdated(entry)) {
        // A target that has reported its start time always reports it, so this entry was not
        // written by the target.
        if (entry.startedAt == unknownStart)
            this->suspend(entry.name);
        return;
    }
    const auto found = this->entries.find(entry.name);
    if (found == this->entries.end())
        return this->add(std::move(entry));
    const TargetEntry &known = found->second.entry;
    // A target that does not tell its start, and has another version than before, has restarted.
    if (known.id != entry.id || known.softwareVersion != entry.softwareVersion) {
        this->endIncarnation(found);
        return this->add(std::move(entry));
    }
    this->removed.erase(entry.id);
    Row &row = found->second;
    const bool wasLeaving = row.entry.leaving;
    // An incarnation never stops leaving, so an older entry that is read late must not make it
    // usable again.
    entry.leaving = entry.leaving || wasLeaving;
    row.entry = std::move(entry);
    row.missing = false;
    row.suspended = false;
    row.withheld = false;
    if (row.entry.leaving && !wasLeaving) {
        this->recordLeft(row.entry.id);
        this->listener.onTargetLeaving(row.entry, "announced");
    }
    this->notifyIfCold(TargetEntry(row.entry));
}

void TargetDirectory::remove(std::string_view name, bool keepMissing)
{
    const auto found = this->entries.find(name);
    if (found == this->entries.end())
        return;
    if (keepMissing && !found->second.entry.leaving) {
        found->second.missing = true;
        return;
    }
    this->removeRow(found, "unlisted");
}

void TargetDirectory::suspend(std::string_view name)
{
    const auto found = this->entries.find(name);
    if (found != this->entries.end())
        found->second.suspended = true;
}

TargetDirectory::Rows::const_iterator TargetDirectory::rowOf(std::string_view id) const
{
    for (const std::string_view name : {id, id.substr(0, id.rfind('@'))}) {
        const auto found = this->entries.find(name);
        if (found != this->entries.end() && found->second.entry.id == id)
            return found;
    }
    return this->entries.end();
}

bool TargetDirectory::markLeaving(std::string_view id, std::string_view reason)
{
    const bool isNew = this->leftIncarnations.count(id) == 0;
    this->recordLeft(std::string(id));
    const auto found = this->rowOf(id);
    if (found == this->entries.end() || found->second.entry.leaving)
        return isNew;
    this->entries.find(found->first)->second.entry.leaving = true;
    const TargetEntry entry = found->second.entry;
    this->listener.onTargetLeaving(entry, reason);
    return isNew;
}

void TargetDirectory::updateStartTime(std::string_view id, StartTime startedAt)
{
    const auto found = this->rowOf(id);
    if (found == this->entries.end())
        return;
    const StartTime known = found->second.entry.startedAt;
    if (known == unknownStart || startedAt <= known)
        return;
    this->recordStart(found->second.entry.name, startedAt);
    this->endIncarnation(this->entries.find(found->first));
}

void TargetDirectory::dropMissing()
{
    for (auto row = this->entries.begin(); row != this->entries.end();) {
        const auto next = std::next(row);
        if (row->second.missing)
            this->removeRow(row, "missing_after_outage");
        row = next;
    }
    this->notifyUseChanges(this->dataCentres.dropMissing());
}

void TargetDirectory::updateDataCentre(const DataCentreRecord &record)
{
    if (this->dataCentres.apply(record))
        this->listener.onDataCentreUse(record.dataCentre, record.outOfUse);
}

void TargetDirectory::replaceDataCentres(std::span<const DataCentreRecord> records,
                                         bool keepMissing)
{
    this->notifyUseChanges(this->dataCentres.applyAll(records, keepMissing));
}

void TargetDirectory::notifyUseChanges(std::span<const std::string> changed)
{
    for (const std::string &dataCentre : changed)
        this->listener.onDataCentreUse(dataCentre, this->isOutOfUse(dataCentre));
}

void TargetDirectory::removeRow(Rows::iterator row, std::string_view reason)
{
    const TargetEntry entry = std::move(row->second.entry);
    this->entries.erase(row);
    this->recordRemoved(entry);
    if (!entry.leaving)
        this->listener.onTargetLeaving(entry, reason);
}

void TargetDirectory::endIncarnation(Rows::iterator row)
{
    const TargetEntry entry = std::move(row->second.entry);
    this->entries.erase(row);
    this->listener.onTargetRestarted(entry);
}

TargetListing TargetDirectory::listing() const
{
    TargetListing listing;
    listing.entries.reserve(this->entries.size());
    for (const auto &[name, row] : this->entries) {
        if (row.missing)
            continue;
        if (row.withheld)
            listing.withheld.insert(name);
        if (row.suspended)
            listing.unusable.push_back(name);
        else
            listing.entries.push_back(row.entry);
    }
    return listing;
}

std::vector<std::string_view> TargetDirectory::names() const
{
    std::vector<std::string_view> names;
    names.reserve(this->entries.size());
    for (const auto &[name, row] : this->entries)
        names.push_back(name);
    return names;
}

std::vector<const TargetEntry *> TargetDirectory::usable(std::string_view service) const
{
    std::vector<const TargetEntry *> found;
    for (const auto &[name, row] : this->entries) {
        const bool eligible = row.entry.service == service && !row.entry.leaving &&
                              !row.suspended && !row.withheld;
        if (eligible && !this->isOutOfUse(row.entry.dataCentre))
            found.push_back(&row.entry);
    }
    return found;
}

std::set<std::string> TargetDirectory::versionsOf(std::string_view service) const
{
    std::set<std::string> versions;
    for (const auto &[name, row] : this->entries) {
        if (row.entry.service == service)
            versions.insert(row.entry.softwareVersion);
    }
    return versions;
}

std::vector<TargetEntry> TargetDirectory::nonLeavingTargets(std::string_view dataCentre) const
{
    std::vector<TargetEntry> found;
    for (const auto &[name, row] : this->entries) {
        if (row.entry.dataCentre == dataCentre && !row.entry.leaving)
            found.push_back(row.entry);
    }
    return found;
}

bool TargetDirectory::hasTargetsOutOfUse(std::string_view service) const
{
    return std::any_of(this->entries.begin(), this->entries.end(), [&](const auto &entry) {
        const TargetEntry &target = entry.second.entry;
        return target.service == service && !target.leaving && this->isOutOfUse(target.dataCentre);
    });
}

const TargetEntry *TargetDirectory::findByName(std::string_view name) const
{
    const auto found = this->entries.find(name);
    return found == this->entries.end() ? nullptr : &found->second.entry;
}

const TargetEntry *TargetDirectory::findRemoved(std::string_view id) const
{
    const auto found = this->removed.find(id);
    return found == this->removed.end() ? nullptr : &found->second;
}

bool TargetDirectory::isOpen(std::string_view id) const
{
    const auto found = this->rowOf(id);
    return found != this->entries.end() && !found->second.entry.leaving && !found->second.withheld;
}

const TargetEntry *TargetDirectory::find(std::string_view id) const
{
    const auto found = this->rowOf(id);
    return found == this->entries.end() ? nullptr : &found->second.entry;
}

} // namespace jaytrack
