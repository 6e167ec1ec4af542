#include "jaytrack/Proxy/storesharing.h"

#include "jaytrack/Support/log.h"

namespace jaytrack {

namespace {

// A reader whose questions are answered is never confirmed longer ago than this: a question that
// the store holds for 1.2 s, and a pause of 0.2 s.
constexpr std::chrono::milliseconds confirmedAge{1400};

} // namespace

StoreSharing::StoreSharing(const Clock &time, std::string ownName, ReadDutyOptions given,
                           std::mt19937_64 &source, ConfigurationFeed &confirmed,
                           TargetFeed &listed)
    : clock(time)
    , duty(time, std::move(ownName), given, source)
    , configuration(confirmed)
    , targets(listed)
{
}

void StoreSharing::attach(PeerLink &others, std::shared_ptr<StoreFollower> follows)
{
    this->peers = &others;
    this->follower = std::move(follows);
}

void StoreSharing::onPeersChanged(const std::vector<std::string> &names)
{
    this->duty.setPeers(names);
    if (this->follower == nullptr)
        return;
    this->follower->setTold(!this->duty.isReader());
    this->follower->setInstances(names.size() + 1);
}

void StoreSharing::tick()
{
    if (this->follower == nullptr)
        return;
    this->follower->tick();
    const Duration age = this->configuration.age();
    this->targets.noteKnowledge(this->configuration.confirmedAsOf(), this->duty.showsOutage(age));
    const bool read = this->duty.reads(age);
    if (read != this->reading) {
        this->reading = read;
        logEvent(Severity::Info, read ? "store_reading" : "store_shared",
                 {{"reader", this->duty.isReader() ? 1 : 0},
                  {"age_ms", toMillis(age)},
                  {"revision", static_cast<std::int64_t>(this->follower->knownRevision())}});
        this->follower->setActive(read);
    }
    this->askForFreshness(age);
}

void StoreSharing::askForFreshness(Duration age)
{
    const TimePoint now = this->clock.now();
    // A reader that the store turns away is still told by the others what they read.
    const bool confirmedByItself = this->duty.isReader() && age < confirmedAge;
    if (confirmedByItself || now < this->nextAsk)
        return;
    const std::string asked = this->duty.whomToAsk(age);
    if (asked.empty())
        return;
    this->nextAsk = now + askGap;
    this->peers->askFreshness(asked, now.time_since_epoch().count());
}

void StoreSharing::onStoreRead(std::uint64_t from, std::uint64_t to,
                               const std::vector<StoreItem> &items)
{
    if (this->peers != nullptr && this->duty.passesOn())
        this->peers->shareStore(
                {from, to, items, false, this->targets.inGrace(), this->follower->knownEra()});
}

void StoreSharing::onStoreFromPeer(const SharedChanges &changes)
{
    if (this->follower != nullptr && this->follower->hearEra(changes.era))
        this->follower->applyShared(changes.from, changes.to, changes.items, changes.incomplete,
                                    changes.afterOutage);
}

void StoreSharing::onFreshnessAsked(std::string_view peer, std::int64_t askedAt)
{
    if (this->follower == nullptr || this->follower->knownRevision() == 0)
        return;
    this->peers->answerFreshness(peer, askedAt, this->configuration.age(),
                                 this->follower->knownEra(), this->follower->knownRevision());
}

// The peer knew, when it answered, the state as it was that long ago, and it answered after the
// question was put; so counted from the question the state is at least as new as that, however long
// the answer took.
void StoreSharing::onFreshness(std::string_view peer, std::int64_t askedAt, Duration age,
                               std::uint64_t era, std::uint64_t revision)
{
    this->duty.answered(peer, age);
    const TimePoint asked{Duration(askedAt)};
    if (this->follower == nullptr || asked > this->clock.now() || age < Duration(0))
        return;
    // Revisions of two histories cannot be compared.
    if (!this->follower->hearEra(era))
        return;
    if (revision > this->follower->knownRevision())
        return this->follower->catchUp(revision);
    this->configuration.confirm(asked - age);
}

} // namespace jaytrack
