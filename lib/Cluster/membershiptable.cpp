// How a member that starts, or missed something, learns of all others at once.
#include "jaytrack/Cluster/membership.h"

#include "jaytrack/Support/digest.h"

#include "memberrecord.h"

#include <algorithm>

namespace jaytrack {

// The members that are up, as one number: the same for all who know the same, in any order.
std::int64_t Membership::tableDigest() const
{
    const auto digest = [](const Member &member) {
        return placementHash(member.name + "/" + std::to_string(member.incarnation));
    };
    std::uint64_t all = digest(this->me);
    for (const auto &[name, known] : this->others) {
        if (known.member.isUp())
            all ^= digest(known.member);
    }
    return static_cast<std::int64_t>(all);
}

// Asks one of the suggested addresses and a random member by turns: those that all start with hear
// of everybody first, and may be down.
void Membership::askForTable()
{
    const std::vector<const Member *> peers = this->randomPeers(1, "");
    const bool suggested = !this->suggestions.empty() && (peers.empty() || this->askSuggestion);
    this->askSuggestion = !suggested;
    if (!suggested && peers.empty())
        return;
    const std::string address =
            suggested ? this->suggestions[this->random() % this->suggestions.size()]
                      : peers.front()->peerAddress;
    wire::PeerMessage message =
            this->makeMessage(wire::PeerKind::TableAsk, this->nextSequence++, nullptr);
    message.tableDigest = this->tableDigest();
    this->post(address, message);
}

void Membership::onTableAsk(std::string_view from, const wire::PeerMessage &message)
{
    wire::PeerMessage part;
    part.kind = wire::PeerKind::Table;
    part.sender = toRecord(this->me);
    part.tableDigest = this->tableDigest();
    if (message.tableDigest == part.tableDigest)
        return this->post(from, part);
    for (const auto &[name, known] : this->others) {
        // The asker learns of itself only what it has to object to.
        const bool needless =
                name == message.sender.name && known.member.state == MemberState::Live;
        if (!known.member.isUp() || needless)
            continue;
        part.records.push_back(toRecord(known.member));
        if (part.records.size() < this->options.recordsPerTable)
            continue;
        this->post(from, part);
        part.records.clear();
    }
    if (!part.records.empty())
        this->post(from, part);
}

// A table without records says that its sender knows the same. A greeting has no digest.
void Membership::onTable(const wire::PeerMessage &message)
{
    if (message.tableDigest != 0 && message.records.empty())
        this->tableAgreed = true;
}

bool Membership::isNewcomer() const
{
    return this->clock.now() - this->startedAt < this->options.newcomerTime;
}

// Some at a time, so that a start in a large fleet does not fill the link at once.
void Membership::greetNewlyKnown()
{
    const std::size_t count = std::min(this->ungreeted.size(), this->options.greetingsPerTick);
    wire::PeerMessage greeting;
    greeting.kind = wire::PeerKind::Table;
    greeting.sender = toRecord(this->me);
    for (std::size_t i = 0; i < count; ++i) {
        const Member *member = this->find(this->ungreeted[i]);
        if (member != nullptr && member->isUp())
            this->post(member->peerAddress, greeting);
    }
    this->ungreeted.erase(this->ungreeted.begin(),
                          this->ungreeted.begin() + static_cast<std::ptrdiff_t>(count));
}

} // namespace jaytrack
