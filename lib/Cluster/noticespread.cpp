#include "jaytrack/Cluster/noticespread.h"

namespace jaytrack {

void NoticeSpread::setPeers(std::span<const Member> others)
{
    this->near.clear();
    this->distant.clear();
    for (const Member &member : others) {
        if (member.dataCentre == this->dataCentre)
            this->near.push_back(member.name);
        else
            this->distant[member.dataCentre].push_back(member.name);
    }
}

NoticeSpread::Ways NoticeSpread::ways(std::mt19937_64 &random) const
{
    Ways ways;
    ways.direct = this->near;
    for (const auto &[where, names] : this->distant) {
        if (names.size() >= minInstancesForRelay)
            ways.relays.push_back(names[random() % names.size()]);
        else
            ways.direct.insert(ways.direct.end(), names.begin(), names.end());
    }
    return ways;
}

} // namespace jaytrack
