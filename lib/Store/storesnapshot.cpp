#include "jaytrack/Store/storesnapshot.h"

#include "jaytrack/Routing/targetentrycheck.h"
#include "jaytrack/Support/compression.h"
#include "jaytrack/Wire/codec.h"

#include "peer_types.h"

namespace jaytrack {

namespace {

// Limits on what another instance can make this one decode: ten times a fleet of 6,000 targets.
constexpr std::size_t maxPlainBytes = 16U << 20U;
constexpr int maxTargets = 65'536;

wire::TargetNotice toNotice(const TargetEntry &entry)
{
    wire::TargetNotice notice;
    notice.name = entry.name;
    notice.startedAtMillis = entry.startedAt.count();
    notice.serviceName = entry.service;
    notice.address = entry.address;
    notice.dataCentre = entry.dataCentre;
    notice.softwareVersion = entry.softwareVersion;
    notice.slots = entry.slots;
    notice.leaving = entry.leaving;
    notice.coldMillis = entry.coldFor.count();
    return notice;
}

TargetEntry fromNotice(const wire::TargetNotice &notice)
{
    TargetEntry entry;
    entry.name = notice.name;
    entry.startedAt = StartTime(notice.startedAtMillis);
    entry.id = incarnationId(entry.name, entry.startedAt);
    entry.service = notice.serviceName;
    entry.address = notice.address;
    entry.dataCentre = notice.dataCentre;
    entry.softwareVersion = notice.softwareVersion;
    entry.slots = notice.slots;
    entry.leaving = notice.leaving;
    entry.coldFor = std::chrono::milliseconds(notice.coldMillis);
    return entry;
}

wire::StoreSnapshotNotice toNotice(const StoreSnapshot &snapshot)
{
    wire::StoreSnapshotNotice notice;
    notice.era = static_cast<std::int64_t>(snapshot.era);
    notice.revision = static_cast<std::int64_t>(snapshot.revision);
    notice.configuration.key = snapshot.configuration.key;
    notice.configuration.value = snapshot.configuration.value;
    notice.configuration.revision = static_cast<std::int64_t>(snapshot.configuration.revision);
    for (const TargetEntry &entry : snapshot.targets.entries) {
        notice.targets.push_back(toNotice(entry));
        notice.targets.back().withheld = snapshot.targets.withheld.count(entry.name) > 0;
    }
    notice.unusableTargets = snapshot.targets.unusable;
    for (const DataCentreRecord &record : snapshot.outOfUse) {
        wire::DataCentreNotice outOfUse;
        outOfUse.dataCentre = record.dataCentre;
        outOfUse.revision = static_cast<std::int64_t>(record.revision);
        notice.outOfUse.push_back(std::move(outOfUse));
    }
    return notice;
}

// An instance of an older version may take entries for targets that name none.
void addTarget(const wire::TargetNotice &notice, TargetListing &listing)
{
    TargetEntry entry = fromNotice(notice);
    if (findEntryFault(entry)) {
        listing.unusable.push_back(notice.name);
        return;
    }
    if (notice.withheld)
        listing.withheld.insert(entry.name);
    listing.entries.push_back(std::move(entry));
}

StoreSnapshot fromNotice(const wire::StoreSnapshotNotice &notice)
{
    StoreSnapshot snapshot;
    snapshot.era = static_cast<std::uint64_t>(notice.era);
    snapshot.revision = static_cast<std::uint64_t>(notice.revision);
    snapshot.configuration.key = notice.configuration.key;
    snapshot.configuration.value = notice.configuration.value;
    snapshot.configuration.revision = static_cast<std::uint64_t>(notice.configuration.revision);
    snapshot.targets.unusable = notice.unusableTargets;
    for (const wire::TargetNotice &target : notice.targets)
        addTarget(target, snapshot.targets);
    for (const wire::DataCentreNotice &record : notice.outOfUse) {
        // As an unsigned number, a negative revision would be later than each that the store gives.
        if (record.revision >= 0)
            snapshot.outOfUse.push_back(
                    {record.dataCentre, static_cast<std::uint64_t>(record.revision), true});
    }
    return snapshot;
}

} // namespace

std::string packSnapshot(const StoreSnapshot &snapshot)
{
    const std::string plain = encodeMessage(toNotice(snapshot));
    wire::PackedNotice packed;
    packed.plainSize = static_cast<std::int64_t>(plain.size());
    packed.bytes = compressed(plain);
    return encodeMessage(packed);
}

std::optional<StoreSnapshot> unpackSnapshot(std::string_view packed)
{
    const auto outer = decodeMessage<wire::PackedNotice>(packed);
    if (!outer || outer->plainSize < 0)
        return std::nullopt;
    const auto plain =
            decompressed(outer->bytes, static_cast<std::size_t>(outer->plainSize), maxPlainBytes);
    const auto notice =
            plain ? decodeMessage<wire::StoreSnapshotNotice>(*plain, maxTargets) : std::nullopt;
    if (!notice || notice->revision <= 0 || notice->era < 0 || notice->configuration.revision < 0)
        return std::nullopt;
    return fromNotice(*notice);
}

} // namespace jaytrack
