// Engines and load reports shared by the placement tests.
#ifndef JAYTRACK_UNITTESTS_ROUTING_ENGINES_H
#define JAYTRACK_UNITTESTS_ROUTING_ENGINES_H

#include "jaytrack/Routing/enginechoice.h"

#include <string>
#include <vector>

namespace jaytrack::testing {

inline std::vector<TargetEntry> makeEngines(int count, int perDataCentre)
{
    std::vector<TargetEntry> engines;
    for (int i = 0; i < count; ++i) {
        TargetEntry entry;
        entry.id = "e" + std::to_string(i);
        entry.dataCentre = "dc" + std::to_string(i / perDataCentre);
        engines.push_back(entry);
    }
    return engines;
}

inline std::vector<const TargetEntry *> pointers(const std::vector<TargetEntry> &engines)
{
    std::vector<const TargetEntry *> list;
    for (const TargetEntry &entry : engines)
        list.push_back(&entry);
    return list;
}

inline EngineLoad loadOf(std::uint32_t tokens)
{
    EngineLoad load;
    load.memoryInUse = tokens;
    return load;
}

} // namespace jaytrack::testing

#endif
