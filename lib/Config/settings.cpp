#include "jaytrack/Config/settings.h"

namespace jaytrack {

namespace {

constexpr IntegerRange portRange{0, 65535};
constexpr IntegerRange threadRange{1, 64};
constexpr IntegerRange requestRange{1, 1'000'000};
constexpr IntegerRange byteRange{1024, 1LL << 32};
constexpr IntegerRange milliRange{100, 3'600'000};
constexpr std::size_t minKeyLength = 16;

Listener readListener(TomlTable &table)
{
    Listener listener;
    listener.address = table.text("address");
    listener.port = static_cast<std::uint16_t>(table.integer("port", portRange));
    return listener;
}

std::size_t readSize(TomlTable &table, std::string_view key, IntegerRange range,
                     std::size_t fallback)
{
    return static_cast<std::size_t>(table.integer(key, range, static_cast<std::int64_t>(fallback)));
}

std::chrono::milliseconds readMillis(TomlTable &table, std::string_view key,
                                     std::chrono::milliseconds fallback)
{
    return std::chrono::milliseconds(table.integer(key, milliRange, fallback.count()));
}

void readPeers(TomlTable &table, Settings &settings)
{
    settings.peers = readListener(table);
    settings.peerKeys = table.texts("keys");
    settings.peerSeeds = table.texts("seeds");
    if (settings.peerKeys.empty())
        table.report(ResultCode::SettingsMissing, "keys", "at least one key must be given");
    for (const std::string &key : settings.peerKeys) {
        if (key.size() < minKeyLength)
            table.report(ResultCode::SettingsOutOfRange, "keys",
                         "a key has at least 16 characters");
    }
    table.finish();
}

void readLimits(TomlTable &table, Settings &settings)
{
    settings.maxRequests = readSize(table, "requests", requestRange, settings.maxRequests);
    settings.maxBodyBytes = readSize(table, "body_bytes", byteRange, settings.maxBodyBytes);
    settings.maxAnswerBytes = readSize(table, "answer_bytes", byteRange, settings.maxAnswerBytes);
    settings.streamBufferBytes =
            readSize(table, "stream_buffer_bytes", byteRange, settings.streamBufferBytes);
    settings.ledgerBytes = readSize(table, "ledger_bytes", byteRange, settings.ledgerBytes);
    settings.abandonGrace = readMillis(table, "abandon_grace_ms", settings.abandonGrace);
    settings.deliveryGrace = readMillis(table, "delivery_grace_ms", settings.deliveryGrace);
    settings.pauseLimit = readMillis(table, "pause_limit_ms", settings.pauseLimit);
    settings.readyDelay = readMillis(table, "ready_delay_ms", settings.readyDelay);
    table.finish();
}

} // namespace

Settings readSettings(const std::string &file, Problems &problems)
{
    Settings settings;
    std::optional<TomlTable> opened = TomlTable::open(file, problems);
    if (!opened)
        return settings;
    TomlTable &root = *opened;
    settings.name = root.text("name");
    settings.dataCentre = root.text("data_centre");

    TomlTable callers = root.table("callers");
    settings.callers = readListener(callers);
    settings.callerThreads = readSize(callers, "threads", threadRange, settings.callerThreads);
    callers.finish();

    TomlTable peers = root.table("peers");
    readPeers(peers, settings);

    if (root.has("operators")) {
        TomlTable operators = root.table("operators");
        settings.operators = readListener(operators);
        operators.finish();
    }
    settings.placement = root.text("placement", settings.placement);
    if (settings.placement != "jaytrack" && settings.placement != "least_outstanding")
        root.report(ResultCode::SettingsOutOfRange, "placement",
                    "must be \"jaytrack\" or \"least_outstanding\"");

    TomlTable platform = root.table("platform");
    settings.configUrl = platform.text("config_url");
    settings.instancesUrl = platform.text("instances_url", "");
    platform.finish();

    TomlTable targets = root.table("targets");
    settings.targetThreads = readSize(targets, "threads", threadRange, settings.targetThreads);
    targets.finish();

    TomlTable limits = root.table("limits");
    readLimits(limits, settings);

    if (settings.callers.port != 0 && settings.callers.port == settings.peers.port &&
        settings.callers.address == settings.peers.address)
        root.report(ResultCode::SettingsContradiction, "peers",
                    "callers and peers cannot share one listener");
    root.finish();
    return settings;
}

} // namespace jaytrack
