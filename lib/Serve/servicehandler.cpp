#include "jaytrack/Serve/servicehandler.h"

#include "jaytrack/Cluster/pausedetector.h"
#include "jaytrack/Config/documentstore.h"
#include "jaytrack/Config/settings.h"
#include "jaytrack/Quarantine/crashwatch.h"
#include "jaytrack/Quarantine/requestdigest.h"
#include "jaytrack/Serve/targetlimits.h"
#include "jaytrack/Support/digest.h"
#include "jaytrack/Support/keyring.h"
#include "jaytrack/Support/log.h"
#include "jaytrack/Support/metrics.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cassert>

namespace jaytrack {

namespace {

constexpr std::string_view ticketParameter = "jaytrack_ticket";
constexpr std::string_view keyHeader = "Idempotency-Key";
constexpr int redirectStatus = 307;
constexpr int unavailableStatus = 503;
constexpr int maxAttempts = 3;
constexpr std::chrono::milliseconds targetConnectTimeout{500};
constexpr std::chrono::milliseconds retryDelay{1000};

// Headers that apply to one connection only or that jaytrack sets itself.
constexpr std::array<std::string_view, 14> nonForwardedHeaders = {"Connection",
                                                                  "Keep-Alive",
                                                                  "Proxy-Authenticate",
                                                                  "Proxy-Authorization",
                                                                  "TE",
                                                                  "Trailer",
                                                                  "Transfer-Encoding",
                                                                  "Upgrade",
                                                                  "Content-Length",
                                                                  "Host",
                                                                  "Authorization",
                                                                  "Expect",
                                                                  "Jaytrack-Ticket",
                                                                  "Idempotency-Key"};

bool isForwarded(std::string_view name)
{
    return std::none_of(nonForwardedHeaders.begin(), nonForwardedHeaders.end(),
                        [name](std::string_view other) { return sameHeaderName(name, other); });
}

// Returns the query without the ticket, which is not forwarded to targets.
std::string queryWithoutTicket(std::string_view query)
{
    std::string kept;
    while (!query.empty()) {
        const std::size_t end = query.find('&');
        const std::string_view pair = query.substr(0, end);
        query.remove_prefix(end == std::string_view::npos ? query.size() : end + 1);
        if (pair.substr(0, pair.find('=')) == ticketParameter)
            continue;
        kept += kept.empty() ? "" : "&";
        kept += pair;
    }
    return kept;
}

} // namespace

struct ServiceHandler::Call
{
    Caller caller;
    const Service *service = nullptr; // within the caller's document
    std::string path;
    std::string query;
    HttpRequest request;
    std::shared_ptr<ResponseWriter> writer;
    bool idempotent = false;
    bool mayRunAgain = false;      // idempotent, or the target deduplicates requests
    std::string bodyDigest;        // set if the request carries a ticket
    std::int64_t ticketSerial = 0; // 0 if the request runs without a ticket
    int attempts = 0;
    int sends = 0; // attempts whose bytes may have been sent
    bool mayHaveReachedTarget = false;
    int unansweredLosses = 0; // connections lost before a response arrived
    std::vector<std::string> tried;
    TimePoint startedAt;
    TimePoint sentAt;
    RequestRecord record;

    std::string scope() const
    {
        return this->request.method + " /" + this->service->name + this->path;
    }

    std::string ticketedUrl(const std::string &sealed) const
    {
        return "/" + this->service->name + this->path + "?" +
               (this->query.empty() ? "" : this->query + "&") + std::string(ticketParameter) + "=" +
               sealed;
    }

    // Identifies the request when its caller sends it again, under any ticket.
    RequestIdentity identity() const
    {
        return {requestDigest({this->request.method, this->service->name,
                               this->path + "?" + this->query, this->caller.customer->name,
                               this->request.body})};
    }

    // Digest of the query and the body, to which the ticket is bound.
    std::string digest() const { return sha256Hex(this->query + "\n" + this->request.body); }
};

ServiceHandler::ServiceHandler(ServeContext &ctx, RequestLog &requestLog)
    : context(ctx)
    , log(requestLog)
    , ledger(ctx.instanceName, ctx.incarnation, LedgerBounds{ctx.settings.ledgerBytes})
    , health(ctx.clock, static_cast<std::uint64_t>(ctx.incarnation))
    , pauses(ctx.clock)
{
}

void ServiceHandler::handle(Caller caller, const Service &service, std::string path,
                            HttpRequest request, std::shared_ptr<ResponseWriter> writer)
{
    auto call = std::make_shared<Call>();
    call->caller = std::move(caller);
    call->service = &service;
    call->path = std::move(path);
    call->query = queryWithoutTicket(request.query);
    call->request = std::move(request);
    call->writer = std::move(writer);
    call->startedAt = this->context.clock.now();
    call->idempotent = service.isIdempotent(call->request.method, call->path);
    const bool keyed = !call->request.header(keyHeader).empty();
    call->mayRunAgain = call->idempotent || (keyed && service.deduplicates);
    call->record.id = call->caller.requestId;
    call->record.customer = call->caller.customer->name;
    call->record.subject = call->scope();
    call->record.levelSubject = service.name;
    call->record.level.share = service.objectiveShare;
    call->record.revision = call->caller.document->revision;

    std::string sealed(call->request.header(ticketHeader));
    if (sealed.empty())
        sealed = call->request.queryValue(ticketParameter);
    if (!sealed.empty())
        call->bodyDigest = call->digest();
    const std::lock_guard lock(this->mutex);
    this->active[call->caller.requestId] = call;
    if (!sealed.empty()) {
        this->runTicketed(call, sealed);
        return;
    }
    if (call->mayRunAgain) {
        call->record.reason = call->idempotent ? "idempotent" : "the target deduplicates requests";
        this->attempt(call);
        return;
    }
    this->offerTicket(call);
}

// The request does not run until its caller holds the ticket. If the response with the ticket is
// lost, a repeated first request only obtains another ticket. All repeats under one ticket reach
// the same ledger, which records whether the request ran.
void ServiceHandler::offerTicket(const CallPointer &call)
{
    const Ticket ticket = this->ledger.issue(call->caller.customer->name, call->scope(),
                                             this->context.clock.now());
    const std::string sealed = ticket.seal(this->context.keys);
    const std::string url = call->ticketedUrl(sealed);
    // Requests with an idempotency key get an error instead of a redirect: a caller with a key may
    // start again at the first URL, which would obtain a second ticket for the same key.
    const bool keyed = !call->request.header(keyHeader).empty();
    std::vector<HttpHeader> headers =
            outcomeHeaders(ResultCode::TicketRequired, call->caller.requestId);
    headers.push_back({"Location", url});
    headers.push_back({std::string(ticketHeader), sealed});
    headers.push_back({"Content-Type", "application/json"});
    const nlohmann::json body = {{"ticket", sealed},
                                 {"url", url},
                                 {"outcome", "not-run"},
                                 {"code", static_cast<int>(ResultCode::TicketRequired)},
                                 {"message", "repeat the request at this URL; it then runs at "
                                             "most once however often it is repeated"}};
    const int status = keyed ? describe(ResultCode::TicketRequired).httpStatus : redirectStatus;
    call->writer->respond(status, headers,
                          body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
    call->record.reason = "issued a ticket";
    this->end(call, ResultCode::TicketRequired);
}

void ServiceHandler::runTicketed(const CallPointer &call, const std::string &sealed)
{
    const std::optional<Ticket> ticket = Ticket::unseal(this->context.keys, sealed);
    if (!ticket || ticket->customer != call->caller.customer->name ||
        ticket->scope != call->scope()) {
        this->refuse(call, {ResultCode::MalformedTicket, "", {}});
        return;
    }
    if (this->ledger.isIssuerOf(*ticket))
        this->runAsIssuer(call, *ticket);
    else
        this->forward(call, *ticket);
}

void ServiceHandler::runAsIssuer(const CallPointer &call, const Ticket &ticket)
{
    call->record.reason = "run under a ticket of this instance";
    const Claim claim = this->ledger.claim(ticket, call->bodyDigest, this->context.clock.now());
    switch (claim.kind) {
    case ClaimKind::Run:
        call->ticketSerial = ticket.serial;
        this->attempt(call);
        return;
    case ClaimKind::Wait:
        this->waiters[ticket.serial].push_back(call);
        return;
    case ClaimKind::Answered:
        this->answer(call, claim.answer);
        return;
    case ClaimKind::Refused:
        this->refuse(call, {claim.code, "", {}});
        return;
    }
}

// Only the incarnation that issued the ticket knows whether its request ran. If that incarnation is
// gone, the outcome is reported as unknown.
void ServiceHandler::forward(const CallPointer &call, const Ticket &ticket)
{
    call->record.reason = "forwarded to " + ticket.issuer + ", which issued its ticket";
    call->mayHaveReachedTarget = true;
    const auto issuer = this->context.peers.find(ticket.issuer, ticket.incarnation);
    const bool forwardedBefore = !call->request.header(forwardedHeader).empty();
    if (!issuer || !issuer->alive || forwardedBefore) {
        this->refuse(call, {ResultCode::IssuerGone, "", {}});
        return;
    }
    HttpCall forwarded;
    forwarded.method = call->request.method;
    forwarded.url =
            "http://" + issuer->callerAddress + call->ticketedUrl(ticket.seal(this->context.keys));
    forwarded.body = call->request.body;
    forwarded.connectTimeout = targetConnectTimeout;
    forwarded.totalTimeout = call->service->timeout + targetConnectTimeout;
    forwarded.mayRepeat = true; // the issuer's ledger detects repeats
    for (const HttpHeader &header : call->request.headers) {
        if (isForwarded(header.name) || sameHeaderName(header.name, "Authorization"))
            forwarded.headers.push_back(header);
    }
    forwarded.headers.push_back({std::string(forwardedHeader), this->context.instanceName});
    fetchLater(this->context.targets, std::move(forwarded), this->context.settings.maxAnswerBytes,
               [this, call](FetchedAnswer answer) { this->onForwarded(call, std::move(answer)); });
}

void ServiceHandler::onForwarded(const CallPointer &call, FetchedAnswer answer)
{
    const std::lock_guard lock(this->mutex);
    const std::optional<int> code = [&answer]() -> std::optional<int> {
        const std::string_view text = findHeader(answer.headers, codeHeader);
        if (text.empty() || text.find_first_not_of("0123456789") != std::string_view::npos)
            return std::nullopt;
        return std::stoi(std::string(text.substr(0, 4)));
    }();
    const auto codes = allResultCodes();
    const bool known = code && std::any_of(codes.begin(), codes.end(), [&](const auto &row) {
                           return static_cast<int>(row.code) == *code;
                       });
    if (!answer.end.whole || !known) {
        this->refuse(call, {ResultCode::IssuerGone, answer.end.error, {}});
        return;
    }
    const StoredAnswer kept{static_cast<ResultCode>(*code), answer.end.status,
                            std::string(findHeader(answer.headers, "Content-Type")),
                            std::move(answer.body)};
    this->answer(call, kept);
}

// Returns how long no request may be sent to the target, because it sent Retry-After or because its
// rate limit is exhausted.
Duration ServiceHandler::unavailableFor(const ServiceTarget &target) const
{
    return std::max(this->pauses.remaining(target.name),
                    this->context.limits.remainingBackoff(target.name));
}

// A call keeps the document that it began with, but a target may have been put out of service
// since.
bool ServiceHandler::isLeaving(const Service &service, const ServiceTarget &target) const
{
    if (target.leaving)
        return true;
    const auto newest = this->context.documents.current();
    const Service *found = newest ? newest->findService(service.name) : nullptr;
    if (found == nullptr)
        return false;
    return std::none_of(found->targets.begin(), found->targets.end(),
                        [&target](const ServiceTarget &listed) {
                            return listed.name == target.name && !listed.leaving;
                        });
}

const ServiceTarget *ServiceHandler::chooseTarget(const Call &call)
{
    std::vector<const ServiceTarget *> usable;
    std::vector<std::string_view> names;
    for (const ServiceTarget &target : call.service->targets) {
        const bool tried =
                std::find(call.tried.begin(), call.tried.end(), target.name) != call.tried.end();
        const bool leaving = this->isLeaving(*call.service, target);
        if (leaving || tried || this->unavailableFor(target) > Duration(0))
            continue;
        usable.push_back(&target);
        names.push_back(target.name);
    }
    const int chosen = usable.empty() ? -1 : this->health.choose(names);
    return chosen < 0 ? nullptr : usable[static_cast<std::size_t>(chosen)];
}

// Returns how long the request remains barred from all targets; zero if it is not barred.
Duration ServiceHandler::barredFor(const Call &call) const
{
    return this->context.crashes.isIdle() ? Duration(0)
                                          : this->context.crashes.barredFor(call.identity());
}

// Reports to CrashWatch whether the request completed or may have crashed the target.
void ServiceHandler::recordAttempt(Call &call, const ServiceTarget &target,
                                   const FetchedAnswer &answer) const
{
    if (answer.end.whole && !this->context.crashes.isIdle())
        this->context.crashes.recordSafeRun({call.identity(), call.service->name, call.sentAt});
    const bool unanswered = !answer.end.whole && answer.headers.empty();
    if (!unanswered || !answer.end.maySentBytes || target.leaving)
        return;
    ++call.unansweredLosses;
    this->context.crashes.recordUnansweredLoss(
            {target.name, target.address, call.service->name, call.identity(), call.sentAt});
}

// Returns the time until the first unavailable target accepts requests again; zero if no target is
// unavailable.
Duration ServiceHandler::shortestUnavailability(const Call &call) const
{
    Duration shortest{0};
    for (const ServiceTarget &target : call.service->targets) {
        const Duration remaining = this->unavailableFor(target);
        if (remaining > Duration(0) && (shortest == Duration(0) || remaining < shortest))
            shortest = remaining;
    }
    return shortest;
}

void ServiceHandler::attempt(const CallPointer &call)
{
    // After a long pause of the process its data may be outdated, so nothing is sent; see
    // PauseDetector.
    if (!this->context.pauseDetector.mayAct()) {
        this->refuse(call, {ResultCode::AsleepTooLong, "", retryDelay});
        return;
    }
    const Duration barred = this->barredFor(*call);
    if (barred > Duration(0)) {
        this->refuse(call,
                     {ResultCode::RequestBarred, "targets crashed while they ran this request",
                      std::chrono::duration_cast<std::chrono::milliseconds>(barred)});
        return;
    }
    const ServiceTarget *target = this->chooseTarget(*call);
    if (target == nullptr) {
        const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(
                this->shortestUnavailability(*call));
        this->refuse(call, {ResultCode::Overloaded, "no target of the service is available",
                            std::max(wait, retryDelay)});
        return;
    }
    const auto later = [this, call, target](const Permit &permit) {
        const std::lock_guard lock(this->mutex);
        this->onPermit(call, *target, permit);
    };
    if (const auto permit = this->context.limits.request(target->name, later))
        this->onPermit(call, *target, *permit);
}

void ServiceHandler::onPermit(const CallPointer &call, const ServiceTarget &target,
                              const Permit &permit)
{
    if (!permit.granted)
        logPermitDenied(call->caller.requestId, target.name, permit);
    // The target may have been put out of service while the permit was requested.
    if (!permit.granted || this->isLeaving(*call->service, target))
        return this->attempt(call);
    this->send(call, target);
}

void ServiceHandler::send(const CallPointer &call, const ServiceTarget &target)
{
    ++call->attempts;
    call->tried.push_back(target.name);
    call->record.target = target.name;
    call->sentAt = this->context.clock.now();
    this->health.began(target.name, call->service->name);
    HttpCall out;
    out.method = call->request.method;
    out.url = "http://" + target.address + call->path +
              (call->query.empty() ? "" : "?" + call->query);
    out.body = call->request.body;
    out.connectTimeout = targetConnectTimeout;
    out.totalTimeout = call->service->timeout;
    out.mayRepeat = call->mayRunAgain;
    for (const HttpHeader &header : call->request.headers) {
        if (isForwarded(header.name))
            out.headers.push_back(header);
    }
    out.headers.push_back({"X-Request-Id", call->caller.requestId});
    out.headers.push_back({"X-Customer", call->caller.customer->name});
    // Two customers may use the same key, so the customer's name is prepended.
    const std::string_view key = call->request.header(keyHeader);
    if (!key.empty() && call->service->deduplicates)
        out.headers.push_back(
                {std::string(keyHeader), call->caller.customer->name + ":" + std::string(key)});
    fetchLater(this->context.targets, std::move(out), this->context.settings.maxAnswerBytes,
               [this, call, &target](const FetchedAnswer &answer) {
                   this->onAnswer(call, target, answer);
               });
}

void ServiceHandler::onAnswer(const CallPointer &call, const ServiceTarget &target,
                              const FetchedAnswer &answer)
{
    const std::lock_guard lock(this->mutex);
    const TimePoint now = this->context.clock.now();
    this->health.ended(target.name, !answer.end.whole, now - call->sentAt);
    call->record.firstByte = now - call->startedAt;
    call->mayHaveReachedTarget |= answer.end.maySentBytes;
    call->sends += answer.end.maySentBytes ? 1 : 0;
    this->recordAttempt(*call, target, answer);
    this->updateLimit(*call, target, answer);
    const auto retryAfter = parseRetryAfter(findHeader(answer.headers, "Retry-After"));
    if (answer.end.whole && answer.end.status == unavailableStatus && retryAfter)
        this->pauses.pause(target.name, *retryAfter);
    if (answer.end.whole) {
        const StoredAnswer kept{ResultCode::Ok, answer.end.status,
                                std::string(findHeader(answer.headers, "Content-Type")),
                                answer.body};
        this->settle(call, kept);
        return;
    }
    if (this->mayRepeat(call, answer)) {
        if (call->unansweredLosses >= lossesBeforePause)
            this->delayed.emplace_back(now + verdictDelay, call);
        else
            this->attempt(call);
        return;
    }
    if (!call->mayHaveReachedTarget) {
        this->refuse(call, {ResultCode::TargetUnreachable, answer.end.error, retryDelay});
        return;
    }
    const bool timedOut = now - call->sentAt >= call->service->timeout;
    const FinalStatus finalStatus{
            timedOut ? ResultCode::TargetTimeout : ResultCode::TargetLost, answer.end.error, {}};
    this->settle(call, {finalStatus.code, describe(finalStatus.code).httpStatus, "application/json",
                        errorBody(finalStatus, call->caller.requestId)});
}

void ServiceHandler::updateLimit(const Call &call, const ServiceTarget &target,
                                 const FetchedAnswer &answer)
{
    if (!answer.end.whole)
        return;
    updateTargetLimit(this->context.limits, target.name, {answer.end.status, answer.headers},
                      this->context.clock.now() - call.sentAt);
}

// Ensures at-most-once execution: a request is sent again only if it may run twice, or if none of
// its bytes can have reached the target.
bool ServiceHandler::mayRepeat(const CallPointer &call, const FetchedAnswer &answer)
{
    // A newer revision that has not reached this instance may declare the route not idempotent.
    const bool trusted = call->mayRunAgain && !this->context.configMayBeStale();
    const bool safe = trusted || !answer.end.maySentBytes;
    const bool elsewhere = call->tried.size() < call->service->targets.size();
    if (!safe || !elsewhere)
        return false;
    // Targets that have ended refuse connections immediately. If such failures counted as attempts,
    // requests would be refused although other targets are available.
    if (!answer.end.maySentBytes)
        return true;
    return call->sends < maxAttempts && this->health.takeRetry();
}

// Completes a request that ran or may have run.
void ServiceHandler::settle(const CallPointer &call, const StoredAnswer &answer)
{
    if (call->ticketSerial != 0) {
        this->ledger.complete(call->ticketSerial, answer, this->context.clock.now());
        this->notifyWaiters(call->ticketSerial, answer);
    }
    this->answer(call, answer);
}

void ServiceHandler::notifyWaiters(std::int64_t serial, const StoredAnswer &answer)
{
    const auto found = this->waiters.find(serial);
    if (found == this->waiters.end())
        return;
    const std::vector<CallPointer> waiting = std::move(found->second);
    this->waiters.erase(found);
    for (const CallPointer &call : waiting)
        this->answer(call, answer);
}

void ServiceHandler::answer(const CallPointer &call, const StoredAnswer &answer)
{
    std::vector<HttpHeader> headers = outcomeHeaders(answer.code, call->caller.requestId);
    if (!answer.contentType.empty())
        headers.push_back({"Content-Type", answer.contentType});
    call->writer->respond(answer.status, headers, answer.body);
    this->end(call, answer.code);
}

// Completes a request that did not run, or for which this instance does not know whether it ran.
void ServiceHandler::refuse(const CallPointer &call, const FinalStatus &requestedStatus)
{
    FinalStatus finalStatus = requestedStatus;
    if (call->mayHaveReachedTarget && describe(finalStatus.code).outcome == Outcome::NotRun)
        finalStatus.code = ResultCode::TargetLost;
    if (call->ticketSerial != 0) {
        const bool notRun = describe(finalStatus.code).outcome == Outcome::NotRun;
        const StoredAnswer kept{finalStatus.code, describe(finalStatus.code).httpStatus,
                                "application/json", errorBody(finalStatus, call->caller.requestId)};
        if (notRun)
            this->ledger.release(call->ticketSerial);
        else
            this->ledger.complete(call->ticketSerial, kept, this->context.clock.now());
        this->notifyWaiters(call->ticketSerial, kept);
    }
    answerError(*call->writer, finalStatus, call->caller.requestId);
    if (!finalStatus.detail.empty())
        call->record.reason += "; " + finalStatus.detail;
    this->end(call, finalStatus.code);
}

void ServiceHandler::end(const CallPointer &call, ResultCode code)
{
    call->record.code = code;
    call->record.recoveries = std::max(0, call->attempts - 1);
    call->record.total = this->context.clock.now() - call->startedAt;
    call->caller.admission.reset();
    this->active.erase(call->caller.requestId);
    this->log.add(call->record);
}

void ServiceHandler::sweep()
{
    const std::lock_guard lock(this->mutex);
    const TimePoint now = this->context.clock.now();
    while (!this->delayed.empty() && this->delayed.front().first <= now) {
        const CallPointer call = std::move(this->delayed.front().second);
        this->delayed.pop_front();
        this->attempt(call);
    }
}

std::size_t ServiceHandler::inService() const
{
    const std::lock_guard lock(this->mutex);
    return this->active.size();
}

std::size_t ServiceHandler::ledgerSize() const
{
    const std::lock_guard lock(this->mutex);
    return this->ledger.size();
}

std::size_t ServiceHandler::ledgerBytes() const
{
    const std::lock_guard lock(this->mutex);
    return this->ledger.storedBytes();
}

void ServiceHandler::logInService() const
{
    const std::lock_guard lock(this->mutex);
    for (const auto &[id, call] : this->active)
        logEvent(Severity::Warning, "request_cut", {{"id", id}});
}

} // namespace jaytrack
