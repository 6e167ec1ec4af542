#include "jaytrack/Store/readduty.h"

#include "jaytrack/Support/digest.h"

#include <algorithm>
#include <utility>

namespace jaytrack {

ReadDuty::ReadDuty(const Clock &time, std::string ownName, ReadDutyOptions dutyOptions,
                   std::mt19937_64 &source)
    : clock(time)
    , name(std::move(ownName))
    , options(dutyOptions)
    , random(source)
    , startedAt(time.now())
    , answeredAt(time.now())
{
}

// Every instance ranks all instances by the same hash (rendezvous hashing), so instances with the
// same membership view agree on the readers.
void ReadDuty::setPeers(std::span<const std::string> others)
{
    const bool wasReader = this->reader && !this->awaitsPeers();
    const std::vector<std::string> before = std::exchange(this->readers, {});
    this->peers.assign(others.begin(), others.end());
    this->lastFreshReader.clear();
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    ranked.emplace_back(placementHash("reader/" + this->name), this->name);
    for (const std::string &peer : others)
        ranked.emplace_back(placementHash("reader/" + peer), peer);
    std::sort(ranked.rbegin(), ranked.rend());
    ranked.resize(std::min(ranked.size(), this->options.readers));
    this->reader = false;
    for (auto &[rank, who] : ranked) {
        if (who == this->name)
            this->reader = true;
        else
            this->readers.push_back(std::move(who));
    }
    if (this->readers != before)
        this->unansweredSince.reset();
    // A former reader keeps reading until the new readers have had time to send it updates.
    if (wasReader && !this->reader)
        this->readUntil = this->clock.now() + this->options.handoverTime;
}

bool ReadDuty::reads(Duration age)
{
    const TimePoint now = this->clock.now();
    if (this->awaitsPeers())
        return false;
    if (this->reader)
        this->readUntil = now + this->options.minReadTime;
    else if (this->mayReadersBeLost(age) && now >= this->readUntil && this->drawsToRead())
        this->readUntil = this->chosenUntil = now + this->options.minReadTime;
    return now < this->readUntil;
}

bool ReadDuty::mayReadersBeLost(Duration age) const
{
    return age > this->options.maxAge || this->readersAreSilent();
}

bool ReadDuty::readersAreSilent() const
{
    return this->unansweredSince &&
           this->clock.now() - *this->unansweredSince >
                   this->fractionOfBound(this->options.readerSilenceFraction);
}

void ReadDuty::resumed()
{
    this->unansweredSince.reset();
}

bool ReadDuty::awaitsPeers() const
{
    return this->peers.empty() &&
           this->clock.now() - this->startedAt < this->options.peerDiscoveryTime;
}

bool ReadDuty::drawsToRead()
{
    const TimePoint now = this->clock.now();
    if (now - this->answeredAt > this->options.peerAnswerTimeout)
        return true;
    if (now < this->nextDraw)
        return false;
    this->nextDraw = now + this->options.minReadTime;
    const std::size_t fleet = this->peers.size() + 1;
    return std::uniform_int_distribution<std::size_t>(1, fleet)(this->random) <=
           this->options.readersWhenStale;
}

bool ReadDuty::isReaderName(std::string_view peer) const
{
    return std::find(this->readers.begin(), this->readers.end(), peer) != this->readers.end();
}

void ReadDuty::queried(std::string_view peer)
{
    if (!this->unansweredSince && this->isReaderName(peer))
        this->unansweredSince = this->clock.now();
}

// A reader whose data is older than that does not reach the store.
void ReadDuty::answered(std::string_view peer, Duration age)
{
    this->answeredAt = this->clock.now();
    const bool isReader = this->isReaderName(peer);
    if (isReader && age <= this->options.maxAge)
        this->unansweredSince.reset();
    if (isReader && !this->isOld(age))
        this->lastFreshReader = peer;
    else if (this->lastFreshReader == peer)
        this->lastFreshReader.clear();
}

bool ReadDuty::isOld(Duration age) const
{
    return age > this->options.maxAge / 2;
}

std::string ReadDuty::choosePeerToQuery(Duration age)
{
    const bool old = this->isOld(age);
    if (!old && !this->lastFreshReader.empty())
        return this->lastFreshReader;
    this->queryAnyPeer = old && !this->queryAnyPeer;
    const std::vector<std::string> &among = this->queryAnyPeer ? this->peers : this->readers;
    return among.empty() ? std::string() : among[this->random() % among.size()];
}

// The arbitrary peer tells that this instance is not cut off, and may know one that has taken over.
// Silent readers may be alive, and busy with the queries of a whole fleet.
std::vector<std::string> ReadDuty::choosePeersToQuery(Duration age)
{
    std::vector<std::string> chosen;
    if (this->unansweredSince) {
        chosen = this->readers;
        if (this->readersAreSilent())
            chosen = {this->readers[this->random() % this->readers.size()]};
        chosen.push_back(this->peers[this->random() % this->peers.size()]);
        return chosen;
    }
    std::string one = this->choosePeerToQuery(age);
    if (!one.empty())
        chosen.push_back(std::move(one));
    return chosen;
}

} // namespace jaytrack
