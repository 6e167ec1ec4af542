#include "jaytrack/Routing/relaypeers.h"

#include <algorithm>
#include <utility>

namespace jaytrack {

namespace {

// Time for which an instance that could not help is left out. It doubles with each failure in a
// row.
constexpr Duration firstAbsence = std::chrono::milliseconds(500);
constexpr int maxDoublings = 3;

// For this long an instance that reached a target counts as one that has links.
constexpr Duration servedMemory = std::chrono::seconds(1);

} // namespace

RelayPeers::RelayPeers(const Clock &time, std::string ownDataCentre, std::uint64_t seed)
    : clock(time)
    , home(std::move(ownDataCentre))
    , random(seed)
{
}

void RelayPeers::setPeers(std::vector<RelayPeer> others)
{
    const auto middle =
            std::stable_partition(others.begin(), others.end(), [this](const RelayPeer &peer) {
                return peer.dataCentre == this->home;
            });
    this->far.assign(std::make_move_iterator(middle), std::make_move_iterator(others.end()));
    others.erase(middle, others.end());
    this->near = std::move(others);
}

bool RelayPeers::isLeftOut(const RelayPeer &peer) const
{
    const auto found = this->experiences.find(peer.name);
    return found != this->experiences.end() && this->clock.now() < found->second.leftOutUntil;
}

// Starts at a random instance and takes the first one that may be used.
const RelayPeer *RelayPeers::chooseAmong(const std::vector<RelayPeer> &group,
                                         const std::set<std::string> &tried,
                                         const DataCentreFilter &allows)
{
    if (group.empty())
        return nullptr;
    const std::size_t first = this->random() % group.size();
    for (std::size_t i = 0; i < group.size(); ++i) {
        const RelayPeer &peer = group[(first + i) % group.size()];
        const bool isAllowed = !allows || allows(peer.dataCentre);
        if (isAllowed && tried.count(peer.name) == 0 && !this->isLeftOut(peer))
            return &peer;
    }
    return nullptr;
}

const RelayPeer *RelayPeers::choose(const std::set<std::string> &tried,
                                    const DataCentreFilter &allows)
{
    const RelayPeer *chosen = this->chooseAmong(this->near, tried, allows);
    return chosen != nullptr ? chosen : this->chooseAmong(this->far, tried, allows);
}

void RelayPeers::recordServed(std::string_view name)
{
    Experience &seen = this->experiences.try_emplace(std::string(name)).first->second;
    seen.servedAt = this->clock.now();
    seen.failuresInRow = 0;
}

bool RelayPeers::recordMissed(std::string_view name)
{
    const auto found = this->experiences.find(name);
    const bool hasServed = found != this->experiences.end() && found->second.servedAt &&
                           this->clock.now() - *found->second.servedAt < servedMemory;
    if (!hasServed)
        this->recordUnable(name);
    return hasServed;
}

void RelayPeers::recordUnable(std::string_view name)
{
    Experience &seen = this->experiences.try_emplace(std::string(name)).first->second;
    const int doublings = std::min(seen.failuresInRow, maxDoublings);
    seen.servedAt.reset();
    seen.leftOutUntil = this->clock.now() + firstAbsence * (1 << doublings);
    ++seen.failuresInRow;
}

} // namespace jaytrack
