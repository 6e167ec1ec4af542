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

void readFraction(TomlTable &table, std::string_view key, double &value)
{
    value = table.number(key, 0, 1, value);
}

template <typename Span>
void readDuration(TomlTable &table, std::string_view key, Span &value)
{
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
    value = std::chrono::milliseconds(table.integer(key, pauseRange, millis));
}

void readEngines(TomlTable &table, EngineChoiceOptions &options)
{
    static constexpr double maxWeight = 1000;
    readCount(table, "candidates", options.candidates);
    readFraction(table, "new_run_share", options.newRunShare);
    readFraction(table, "urgent_share", options.urgentShare);
    options.delayWeight = table.number("weight_of_delay", 0, maxWeight, options.delayWeight);
    options.runTimeWeight = table.number("weight_of_run_time", 0, maxWeight, options.runTimeWeight);
    options.pauseRiskWeight =
            table.number("weight_of_pause_risk", 0, maxWeight, options.pauseRiskWeight);
    options.evacuationDelayWeight =
            table.number("refuge_weight_of_delay", 0, maxWeight, options.evacuationDelayWeight);
    options.urgentKeepsEvacuationReserve =
            table.flag("urgent_leaves_refuge", options.urgentKeepsEvacuationReserve);
    readFraction(table, "refuge_blur", options.evacuationCostJitter);
    readFraction(table, "distant_handicap", options.remotePenalty);
    readFraction(table, "distant_copy_handicap", options.remoteCopyPenalty);
    readFraction(table, "most_refuge_share", options.reserve.maxShare);
    readFraction(table, "evacuation_share", options.evacuationShare);
    options.reserve.expectsDepartures =
            table.flag("expects_departures", options.reserve.expectsDepartures);
    readDuration(table, "refuge_time_ms", options.reserve.evacuationTime);
    readCount(table, "failures_to_avoid", options.failuresToAvoid);
    readDuration(table, "avoid_ms", options.avoidFor);
}

void readStreams(TomlTable &table, StreamOptions &options)
{
    readFraction(table, "part_of_objective_to_wait", options.maxWaitFraction);
    readFraction(table, "part_of_objective_to_return", options.maxRetryDelayFraction);
    readFraction(table, "usable_part_of_objective", options.usableObjectiveFraction);
    readDuration(table, "first_copy_pause_ms", options.maxFirstCopyDelay);
}

} // namespace

EntryTuning readEntryTuning(TomlTable &table)
{
    EntryTuning tuning;
    readEngines(table, tuning.engines);
    readStreams(table, tuning.streams);
    readCount(table, "store_readers", tuning.sharing.readers);
    readDuration(table, "store_gap_ms", tuning.storeReadInterval);
    readDuration(table, "probe_gap_ms", tuning.probeInterval);
    table.finish();
    return tuning;
}

} // namespace jaytrack
