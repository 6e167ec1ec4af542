// The figures by which an entry instance decides, as one set: each policy's own options, and the
// table of the settings in which an operator may change them. The defaults are meant to stand; the
// table is there to measure what a mechanism is worth by switching it off.
#ifndef JAYTRACK_PROXY_ENTRYTUNING_H
#define JAYTRACK_PROXY_ENTRYTUNING_H

#include "jaytrack/Proxy/readduty.h"
#include "jaytrack/Routing/enginechoice.h"
#include "jaytrack/Support/tomlreader.h"

#include <chrono>

namespace jaytrack {

// How a generation waits, is refused and moves.
struct StreamOptions
{
    // A generation waits for room for this part of its objective before its caller is refused.
    // Told that early, the caller can still come back in time for the whole objective.
    double partOfObjectiveToWait = 0.06;

    // A caller that met full engines is told to come back within this part of its objective, drawn
    // at random, so that the herd spreads and its answer is still worth having.
    double partOfObjectiveToReturn = 0.25;

    // Of the time until the first token is late, this part may be planned for; the rest is for what
    // the forecast does not know.
    double usablePartOfObjective = 0.6;

    // Copies on notice begin within this time: long enough for notices between instances (2 ms
    // each) to keep sixty of them apart, short against the second and a half that a departure
    // leaves.
    std::chrono::milliseconds mostFirstPause{100};
};

struct EntryTuning
{
    EngineChoiceOptions engines;
    ReadDutyOptions sharing;
    StreamOptions streams;

    // After an answer with changes a reader of the store pauses. Changes come some times a second,
    // and readers that have not just been answered bring the next one without delay; with a pause
    // of 50 ms the readers of 73 instances made 10 calls a second each.
    std::chrono::milliseconds storeGap{400};

    // How often each engine is asked for its load. A question has a price at the engine; its answer
    // is half a second old when it comes, so asking much more often tells little more.
    std::chrono::milliseconds probeGap{700};
};

// Reads the table, in which every key may be left out, adding every fault to the table's problems.
EntryTuning readEntryTuning(TomlTable &table);

} // namespace jaytrack

#endif
