// The tuning parameters of an entry instance: the options of each policy, and the settings table
// with which an operator may change them. The defaults are intended for production; the table
// exists to measure the benefit of a mechanism by switching it off.
#ifndef JAYTRACK_PROXY_ENTRYTUNING_H
#define JAYTRACK_PROXY_ENTRYTUNING_H

#include "jaytrack/Routing/enginechoice.h"
#include "jaytrack/Store/readduty.h"
#include "jaytrack/Support/tomlreader.h"

#include <chrono>

namespace jaytrack {

// Options for how a generation waits for capacity, is refused and moves between engines.
struct StreamOptions
{
    // Fraction of its objective for which a generation waits for engine capacity before it is
    // refused. A caller refused this early can still retry within the objective.
    double maxWaitFraction = 0.06;

    // A caller that met full engines is told to retry after a random delay of at most this fraction
    // of its objective, so that retries spread out and the answer is still useful.
    double maxRetryDelayFraction = 0.25;

    // Fraction of the time remaining until the first token is late that may be planned for. The
    // rest allows for errors of the forecast.
    double usableObjectiveFraction = 0.6;

    // Maximum random delay before a run is copied away from an engine that announces its shutdown.
    // It is long enough for notices between instances (2 ms each) to keep sixty copies apart, and
    // short compared with the 1.5 s that a shutdown leaves.
    std::chrono::milliseconds maxFirstCopyDelay{100};
};

struct EntryTuning
{
    EngineChoiceOptions engines;
    ReadDutyOptions sharing;
    StreamOptions streams;

    // Pause of a store reader after an answer with changes. There are several changes a second, and
    // readers that have not just been answered deliver the next one without delay. With a pause of
    // 50 ms the readers of 73 instances made 10 calls a second each.
    std::chrono::milliseconds storeReadInterval{400};

    // Interval between load probes of an engine. A probe costs the engine work, and its answer is
    // half a second old when it arrives, so probing much more often gives little more information.
    std::chrono::milliseconds probeInterval{700};
};

// Reads the table, in which every key is optional, and adds each error to the table's problems.
EntryTuning readEntryTuning(TomlTable &table);

} // namespace jaytrack

#endif
