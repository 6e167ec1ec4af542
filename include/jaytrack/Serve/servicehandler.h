// Requests to the plain services. Routes them to targets, retries only where that is safe, and runs
// all other requests at most once under a ticket.
#ifndef JAYTRACK_SERVE_SERVICEHANDLER_H
#define JAYTRACK_SERVE_SERVICEHANDLER_H

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

// Serves the requests to all plain services of an instance. Functions may be called from any
// thread.
class ServiceHandler
{
public:
    ServiceHandler(ServeContext &context, RequestLog &log);

    // Starts serving a request to a service of the caller's document. The path is the path at the
    // target.
    void handle(Caller caller, const Service &service, std::string path, HttpRequest request,
                std::shared_ptr<ResponseWriter> writer);

    // Sends delayed requests that are due. Called several times a second.
    void sweep();

    std::size_t inService() const;
    std::size_t ledgerSize() const;
    std::size_t ledgerBytes() const;

    // Logs the ID of every request in service before the instance stops without waiting for them.
    void logInService() const;

private:
    friend class ServiceAttempt;

    struct Call;
    using CallPointer = std::shared_ptr<Call>;

    void runTicketed(const CallPointer &call, const std::string &sealed);
    void runAsIssuer(const CallPointer &call, const Ticket &ticket);
    void forward(const CallPointer &call, const Ticket &ticket);
    void offerTicket(const CallPointer &call);
    void attempt(const CallPointer &call);
    void onPermit(const CallPointer &call, const ServiceTarget &target, const Permit &permit);
    void send(const CallPointer &call, const ServiceTarget &target);
    Duration unavailableFor(const ServiceTarget &target) const;
    void updateLimit(const Call &call, const ServiceTarget &target, const FetchedAnswer &answer);
    void onAnswer(const CallPointer &call, const ServiceTarget &target,
                  const FetchedAnswer &answer);
    void onForwarded(const CallPointer &call, FetchedAnswer answer);
    Duration barredFor(const Call &call) const;
    void recordAttempt(Call &call, const ServiceTarget &target, const FetchedAnswer &answer) const;
    bool mayRepeat(const CallPointer &call, const FetchedAnswer &answer);
    bool isLeaving(const Service &service, const ServiceTarget &target) const;
    const ServiceTarget *chooseTarget(const Call &call);
    Duration shortestUnavailability(const Call &call) const;
    void settle(const CallPointer &call, const StoredAnswer &answer);
    void refuse(const CallPointer &call, const FinalStatus &finalStatus);
    void notifyWaiters(std::int64_t serial, const StoredAnswer &answer);
    void answer(const CallPointer &call, const StoredAnswer &answer);
    void end(const CallPointer &call, ResultCode code);

    ServeContext &context;
    RequestLog &log;
    mutable std::mutex mutex; // guards all members below
    TicketLedger ledger;
    TargetHealth health;
    TargetPauses pauses;
    std::unordered_map<std::int64_t, std::vector<CallPointer>> waiters;
    std::deque<std::pair<TimePoint, CallPointer>> delayed; // with the time at which each is sent
    std::unordered_map<std::string, std::weak_ptr<Call>> active;
};

} // namespace jaytrack

#endif
