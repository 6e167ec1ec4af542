// What an instance believes of configuration and targets, fed from the store.
#ifndef JAYTRACK_PROXY_STOREFEEDS_H
#define JAYTRACK_PROXY_STOREFEEDS_H

#include "jaytrack/Proxy/storefollower.h"
#include "jaytrack/Routing/targetdirectory.h"
#include "jaytrack/Support/logallowance.h"

#include <algorithm>
#include <memory>
#include <optional>

namespace jaytrack {

class Metrics;

// The configuration in force and how lately it was confirmed.
class ConfigurationFeed final : public StoreFollowerListener
{
public:
    ConfigurationFeed(const Clock &time, const Dialect &words)
        : clock(time)
        , dialect(words)
    {
    }

    void onListing(const std::vector<StoreItem> &items, TimePoint asOf) override;
    void onChanges(const std::vector<StoreItem> &items, TimePoint asOf) override;
    void onSharedChanges(const std::vector<StoreItem> &items, bool afterOutage) override;
    void onStoreLost(std::string_view reason) override;
    void onStoreRegained(Duration away) override;
    void onStoreReturned() override;

    // The table in force was the newest at this moment.
    void confirm(TimePoint asOf);

    // Null while none is known.
    std::shared_ptr<const RoutingTable> table() const { return this->inForce; }

    TimePoint confirmedAsOf() const { return this->confirmedAt; }

    // Since the moment for which the table is known to have been the newest.
    Duration age() const { return this->clock.now() - this->confirmedAt; }

private:
    void take(const StoreItem &item);

    const Clock &clock;
    const Dialect &dialect;
    std::shared_ptr<const RoutingTable> inForce;
    TimePoint confirmedAt;
    TimePoint unsureFrom; // until then the store may lack a newer table that it had acknowledged
    TimePoint unsureUntil;
};

// The platform's list of targets, and which data centres are out of use.
class TargetFeed final : public StoreFollowerListener
{
public:
    TargetFeed(asio::io_context &loop, const Clock &time, const Dialect &words, Metrics &counted,
               TargetDirectory &filled);

    void onListing(const std::vector<StoreItem> &items, TimePoint asOf) override;
    void onChanges(const std::vector<StoreItem> &items, TimePoint asOf) override;
    void onSharedChanges(const std::vector<StoreItem> &items, bool afterOutage) override;
    void onStoreLost(std::string_view reason) override;
    void onStoreRegained(Duration away) override;
    void onStoreReturned() override;

    // As of when this instance's knowledge was last confirmed, by itself or by another instance,
    // and whether that is too long ago. Then the store counts as away: an instance that others tell
    // asks nothing of it and would take entries that lapsed during an outage for gone.
    void noteKnowledge(TimePoint confirmedAsOf, bool tooOld);

    // While targets whose entries lapsed during an outage are still coming back.
    bool inGrace() const { return this->tooOld || this->graceRunning; }

    bool isLoaded() const { return this->loaded; }

private:
    void startGrace();
    void apply(const std::vector<StoreItem> &items, bool keepMissing);
    bool isTarget(const StoreItem &item) const;

    // What an item says of the use of a data centre; nothing if it is about something else.
    std::optional<DataCentreRecord> useOf(const StoreItem &item) const;
    std::string nameOf(std::string_view key) const;

    // The target that an item names; nothing, after a line in the log, if it names none.
    std::optional<TargetEntry> decode(const StoreItem &item);
    void reportUnusable(std::string_view key, std::string_view detail);

    const Clock &clock;
    const Dialect &dialect;
    Metrics &metrics;
    TargetDirectory &directory;
    LogAllowance reports; // of unusable entries
    asio::steady_timer graceTimer;
    bool loaded = false;
    bool lost = false; // by this instance's own calls
    TimePoint lostAt;
    TimePoint confirmedAsOf;
    bool tooOld = false;
    bool graceRunning = false;
    TimePoint rewrittenBy; // when what the store's older copy lacked will have been written again
};

// Hands what one follower of the whole store reads to both feeds. One question that waits for
// either kind of change costs half the calls, and each change of a target confirms the
// configuration too.
class StoreFeeds final : public StoreFollowerListener
{
public:
    StoreFeeds(ConfigurationFeed &first, TargetFeed &second)
        : configuration(first)
        , targets(second)
    {
    }

    void onListing(const std::vector<StoreItem> &items, TimePoint asOf) override;
    void onChanges(const std::vector<StoreItem> &items, TimePoint asOf) override;
    void onSharedChanges(const std::vector<StoreItem> &items, bool afterOutage) override;
    void onStoreLost(std::string_view reason) override;
    void onStoreRegained(Duration away) override;
    void onStoreReturned() override;

private:
    ConfigurationFeed &configuration;
    TargetFeed &targets;
};

} // namespace jaytrack

#endif
