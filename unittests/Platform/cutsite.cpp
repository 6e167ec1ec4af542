#include "cutsite.h"

#include <criterion/criterion.h>

namespace jaytrack::testing {

namespace {

constexpr int startTries = 5;

} // namespace

FixtureOptions memberWith(const std::string &name, const std::string &own, const std::string &other,
                          const std::map<std::string, std::string> &addresses)
{
    FixtureOptions options = memberOf(name, own, other);
    for (const auto &[id, address] : addresses)
        options.items["servers/" + id] = targetJson(address);
    return options;
}

CutSite::CutSite(const RouteSpec &route, const ScriptedServer::Script &script, LinkLoss loss)
    : near(script)
    , far(script)
    , deadNear(loss)
    , deadFar(loss)
{
    for (int i = 0; i < startTries && !this->isLinked(); ++i)
        this->startInstances(route);
    cr_assert(this->isLinked(), "no instance has read the store with the targets' addresses");
}

// An instance that is held up while it reads its store takes the content of the other one's store
// for its own, with the links of that one.
void CutSite::startInstances(const RouteSpec &route)
{
    this->sound.reset();
    this->cut.reset();
    const std::string first = freeDatagramAddress();
    const std::string second = freeDatagramAddress();
    this->cut = std::make_unique<EntryFixture>(
            std::vector<RouteSpec>{route},
            memberWith("cut", first, second,
                       {{"i-near", this->deadNear.address()}, {"i-far", this->deadFar.address()}}));
    this->sound = std::make_unique<EntryFixture>(
            std::vector<RouteSpec>{route},
            memberWith("sound", second, first,
                       {{"i-near", this->near.address()}, {"i-far", this->far.address()}}));
    cr_assert(this->cut->becomesReady() && this->sound->becomesReady());
    std::this_thread::sleep_for(acquaintance);
}

} // namespace jaytrack::testing
