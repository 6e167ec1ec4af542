// Targets that end soon after they began a deadly request, with all that they work on.
#ifndef JAYTRACK_TESTS_FRAGILETARGETS_H
#define JAYTRACK_TESTS_FRAGILETARGETS_H

#include "entryfixture.h"

#include <functional>
#include <memory>
#include <vector>

namespace jaytrack::testing {

// Targets of one service that the store lists from the start.
class FragileTargets
{
public:
    using IsDeadly = std::function<bool(const SeenRequest &request)>;

    FragileTargets(std::size_t count, IsDeadly isDeadly);

    void listAt(EntryFixture &entry) const;
    std::size_t dead() const;

    // How often deadly requests reached a target.
    std::size_t deadlySends() const;

private:
    Answer answer(const SeenRequest &request) const;

    IsDeadly deadly;
    std::vector<std::unique_ptr<ScriptedServer>> targets;
};

} // namespace jaytrack::testing

#endif
