// One request of a caller from its admission to its final answer.
#ifndef JAYTRACK_PROXY_EXCHANGE_H
#define JAYTRACK_PROXY_EXCHANGE_H

#include "jaytrack/Limits/limitgate.h"
#include "jaytrack/Net/callerconnection.h"
#include "jaytrack/Net/targetcall.h"
#include "jaytrack/Policy/targethealth.h"
#include "jaytrack/Proxy/entrytuning.h"
#include "jaytrack/Proxy/selfreports.h"
#include "jaytrack/Quarantine/crashwatch.h"
#include "jaytrack/Routing/admission.h"
#include "jaytrack/Routing/coldtargets.h"
#include "jaytrack/Routing/enginechoice.h"
#include "jaytrack/Routing/engineshares.h"
#include "jaytrack/Routing/retrybudget.h"
#include "jaytrack/Routing/targetdirectory.h"
#include "jaytrack/Support/log.h"

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

// Tells the other instances what the generations of this one take and give back at engines.
class PlacementNotices
{
public:
    virtual ~PlacementNotices() = default;
    virtual void announcePlaced(std::string_view engine, const GenerationNeed &need,
                                bool copied) = 0;
    virtual void announceReleased(std::string_view engine, std::uint32_t tokens) = 0;
    virtual void announceFailed(std::string_view engine) = 0;
};

// What all requests of an instance share.
struct ExchangeContext
{
    asio::io_context &loop;
    const Clock &clock;
    const Dialect &dialect;
    Metrics &metrics;
    TargetDirectory &directory;
    TargetHealth &health;
    EngineChoice &engines;
    const EngineShares &shares;
    RetryBudget &retries;
    const std::map<std::string, std::string, std::less<>> &regions; // by data centre
    std::mt19937_64 &random;
    PlacementNotices &notices;
    CrashWatch &crashes;
    SelfReports &selfReports;
    const TargetPauses &pauses;
    ColdTargets &cold;
    LimitGate &limits;
    const StreamOptions &streams;
    std::set<std::shared_ptr<Exchange>>
            &open; // keeps each exchange alive until its answer is given
};

// A request that was admitted.
struct AdmittedRequest
{
    CallerRequest request;
    RequestFacts facts;
    Admission admission;
    std::shared_ptr<const RoutingTable> table; // the version that the request is decided under
};

// By which a request is recognised when its caller sends it again.
std::string digestOf(const AdmittedRequest &admitted);

class Exchange : public CallerListener, public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(ExchangeContext &shared, std::shared_ptr<CallerConnection> from,
             AdmittedRequest admitted);
    ~Exchange() override;
    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;

    void start();

    // A target may no longer be given work and will end.
    virtual void onTargetLeaving(const TargetEntry &entry, std::string_view reason) = 0;

    // Nothing new may be sent to the targets of a data centre; what runs there goes on.
    virtual void onDataCentreOutOfUse(std::string_view dataCentre) = 0;

    // A target started again; what it worked on is lost.
    virtual void onTargetRestarted(const TargetEntry &ended) = 0;

    // No target may be given the request any more. An answer that has begun goes on: its target
    // runs it without harm.
    void onRequestBarred(std::string_view barredDigest);

    // The instance ends now, so the caller gets the final answer that can be given.
    void onInstanceEnding();

protected:
    virtual void attempt() = 0;
    virtual void cancelCalls() = 0;

    // Adds what the line at the end of the request shall say beyond code and time.
    virtual void describeEnd(std::vector<LogField> &fields) const;

    // Whether the head of the answer has gone to the caller, after which only its end can be told.
    virtual bool hasBegunAnswer() const { return false; }

    // Whether some target may have begun to work on the request.
    virtual bool mayHaveRun() const = 0;

    const RouteRule &route() const { return *this->admitted.admission.route; }
    const CallerRequest &request() const { return this->admitted.request; }
    const RequestFacts &facts() const { return this->admitted.facts; }
    const ServiceRule *service() const;

    // The connection on which the request went to a target at that moment was lost. Whether the
    // target ended is found out elsewhere; if it did, a request to which it had answered nothing
    // may be what ended it.
    void noteLostUnanswered(const TargetEntry &target, TimePoint sentAt) const;

    // A target has run the request without harm.
    void noteRanWell() const;

    // Targets of the request's service that are in use, in regions where it may run.
    std::vector<const TargetEntry *> allowedTargets() const;

    bool isAllowed(const TargetEntry &target) const;

    // Those of them that want work now.
    std::vector<const TargetEntry *> usableTargets() const;

    // Those of them that were not tried yet.
    std::vector<const TargetEntry *> untried() const;

    // Whether the route and the customer allow the region of the target.
    bool isAllowedAt(const TargetEntry &target) const;

    // How long the target may get nothing of this instance: it wants rest, is cold, or names a
    // limit that is used up.
    Duration restOf(const TargetEntry &target, double rate) const;

    // Requests a second that a cold target of the service bears.
    double coldRate() const;

    // The time until the first target that wants no work now takes some again.
    std::optional<Duration> shortestRest() const;

    // Why a request finds no target, for the log.
    std::string_view lackOfTargets() const;

    // Ends the request because all targets that are left want no work for a while.
    void refuseUntilRested();

    // Goes on once it is known whether the target, which may name a limit, takes one request more:
    // with what is given if it does and may still be used, else with another attempt.
    void whenPermitted(const TargetEntry &target,
                       const std::function<void(const TargetEntry &)> &send);

    std::chrono::milliseconds timeLeft() const;

    // By which the request is recognised when its caller sends it again.
    const std::string &digest() const;

    // The request as it goes to a target. Orders about deadline, identity and customer are filled
    // in.
    TargetRequest makeRequest(const TargetEntry &target, ForwardOptions orders,
                              const asio::ip::tcp::endpoint &endpoint) const;

    // Final answers of the instance's own. A code whose outcome is "not run" carries the delay
    // after which the caller had better come back. If the answer has begun, the connection is
    // closed without its end instead: a second status line would be read as a part of the body.
    void answerOwn(ResultCode code, std::string_view detail);

    // Passes on a target's whole answer.
    void answerWhole(const MessageHead &head, std::string_view body, std::string_view target);

    // Ends the request after the answer was given by other means, or cannot be given.
    void finish(ResultCode code, int status, std::string_view detail);

    bool isFinished() const { return this->finished; }
    void logDecision(std::string_view event, std::initializer_list<LogField> fields) const;
    void logDecision(std::string_view event, std::span<const LogField> fields) const;

    ExchangeContext &context;
    std::shared_ptr<CallerConnection> caller;
    AdmittedRequest admitted;
    std::string serviceName;
    std::set<std::string> tried; // ids of targets
    int sends = 0;               // attempts of which bytes may have left
    int runs = 0;                // those of them that the target did not vouch for as not run
    TimePoint limit;             // the final answer is due by then

private:
    void goOnWith(const TargetEntry &target, const Permit &permit,
                  const std::function<void(const TargetEntry &)> &send);
    std::chrono::milliseconds delayToReturn(ResultCode code) const;
    void onCallerGone() override;
    void onLimit();

    asio::steady_timer limitTimer;
    mutable std::string knownDigest; // empty until it is asked for
    bool finished = false;
};

// The headers of a target's answer that concern the caller; those of the connection stay behind.
std::vector<HttpHeader> answerHeaders(std::span<const HttpHeader> headers);

// Headers that concern only one connection, among them those that Connection names.
std::vector<HttpHeader> withoutHopByHop(std::span<const HttpHeader> headers);

// How long a caller who was refused had better wait before it comes back: at most that part of its
// objective where targets were full.
std::chrono::milliseconds comeBackDelay(ResultCode code, const RouteRule *route, double most,
                                        std::mt19937_64 &random);

std::shared_ptr<Exchange> makePlainExchange(ExchangeContext &context,
                                            std::shared_ptr<CallerConnection> caller,
                                            AdmittedRequest admitted);
std::shared_ptr<Exchange> makeStreamExchange(ExchangeContext &context,
                                             std::shared_ptr<CallerConnection> caller,
                                             AdmittedRequest admitted);

} // namespace jaytrack

#endif
