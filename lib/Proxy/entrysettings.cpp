#include "jaytrack/Proxy/entrysettings.h"

#include "jaytrack/Net/socket.h"

namespace jaytrack {

namespace {

constexpr IntegerRange milliRange{100, 3'600'000};
constexpr IntegerRange secondRange{1, 3600};
constexpr IntegerRange megabyteRange{16, 1'048'576};
constexpr IntegerRange descriptorRange{64, 10'000'000};
constexpr double maxRetrySlack = 1e6;
constexpr double maxColdOverage = 100;
constexpr double maxColdExtra = 1e6;

std::string readAddress(TomlTable &table, std::string_view key, bool required)
{
    std::string text = required ? table.text(key) : table.text(key, "");
    if (text.empty())
        return text;
    const auto endpoint = parseEndpoint(text);
    if (!endpoint)
        table.report(endpoint.error().code, key, endpoint.error().detail);
    return text;
}

std::chrono::milliseconds readMillis(TomlTable &table, std::string_view key,
                                     std::chrono::milliseconds fallback)
{
    return std::chrono::milliseconds(table.integer(key, milliRange, fallback.count()));
}

std::chrono::seconds readSeconds(TomlTable &table, std::string_view key,
                                 std::chrono::seconds fallback)
{
    return std::chrono::seconds(table.integer(key, secondRange, fallback.count()));
}

// Seeds name the hosts of the fleet with the ports that the platform lists; peers use the same port
// on all hosts.
std::string withPortOf(std::string_view seed, std::string_view own)
{
    return std::string(seed.substr(0, seed.rfind(':'))) + std::string(own.substr(own.rfind(':')));
}

void readPeers(TomlTable &peers, EntrySettings &settings)
{
    static constexpr std::size_t minKeyLength = 16;
    settings.peers = readAddress(peers, "listen", true);
    for (const std::string &seed : peers.texts("seed_hosts")) {
        if (parseEndpoint(seed))
            settings.peerSeeds.push_back(withPortOf(seed, settings.peers));
        else
            peers.report(ResultCode::SettingsOutOfRange, "seed_hosts", seed + " is not IP:PORT");
    }
    settings.peerKeys = peers.texts("keys");
    if (settings.peerKeys.empty())
        peers.report(ResultCode::SettingsMissing, "keys", "at least one key must be given");
    for (const std::string &key : settings.peerKeys) {
        if (key.size() < minKeyLength)
            peers.report(ResultCode::SettingsOutOfRange, "keys",
                         "a key has at least 16 characters");
    }
    peers.finish();
}

void readRegions(TomlTable &root, EntrySettings &settings)
{
    for (TomlTable &dataCentre : root.tables("data_centres")) {
        const std::string name = dataCentre.text("name");
        const std::string region = dataCentre.text("region");
        if (!settings.regions.emplace(name, region).second)
            dataCentre.report(ResultCode::SettingsContradiction, "name",
                              name + " is given more than once");
        dataCentre.finish();
    }
}

} // namespace

EntrySettings readEntrySettings(const std::string &file, Problems &problems)
{
    EntrySettings settings;
    std::optional<TomlTable> opened = TomlTable::open(file, problems);
    if (!opened)
        return settings;
    TomlTable &root = *opened;
    settings.name = root.text("name");
    settings.dataCentre = root.text("data_centre");
    settings.firstStart = root.flag("first_start", settings.firstStart);

    readRegions(root, settings);

    TomlTable listen = root.table("listen");
    settings.callers = readAddress(listen, "callers", true);
    settings.readiness = readAddress(listen, "readiness", true);
    settings.metrics = readAddress(listen, "metrics", false);
    if (!settings.callers.empty() && settings.callers == settings.readiness)
        listen.report(ResultCode::SettingsContradiction, "readiness",
                      "callers and readiness cannot share one listener");
    listen.finish();

    TomlTable store = root.table("store");
    settings.store = readAddress(store, "address", true);
    store.finish();

    if (root.has("peers")) {
        TomlTable peers = root.table("peers");
        readPeers(peers, settings);
    }

    TomlTable bounds = root.table("bounds");
    settings.keyFreshness = readMillis(bounds, "key_freshness_ms", settings.keyFreshness);
    settings.configurationDelay =
            readMillis(bounds, "configuration_ms", settings.configurationDelay);
    settings.leavingDelay = readMillis(bounds, "leaving_ms", settings.leavingDelay);
    settings.drainGrace = readSeconds(bounds, "drain_grace_s", settings.drainGrace);
    settings.retryRatio = bounds.number("retry_ratio", 0, 1, settings.retryRatio);
    settings.retryWindow = readSeconds(bounds, "retry_window_s", settings.retryWindow);
    settings.retrySlack = bounds.number("retry_slack", 0, maxRetrySlack, settings.retrySlack);
    settings.coldBound.overage =
            bounds.number("cold_overage", 1, maxColdOverage, settings.coldBound.overage);
    settings.coldBound.extra =
            bounds.number("cold_extra", 0, maxColdExtra, settings.coldBound.extra);
    bounds.finish();

    TomlTable limits = root.table("limits");
    static constexpr std::size_t megabyte = 1U << 20U;
    settings.memoryBytes = static_cast<std::size_t>(limits.integer(
                                   "memory_mb", megabyteRange,
                                   static_cast<std::int64_t>(settings.memoryBytes / megabyte))) *
                           megabyte;
    settings.descriptors = static_cast<std::size_t>(limits.integer(
            "descriptors", descriptorRange, static_cast<std::int64_t>(settings.descriptors)));
    limits.finish();

    if (root.has("tuning")) {
        TomlTable tuning = root.table("tuning");
        settings.tuning = readEntryTuning(tuning);
    }
    settings.tuning.sharing.changeBound =
            std::min(settings.configurationDelay, settings.leavingDelay);
    root.finish();
    return settings;
}

} // namespace jaytrack
