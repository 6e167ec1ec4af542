// Exchange of full member tables, by which a member that has started or missed updates learns of
// all others at once.
#include "jaytrack/Cluster/membership.h"

#include "jaytrack/Support/digest.h"

#include "memberrecord.h"

#include <algorithm>

namespace jaytrack {

namespace {

// Part of what may still be sent in a second that one request gets at most. With larger parts, the
// first requests of a simultaneous start take all, while little is known yet.
constexpr std::size_t tableShareDivisor = 12;

// Of this many requests for tables, one goes to a suggested address. All others go to random
// members, over which the load spreads.
constexpr std::size_t requestsPerSuggestion = 3;

} // namespace

// Returns an order-independent digest of the members that are up.
std::int64_t Membership::tableDigest() const
{
    const auto digest = [](const Member &member) {
        return placementHash(member.name + "/" + std::to_string(member.incarnation));
    };
    std::uint64_t all = digest(this->ownMember);
    for (const auto &[name, known] : this->others) {
        if (known.member.isUp())
            all ^= digest(known.member);
    }
    return static_cast<std::int64_t>(all);
}

// Sends a table request to a suggested address now and then, and to random members otherwise. When
// all instances start together, the suggested ones learn of all members first, but they may be
// down.
void Membership::requestTable()
{
    const std::vector<const Member *> peers = this->randomPeers(1, "");
    const bool isSuggestionDue = this->tableRequests++ % requestsPerSuggestion == 0;
    const bool suggested = !this->suggestions.empty() && (peers.empty() || isSuggestionDue);
    if (!suggested && peers.empty())
        return;
    const std::string address =
            suggested ? this->suggestions[this->random() % this->suggestions.size()]
                      : peers.front()->peerAddress;
    wire::PeerMessage message =
            this->makeMessage(wire::PeerKind::TableAsk, this->nextSequence++, nullptr);
    message.tableDigest = this->tableDigest();
    this->sendMessage(address, message);
}

// Returns the members that a table for this requester contains.
std::vector<const Member *> Membership::tableFor(std::string_view requester) const
{
    std::vector<const Member *> listed;
    for (const auto &[name, known] : this->others) {
        // The requester needs its own record only if it has to refute it.
        const bool needless = name == requester && known.member.state == MemberState::Live;
        if (known.member.isUp() && !needless)
            listed.push_back(&known.member);
    }
    return listed;
}

// Returns how many of the wanted table messages may be sent now. No request takes more than a part
// of what is left of this second.
std::size_t Membership::takeTables(std::size_t wanted)
{
    const TimePoint now = this->clock.now();
    if (now - this->tableSpanStart >= std::chrono::seconds(1)) {
        this->tableSpanStart = now;
        this->tablesLeft = this->options.tablesPerSecond;
    }
    const std::size_t most = std::max<std::size_t>(1, this->tablesLeft / tableShareDivisor);
    const std::size_t taken = std::min({wanted, this->tablesLeft, most});
    this->tablesLeft -= taken;
    return taken;
}

void Membership::onTableRequest(std::string_view from, const wire::PeerMessage &message)
{
    wire::PeerMessage part;
    part.kind = wire::PeerKind::Table;
    part.sender = toRecord(this->ownMember);
    part.tableDigest = this->tableDigest();
    if (message.tableDigest == part.tableDigest)
        return this->sendMessage(from, part);
    std::vector<const Member *> listed = this->tableFor(message.sender.name);
    const std::size_t perTable = this->options.recordsPerTable;
    const std::size_t wanted = (listed.size() + perTable - 1) / perTable;
    const std::size_t tables = this->takeTables(wanted);
    // Requesters that get different parts complete each other's.
    if (tables < wanted)
        std::shuffle(listed.begin(), listed.end(), this->random);
    listed.resize(std::min(listed.size(), tables * perTable));
    for (const Member *member : listed) {
        part.records.push_back(toRecord(*member));
        if (part.records.size() < perTable)
            continue;
        this->sendMessage(from, part);
        part.records.clear();
    }
    if (!part.records.empty())
        this->sendMessage(from, part);
}

// An empty table means that its sender has the same members. An announcement has no digest.
void Membership::onTable(const wire::PeerMessage &message)
{
    if (message.tableDigest != 0 && message.records.empty())
        this->tableConfirmed = true;
}

bool Membership::isStarting() const
{
    return this->clock.now() - this->startedAt < this->options.startupPeriod;
}

// Sends a limited number of announcements per tick, so that a start in a large fleet does not
// saturate the link.
void Membership::announceToNewMembers()
{
    const std::size_t count =
            std::min(this->unannounced.size(), this->options.announcementsPerTick);
    wire::PeerMessage announcement;
    announcement.kind = wire::PeerKind::Table;
    announcement.sender = toRecord(this->ownMember);
    for (std::size_t i = 0; i < count; ++i) {
        const Member *member = this->find(this->unannounced[i]);
        if (member != nullptr && member->isUp())
            this->sendMessage(member->peerAddress, announcement);
    }
    this->unannounced.erase(this->unannounced.begin(),
                            this->unannounced.begin() + static_cast<std::ptrdiff_t>(count));
}

} // namespace jaytrack
