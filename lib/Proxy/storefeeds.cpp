#include "jaytrack/Proxy/storefeeds.h"

#include "jaytrack/Support/log.h"
#include "jaytrack/Support/metrics.h"

namespace jaytrack {

namespace {

// The platform restores lapsed entries within about two seconds of its return; one that is missing
// after that is gone.
constexpr std::chrono::milliseconds returnGrace{2200};

// Lines about unusable entries in a span of time. A writer gone wrong may leave thousands; the
// first lines show what is the matter, the counter how much of it there is.
constexpr std::size_t mostReportsInSpan = 20;
constexpr std::chrono::seconds reportSpan{10};

} // namespace

void ConfigurationFeed::onListing(const std::vector<StoreItem> &items, TimePoint asOf)
{
    this->onChanges(items, asOf);
}

void ConfigurationFeed::onChanges(const std::vector<StoreItem> &items, TimePoint asOf)
{
    for (const StoreItem &item : items) {
        if (item.key == this->dialect.configurationKey() && !item.deleted && !item.unreadable)
            this->take(item);
    }
    this->confirm(asOf);
}

void ConfigurationFeed::onSharedChanges(const std::vector<StoreItem> &items, bool)
{
    this->onChanges(items, TimePoint());
}

void ConfigurationFeed::take(const StoreItem &item)
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
    const std::uint64_t before = this->inForce ? this->inForce->version : 0;
    // An answer that was read late must not take an instance back behind what it served under.
    if (version < before) {
        logEvent(Severity::Warning, "config_older_ignored",
                 {{"version", static_cast<std::int64_t>(version)},
                  {"in_force", static_cast<std::int64_t>(before)}});
        return;
    }
    if (version == before)
        return;
    this->inForce = std::make_shared<const RoutingTable>(std::move(decoded.value()));
    logEvent(Severity::Info, "config_in_force",
             {{"version", static_cast<std::int64_t>(version)},
              {"before", static_cast<std::int64_t>(before)},
              {"revision", static_cast<std::int64_t>(item.revision)},
              {"routes", static_cast<std::int64_t>(this->inForce->routes.size())},
              {"keys", static_cast<std::int64_t>(this->inForce->holders.size())}});
}

void ConfigurationFeed::confirm(TimePoint asOf)
{
    const bool unsure = asOf >= this->unsureFrom && asOf < this->unsureUntil;
    if (!unsure)
        this->confirmedAt = std::max(this->confirmedAt, asOf);
}

// A key may have been taken away by a change that was acknowledged, is not in the copy, and never
// came here. Until it is written again nothing that the store says confirms that the key holds.
void ConfigurationFeed::onStoreReturned()
{
    this->unsureFrom = this->clock.now();
    this->unsureUntil = this->unsureFrom + returnGrace;
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

TargetFeed::TargetFeed(asio::io_context &loop, const Clock &time, const Dialect &words,
                       Metrics &counted, TargetDirectory &filled)
    : clock(time)
    , dialect(words)
    , metrics(counted)
    , directory(filled)
    , reports(time, mostReportsInSpan, reportSpan)
    , graceTimer(loop)
{
}

std::string TargetFeed::nameOf(std::string_view key) const
{
    return std::string(key.substr(this->dialect.targetsPrefix().size()));
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

// The key alone says it: whatever the record holds, somebody put the data centre out of use.
std::optional<DataCentreRecord> TargetFeed::useOf(const StoreItem &item) const
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
        if (const auto record = this->useOf(item))
            records.push_back(*record);
        if (!this->isTarget(item))
            continue;
        std::optional<TargetEntry> entry = this->decode(item);
        if (entry)
            listing.entries.push_back(std::move(*entry));
        else
            listing.unusable.push_back(this->nameOf(item.key));
    }
    // First what is out of use, so that nothing is asked of the targets there when they are listed.
    this->directory.replaceDataCentres(records, this->clock.now() < this->rewrittenBy);
    this->directory.replaceAll(std::move(listing), this->inGrace());
    this->loaded = true;
}

void TargetFeed::onChanges(const std::vector<StoreItem> &items, TimePoint)
{
    this->apply(items, this->inGrace());
}

// Whoever read them knows whether the store was away; that it turns this instance away says nothing
// of the others' reading. Runs were left at engines that were gone until this was told apart.
void TargetFeed::onSharedChanges(const std::vector<StoreItem> &items, bool afterOutage)
{
    this->apply(items, afterOutage);
    if (afterOutage && !this->graceRunning)
        this->startGrace();
}

void TargetFeed::apply(const std::vector<StoreItem> &items, bool keepMissing)
{
    for (const StoreItem &item : items) {
        if (const auto record = this->useOf(item))
            this->directory.noteDataCentre(*record);
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

void TargetFeed::onStoreLost(std::string_view)
{
    this->lost = true;
    this->lostAt = this->clock.now();
}

// Targets that wrote themselves after the copy was made are not in it, and do so again. So do the
// operators, whose orders hold until then.
void TargetFeed::onStoreReturned()
{
    this->metrics.count("jaytrack_store_returns_total");
    this->directory.forgetDataCentreRevisions();
    this->rewrittenBy = this->clock.now() + returnGrace;
    this->startGrace();
}

// If others read the store after this instance lost it, it was not away but turned this instance
// away, and nothing has lapsed.
void TargetFeed::onStoreRegained(Duration)
{
    this->lost = false;
    if (this->tooOld || this->confirmedAsOf <= this->lostAt)
        this->startGrace();
}

void TargetFeed::noteKnowledge(TimePoint asOf, bool old)
{
    this->confirmedAsOf = asOf;
    const bool before = this->tooOld;
    // Before the first listing there is nothing that might have lapsed.
    this->tooOld = old && this->loaded;
    if (before && !this->tooOld)
        this->startGrace();
}

void TargetFeed::startGrace()
{
    this->graceRunning = true;
    this->graceTimer.expires_after(returnGrace);
    this->graceTimer.async_wait([this](const asio::error_code &failure) {
        if (failure)
            return;
        this->graceRunning = false;
        if (!this->tooOld && !this->lost)
            this->directory.dropMissing();
    });
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

void StoreFeeds::onStoreReturned()
{
    this->configuration.onStoreReturned();
    this->targets.onStoreReturned();
}

void StoreFeeds::onStoreRegained(Duration away)
{
    this->configuration.onStoreRegained(away);
    this->targets.onStoreRegained(away);
}

} // namespace jaytrack
