#include "jaytrack/Load/loadplan.h"

namespace jaytrack {

namespace {

constexpr IntegerRange milliRange{1, 3'600'000};
constexpr IntegerRange countRange{1, 10'000'000};
constexpr IntegerRange byteRange{0, 1'000'000};
constexpr double mostPerSecond = 100'000;

GenerationLoad readGeneration(TomlTable &entry)
{
    GenerationLoad load;
    load.model = entry.text("model");
    load.perSecond = entry.number("per_second", 0, mostPerSecond, load.perSecond);
    load.medianTokens = entry.number("median_tokens", 1, 100'000, load.medianTokens);
    load.spread = entry.number("spread", 0, 5, load.spread);
    load.maxTokens =
            static_cast<std::uint32_t>(entry.integer("most_tokens", countRange, load.maxTokens));
    load.promptBytes =
            static_cast<std::uint32_t>(entry.integer("prompt_bytes", byteRange, load.promptBytes));
    load.prefixes =
            static_cast<std::uint32_t>(entry.integer("prefixes", countRange, load.prefixes));
    load.prefixBytes =
            static_cast<std::uint32_t>(entry.integer("prefix_bytes", byteRange, load.prefixBytes));
    load.stream = entry.flag("stream", true);
    entry.finish();
    return load;
}

ServiceLoad readService(TomlTable &entry)
{
    ServiceLoad load;
    load.service = entry.text("service");
    load.method = entry.text("method", load.method);
    load.path = entry.text("path", load.path);
    load.perSecond = entry.number("per_second", 0, mostPerSecond, load.perSecond);
    load.once = entry.flag("once", false);
    entry.finish();
    return load;
}

} // namespace

LoadPlan readLoadPlan(const std::string &file, Problems &problems)
{
    LoadPlan plan;
    std::optional<TomlTable> opened = TomlTable::open(file, problems);
    if (!opened)
        return plan;
    TomlTable &root = *opened;
    plan.seed = static_cast<std::uint64_t>(root.integer("seed", {0, 1LL << 62}, 1));
    plan.duration = std::chrono::milliseconds(root.integer("duration_ms", milliRange, 10'000));
    plan.answerTimeout = std::chrono::milliseconds(root.integer("patience_ms", milliRange, 60'000));
    plan.maxRequests =
            static_cast<std::uint64_t>(root.integer("most_requests", countRange, 100'000));
    plan.reconnectShare = root.number("reconnect_share", 0, 1, 0);
    plan.entries = root.texts("entries");
    plan.keys = root.texts("keys");
    plan.countUrls = root.texts("count_urls");
    if (plan.entries.empty())
        root.report(ResultCode::SettingsMissing, "entries", "at least one URL must be given");
    if (plan.keys.empty())
        root.report(ResultCode::SettingsMissing, "keys", "at least one key must be given");
    for (TomlTable &entry : root.tables("generations"))
        plan.generations.push_back(readGeneration(entry));
    for (TomlTable &entry : root.tables("services"))
        plan.services.push_back(readService(entry));
    root.finish();
    return plan;
}

} // namespace jaytrack
