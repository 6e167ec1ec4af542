#include "jaytrack/Store/storesharing.h"

#include "jaytrack/Support/log.h"

namespace jaytrack {

namespace {

// Maximum age of the data of a reader whose queries are answered: the store holds a query for up to
// 1.2 s, plus a pause of 0.2 s.
constexpr std::chrono::milliseconds maxReaderAge{1400};

// A longer time between two ticks, which come every 0.1 s, shows that this process was paused.
constexpr std::chrono::milliseconds maxTickGap{500};

// Data that was confirmed this much earlier than that of another instance may lack changes. Between
// instances in contact with each other the difference is smaller.
constexpr Duration maxLag = ReadDutyOptions().maxAge;

} // namespace

StoreSharing::StoreSharing(const Clock &time, std::string ownName, ReadDutyOptions dutyOptions,
                           std::mt19937_64 &source, ConfigurationFeed &configurationFeed,
                           TargetFeed &targetFeed, StoreTransport &storeTransport)
    : clock(time)
    , duty(time, std::move(ownName), dutyOptions, source)
    , turn(time, {}, source)
    , configuration(configurationFeed)
    , targets(targetFeed)
    , transport(storeTransport)
    , neededSince(time.now())
    , snapshots(time)
    , pauses(time, maxTickGap)
{
}

void StoreSharing::attach(std::shared_ptr<StoreFollower> storeFollower)
{
    this->follower = std::move(storeFollower);
    this->follower->setAwaitsSnapshot(true);
}

void StoreSharing::onPeersChanged(const std::vector<std::string> &names)
{
    this->duty.setPeers(names);
    this->turn.setPeers(names.size(), this->duty.isReader());
    this->peerCount = names.size();
    if (this->follower == nullptr)
        return;
    this->follower->setReceivesUpdates(!this->duty.isReader());
    this->follower->setInstances(names.size() + 1);
}

void StoreSharing::tick()
{
    if (this->follower == nullptr)
        return;
    this->noticePause();
    this->follower->tick();
    this->noticeRestoredStore();
    const Duration age = this->configuration.age();
    this->targets.updateFreshness(this->configuration.confirmedAsOf(),
                                  this->duty.showsOutage(this->timeWithoutContact()));
    const bool read = this->shouldRead(this->configuration.timeSinceRead());
    if (read != this->reading) {
        this->reading = read;
        logEvent(Severity::Info, read ? "store_reading" : "store_shared",
                 {{"reader", this->duty.isReader() ? 1 : 0},
                  {"age_ms", toMillis(age)},
                  {"revision", static_cast<std::int64_t>(this->follower->knownRevision())}});
        this->follower->setActive(read);
    }
    if (this->follower->hasListed())
        this->queryFreshness(age);
    else
        this->searchSnapshot();
    this->snapshots.dropIfUnused();
}

void StoreSharing::noticePause()
{
    const Duration paused = this->pauses.tick();
    if (paused == Duration(0))
        return;
    this->duty.resumed();
    logEvent(Severity::Warning, "process_paused",
             {{"paused_ms", toMillis(paused)}, {"age_ms", toMillis(this->configuration.age())}});
}

// Returns how long this process has run without contact to the store. While it was paused, the
// store may have been available to everybody else.
Duration StoreSharing::timeWithoutContact()
{
    const TimePoint contact = this->clock.now() - this->configuration.timeSinceContact();
    return this->pauses.awakeSince(contact);
}

void StoreSharing::noticeRestoredStore()
{
    const bool hasListing = this->follower->hasListed();
    if (this->hadListing && !hasListing) {
        this->turn.restart();
        this->loggedCause = ListingCause::None;
        this->neededSince = this->clock.now();
    }
    this->hadListing = hasListing;
}

bool StoreSharing::shouldRead(Duration age)
{
    if (this->follower->hasListed())
        return this->duty.reads(age);
    const ListingCause cause = this->turn.cause();
    this->logListingCause(cause);
    return cause != ListingCause::None;
}

void StoreSharing::logListingCause(ListingCause cause)
{
    if (cause == this->loggedCause || cause == ListingCause::None)
        return;
    this->loggedCause = cause;
    logEvent(Severity::Info, "store_listing",
             {{"cause", toString(cause)},
              {"peers", static_cast<std::int64_t>(this->peerCount)},
              {"waited_ms", toMillis(this->clock.now() - this->neededSince)}});
}

// Asks others at random, so that the questions spread over all that hold something, and their
// number grows with each that is answered.
void StoreSharing::searchSnapshot()
{
    const TimePoint now = this->clock.now();
    if (this->snapshotRequest || now < this->nextQuery)
        return;
    const std::string queriedPeer = this->transport.randomInstance();
    if (queriedPeer.empty())
        return;
    this->nextQuery = now + searchInterval;
    this->turn.asked();
    this->transport.sendFreshnessQuery(queriedPeer, now.time_since_epoch().count());
}

void StoreSharing::requestSnapshot(std::string_view peer, bool replacesListing)
{
    if (this->snapshotRequest)
        return;
    this->snapshotRequest = SnapshotRequest{this->clock.now(), replacesListing};
    this->transport.requestSnapshot(peer);
}

// Returns why a snapshot is not taken; empty if it is.
std::string_view StoreSharing::reasonToIgnore(const std::optional<StoreSnapshot> &snapshot,
                                              const SnapshotRequest &request)
{
    if (!snapshot)
        return "not_given";
    if (!this->follower->updateEra(snapshot->era))
        return "older_era";
    if (this->follower->hasListed())
        return request.replacesListing ? "" : "listed_meanwhile";
    return this->follower->holdsNewer(snapshot->revision) ? "older_revision" : "";
}

void StoreSharing::onSnapshot(const std::optional<StoreSnapshot> &snapshot)
{
    const auto request = std::exchange(this->snapshotRequest, std::nullopt);
    if (!request)
        return;
    const std::string_view reason = this->reasonToIgnore(snapshot, *request);
    if (!reason.empty()) {
        logEvent(Severity::Info, "store_not_received",
                 {{"reason", reason},
                  {"waited_ms", toMillis(this->clock.now() - this->neededSince)}});
        return;
    }
    this->configuration.onSnapshot(*snapshot, request->at - snapshot->age);
    if (!this->configuration.table())
        return;
    logEvent(Severity::Info, "store_received",
             {{"targets", static_cast<std::int64_t>(snapshot->targets.entries.size())},
              {"revision", static_cast<std::int64_t>(snapshot->revision)},
              {"age_ms", toMillis(snapshot->age)},
              {"took_ms", toMillis(this->clock.now() - request->at)},
              {"replaces_listing", this->follower->hasListed() ? 1 : 0},
              {"waited_ms", toMillis(this->clock.now() - this->neededSince)}});
    this->adopt(*snapshot);
}

void StoreSharing::adopt(const StoreSnapshot &snapshot)
{
    this->targets.onSnapshot(snapshot);
    if (this->follower->hasListed())
        this->follower->replaceListing(snapshot.era, snapshot.revision);
    else
        this->follower->adoptSnapshot(snapshot.era, snapshot.revision);
}

std::optional<PackedSnapshot> StoreSharing::packedSnapshot()
{
    const bool holdsStore = this->follower != nullptr && this->follower->knownRevision() > 0;
    if (!holdsStore || this->configuration.item() == nullptr)
        return std::nullopt;
    const HeldState held = {this->follower->knownEra(), this->follower->knownRevision(),
                            this->configuration.confirmedAsOf()};
    return this->snapshots.get(held, [this] { return this->makeSnapshot(); });
}

StoreSnapshot StoreSharing::makeSnapshot() const
{
    StoreSnapshot snapshot;
    snapshot.era = this->follower->knownEra();
    snapshot.revision = this->follower->knownRevision();
    snapshot.configuration = *this->configuration.item();
    this->targets.addTo(snapshot);
    return snapshot;
}

void StoreSharing::queryFreshness(Duration age)
{
    const TimePoint now = this->clock.now();
    // A reader that the store rejects still receives what the others read.
    const bool isConfirmedByStore = this->duty.isReader() && age < maxReaderAge;
    if (isConfirmedByStore || now < this->nextQuery)
        return;
    const std::vector<std::string> queriedPeers = this->duty.choosePeersToQuery(age);
    if (queriedPeers.empty())
        return;
    this->nextQuery = now + this->duty.queryInterval();
    for (const std::string &peer : queriedPeers) {
        this->duty.queried(peer);
        this->transport.sendFreshnessQuery(peer, now.time_since_epoch().count());
    }
}

void StoreSharing::onStoreRead(std::uint64_t from, std::uint64_t to,
                               const std::vector<StoreItem> &items)
{
    if (this->follower != nullptr && this->duty.sharesReads())
        this->transport.shareStoreChanges({from, to, this->targets.withoutUnreadValues(items),
                                           false, this->targets.inGrace(),
                                           this->follower->knownEra()});
}

void StoreSharing::onStoreFromPeer(const SharedChanges &changes)
{
    if (this->follower != nullptr && this->follower->updateEra(changes.era))
        this->follower->applyShared(changes.from, changes.to, changes.items, changes.incomplete,
                                    changes.afterOutage);
}

void StoreSharing::onFreshnessQuery(std::string_view peer, std::int64_t requestedAt)
{
    if (this->follower == nullptr)
        return;
    this->transport.sendFreshnessAnswer(peer, requestedAt, this->freshness());
}

// An answer without data still shows the other instance that it is not alone.
StoreFreshness StoreSharing::freshness() const
{
    StoreFreshness own;
    own.era = this->follower->knownEra();
    own.revision = this->follower->knownRevision();
    own.age = own.revision > 0 ? this->configuration.age() : ConfigurationFeed::unknownAge;
    own.sinceRestore = this->sinceRestore();
    return own;
}

// Returns how long ago the store was restored, as this or another instance has seen; nothing once
// all that it had lost is written again or has lapsed.
std::optional<Duration> StoreSharing::sinceRestore() const
{
    std::optional<TimePoint> latest = this->restoredAt;
    const std::optional<TimePoint> seen = this->follower->restoredAt();
    if (!latest || (seen && *seen > *latest))
        latest = seen;
    if (!latest || this->clock.now() - *latest >= lapsePeriod)
        return std::nullopt;
    return this->clock.now() - *latest;
}

void StoreSharing::noteRestore(const StoreFreshness &reported)
{
    if (!reported.sinceRestore)
        return;
    const TimePoint at = this->clock.now() - *reported.sinceRestore;
    if (!this->restoredAt || *this->restoredAt < at)
        this->restoredAt = at;
}

// Whether another instance, whose data was confirmed at the given time, may know changes that the
// store has lost by a restore and this instance has never seen. Revisions do not show that. It may
// if its data was confirmed before the restore, when this instance was not up or cut off.
bool StoreSharing::lacksChangesOf(const StoreFreshness &other, TimePoint asOf) const
{
    return other.sinceRestore && other.age > *other.sinceRestore &&
           asOf - this->configuration.confirmedAsOf() > maxLag;
}

// The peer answered after the query was sent, and its data had the reported age at that time.
// Subtracting the age from the send time of the query therefore gives a safe lower bound for the
// time as of which the data is confirmed, however long the answer took.
void StoreSharing::onFreshnessAnswer(std::string_view peer, std::int64_t requestedAt,
                                     const StoreFreshness &freshness)
{
    this->duty.answered(peer, freshness.age);
    this->turn.answered();
    const TimePoint sentAt{Duration(requestedAt)};
    // This instance has sent no query at such a time.
    const bool isForged = requestedAt < 0 || sentAt > this->clock.now();
    if (this->follower == nullptr || isForged || freshness.age < Duration(0))
        return;
    this->noteRestore(freshness);
    // Revisions of different store histories cannot be compared.
    if (freshness.revision == 0 || !this->follower->updateEra(freshness.era))
        return;
    if (!this->follower->hasListed()) {
        if (!this->follower->holdsNewer(freshness.revision))
            this->requestSnapshot(peer, false);
        return;
    }
    const TimePoint asOf = sentAt - freshness.age;
    if (this->lacksChangesOf(freshness, asOf))
        return this->requestSnapshot(peer, true);
    if (freshness.revision > this->follower->knownRevision())
        return this->follower->catchUp(freshness.revision);
    this->configuration.confirmByPeer(asOf);
}

} // namespace jaytrack
