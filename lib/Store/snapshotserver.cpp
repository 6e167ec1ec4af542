#include "jaytrack/Store/snapshotserver.h"

#include "jaytrack/Store/snapshotmessage.h"
#include "jaytrack/Support/log.h"
#include "jaytrack/Support/metrics.h"

namespace jaytrack {

namespace {

constexpr int okStatus = 200;
constexpr int badRequestStatus = 400;
constexpr int unavailableStatus = 503;

} // namespace

bool SnapshotServer::isFor(const MessageHead &head)
{
    return head.path() == snapshotPath;
}

bool SnapshotServer::isBusy()
{
    std::erase_if(this->transfers, [](const std::weak_ptr<CallerConnection> &transfer) {
        const auto connection = transfer.lock();
        return !connection || !connection->isOpen() || connection->pendingBytes() == 0;
    });
    return this->transfers.size() >= maxTransfers;
}

void SnapshotServer::refuse(CallerConnection &connection, int status, std::string_view reason)
{
    logEvent(Severity::Info, "snapshot_refused", {{"status", status}, {"reason", reason}});
    this->metrics.count("jaytrack_snapshots_total{outcome=\"refused\"}");
    connection.respond(status, {}, {});
}

void SnapshotServer::serve(const std::shared_ptr<CallerConnection> &connection,
                           const MessageHead &head)
{
    const auto nonce =
            this->keys != nullptr ? decodeSnapshotRequest(head, *this->keys) : std::nullopt;
    if (!nonce)
        return this->refuse(*connection, badRequestStatus, "not_signed");
    if (this->isBusy())
        return this->refuse(*connection, unavailableStatus, "busy");
    const std::optional<PackedSnapshot> held = this->source.packedSnapshot();
    if (!held)
        return this->refuse(*connection, unavailableStatus, "nothing_held");
    logEvent(Severity::Info, "snapshot_served",
             {{"bytes", static_cast<std::int64_t>(held->bytes->size())},
              {"age_ms", toMillis(held->age)}});
    this->metrics.count("jaytrack_snapshots_total{outcome=\"served\"}");
    connection->respond(okStatus,
                        encodeSnapshotAnswer(*nonce, held->age, *held->bytes, *this->keys),
                        *held->bytes);
    this->transfers.push_back(connection);
}

} // namespace jaytrack
