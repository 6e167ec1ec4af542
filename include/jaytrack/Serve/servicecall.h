// Requests to the plain services: routed, repeated only where that is safe, and run at most once
// under a ticket where it is not.
#ifndef JAYTRACK_SERVE_SERVICECALL_H
#define JAYTRACK_SERVE_SERVICECALL_H

#include "jaytrack/Http/client.h"
#include "jaytrack/Http/server.h"
#include "jaytrack/Limits/limitgate.h"
#include "jaytrack/Once/ledger.h"
#include "jaytrack/Policy/targethealth.h"
#include "jaytrack/Policy/targetpauses.h"
#include "jaytrack/Serve/answers.h"
#include "jaytrack/Serve/context.h"
#include "jaytrack/Serve/requestlog.h"

#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace jaytrack {

// Serves the requests to all plain services of one instance. Functions may be called from any
// thread.
class ServiceDesk
{
public:
    ServiceDesk(ServeContext &context, RequestLog &log);

    // Takes a request to a service of the caller's document. The path is the one at the target.
    void handle(Caller caller, const Service &service, std::string path, HttpRequest request,
                std::shared_ptr<ResponseWriter> writer);

    // Sends on what was held back and has come due. Called some times a second.
    void sweep();

    std::size_t inService() const;
    std::size_t ledgerSize() const;
    std::size_t ledgerBytes() const;

    // Names every request in service in the log, before they are cut.
    void logInService() const;

private:
    friend class ServiceAttempt;

    struct Call;
    using CallPointer = std::shared_ptr<Call>;

    void runTicketed(const CallPointer &call, const std::string &sealed);
    void runMine(const CallPointer &call, const Ticket &ticket);
    void forward(const CallPointer &call, const Ticket &ticket);
    void offerTicket(const CallPointer &call);
    void attempt(const CallPointer &call);
    void onPermit(const CallPointer &call, const ServiceTarget &target, const Permit &permit);
    void send(const CallPointer &call, const ServiceTarget &target);
    Duration restOf(const ServiceTarget &target) const;
    void hearLimit(const Call &call, const ServiceTarget &target, const FetchedAnswer &answer);
    void onAnswer(const CallPointer &call, const ServiceTarget &target,
                  const FetchedAnswer &answer);
    void onForwarded(const CallPointer &call, FetchedAnswer answer);
    Duration barredFor(const Call &call) const;
    void noteRun(Call &call, const ServiceTarget &target, const FetchedAnswer &answer) const;
    bool mayRepeat(const CallPointer &call, const FetchedAnswer &answer);
    const ServiceTarget *chooseTarget(const Call &call);
    Duration shortestRest(const Call &call) const;
    void settle(const CallPointer &call, const StoredAnswer &answer);
    void refuse(const CallPointer &call, const Ending &ending);
    void tellWaiters(std::int64_t serial, const StoredAnswer &answer);
    void answer(const CallPointer &call, const StoredAnswer &answer);
    void end(const CallPointer &call, ResultCode code);

    ServeContext &context;
    RequestLog &log;
    mutable std::mutex mutex; // guards all below
    TicketLedger ledger;
    TargetHealth health;
    TargetPauses pauses;
    std::unordered_map<std::int64_t, std::vector<CallPointer>> waiters;
    std::deque<std::pair<TimePoint, CallPointer>> heldBack; // with the moment of sending
    std::unordered_map<std::string, std::weak_ptr<Call>> active;
};

} // namespace jaytrack

#endif
