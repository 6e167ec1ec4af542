#include "jaytrack/Proxy/storesharing.h"

#include "jaytrack/Support/digest.h"
#include "jaytrack/Support/log.h"

#include <algorithm>

namespace jaytrack {

StoreSharing::StoreSharing(const Clock &time, std::string ownName, StoreSharingOptions given,
                           std::mt19937_64 &source, ConfigurationFeed &confirmed)
    : clock(time)
    , name(std::move(ownName))
    , options(given)
    , random(source)
    , configuration(confirmed)
{
}

void StoreSharing::attach(PeerLink &others, std::shared_ptr<StoreFollower> follows)
{
    this->peers = &others;
    this->follower = std::move(follows);
}

// Every instance ranks all by the same hash, so those that agree on who is there agree on who
// reads.
void StoreSharing::onPeersChanged(const std::vector<std::string> &names)
{
    std::vector<std::string> ranked = names;
    ranked.push_back(this->name);
    std::sort(ranked.begin(), ranked.end(), [](const std::string &left, const std::string &right) {
        return placementHash("reader/" + left) > placementHash("reader/" + right);
    });
    ranked.resize(std::min(ranked.size(), this->options.readers));
    const bool wasReader = this->reader;
    this->reader = std::find(ranked.begin(), ranked.end(), this->name) != ranked.end();
    // Before it knows its peers an instance reads for itself; then others do.
    if (wasReader && !this->reader)
        this->readUntil = this->clock.now() + this->options.handOverTime;
    if (this->follower != nullptr)
        this->follower->setTold(!this->reader);
    std::erase(ranked, this->name);
    this->readers = std::move(ranked);
}

void StoreSharing::tick()
{
    if (this->follower == nullptr)
        return;
    this->follower->tick();
    const TimePoint now = this->clock.now();
    const Duration age = this->configuration.age();
    if (this->reader || age > this->options.mostAge)
        this->readUntil = now + this->options.readAtLeast;
    const bool read = now < this->readUntil;
    if (read != this->reading) {
        this->reading = read;
        logEvent(Severity::Info, read ? "store_reading" : "store_shared",
                 {{"reader", this->reader ? 1 : 0},
                  {"age_ms", std::chrono::duration_cast<std::chrono::milliseconds>(age).count()},
                  {"revision", static_cast<std::int64_t>(this->follower->knownRevision())}});
        this->follower->setActive(read);
    }
    // A reader that the store turns away is still told by the others what they read.
    const bool confirmedByItself = this->reader && age < this->options.mostAge / 2;
    if (confirmedByItself || this->readers.empty() || now < this->nextAsk)
        return;
    this->nextAsk = now + askGap;
    const std::string &asked = this->readers[this->random() % this->readers.size()];
    this->peers->askFreshness(asked, now.time_since_epoch().count());
}

void StoreSharing::onStoreRead(std::uint64_t from, std::uint64_t to,
                               const std::vector<StoreItem> &items)
{
    if (this->peers != nullptr && this->reader)
        this->peers->shareStore({from, to, items, false});
}

void StoreSharing::onStoreFromPeer(const SharedChanges &changes)
{
    if (this->follower != nullptr)
        this->follower->applyShared(changes.from, changes.to, changes.items, changes.incomplete);
}

void StoreSharing::onFreshnessAsked(std::string_view peer, std::int64_t askedAt)
{
    if (this->follower == nullptr || this->follower->knownRevision() == 0)
        return;
    this->peers->answerFreshness(peer, askedAt, this->configuration.age(),
                                 this->follower->knownRevision());
}

// The peer knew, when it answered, the state as it was that long ago, and it answered after the
// question was put; so counted from the question the state is at least as new as that, however long
// the answer took.
void StoreSharing::onFreshness(std::int64_t askedAt, Duration age, std::uint64_t revision)
{
    const TimePoint asked{Duration(askedAt)};
    if (this->follower == nullptr || asked > this->clock.now() || age < Duration(0))
        return;
    if (revision > this->follower->knownRevision())
        return this->follower->catchUp(revision);
    this->configuration.confirm(asked - age);
}

} // namespace jaytrack
