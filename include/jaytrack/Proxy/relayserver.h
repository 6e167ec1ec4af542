// Calls targets for other instances that have lost their links to them, and passes their requests
// for snapshots of the store on to the server of those.
//
// Requests are passed on as they come and are never passed to a third instance, so two instances
// cannot pass a request back and forth. Admission, permits, quotas and retries are the business of
// the instance that asks.
#ifndef JAYTRACK_PROXY_RELAYSERVER_H
#define JAYTRACK_PROXY_RELAYSERVER_H

#include "jaytrack/Calls/relaymessage.h"
#include "jaytrack/Calls/targetcalls.h"
#include "jaytrack/Net/callerconnection.h"
#include "jaytrack/Quarantine/crashwatch.h"
#include "jaytrack/Routing/dialect.h"
#include "jaytrack/Routing/targetdirectory.h"
#include "jaytrack/Store/snapshotserver.h"

#include <memory>
#include <set>

namespace jaytrack {

class RelayServer final : public CallerHandler
{
public:
    // The budget provides the limits and the memory of the instance's requests.
    RelayServer(TargetCalls &targetCalls, const Clock &time, Metrics &counters,
                const TargetDirectory &targets, CallerHandler &budget, const Dialect &platform,
                const CrashWatch &crashWatch, SnapshotServer &snapshotServer);

    // Fails if the address cannot be bound.
    Result<void> listen(const asio::ip::tcp::endpoint &endpoint);

    bool isIdle() const { return this->open.empty(); }

    void onRequest(std::shared_ptr<CallerConnection> connection, CallerRequest request) override;
    void onRejectedRequest(int status, std::string_view reason) override;
    ConnectionLimits connectionLimits() const override;
    bool stopping() const override { return this->instance.stopping(); }
    bool reserveMemory(std::size_t bytes) override { return this->instance.reserveMemory(bytes); }
    void releaseMemory(std::size_t bytes) override { this->instance.releaseMemory(bytes); }

private:
    class Relay;

    const TargetEntry *findTarget(const RelayOrder &order) const;
    std::string_view refusalReason(const RelayOrder &order, const TargetEntry *target) const;

    // Whether the other instance may not know yet that a part of the prompt crashes targets.
    bool isBarred(const RequestIdentity &request, const TargetEntry &target) const;
    void refuse(CallerConnection &connection, std::string_view target, std::string_view reason);

    TargetCalls &calls;
    Metrics &metrics;
    const TargetDirectory &directory;
    CallerHandler &instance;
    const Dialect &dialect;
    const CrashWatch &crashes;
    SnapshotServer &snapshots;
    CallerServer server;
    std::set<std::shared_ptr<Relay>> open;
};

} // namespace jaytrack

#endif
