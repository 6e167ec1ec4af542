#ifndef JAYTRACK_UNITTESTS_MEMBERSHIPFIXTURE_H
#define JAYTRACK_UNITTESTS_MEMBERSHIPFIXTURE_H

#include "jaytrack/Cluster/membership.h"
#include "jaytrack/Support/keyring.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

using namespace jaytrack;

// Members connected by links that can be cut. Datagrams arrive in the next step.
class MembershipFixture
{
public:
    struct Peer final : PeerTransport, MembershipListener
    {
        Peer(MembershipFixture &owner, const std::string &name, const std::string &address,
             std::int64_t incarnation, const KeyRing &keys, std::uint64_t seed = 7)
            : fixture(owner)
            , membership(memberOf(name, address, incarnation), owner.clock, seed, keys, *this,
                         *this)
        {
        }

        static Member memberOf(const std::string &name, const std::string &address,
                               std::int64_t incarnation)
        {
            Member member;
            member.name = name;
            member.peerAddress = address;
            member.callerAddress = address;
            member.incarnation = incarnation;
            return member;
        }

        void send(std::string_view address, std::string datagram) override
        {
            this->fixture.wire.push_back({this->membership.self().peerAddress, std::string(address),
                                          std::move(datagram)});
        }

        void onMembersChanged() override { ++this->changeCalls; }
        void onPeerRevision(const Member &, std::uint64_t revision, Duration, TimePoint) override
        {
            this->latestRevision = std::max(this->latestRevision, revision);
        }
        void onPolicyMessage(std::string_view, std::string_view) override {}

        MembershipFixture &fixture;
        std::uint64_t latestRevision = 0;
        int changeCalls = 0;
        bool stopped = false;
        Membership membership;
    };

    MembershipFixture() { this->clock.advance(std::chrono::hours(1)); }

    Peer &add(const std::string &name, const std::string &address, std::int64_t incarnation = 1)
    {
        const std::uint64_t seed = 7 + this->peers.size();
        this->peers.push_back(
                std::make_unique<Peer>(*this, name, address, incarnation, this->keys, seed));
        const std::vector<std::string> seeds = {"a:1", "b:1", "c:1", "d:1"};
        this->peers.back()->membership.suggest(seeds);
        return *this->peers.back();
    }

    void run(std::chrono::milliseconds length)
    {
        for (std::chrono::milliseconds passed{0}; passed < length; passed += step) {
            this->clock.advance(step);
            this->deliver();
            for (const auto &peer : this->peers) {
                if (!peer->stopped)
                    peer->membership.tick();
            }
        }
    }

    void deliver()
    {
        std::deque<Datagram> due;
        due.swap(this->wire);
        for (const Datagram &datagram : due) {
            if (this->cuts.count({datagram.from, datagram.to}) != 0)
                continue;
            // The latest process at an address receives its datagrams.
            for (auto peer = this->peers.rbegin(); peer != this->peers.rend(); ++peer) {
                if ((*peer)->membership.self().peerAddress != datagram.to || (*peer)->stopped)
                    continue;
                (*peer)->membership.receive(datagram.from, datagram.bytes);
                break;
            }
        }
    }

    void cutBothWays(const std::string &left, const std::string &right)
    {
        this->cuts.insert({left, right});
        this->cuts.insert({right, left});
    }

    struct Datagram
    {
        std::string from;
        std::string to;
        std::string bytes;
    };

    static constexpr std::chrono::milliseconds step{50};
    ManualClock clock;
    KeyRing keys{{"0123456789abcdef"}};
    std::vector<std::unique_ptr<Peer>> peers;
    std::deque<Datagram> wire;
    std::set<std::pair<std::string, std::string>> cuts;
};

#endif
