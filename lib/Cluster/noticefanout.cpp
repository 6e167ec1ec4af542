#include "jaytrack/Cluster/noticefanout.h"

#include "jaytrack/Support/digest.h"

#include <algorithm>

namespace jaytrack {

void NoticeFanout::setPeers(std::span<const Member> others)
{
    this->near.clear();
    this->distant.clear();
    this->nearHashes.clear();
    this->distantHashes.clear();
    for (const Member &member : others) {
        const HashedName hashed{placementHash(member.name), member.name};
        if (member.dataCentre == this->dataCentre) {
            this->near.push_back(member.name);
            this->nearHashes.push_back(hashed);
        } else {
            this->distant[member.dataCentre].push_back(member.name);
            this->distantHashes[member.dataCentre].push_back(hashed);
        }
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

// The offset is drawn for each notice, so that an instance that is slow or gone is the root of a
// large part of the tree only for a few notices.
std::vector<SpreadTarget> NoticeFanout::spread(std::mt19937_64 &random) const
{
    SpreadRange everyone;
    everyone.offset = random();
    std::vector<SpreadTarget> targets = split(this->nearHashes, everyone, {}, maxSpreadTargets);
    for (const auto &[where, names] : this->distantHashes) {
        const std::size_t roots = names.size() >= minInstancesForRelay ? 1 : names.size();
        const std::vector<SpreadTarget> there = split(names, everyone, {}, roots);
        targets.insert(targets.end(), there.begin(), there.end());
    }
    return targets;
}

std::vector<SpreadTarget> NoticeFanout::passOn(const SpreadRange &range,
                                               std::string_view origin) const
{
    return split(this->nearHashes, range, origin, maxSpreadTargets);
}

// Divides the instances in the range into consecutive groups. The first of each group passes the
// notice on to those behind it, so that ranges shrink with each hop and no instance gets it twice.
std::vector<SpreadTarget> NoticeFanout::split(const HashedNames &among, const SpreadRange &range,
                                              std::string_view origin, std::size_t maxTargets)
{
    std::vector<std::pair<std::uint64_t, const std::string *>> members;
    for (const HashedName &one : among) {
        const std::uint64_t position = one.hash - range.offset;
        if (position >= range.first && position <= range.last && one.name != origin)
            members.emplace_back(position, &one.name);
    }
    std::sort(members.begin(), members.end());
    const std::size_t groups = std::min(maxTargets, members.size());
    std::vector<SpreadTarget> targets;
    targets.reserve(groups);
    for (std::size_t group = 0; group < groups; ++group) {
        const std::size_t begin = group * members.size() / groups;
        const std::size_t end = (group + 1) * members.size() / groups;
        const auto &[position, name] = members[begin];
        SpreadRange behind{range.offset, position + 1, range.last};
        if (group + 1 < groups)
            behind.last = members[end].first - 1;
        const bool isEmpty = position == std::numeric_limits<std::uint64_t>::max();
        targets.push_back({*name, isEmpty ? std::nullopt : std::optional(behind)});
    }
    return targets;
}

} // namespace jaytrack
