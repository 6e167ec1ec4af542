#include "jaytrack/Routing/targetdirectory.h"

#include <algorithm>
#include <set>

namespace jaytrack {

namespace {

// Names whose starts are remembered. At 130 restarts a day this is a month of them, and each takes
// some hundred bytes.
constexpr std::size_t mostStartsKept = 4096;

// Lives that have left and are remembered, for the same time.
constexpr std::size_t mostLeftKept = 4096;

} // namespace

std::string incarnationId(std::string_view name, StartTime startedAt)
{
    std::string id(name);
    if (startedAt != unknownStart)
        id += "@" + std::to_string(startedAt.count());
    return id;
}

void TargetDirectory::replaceAll(TargetListing listing, bool keepMissing)
{
    std::set<std::string, std::less<>> present;
    for (TargetEntry &entry : listing.entries) {
        present.insert(entry.name);
        this->put(std::move(entry));
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
}

bool TargetDirectory::isOutdated(const TargetEntry &entry) const
{
    const auto latest = this->latestStarts.find(entry.name);
    return latest != this->latestStarts.end() && entry.startedAt < latest->second;
}

void TargetDirectory::noteStart(const std::string &name, StartTime startedAt)
{
    if (startedAt == unknownStart)
        return;
    if (this->latestStarts.size() >= mostStartsKept)
        this->latestStarts.clear();
    this->latestStarts.insert_or_assign(name, startedAt);
}

void TargetDirectory::noteLeft(const std::string &id)
{
    if (!this->leftLives.insert(id).second)
        return;
    this->leftOrder.push_back(id);
    if (this->leftOrder.size() <= mostLeftKept)
        return;
    this->leftLives.erase(this->leftOrder.front());
    this->leftOrder.pop_front();
}

void TargetDirectory::add(TargetEntry entry)
{
    entry.leaving = entry.leaving || this->leftLives.count(entry.id) > 0;
    if (entry.leaving)
        this->noteLeft(entry.id);
    this->noteStart(entry.name, entry.startedAt);
    const std::string name = entry.name;
    const TargetEntry added = entry;
    this->entries.insert_or_assign(name, Row{std::move(entry)});
    if (added.leaving)
        this->listener.onTargetLeaving(added, "listed_leaving");
    else
        this->listener.onTargetListed(added);
    this->tellIfCold(added);
}

void TargetDirectory::tellIfCold(const TargetEntry &entry)
{
    if (entry.coldFor > std::chrono::milliseconds(0) && !entry.leaving)
        this->listener.onTargetCold(entry);
}

void TargetDirectory::put(TargetEntry entry)
{
    if (this->isOutdated(entry)) {
        // A target that told its start once tells it always, so this is not its own entry.
        if (entry.startedAt == unknownStart)
            this->suspend(entry.name);
        return;
    }
    const auto found = this->entries.find(entry.name);
    if (found == this->entries.end())
        return this->add(std::move(entry));
    if (found->second.entry.id != entry.id) {
        this->endLife(found);
        return this->add(std::move(entry));
    }
    Row &row = found->second;
    const bool wasLeaving = row.entry.leaving;
    // A life never takes its leaving back; an older entry read late must not revive it.
    entry.leaving = entry.leaving || wasLeaving;
    row.entry = std::move(entry);
    row.missing = false;
    row.suspended = false;
    if (row.entry.leaving && !wasLeaving) {
        this->noteLeft(row.entry.id);
        this->listener.onTargetLeaving(row.entry, "announced");
    }
    this->tellIfCold(TargetEntry(row.entry));
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
    this->leave(found, "unlisted");
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
    const bool news = this->leftLives.count(id) == 0;
    this->noteLeft(std::string(id));
    const auto found = this->rowOf(id);
    if (found == this->entries.end() || found->second.entry.leaving)
        return news;
    this->entries.find(found->first)->second.entry.leaving = true;
    const TargetEntry entry = found->second.entry;
    this->listener.onTargetLeaving(entry, reason);
    return news;
}

void TargetDirectory::updateStartTime(std::string_view id, StartTime startedAt)
{
    const auto found = this->rowOf(id);
    if (found == this->entries.end())
        return;
    const StartTime known = found->second.entry.startedAt;
    if (known == unknownStart || startedAt <= known)
        return;
    this->noteStart(found->second.entry.name, startedAt);
    this->endLife(this->entries.find(found->first));
}

void TargetDirectory::dropMissing()
{
    for (auto row = this->entries.begin(); row != this->entries.end();) {
        const auto next = std::next(row);
        if (row->second.missing)
            this->leave(row, "missing_after_outage");
        row = next;
    }
    this->tellOfUse(this->dataCentres.dropMissing());
}

void TargetDirectory::updateDataCentre(const DataCentreRecord &record)
{
    if (this->dataCentres.take(record))
        this->listener.onDataCentreUse(record.dataCentre, record.outOfUse);
}

void TargetDirectory::replaceDataCentres(std::span<const DataCentreRecord> records,
                                         bool keepMissing)
{
    this->tellOfUse(this->dataCentres.takeAll(records, keepMissing));
}

void TargetDirectory::tellOfUse(std::span<const std::string> changed)
{
    for (const std::string &dataCentre : changed)
        this->listener.onDataCentreUse(dataCentre, this->isOutOfUse(dataCentre));
}

void TargetDirectory::leave(Rows::iterator row, std::string_view reason)
{
    const TargetEntry entry = std::move(row->second.entry);
    this->entries.erase(row);
    if (!entry.leaving)
        this->listener.onTargetLeaving(entry, reason);
}

void TargetDirectory::endLife(Rows::iterator row)
{
    const TargetEntry entry = std::move(row->second.entry);
    this->entries.erase(row);
    this->listener.onTargetRestarted(entry);
}

std::vector<const TargetEntry *> TargetDirectory::usable(std::string_view service) const
{
    std::vector<const TargetEntry *> found;
    for (const auto &[name, row] : this->entries) {
        const bool given = row.entry.service == service && !row.entry.leaving && !row.suspended;
        if (given && !this->isOutOfUse(row.entry.dataCentre))
            found.push_back(&row.entry);
    }
    return found;
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

const TargetEntry *TargetDirectory::find(std::string_view id) const
{
    const auto found = this->rowOf(id);
    return found == this->entries.end() ? nullptr : &found->second.entry;
}

} // namespace jaytrack
