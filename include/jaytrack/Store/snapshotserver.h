// Serves snapshots of the store to instances that have no listing of its current era.
#ifndef JAYTRACK_STORE_SNAPSHOTSERVER_H
#define JAYTRACK_STORE_SNAPSHOTSERVER_H

#include "jaytrack/Net/callerconnection.h"
#include "jaytrack/Support/keyring.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jaytrack {

class Metrics;

// A packed snapshot and the age of its data.
struct PackedSnapshot
{
    std::shared_ptr<const std::string> bytes;
    Duration age{0};
};

class SnapshotSource
{
public:
    virtual ~SnapshotSource() = default;

    // Returns what this instance holds; empty if it holds nothing yet.
    virtual std::optional<PackedSnapshot> packedSnapshot() = 0;
};

class SnapshotServer
{
public:
    // Transfers at the same time. More would share the slow link of a small machine, and none of
    // the instances that wait would become another one to ask.
    static constexpr std::size_t maxTransfers = 2;

    SnapshotServer(const KeyRing *fleetKeys, SnapshotSource &snapshotSource, Metrics &counters)
        : keys(fleetKeys)
        , source(snapshotSource)
        , metrics(counters)
    {
    }

    static bool isFor(const MessageHead &head);

    // Answers with a snapshot, or refuses.
    void serve(const std::shared_ptr<CallerConnection> &connection, const MessageHead &head);

private:
    void refuse(CallerConnection &connection, int status, std::string_view reason);
    bool isBusy();

    const KeyRing *keys; // null if the fleet has none
    SnapshotSource &source;
    Metrics &metrics;
    std::vector<std::weak_ptr<CallerConnection>> transfers;
};

} // namespace jaytrack

#endif
