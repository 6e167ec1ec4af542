#include "jaytrack/Peers/sharedchanges.h"

#include "jaytrack/Support/compression.h"

#include "peer_types.h"

#include <algorithm>

namespace jaytrack {

namespace {

// Values of at least this size are compressed if that makes them smaller. A configuration of fifty
// routes has 12 KB and then fits into one datagram. If it did not fit or were not shared, each of
// 87 instances would read it from the store, 85 calls for every change.
constexpr std::size_t minCompressedBytes = 512;

// The store's limit on the size of a value.
constexpr std::size_t maxValueBytes = 1U << 20U;

// Fewer than the elements that a decoder accepts in one list.
constexpr std::size_t maxItemsInPart = 2048;

// A value as encoded for the peers.
struct PackedValue
{
    std::string bytes;
    std::size_t plainSize = 0; // 0 if it is not compressed
};

PackedValue pack(const std::string &value)
{
    if (value.size() < minCompressedBytes)
        return {value, 0};
    std::string packed = compressed(value);
    if (packed.empty() || packed.size() >= value.size())
        return {value, 0};
    return {std::move(packed), value.size()};
}

std::optional<std::string> unpack(const wire::StoreItemNotice &item)
{
    if (item.plainSize == 0)
        return item.value;
    return decompressed(item.value, static_cast<std::size_t>(item.plainSize), maxValueBytes);
}

// As unsigned numbers, negative revisions would be later than each that the store gives, and an
// instance that took one for its own would follow no change any more.
bool hasNegative(const wire::StoreNotice &notice)
{
    return notice.fromRevision < 0 || notice.toRevision < 0 || notice.era < 0 ||
           std::any_of(notice.items.begin(), notice.items.end(),
                       [](const wire::StoreItemNotice &item) { return item.revision < 0; });
}

} // namespace

std::optional<SharedChanges> fromNotice(const wire::StoreNotice &notice)
{
    if (hasNegative(notice))
        return std::nullopt;
    SharedChanges changes;
    changes.from = static_cast<std::uint64_t>(notice.fromRevision);
    changes.to = static_cast<std::uint64_t>(notice.toRevision);
    changes.incomplete = notice.incomplete;
    changes.afterOutage = notice.afterOutage;
    changes.era = static_cast<std::uint64_t>(notice.era);
    for (const wire::StoreItemNotice &item : notice.items) {
        std::optional<std::string> value = unpack(item);
        // If the value cannot be decoded, the store is queried, as for an omitted item.
        changes.incomplete = changes.incomplete || !value;
        if (value)
            changes.items.push_back({item.key, std::move(*value),
                                     static_cast<std::uint64_t>(item.revision), item.deleted});
    }
    return changes;
}

wire::StoreNotice toNotice(const SharedChanges &changes)
{
    wire::StoreNotice notice;
    notice.fromRevision = static_cast<std::int64_t>(changes.from);
    notice.toRevision = static_cast<std::int64_t>(changes.to);
    notice.incomplete = changes.incomplete;
    notice.afterOutage = changes.afterOutage;
    notice.era = static_cast<std::int64_t>(changes.era);
    for (const StoreItem &item : changes.items) {
        wire::StoreItemNotice shared;
        shared.key = item.key;
        PackedValue value = pack(item.value);
        shared.value = std::move(value.bytes);
        shared.plainSize = static_cast<std::int64_t>(value.plainSize);
        shared.revision = static_cast<std::int64_t>(item.revision);
        shared.deleted = item.deleted;
        notice.items.push_back(std::move(shared));
    }
    return notice;
}

std::vector<SharedChanges> splitChanges(const SharedChanges &changes, std::size_t maxBytes)
{
    std::vector<StoreItem> items = changes.items;
    std::sort(items.begin(), items.end(), [](const StoreItem &left, const StoreItem &right) {
        return left.revision < right.revision;
    });
    std::vector<SharedChanges> parts;
    SharedChanges part{changes.from, changes.from, {}, false, changes.afterOutage, changes.era};
    std::size_t bytes = 0;
    for (StoreItem &item : items) {
        const std::size_t whole = item.key.size() + pack(item.value).bytes.size();
        const bool tooLarge = whole > maxBytes;
        const std::size_t size = tooLarge ? 0 : whole;
        const bool isFull = bytes + size > maxBytes || part.items.size() >= maxItemsInPart;
        if (isFull && !part.items.empty()) {
            parts.push_back(part);
            part = {part.to, part.to, {}, false, changes.afterOutage, changes.era};
            bytes = 0;
        }
        part.to = item.revision;
        part.incomplete = part.incomplete || tooLarge;
        if (tooLarge)
            continue;
        bytes += size;
        part.items.push_back(std::move(item));
    }
    part.to = changes.to;
    parts.push_back(std::move(part));
    return parts;
}

} // namespace jaytrack
