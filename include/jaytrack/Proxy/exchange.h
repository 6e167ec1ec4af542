// Handles one caller request from admission to its final answer.
#ifndef JAYTRACK_PROXY_EXCHANGE_H
#define JAYTRACK_PROXY_EXCHANGE_H

#include "jaytrack/Calls/targetcalls.h"
#include "jaytrack/Limits/brittlegate.h"
#include "jaytrack/Limits/limitgate.h"
#include "jaytrack/Limits/retrygate.h"
#include "jaytrack/Net/callerconnection.h"
#include "jaytrack/Net/targetcall.h"
#include "jaytrack/Policy/targethealth.h"
#include "jaytrack/Proxy/answermemory.h"
#include "jaytrack/Proxy/entrytuning.h"
#include "jaytrack/Proxy/runstops.h"
#include "jaytrack/Proxy/selfreports.h"
#include "jaytrack/Quarantine/crashwatch.h"
#include "jaytrack/Routing/admission.h"
#include "jaytrack/Routing/answerjudgement.h"
#include "jaytrack/Routing/coldtargets.h"
#include "jaytrack/Routing/enginechoice.h"
#include "jaytrack/Routing/engineshares.h"
#include "jaytrack/Routing/targetdirectory.h"
#include "jaytrack/Support/log.h"
#include "jaytrack/Versions/streamversions.h"

#include <asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace jaytrack {

class Metrics;
class Exchange;

// Announces to the other instances the engine memory that generations of this one reserve and
// release, and the engines that fail.
class PlacementNotices
{
public:
    virtual ~PlacementNotices() = default;
    virtual void announcePlaced(std::string_view engine, const GenerationNeed &need,
                                bool copied) = 0;
    virtual void announceReleased(std::string_view engine, std::uint32_t tokens) = 0;
    virtual void announcePauses(std::string_view engine, bool pausedTooLong) = 0;
    virtual void announceFailed(std::string_view engine) = 0;
};

// State shared by all requests of an instance.
struct ExchangeContext
{
    asio::io_context &loop;
    TargetCalls &calls;
    const Clock &clock;
    const Dialect &dialect;
    Metrics &metrics;
    TargetDirectory &directory;
    TargetHealth &health;
    EngineChoice &engines;
    const EngineShares &shares;
    RetryGate &retries;
    const std::map<std::string, std::string, std::less<>> &regions; // by data centre
    std::mt19937_64 &random;
    PlacementNotices &notices;
    CrashWatch &crashes;
    SelfReports &selfReports;
    const TargetPauses &pauses;
    ColdTargets &cold;
    LimitGate &limits;
    BrittleGate &brittle;
    StreamVersions &streamVersions;
    RunStops &runStops;
    AnswerMemory &answerMemory;
    const StreamOptions &streams;
    std::set<std::shared_ptr<Exchange>>
            &open; // keeps each exchange alive until it has been answered
};

struct AdmittedRequest
{
    CallerRequest request;
    RequestFacts facts;
    std::vector<std::string> parts; // digests of the prompt's parts that others may share
    Admission admission;
    std::shared_ptr<const RoutingTable> table; // the table version that decides this request
};

// Returns what identifies a request, so that it is recognised when the caller resends it or others
// share parts of its prompt.
RequestIdentity identityOf(const AdmittedRequest &admitted);

// Names the software that a target runs, for which crashing requests are judged.
std::string softwareOf(std::string_view service, std::string_view version);
std::string softwareOf(const TargetEntry &target);

// Common part of plain and streaming requests: target selection, the deadline, and the final
// answer.
class Exchange : public CallerListener, public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(ExchangeContext &shared, std::shared_ptr<CallerConnection> connection,
             AdmittedRequest admittedRequest);
    ~Exchange() override;
    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;

    void start();

    // The target accepts no new work and will shut down.
    virtual void onTargetLeaving(const TargetEntry &entry, std::string_view reason) = 0;

    // No new work may be sent to targets of the data centre; runs in progress there continue.
    virtual void onDataCentreOutOfUse(std::string_view dataCentre) = 0;

    // The target has restarted and lost its work in progress.
    virtual void onTargetRestarted(const TargetEntry &ended) = 0;

    // The request, or all requests with the part, of this digest may not be sent to targets any
    // more. An answer that has begun continues, because its target runs the request without
    // crashing.
    void onRequestBarred(std::string_view barredDigest);

    // The instance terminates now: sends the caller the final answer that is still possible.
    void onInstanceEnding();

protected:
    virtual void attempt() = 0;
    virtual void cancelCalls() = 0;

    // Adds request-specific fields to the request_ended log event.
    virtual void describeEnd(std::vector<LogField> &fields) const;

    // Whether the response head has been sent to the caller. After that no other status can be
    // sent; a failure can only close the connection.
    virtual bool hasBegunAnswer() const { return false; }

    // Whether some target may have begun to work on the request.
    virtual bool mayHaveRun() const = 0;

    const RouteRule &route() const { return *this->admitted.admission.route; }
    const CallerRequest &request() const { return this->admitted.request; }
    const RequestFacts &facts() const { return this->admitted.facts; }
    const ServiceRule *service() const;

    // Reports to CrashWatch that the connection to the target was lost before it answered the
    // request sent at sentAt. CrashWatch determines whether the target crashed; if it did, an
    // unanswered request may be the cause.
    void reportLostUnanswered(const TargetEntry &target, TimePoint sentAt) const;

    // Reports to CrashWatch that the target ran the request, which it began to answer then, without
    // crashing.
    void reportSafeRun(const TargetEntry &target, TimePoint beganAt) const;

    // Whether the request may not be sent to the target, because such requests crash it.
    bool isBarredAt(const TargetEntry &target) const;

    // Answers the request if it may not be sent to any target any more.
    bool finishIfBarred();

    // Whether another target may crash like the one that was just lost, because a part of the
    // prompt is not known to run well there. The verdict is due after verdictDelay.
    bool mayCrashOthers(const TargetEntry &lost) const;

    // Returns how long the request waits for a verdict on one of its parts that stood at several
    // ends.
    Duration suspectedFor() const;

    // The target that has the request now; null if none has.
    virtual const TargetEntry *currentTarget() const = 0;

    // Targets of the request's service that are in use and lie in regions where it may run.
    std::vector<const TargetEntry *> allowedTargets() const;

    bool isAllowed(const TargetEntry &target) const;

    // Whether the request may run at targets with this version of their software.
    virtual bool acceptsVersion(std::string_view) const { return true; }

    // Allowed targets that currently accept work.
    std::vector<const TargetEntry *> usableTargets() const;

    // Usable targets that this request has not been sent to yet.
    std::vector<const TargetEntry *> untriedTargets() const;

    // Whether the route and the customer allow the region of the data centre.
    bool isAllowedIn(std::string_view dataCentre) const;

    // Describes a call to the target on behalf of this request.
    CallContext callContext(const TargetEntry &target, bool isNewWork) const;

    // Time for which this instance must not send to the target, because the target asked for a
    // pause, is cold, or has a rate limit that is exhausted.
    Duration remainingPause(const TargetEntry &target, double rate) const;

    // Requests per second that a cold target of the service accepts.
    double coldRequestsPerSecond() const;

    // Time until the first paused target accepts work again; empty if none is paused.
    std::optional<Duration> shortestPause() const;

    // Reason for the log why no target is available.
    std::string_view noTargetReason() const;

    // Refuses the request because all remaining targets are paused.
    void refuseAllPaused();

    // Requests permits for the target, which may have a rate limit or be brittle. Calls send if
    // they are granted and the target may still be used, and starts another attempt otherwise.
    void sendWhenPermitted(const TargetEntry &target,
                           const std::function<void(const TargetEntry &)> &send);

    // Requests a retry from the budget that all instances share. Calls proceed with whether it was
    // granted, immediately or after another instance's answer, unless the request ends before.
    void requestRetry(const std::function<void(bool)> &proceed);

    // Whether a retry has been requested and not decided yet.
    bool isRetryPending() const { return this->retryPending; }

    std::chrono::milliseconds timeLeft() const;

    const RequestIdentity &identity() const;
    const std::string &digest() const { return this->identity().digest; }
    const std::vector<std::string> &parts() const { return this->admitted.parts; }

    // Builds the request to send to the target; fills in the deadline, target name and customer of
    // orders.
    TargetRequest makeRequest(const TargetEntry &target, ForwardOptions orders,
                              const asio::ip::tcp::endpoint &endpoint) const;

    // Decides what the head of an answer to this request means.
    AnswerJudgement judge(const MessageHead &answer) const;

    // Sends a final answer generated by this instance. A result whose outcome is "not run" carries
    // the delay after which the caller should retry. If the response has begun, the connection is
    // closed before the end of the body instead, because a second status line would be read as part
    // of the body.
    void answerWithResult(ResultCode code, std::string_view detail);

    // Forwards a target's complete answer to the caller.
    void forwardAnswer(const MessageHead &head, std::string_view body, std::string_view target);

    // Ends and logs the request after it was answered by other means, or cannot be answered.
    void finish(ResultCode code, int status, std::string_view detail);

    bool isFinished() const { return this->finished; }
    void logDecision(std::string_view event, std::initializer_list<LogField> fields) const;
    void logDecision(std::string_view event, std::span<const LogField> fields) const;

    ExchangeContext &context;
    std::shared_ptr<CallerConnection> caller;
    AdmittedRequest admitted;
    std::string serviceName;
    std::set<std::string> tried; // ids of targets
    int sends = 0;               // attempts for which bytes may have been sent
    int runs = 0;                // sends that the target did not report as not run
    TimePoint deadline;          // time by which the final answer is due

private:
    // Wraps a function so that it is called with a permit only while the request is in service.
    std::function<void(const Permit &)>
    whileInService(const std::function<void(const Permit &)> &decided) const;
    void sendIfNotBrittle(const TargetEntry &target,
                          const std::function<void(const TargetEntry &)> &send);
    void onPermitDenied(const TargetEntry &target, const Permit &permit);
    std::chrono::milliseconds retryDelay(ResultCode code) const;
    void onCallerGone() override;
    void onDeadline();

    asio::steady_timer deadlineTimer;
    mutable std::optional<RequestIdentity> ownIdentity; // computed on first use
    bool retryPending = false;
    bool finished = false;
};

// Returns a target's response headers without hop-by-hop headers.
std::vector<HttpHeader> answerHeaders(std::span<const HttpHeader> headers);

// Removes hop-by-hop headers, including those that the Connection header names, and Expect.
std::vector<HttpHeader> withoutHopByHop(std::span<const HttpHeader> headers);

// Returns a random delay after which a refused caller should retry: where targets were full, at
// most the fraction maxPart of the route's objective.
std::chrono::milliseconds retryAfterDelay(ResultCode code, const RouteRule *route, double maxPart,
                                          std::mt19937_64 &random);

std::shared_ptr<Exchange> makePlainExchange(ExchangeContext &context,
                                            std::shared_ptr<CallerConnection> caller,
                                            AdmittedRequest admitted);
std::shared_ptr<Exchange> makeStreamExchange(ExchangeContext &context,
                                             std::shared_ptr<CallerConnection> caller,
                                             AdmittedRequest admitted);

} // namespace jaytrack

#endif
