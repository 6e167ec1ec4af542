// A site of two instances, of which one has lost its links to all targets.
#ifndef JAYTRACK_TESTS_CUTSITE_H
#define JAYTRACK_TESTS_CUTSITE_H

#include "entryfixture.h"
#include "unreachableport.h"

#include <map>
#include <memory>

namespace jaytrack::testing {

// Instances know each other after this.
inline constexpr std::chrono::milliseconds acquaintance{1500};

// A member whose store holds these targets before it starts. What is written later would also reach
// it from the other member, whose store has other addresses under the same revisions.
FixtureOptions memberWith(const std::string &name, const std::string &own, const std::string &other,
                          const std::map<std::string, std::string> &addresses);

// Two instances before two targets; the first one's links to the targets lead nowhere. Each has a
// store of its own, with the addresses that its links lead to.
struct CutSite
{
    CutSite(const RouteSpec &route, const ScriptedServer::Script &script, LinkLoss loss);

    std::size_t runs() const { return workSeen(this->near) + workSeen(this->far); }

    // Whether a target was asked for its load, which only the second instance can do.
    bool isLinked() const { return !this->near.seen().empty() || !this->far.seen().empty(); }

    ScriptedServer near;
    ScriptedServer far;
    UnreachablePort deadNear;
    UnreachablePort deadFar;
    std::unique_ptr<EntryFixture> cut;
    std::unique_ptr<EntryFixture> sound;

private:
    void startInstances(const RouteSpec &route);
};

} // namespace jaytrack::testing

#endif
