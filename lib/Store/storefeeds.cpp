#include "jaytrack/Store/storefeeds.h"

#include "jaytrack/Support/log.h"
#include "jaytrack/Support/metrics.h"

#include <algorithm>

namespace jaytrack {

namespace {

// Limits log lines about unusable entries per period. A faulty writer may leave thousands of them;
// the first lines show the problem, and a metric counts all of them.
constexpr std::size_t maxReportsPerPeriod = 20;
constexpr std::chrono::seconds reportPeriod{10};

} // namespace

void ConfigurationFeed::onListing(const std::vector<StoreItem> &items, TimePoint asOf)
{
    this->onChanges(items, asOf);
}

void ConfigurationFeed::onChanges(const std::vector<StoreItem> &items, TimePoint asOf)
{
    this->applyConfiguration(items);
    this->confirm(asOf);
}

void ConfigurationFeed::onSharedChanges(const std::vector<StoreItem> &items, bool)
{
    this->applyConfiguration(items);
}

void ConfigurationFeed::applyConfiguration(const std::vector<StoreItem> &changed)
{
    for (const StoreItem &item : changed) {
        if (item.key == this->dialect.configurationKey() && !item.deleted && !item.unreadable)
            this->applyItem(item);
    }
}

void ConfigurationFeed::onSnapshot(const StoreSnapshot &snapshot, TimePoint asOf)
{
    this->applyItem(snapshot.configuration);
    this->confirmByPeer(asOf);
}

void ConfigurationFeed::applyItem(const StoreItem &item)
{
    Result<RoutingTable> decoded = this->dialect.decodeConfiguration(item.value);
    if (!decoded) {
        logEvent(Severity::Error, "config_rejected",
                 {{"code", static_cast<std::int64_t>(decoded.error().code)},
                  {"revision", static_cast<std::int64_t>(item.revision)},
                  {"detail", decoded.error().detail}});
        return;
    }
    const std::uint64_t version = decoded.value().version;
    const std::uint64_t before = this->activeTable ? this->activeTable->version : 0;
    // An answer that arrived late must not replace a newer configuration already in force.
    if (version < before) {
        logEvent(Severity::Warning, "config_older_ignored",
                 {{"version", static_cast<std::int64_t>(version)},
                  {"in_force", static_cast<std::int64_t>(before)}});
        return;
    }
    if (version == before)
        return;
    this->activeTable = std::make_shared<const RoutingTable>(std::move(decoded.value()));
    this->activeItem = item;
    logEvent(Severity::Info, "config_in_force",
             {{"version", static_cast<std::int64_t>(version)},
              {"before", static_cast<std::int64_t>(before)},
              {"revision", static_cast<std::int64_t>(item.revision)},
              {"routes", static_cast<std::int64_t>(this->activeTable->routes.size())},
              {"keys", static_cast<std::int64_t>(this->activeTable->holders.size())}});
}

void ConfigurationFeed::confirm(TimePoint asOf)
{
    this->readAt = std::max(this->readAt.value_or(asOf), asOf);
    const bool uncertain = asOf >= this->uncertainFrom && asOf < this->uncertainUntil;
    if (!uncertain)
        this->confirmByPeer(asOf);
}

void ConfigurationFeed::confirmByPeer(TimePoint asOf)
{
    if (this->clock.now() - asOf < unknownAge)
        this->confirmedAt = std::max(this->confirmedAt.value_or(asOf), asOf);
}

Duration ConfigurationFeed::timeSinceRead() const
{
    const bool isOnlyRead = !this->confirmedAt && this->readAt;
    return isOnlyRead ? this->clock.now() - *this->readAt : this->age();
}

Duration ConfigurationFeed::timeSinceContact() const
{
    const TimePoint now = this->clock.now();
    return now - std::max(this->confirmedAsOf(), std::min(now, this->uncertainUntil));
}

// A key may have been revoked by an acknowledged change that is not in the restored copy and never
// reached this instance. Until that change is written again, the store cannot confirm that the
// configuration in force is current.
void ConfigurationFeed::onStoreRestored()
{
    this->uncertainFrom = this->clock.now();
    this->uncertainUntil = this->uncertainFrom + restoreTime;
}

// What was read before the first answer told its history is no more certain.
void ConfigurationFeed::onStoreMaybeRestored()
{
    this->uncertainFrom = TimePoint::min();
    this->uncertainUntil = this->clock.now() + restoreTime;
    logEvent(Severity::Info, "config_unconfirmed",
             {{"reason", "store_maybe_restored"}, {"for_ms", toMillis(restoreTime)}});
}

void ConfigurationFeed::onStoreLost(std::string_view reason)
{
    logEvent(Severity::Warning, "store_lost",
             {{"reason", reason}, {"config_age_ms", toMillis(this->age())}});
}

void ConfigurationFeed::onStoreRegained(Duration away)
{
    logEvent(Severity::Info, "store_regained", {{"away_ms", toMillis(away)}});
}

TargetFeed::TargetFeed(asio::io_context &loop, const Clock &time, const Dialect &platform,
                       Metrics &counters, TargetDirectory &targetDirectory)
    : clock(time)
    , dialect(platform)
    , metrics(counters)
    , directory(targetDirectory)
    , reports(time, maxReportsPerPeriod, reportPeriod)
    , graceTimer(loop)
    , lapseTimer(loop)
{
}

std::string TargetFeed::nameOf(std::string_view key) const
{
    return std::string(key.substr(this->dialect.targetsPrefix().size()));
}

std::vector<std::string> TargetFeed::storedKeys() const
{
    std::vector<std::string> keys;
    for (const std::string_view name : this->directory.names())
        keys.push_back(std::string(this->dialect.targetsPrefix()) + std::string(name));
    for (const std::string_view dataCentre : this->directory.dataCentresOutOfUse())
        keys.push_back(std::string(this->dialect.outOfUsePrefix()) + std::string(dataCentre));
    return keys;
}

bool TargetFeed::isTarget(const StoreItem &item) const
{
    return item.key.starts_with(this->dialect.targetsPrefix());
}

void TargetFeed::reportUnusable(std::string_view key, std::string_view detail)
{
    this->metrics.count("jaytrack_unusable_entries_total");
    if (!this->reports.take())
        return;
    logEvent(Severity::Warning, "target_rejected",
             {{"code", static_cast<std::int64_t>(ResultCode::DocumentMalformed)},
              {"key", key},
              {"detail", detail},
              {"more", this->reports.isExhausted() ? "counted_only" : "told"}});
}

std::optional<TargetEntry> TargetFeed::decode(const StoreItem &item)
{
    if (item.unreadable) {
        this->reportUnusable(item.key, "the value cannot be read");
        return std::nullopt;
    }
    Result<TargetEntry> entry = this->dialect.decodeTarget(item.key, item.value);
    if (!entry) {
        this->reportUnusable(item.key, entry.error().detail);
        return std::nullopt;
    }
    return std::move(entry.value());
}

// Only the key matters: a data centre is out of use if its record exists, whatever the value is.
std::optional<DataCentreRecord> TargetFeed::decodeOutOfUse(const StoreItem &item) const
{
    const std::string_view prefix = this->dialect.outOfUsePrefix();
    if (!item.key.starts_with(prefix) || item.key.size() == prefix.size())
        return std::nullopt;
    return DataCentreRecord{item.key.substr(prefix.size()), item.revision, !item.deleted};
}

void TargetFeed::onListing(const std::vector<StoreItem> &items, TimePoint)
{
    TargetListing listing;
    std::vector<DataCentreRecord> records;
    for (const StoreItem &item : items) {
        if (const auto record = this->decodeOutOfUse(item))
            records.push_back(*record);
        if (!this->isTarget(item))
            continue;
        std::optional<TargetEntry> entry = this->decode(item);
        if (entry)
            listing.entries.push_back(std::move(*entry));
        else
            listing.unusable.push_back(this->nameOf(item.key));
    }
    this->applyListing(std::move(listing), records);
}

void TargetFeed::onSnapshot(const StoreSnapshot &snapshot)
{
    this->applyListing(snapshot.targets, snapshot.outOfUse);
    if (!snapshot.targets.withheld.empty())
        this->watchForLapses();
}

void TargetFeed::addTo(StoreSnapshot &snapshot) const
{
    snapshot.targets = this->directory.listing();
    snapshot.outOfUse = this->directory.recordsOutOfUse();
}

bool TargetFeed::isValueRead(const StoreItem &item) const
{
    if (item.key == this->dialect.configurationKey())
        return true;
    return this->isTarget(item) && !item.deleted && !item.unreadable &&
           this->dialect.decodeTarget(item.key, item.value).has_value();
}

std::vector<StoreItem> TargetFeed::withoutUnreadValues(const std::vector<StoreItem> &changes) const
{
    std::vector<StoreItem> shared;
    shared.reserve(changes.size());
    for (const StoreItem &item : changes) {
        if (this->isValueRead(item))
            shared.push_back(item);
        else
            shared.push_back({item.key, {}, item.revision, item.deleted, item.unreadable});
    }
    return shared;
}

void TargetFeed::applyListing(TargetListing listing, std::span<const DataCentreRecord> records)
{
    // Apply out-of-use records first, so that targets in those data centres are not queried when
    // they are listed.
    this->directory.replaceDataCentres(records, this->clock.now() < this->rewriteDeadline);
    const std::size_t withheld =
            this->directory.replaceAll(std::move(listing), this->inGrace(), this->mayListRemoved);
    if (withheld > 0)
        logEvent(Severity::Warning, "targets_withheld",
                 {{"count", static_cast<std::int64_t>(withheld)}, {"reason", "removed_before"}});
    this->loaded = true;
}

void TargetFeed::onChanges(const std::vector<StoreItem> &items, TimePoint)
{
    this->apply(items, this->inGrace());
}

// The instance that read the changes knows whether the store was unavailable. That the store
// rejects this instance does not mean that other instances cannot read it; treating the two alike
// would leave runs at engines that are gone.
void TargetFeed::onSharedChanges(const std::vector<StoreItem> &items, bool afterOutage)
{
    this->apply(items, afterOutage);
    if (afterOutage && !this->graceRunning)
        this->startGrace();
}

void TargetFeed::apply(const std::vector<StoreItem> &items, bool keepMissing)
{
    for (const StoreItem &item : items) {
        if (const auto record = this->decodeOutOfUse(item))
            this->directory.updateDataCentre(*record);
        if (!this->isTarget(item))
            continue;
        if (item.deleted) {
            this->directory.remove(this->nameOf(item.key), keepMissing);
            continue;
        }
        std::optional<TargetEntry> entry = this->decode(item);
        if (entry)
            this->directory.put(std::move(*entry));
        else
            this->directory.suspend(this->nameOf(item.key));
    }
}

void TargetFeed::onNamelessItems(std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i)
        this->reportUnusable("", "the key cannot be read");
}

void TargetFeed::onListingStuck()
{
    this->metrics.count("jaytrack_listings_stuck_total");
}

void TargetFeed::onStoreLost(std::string_view)
{
    this->lost = true;
    this->lostAt = this->clock.now();
}

// Targets that registered after the copy was made are not in it and register again. Operators
// also write their orders again; the previous orders stay in force until then.
void TargetFeed::onStoreRestored()
{
    this->metrics.count("jaytrack_store_returns_total");
    this->directory.forgetDataCentreRevisions();
    this->rewriteDeadline = this->clock.now() + restoreTime;
    this->startGrace();
    this->watchForLapses();
}

// The copy may hold entries of targets that have left by the removal of their entry, and that go on
// serving what they have.
void TargetFeed::watchForLapses()
{
    this->mayListRemoved = true;
    this->lapseTimer.expires_after(lapsePeriod);
    this->lapseTimer.async_wait([this](const asio::error_code &failure) {
        if (failure)
            return;
        this->mayListRemoved = false;
        this->directory.releaseWithheld();
    });
}

// If other instances read the store after this instance lost it, the store was available but
// rejected this instance, so no entries have expired.
void TargetFeed::onStoreRegained(Duration)
{
    const bool wasOutage = this->isOutage();
    this->lost = false;
    if (wasOutage)
        this->startGrace();
    this->startOverdueGrace();
}

void TargetFeed::updateFreshness(TimePoint asOf, bool old)
{
    this->confirmedAsOf = asOf;
    const bool before = this->tooOld;
    // Before the first listing there are no entries that could have expired.
    this->tooOld = old && this->loaded;
    if (before && !this->tooOld)
        this->startGrace();
    this->startOverdueGrace();
}

void TargetFeed::startGrace()
{
    this->graceRunning = true;
    this->graceOverdue = false;
    this->graceTimer.expires_after(restoreTime);
    this->graceTimer.async_wait([this](const asio::error_code &failure) {
        if (!failure)
            this->endGrace();
    });
}

// During another outage nothing tells which of the missing targets are gone.
void TargetFeed::endGrace()
{
    this->graceRunning = false;
    this->graceOverdue = this->isOutage();
    if (!this->graceOverdue)
        this->directory.dropMissing();
}

void TargetFeed::startOverdueGrace()
{
    if (this->graceOverdue && !this->graceRunning && !this->isOutage())
        this->startGrace();
}

void StoreFeeds::onListing(const std::vector<StoreItem> &items, TimePoint asOf)
{
    this->configuration.onListing(items, asOf);
    this->targets.onListing(items, asOf);
}

void StoreFeeds::onChanges(const std::vector<StoreItem> &items, TimePoint asOf)
{
    this->configuration.onChanges(items, asOf);
    this->targets.onChanges(items, asOf);
}

void StoreFeeds::onSharedChanges(const std::vector<StoreItem> &items, bool afterOutage)
{
    this->configuration.onSharedChanges(items, afterOutage);
    this->targets.onSharedChanges(items, afterOutage);
}

void StoreFeeds::onStoreLost(std::string_view reason)
{
    this->configuration.onStoreLost(reason);
    this->targets.onStoreLost(reason);
}

void StoreFeeds::onStoreRestored()
{
    this->configuration.onStoreRestored();
    this->targets.onStoreRestored();
}

void StoreFeeds::onStoreRegained(Duration away)
{
    this->configuration.onStoreRegained(away);
    this->targets.onStoreRegained(away);
}

} // namespace jaytrack
