#include "jaytrack/Store/storesharing.h"

#include "jaytrack/Support/log.h"

namespace jaytrack {

namespace {

// Maximum age of the data of a reader whose queries are answered: the store holds a query for up to
// 1.2 s, plus a pause of 0.2 s.
constexpr std::chrono::milliseconds maxReaderAge{1400};

} // namespace

StoreSharing::StoreSharing(const Clock &time, std::string ownName, ReadDutyOptions dutyOptions,
                           std::mt19937_64 &source, ConfigurationFeed &configurationFeed,
                           TargetFeed &targetFeed, StoreTransport &storeTransport)
    : clock(time)
    , duty(time, std::move(ownName), dutyOptions, source)
    , configuration(configurationFeed)
    , targets(targetFeed)
    , transport(storeTransport)
{
}

void StoreSharing::attach(std::shared_ptr<StoreFollower> storeFollower)
{
    this->follower = std::move(storeFollower);
}

void StoreSharing::onPeersChanged(const std::vector<std::string> &names)
{
    this->duty.setPeers(names);
    if (this->follower == nullptr)
        return;
    this->follower->setReceivesUpdates(!this->duty.isReader());
    this->follower->setInstances(names.size() + 1);
}

void StoreSharing::tick()
{
    if (this->follower == nullptr)
        return;
    this->follower->tick();
    const Duration age = this->configuration.age();
    this->targets.updateFreshness(this->configuration.confirmedAsOf(), this->duty.showsOutage(age));
    const bool read = this->duty.reads(age);
    if (read != this->reading) {
        this->reading = read;
        logEvent(Severity::Info, read ? "store_reading" : "store_shared",
                 {{"reader", this->duty.isReader() ? 1 : 0},
                  {"age_ms", toMillis(age)},
                  {"revision", static_cast<std::int64_t>(this->follower->knownRevision())}});
        this->follower->setActive(read);
    }
    this->queryFreshness(age);
}

void StoreSharing::queryFreshness(Duration age)
{
    const TimePoint now = this->clock.now();
    // A reader that the store rejects still receives what the others read.
    const bool isConfirmedByStore = this->duty.isReader() && age < maxReaderAge;
    if (isConfirmedByStore || now < this->nextQuery)
        return;
    const std::string queriedPeer = this->duty.choosePeerToQuery(age);
    if (queriedPeer.empty())
        return;
    this->nextQuery = now + queryInterval;
    this->transport.sendFreshnessQuery(queriedPeer, now.time_since_epoch().count());
}

void StoreSharing::onStoreRead(std::uint64_t from, std::uint64_t to,
                               const std::vector<StoreItem> &items)
{
    if (this->follower != nullptr && this->duty.sharesReads())
        this->transport.shareStoreChanges(
                {from, to, items, false, this->targets.inGrace(), this->follower->knownEra()});
}

void StoreSharing::onStoreFromPeer(const SharedChanges &changes)
{
    if (this->follower != nullptr && this->follower->updateEra(changes.era))
        this->follower->applyShared(changes.from, changes.to, changes.items, changes.incomplete,
                                    changes.afterOutage);
}

void StoreSharing::onFreshnessQuery(std::string_view peer, std::int64_t requestedAt)
{
    if (this->follower == nullptr || this->follower->knownRevision() == 0)
        return;
    this->transport.sendFreshnessAnswer(peer, requestedAt, this->configuration.age(),
                                        this->follower->knownEra(),
                                        this->follower->knownRevision());
}

// The peer answered after the query was sent, and its data had the reported age at that time.
// Subtracting the age from the send time of the query therefore gives a safe lower bound for the
// time as of which the data is confirmed, however long the answer took.
void StoreSharing::onFreshnessAnswer(std::string_view peer, std::int64_t requestedAt, Duration age,
                                     std::uint64_t era, std::uint64_t revision)
{
    this->duty.answered(peer, age);
    const TimePoint sentAt{Duration(requestedAt)};
    if (this->follower == nullptr || sentAt > this->clock.now() || age < Duration(0))
        return;
    // Revisions of different store histories cannot be compared.
    if (!this->follower->updateEra(era))
        return;
    if (revision > this->follower->knownRevision())
        return this->follower->catchUp(revision);
    this->configuration.confirm(sentAt - age);
}

} // namespace jaytrack
