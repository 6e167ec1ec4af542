#include "jaytrack/Proxy/readduty.h"

#include "jaytrack/Support/digest.h"

#include <algorithm>

namespace jaytrack {

ReadDuty::ReadDuty(const Clock &time, std::string ownName, ReadDutyOptions given,
                   std::mt19937_64 &source)
    : clock(time)
    , name(std::move(ownName))
    , options(given)
    , random(source)
    , startedAt(time.now())
    , answeredAt(time.now())
{
}

// Every instance ranks all by the same hash, so those that agree on who is there agree on who
// reads.
void ReadDuty::setPeers(std::span<const std::string> others)
{
    const bool wasReader = this->reader && !this->awaitsPeers();
    this->peers.assign(others.begin(), others.end());
    this->lastGood.clear();
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
    // Whoever reads goes on until the others have had time to tell it.
    if (wasReader && !this->reader)
        this->readUntil = this->clock.now() + this->options.handOverTime;
}

bool ReadDuty::reads(Duration age)
{
    const TimePoint now = this->clock.now();
    if (this->awaitsPeers())
        return false;
    if (this->reader)
        this->readUntil = now + this->options.readAtLeast;
    else if (age > this->options.mostAge && now >= this->readUntil && this->isDrawn())
        this->readUntil = this->drawnUntil = now + this->options.readAtLeast;
    return now < this->readUntil;
}

bool ReadDuty::awaitsPeers() const
{
    return this->peers.empty() && this->clock.now() - this->startedAt < this->options.aloneAfter;
}

bool ReadDuty::isDrawn()
{
    const TimePoint now = this->clock.now();
    if (now - this->answeredAt > this->options.unansweredTime)
        return true;
    if (now < this->nextDraw)
        return false;
    this->nextDraw = now + this->options.readAtLeast;
    const std::size_t fleet = this->peers.size() + 1;
    return std::uniform_int_distribution<std::size_t>(1, fleet)(this->random) <=
           this->options.readersInTrouble;
}

void ReadDuty::answered(std::string_view peer, Duration age)
{
    this->answeredAt = this->clock.now();
    const bool isReader =
            std::find(this->readers.begin(), this->readers.end(), peer) != this->readers.end();
    if (isReader && !this->isOld(age))
        this->lastGood = peer;
    else if (this->lastGood == peer)
        this->lastGood.clear();
}

bool ReadDuty::isOld(Duration age) const
{
    return age > this->options.mostAge / 2;
}

std::string ReadDuty::whomToAsk(Duration age)
{
    const bool old = this->isOld(age);
    if (!old && !this->lastGood.empty())
        return this->lastGood;
    this->askAnybody = old && !this->askAnybody;
    const std::vector<std::string> &among = this->askAnybody ? this->peers : this->readers;
    return among.empty() ? std::string() : among[this->random() % among.size()];
}

} // namespace jaytrack
