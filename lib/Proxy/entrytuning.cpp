#include "jaytrack/Proxy/entrytuning.h"

namespace jaytrack {

namespace {

constexpr IntegerRange countRange{1, 1000};
constexpr IntegerRange pauseRange{0, 60'000};

void readCount(TomlTable &table, std::string_view key, std::size_t &value)
{
    value = static_cast<std::size_t>(
            table.integer(key, countRange, static_cast<std::int64_t>(value)));
}

void readPart(TomlTable &table, std::string_view key, double &value)
{
    value = table.number(key, 0, 1, value);
}

template <typename Span>
void readPause(TomlTable &table, std::string_view key, Span &value)
{
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
    value = std::chrono::milliseconds(table.integer(key, pauseRange, millis));
}

void readEngines(TomlTable &table, EngineChoiceOptions &options)
{
    static constexpr double mostWeight = 1000;
    readCount(table, "candidates", options.candidates);
    readPart(table, "new_run_share", options.newRunShare);
    readPart(table, "urgent_share", options.urgentShare);
    options.delayWeight = table.number("weight_of_delay", 0, mostWeight, options.delayWeight);
    options.evacuationDelayWeight =
            table.number("refuge_weight_of_delay", 0, mostWeight, options.evacuationDelayWeight);
    options.urgentKeepsEvacuationReserve =
            table.flag("urgent_leaves_refuge", options.urgentKeepsEvacuationReserve);
    readPart(table, "refuge_blur", options.evacuationCostJitter);
    readPart(table, "distant_handicap", options.remotePenalty);
    readPart(table, "distant_copy_handicap", options.remoteCopyPenalty);
    readPart(table, "most_refuge_share", options.maxEvacuationReserve);
    readPause(table, "refuge_time_ms", options.evacuationTime);
    readCount(table, "failures_to_avoid", options.failuresToAvoid);
    readPause(table, "avoid_ms", options.avoidFor);
}

void readStreams(TomlTable &table, StreamOptions &options)
{
    readPart(table, "part_of_objective_to_wait", options.partOfObjectiveToWait);
    readPart(table, "part_of_objective_to_return", options.partOfObjectiveToReturn);
    readPart(table, "usable_part_of_objective", options.usablePartOfObjective);
    readPause(table, "first_copy_pause_ms", options.mostFirstPause);
}

} // namespace

EntryTuning readEntryTuning(TomlTable &table)
{
    EntryTuning tuning;
    readEngines(table, tuning.engines);
    readStreams(table, tuning.streams);
    readCount(table, "store_readers", tuning.sharing.readers);
    readPause(table, "store_gap_ms", tuning.storeGap);
    readPause(table, "probe_gap_ms", tuning.probeGap);
    table.finish();
    return tuning;
}

} // namespace jaytrack
