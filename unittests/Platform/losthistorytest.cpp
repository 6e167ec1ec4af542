// Fleets whose store loses its history: watches from before it are refused, and the store has to be
// listed again.
#include "platformdialect.h"
#include "platformstandin.h"

#include "jaytrack/Net/socket.h"
#include "jaytrack/Store/storefollower.h"

#include <asio/post.hpp>
#include <criterion/criterion.h>

#include <cmath>
#include <map>
#include <memory>
#include <vector>

using namespace jaytrack;
using namespace jaytrack::testing;
using namespace std::chrono_literals;

namespace {

constexpr int targetCount = 40;
constexpr std::size_t pageItems = 4;
constexpr std::size_t readers = 3;

std::string targetKey(int index)
{
    return "servers/t" + std::to_string(index);
}

class Fleet;

// One instance: what its follower has told it, and what it passes on to the others.
class Member final : public StoreFollowerListener, public StoreReadListener
{
public:
    explicit Member(Fleet &of)
        : fleet(of)
    {
    }

    void onListing(const std::vector<StoreItem> &items, TimePoint) override
    {
        this->values.clear();
        this->apply(items);
    }
    void onChanges(const std::vector<StoreItem> &items, TimePoint) override { this->apply(items); }
    void onSharedChanges(const std::vector<StoreItem> &items, bool) override { this->apply(items); }
    std::vector<std::string> storedKeys() const override
    {
        std::vector<std::string> keys;
        for (const auto &[key, value] : this->values)
            keys.push_back(key);
        return keys;
    }
    void onStoreLost(std::string_view) override {}
    void onStoreRegained(Duration) override {}
    void onStoreRestored() override {}
    void onStoreRead(std::uint64_t from, std::uint64_t to,
                     const std::vector<StoreItem> &items) override;

    std::map<std::string, std::string> values;
    std::shared_ptr<StoreFollower> follower;
    bool reads = false;

private:
    void apply(const std::vector<StoreItem> &items)
    {
        for (const StoreItem &item : items) {
            if (item.deleted)
                this->values.erase(item.key);
            else
                this->values[item.key] = item.value;
        }
    }

    Fleet &fleet;
};

class Fleet
{
public:
    explicit Fleet(std::size_t size)
    {
        this->store.put("op/config", "1");
        for (int i = 0; i < targetCount; ++i)
            this->store.put(targetKey(i), "ready");
        this->store.limitPages(pageItems);
        StoreFollowerOptions options;
        options.store = parseEndpoint(this->store.address()).value();
        for (std::size_t i = 0; i < size; ++i) {
            auto member = std::make_unique<Member>(*this);
            member->reads = i < readers;
            member->follower = std::make_shared<StoreFollower>(
                    this->loop, this->clock, *this->dialect, options, i, *member, *member);
            member->follower->setInstances(size);
            member->follower->setReceivesUpdates(!member->reads);
            member->follower->start();
            member->follower->setActive(member->reads);
            this->members.push_back(std::move(member));
        }
    }

    // Each instance asks a reader every 0.3 s what it knows.
    void runFor(std::chrono::milliseconds time)
    {
        static constexpr std::chrono::milliseconds tick{100};
        for (auto passed = 0ms; passed < time; passed += tick) {
            this->loop.restart();
            this->loop.run_for(tick);
            ++this->ticks;
            for (std::size_t i = 0; i < this->members.size(); ++i) {
                Member &member = *this->members[i];
                if (!member.reads && (this->ticks + i) % 3 == 0)
                    member.follower->catchUp(this->members[i % readers]->follower->knownRevision());
                member.follower->tick();
            }
        }
    }

    void share(const Member &from, std::uint64_t first, std::uint64_t last,
               const std::vector<StoreItem> &items)
    {
        for (const auto &member : this->members) {
            Member *to = member.get();
            if (to != &from)
                asio::post(this->loop, [to, first, last, items] {
                    to->follower->applyShared(first, last, items, false);
                });
        }
    }

    std::size_t upToDate(const std::map<std::string, std::string> &expected) const
    {
        return static_cast<std::size_t>(
                std::count_if(this->members.begin(), this->members.end(),
                              [&](const auto &member) { return member->values == expected; }));
    }

    StoreStandin store;

private:
    asio::io_context loop; // outlives the followers and their calls
    SystemClock clock;
    std::unique_ptr<Dialect> dialect = makePlatformDialect();
    std::size_t ticks = 0;

public:
    std::vector<std::unique_ptr<Member>> members;
};

void Member::onStoreRead(std::uint64_t from, std::uint64_t to, const std::vector<StoreItem> &items)
{
    if (this->reads)
        this->fleet.share(*this, from, to, items);
}

// Returns the calls to the store in the seconds after it has lost its history amid changes.
std::size_t callsAfterLoss(std::size_t size)
{
    Fleet fleet(size);
    fleet.runFor(1500ms);
    std::map<std::string, std::string> expected = fleet.members.front()->values;
    cr_assert_eq(fleet.upToDate(expected), size, "%zu of %zu listed", fleet.upToDate(expected),
                 size);
    fleet.store.put(targetKey(3), "draining");
    fleet.store.remove(targetKey(5));
    fleet.store.put("op/config", "2");
    fleet.store.compact();
    expected[targetKey(3)] = "draining";
    expected.erase(targetKey(5));
    expected["op/config"] = "2";
    const std::size_t before = fleet.store.calls();
    fleet.runFor(3000ms);
    cr_assert_eq(fleet.upToDate(expected), size, "%zu instances: %zu know all changes", size,
                 fleet.upToDate(expected));
    return fleet.store.calls() - before;
}

} // namespace

// Guards against each instance listing the whole store for itself after a loss of its history: in a
// large fleet the listings together take longer than the store's answers may, so that none ends and
// no instance learns of a change any more.
Test(lostHistory, callsDoNotGrowWithTheFleet)
{
    const std::size_t small = callsAfterLoss(12);
    const std::size_t large = callsAfterLoss(96);
    const double exponent = std::log(static_cast<double>(large) / static_cast<double>(small)) /
                            std::log(96.0 / 12.0);
    cr_assert_leq(exponent, 0.2, "%zu calls at 12 instances, %zu at 96: exponent %.2f", small,
                  large, exponent);
}
