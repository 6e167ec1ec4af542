#include "jaytrack/Cluster/noticefanout.h"

namespace jaytrack {

void NoticeFanout::setPeers(std::span<const Member> others)
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

NoticeFanout::Recipients NoticeFanout::recipients(std::mt19937_64 &random) const
{
    Recipients recipients;
    recipients.direct = this->near;
    for (const auto &[where, names] : this->distant) {
        if (names.size() >= minInstancesForRelay)
            recipients.relays.push_back(names[random() % names.size()]);
        else
            recipients.direct.insert(recipients.direct.end(), names.begin(), names.end());
    }
    return recipients;
}

} // namespace jaytrack
