// Applies what is read from the store to the configuration and the target directory of an instance.
#ifndef JAYTRACK_STORE_STOREFEEDS_H
#define JAYTRACK_STORE_STOREFEEDS_H

#include "jaytrack/Routing/targetdirectory.h"
#include "jaytrack/Store/storefollower.h"
#include "jaytrack/Store/storesnapshot.h"
#include "jaytrack/Support/logallowance.h"

#include <algorithm>
#include <memory>
#include <optional>

namespace jaytrack {

class Metrics;

// Holds the configuration in force and the time as of which it was last confirmed.
class ConfigurationFeed final : public StoreFollowerListener
{
public:
    // The age of a table that has never been confirmed.
    static constexpr Duration unknownAge = std::chrono::hours(24);

    ConfigurationFeed(const Clock &time, const Dialect &platform)
        : clock(time)
        , dialect(platform)
    {
    }

    void onListing(const std::vector<StoreItem> &items, TimePoint asOf) override;
    void onChanges(const std::vector<StoreItem> &items, TimePoint asOf) override;
    void onSharedChanges(const std::vector<StoreItem> &items, bool afterOutage) override;
    void onStoreLost(std::string_view reason) override;
    void onStoreRegained(Duration away) override;
    void onStoreRestored() override;
    void onStoreMaybeRestored() override;
    bool isConfirmed() const override { return this->confirmedAt.has_value(); }

    // Applies the configuration that another instance held, and was the newest at asOf.
    void onSnapshot(const StoreSnapshot &snapshot, TimePoint asOf);

    // Returns the item of the table in force as the store holds it; null while there is none.
    const StoreItem *item() const { return this->activeTable ? &this->activeItem : nullptr; }

    // Records that the store held the table in force at asOf.
    void confirm(TimePoint asOf);

    // Records that another instance knew the table in force for the newest at asOf, unless its own
    // was never confirmed. It may have seen more of the store's past than this one.
    void confirmByPeer(TimePoint asOf);

    // Returns the table in force; null while there is none.
    std::shared_ptr<const RoutingTable> table() const { return this->activeTable; }

    TimePoint confirmedAsOf() const { return this->clock.now() - this->age(); }

    // Time since the moment at which the table is known to have been the newest.
    Duration age() const
    {
        return this->confirmedAt ? this->clock.now() - *this->confirmedAt : unknownAge;
    }

    // Time since the moment as of which the store was read, before the first confirmation; age()
    // after it.
    Duration timeSinceRead() const;

    // Time since the store is known to have been available. Less than age() after it was restored
    // from an older copy, when it is available but confirms nothing yet.
    Duration timeSinceContact() const;

private:
    void applyItem(const StoreItem &item);
    void applyConfiguration(const std::vector<StoreItem> &changed);

    const Clock &clock;
    const Dialect &dialect;
    std::shared_ptr<const RoutingTable> activeTable;
    StoreItem activeItem;
    std::optional<TimePoint> confirmedAt;
    std::optional<TimePoint> readAt;
    // Between these times the store may lack a newer table that it had acknowledged.
    TimePoint uncertainFrom;
    TimePoint uncertainUntil;
};

// Maintains the target directory, including which data centres are out of use.
class TargetFeed final : public StoreFollowerListener
{
public:
    TargetFeed(asio::io_context &loop, const Clock &time, const Dialect &platform,
               Metrics &counters, TargetDirectory &targetDirectory);

    void onListing(const std::vector<StoreItem> &items, TimePoint asOf) override;
    void onChanges(const std::vector<StoreItem> &items, TimePoint asOf) override;
    void onSharedChanges(const std::vector<StoreItem> &items, bool afterOutage) override;
    void onStoreLost(std::string_view reason) override;
    void onStoreRegained(Duration away) override;
    void onStoreRestored() override;
    void onNamelessItems(std::size_t count) override;
    void onListingStuck() override;
    std::vector<std::string> storedKeys() const override;

    // Applies the targets that another instance held.
    void onSnapshot(const StoreSnapshot &snapshot);

    // Adds all that this instance holds.
    void addTo(StoreSnapshot &snapshot) const;

    // Returns the changes for other instances, without the values that none of them reads: of
    // entries that name no target, the key alone suspends the name.
    std::vector<StoreItem> withoutUnreadValues(const std::vector<StoreItem> &changes) const;

    // Records the time as of which the data was last confirmed, by this or another instance, and
    // whether that is too long ago. If so, the store is considered unavailable. An instance that
    // gets its updates from others makes no calls that would show this, and would remove entries
    // that only expired during an outage.
    void updateFreshness(TimePoint confirmedAsOf, bool tooOld);

    // Whether targets whose entries expired during an outage may still be restored.
    bool inGrace() const { return this->tooOld || this->graceRunning; }

    bool isLoaded() const { return this->loaded; }

private:
    bool isValueRead(const StoreItem &item) const;
    void startGrace();
    void endGrace();
    void startOverdueGrace();
    void watchForLapses();

    // Whether the store is unavailable to all instances, rather than to this one.
    bool isOutage() const
    {
        return this->tooOld || (this->lost && this->confirmedAsOf <= this->lostAt);
    }

    void apply(const std::vector<StoreItem> &items, bool keepMissing);
    void applyListing(TargetListing listing, std::span<const DataCentreRecord> records);
    bool isTarget(const StoreItem &item) const;

    // Decodes a data-centre-out-of-use record; empty if the item is something else.
    std::optional<DataCentreRecord> decodeOutOfUse(const StoreItem &item) const;
    std::string nameOf(std::string_view key) const;

    // Decodes a target entry; logs the error and returns nothing if the entry is unusable.
    std::optional<TargetEntry> decode(const StoreItem &item);
    void reportUnusable(std::string_view key, std::string_view detail);

    const Clock &clock;
    const Dialect &dialect;
    Metrics &metrics;
    TargetDirectory &directory;
    LogAllowance reports; // rate limit of log lines about unusable entries
    asio::steady_timer graceTimer;
    asio::steady_timer lapseTimer;
    bool loaded = false;
    bool lost = false; // according to this instance's own calls
    TimePoint lostAt;
    TimePoint confirmedAsOf;
    bool tooOld = false;
    bool graceRunning = false;
    bool graceOverdue = false;   // the last grace period ended during the next outage
    bool mayListRemoved = false; // the store was restored, and entries of targets that are gone may
                                 // not have lapsed yet
    TimePoint rewriteDeadline; // time by which entries missing from a restored older copy have been
                               // rewritten
};

// Forwards what one follower of the whole store reads to both feeds. A single watch for both kinds
// of change costs half the calls, and each change of a target also confirms the configuration.
class StoreFeeds final : public StoreFollowerListener
{
public:
    StoreFeeds(ConfigurationFeed &configurationFeed, TargetFeed &targetFeed)
        : configuration(configurationFeed)
        , targets(targetFeed)
    {
    }

    void onListing(const std::vector<StoreItem> &items, TimePoint asOf) override;
    void onChanges(const std::vector<StoreItem> &items, TimePoint asOf) override;
    void onSharedChanges(const std::vector<StoreItem> &items, bool afterOutage) override;
    void onStoreLost(std::string_view reason) override;
    void onStoreRegained(Duration away) override;
    void onStoreRestored() override;
    void onStoreMaybeRestored() override { this->configuration.onStoreMaybeRestored(); }
    bool isConfirmed() const override { return this->configuration.isConfirmed(); }
    void onNamelessItems(std::size_t count) override { this->targets.onNamelessItems(count); }
    void onListingStuck() override { this->targets.onListingStuck(); }
    std::vector<std::string> storedKeys() const override { return this->targets.storedKeys(); }

private:
    ConfigurationFeed &configuration;
    TargetFeed &targets;
};

} // namespace jaytrack

#endif
