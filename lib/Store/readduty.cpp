#include "jaytrack/Store/readduty.h"

#include "jaytrack/Support/digest.h"

#include <algorithm>

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
    this->peers.assign(others.begin(), others.end());
    this->lastFreshReader.clear();
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    ranked.emplace_back(placementHash("reader/" + this->name), this->name);
    for (const std::string &peer : others)
        ranked.emplace_back(placementHash("reader/" + peer), peer);
    std::sort(ranked.rbegin(), ranked.rend());
    ranked.resize(std::min(ranked.size(), this->options.readers));
    this->reader = false;
    this->readers.clear();
    for (auto &[rank, who] : ranked) {
        if (who == this->name)
            this->reader = true;
        else
            this->readers.push_back(std::move(who));
    }
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
    else if (age > this->options.maxAge && now >= this->readUntil && this->drawsToRead())
        this->readUntil = this->chosenUntil = now + this->options.minReadTime;
    return now < this->readUntil;
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

void ReadDuty::answered(std::string_view peer, Duration age)
{
    this->answeredAt = this->clock.now();
    const bool isReader =
            std::find(this->readers.begin(), this->readers.end(), peer) != this->readers.end();
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

} // namespace jaytrack
