#include "jaytrack/Proxy/exchange.h"

#include "jaytrack/Net/socket.h"
#include "jaytrack/Quarantine/requestdigest.h"
#include "jaytrack/Support/metrics.h"

#include <algorithm>
#include <array>

namespace jaytrack {

namespace {

constexpr std::array<std::string_view, 8> hopByHopHeaders = {
        "Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding",
        "TE",         "Trailer",    "Upgrade",          "Content-Length"};

// Time for the bytes already written to a broken stream to be sent before the connection is closed.
// It is shorter once the caller's deadline has passed, since closing the connection is then the
// final answer.
constexpr std::chrono::milliseconds abortTimeout{1000};
constexpr std::chrono::milliseconds lateAbortTimeout{200};

constexpr std::chrono::milliseconds defaultTimeout = std::chrono::hours(1);

bool isHopByHop(std::string_view name, std::string_view connectionOptions)
{
    for (const std::string_view known : hopByHopHeaders) {
        if (sameHeaderName(known, name))
            return true;
    }
    while (!connectionOptions.empty()) {
        const std::size_t comma = connectionOptions.find(',');
        std::string_view option = connectionOptions.substr(0, comma);
        while (option.starts_with(' '))
            option.remove_prefix(1);
        while (option.ends_with(' '))
            option.remove_suffix(1);
        if (sameHeaderName(option, name))
            return true;
        connectionOptions.remove_prefix(comma == std::string_view::npos ? connectionOptions.size()
                                                                        : comma + 1);
    }
    return false;
}

} // namespace

std::vector<HttpHeader> withoutHopByHop(std::span<const HttpHeader> headers)
{
    const std::string_view options = findHeader(headers, "Connection");
    std::vector<HttpHeader> kept;
    kept.reserve(headers.size());
    for (const HttpHeader &header : headers) {
        if (!isHopByHop(header.name, options) && !sameHeaderName(header.name, "Expect"))
            kept.push_back(header);
    }
    return kept;
}

std::vector<HttpHeader> answerHeaders(std::span<const HttpHeader> headers)
{
    return withoutHopByHop(headers);
}

// The delay is random so that many callers refused at the same moment do not all retry together. A
// caller refused only because this instance cannot serve may go to another instance at once; a
// caller that met full targets waits for a fraction of the objective.
std::chrono::milliseconds retryAfterDelay(ResultCode code, const RouteRule *route, double maxPart,
                                          std::mt19937_64 &random)
{
    static constexpr std::chrono::milliseconds soon{20};
    static constexpr std::chrono::milliseconds unknownRoute{200};
    const std::chrono::milliseconds objective =
            route == nullptr || route->objective.count() == 0 ? unknownRoute : route->objective;
    const bool instanceOnly = code == ResultCode::Draining || code == ResultCode::NotReady ||
                              code == ResultCode::ConfigurationStale;
    const auto part = static_cast<std::int64_t>(static_cast<double>(objective.count()) * maxPart);
    const std::int64_t longest = instanceOnly ? soon.count() * 2 : std::max(soon.count() * 2, part);
    std::uniform_int_distribution<std::int64_t> delay(soon.count(), longest);
    return std::chrono::milliseconds(delay(random));
}

std::string softwareOf(std::string_view service, std::string_view version)
{
    return std::string(service) + "/" + std::string(version);
}

std::string softwareOf(const TargetEntry &target)
{
    return softwareOf(target.service, target.softwareVersion);
}

RequestIdentity identityOf(const AdmittedRequest &admitted)
{
    const MessageHead &head = admitted.request.head;
    const KeyHolder *holder = admitted.admission.holder;
    const std::string_view customer = holder != nullptr ? std::string_view(holder->customer) : "";
    return {requestDigest({head.method, head.header("Host"), head.target, customer,
                           admitted.request.body}),
            admitted.parts};
}

Exchange::Exchange(ExchangeContext &shared, std::shared_ptr<CallerConnection> connection,
                   AdmittedRequest admittedRequest)
    : context(shared)
    , caller(std::move(connection))
    , admitted(std::move(admittedRequest))
    , deadlineTimer(shared.loop)
{
    std::uniform_real_distribution<double> draw(0, 1);
    this->serviceName = RoutingTable::pickService(this->route(), draw(shared.random));
    std::chrono::milliseconds wait = this->facts().timeLeft.value_or(defaultTimeout);
    if (this->route().timeout.count() > 0)
        wait = std::min(wait, this->route().timeout);
    this->deadline = this->request().arrived + wait;
}

Exchange::~Exchange() = default;

void Exchange::start()
{
    this->context.open.insert(this->shared_from_this());
    this->caller->attach(this->shared_from_this());
    this->context.retries.earn(this->serviceName);
    this->deadlineTimer.expires_after(std::max(this->timeLeft(), std::chrono::milliseconds(0)));
    this->deadlineTimer.async_wait(
            [self = this->shared_from_this()](const asio::error_code &failure) {
                if (!failure && !self->finished)
                    self->onDeadline();
            });
    this->attempt();
}

const ServiceRule *Exchange::service() const
{
    return this->admitted.table->serviceNamed(this->serviceName);
}

std::vector<const TargetEntry *> Exchange::usableTargets() const
{
    std::vector<const TargetEntry *> targets = this->allowedTargets();
    const double rate = this->coldRequestsPerSecond();
    std::erase_if(targets, [this, rate](const TargetEntry *entry) {
        return this->remainingPause(*entry, rate) > Duration(0);
    });
    return targets;
}

std::vector<const TargetEntry *> Exchange::allowedTargets() const
{
    std::vector<const TargetEntry *> targets = this->context.directory.usable(this->serviceName);
    // A fleet has thousands of targets and few versions of their software.
    const bool mayBeBarred = this->context.crashes.hasBars();
    std::map<std::string_view, bool> barred; // by version
    std::erase_if(targets, [&](const TargetEntry *entry) {
        if (!this->isAllowedIn(entry->dataCentre) || !this->acceptsVersion(entry->softwareVersion))
            return true;
        if (!mayBeBarred)
            return false;
        const auto [known, isNew] = barred.try_emplace(entry->softwareVersion, false);
        if (isNew)
            known->second = this->isBarredAt(*entry);
        return known->second;
    });
    return targets;
}

bool Exchange::isAllowedIn(std::string_view dataCentre) const
{
    const KeyHolder *holder = this->admitted.admission.holder;
    if (this->route().regions.empty() && (holder == nullptr || holder->regions.empty()))
        return true;
    const auto found = this->context.regions.find(dataCentre);
    const std::string_view region =
            found == this->context.regions.end() ? std::string_view() : found->second;
    return allowsRegion(this->route().regions, region) &&
           (holder == nullptr || allowsRegion(holder->regions, region));
}

CallContext Exchange::callContext(const TargetEntry &target, bool isNewWork) const
{
    CallContext about;
    about.target = target.id;
    about.service = target.service;
    about.attemptId = this->facts().attemptId;
    about.isNewWork = isNewWork;
    about.mayPass = [weak = this->weak_from_this()](std::string_view dataCentre) {
        const auto self = weak.lock();
        return self && self->isAllowedIn(dataCentre);
    };
    return about;
}

Duration Exchange::remainingPause(const TargetEntry &target, double rate) const
{
    return std::max({this->context.pauses.remaining(target.id),
                     this->context.cold.wait(target.id, rate),
                     this->context.limits.remainingBackoff(target.id),
                     this->context.brittle.remainingBackoff(target.id)});
}

double Exchange::coldRequestsPerSecond() const
{
    const ServiceRule *rule = this->service();
    return rule != nullptr ? rule->cold.requestsPerSecond : 0;
}

std::vector<const TargetEntry *> Exchange::untriedTargets() const
{
    std::vector<const TargetEntry *> targets = this->usableTargets();
    std::erase_if(targets,
                  [this](const TargetEntry *entry) { return this->tried.count(entry->id) > 0; });
    return targets;
}

std::optional<Duration> Exchange::shortestPause() const
{
    std::optional<Duration> shortest;
    const double rate = this->coldRequestsPerSecond();
    for (const TargetEntry *entry : this->allowedTargets()) {
        const Duration remaining = this->remainingPause(*entry, rate);
        if (remaining > Duration(0))
            shortest = std::min(shortest.value_or(remaining), remaining);
    }
    return shortest;
}

std::string_view Exchange::noTargetReason() const
{
    return this->context.directory.hasTargetsOutOfUse(this->serviceName) ? "data_centre_out_of_use"
                                                                         : "no_usable_target";
}

void Exchange::refuseAllPaused()
{
    this->answerWithResult(this->mayHaveRun() ? ResultCode::TargetLost : ResultCode::TargetFull,
                           "targets_want_rest");
}

std::function<void(const Permit &)>
Exchange::whileInService(const std::function<void(const Permit &)> &decided) const
{
    return [weak = this->weak_from_this(), decided](const Permit &permit) {
        const auto self = weak.lock();
        if (self && !self->finished)
            decided(permit);
    };
}

void Exchange::sendWhenPermitted(const TargetEntry &target,
                                 const std::function<void(const TargetEntry &)> &send)
{
    const auto decided = this->whileInService([this, target, send](const Permit &permit) {
        if (!permit.granted)
            return this->onPermitDenied(target, permit);
        this->sendIfNotBrittle(target, send);
    });
    if (const auto permit = this->context.limits.request(target.id, decided))
        decided(*permit);
}

void Exchange::sendIfNotBrittle(const TargetEntry &target,
                                const std::function<void(const TargetEntry &)> &send)
{
    const auto decided = this->whileInService([this, target, send](const Permit &permit) {
        if (!permit.granted)
            return this->onPermitDenied(target, permit);
        // The target may have gone out of use while the permits were requested.
        if (!this->isAllowed(target))
            return this->attempt();
        send(target);
    });
    if (const auto permit = this->context.brittle.request(target.id, decided))
        decided(*permit);
}

void Exchange::onPermitDenied(const TargetEntry &target, const Permit &permit)
{
    this->logDecision(
            "permit_denied",
            {{"target", target.id}, {"keeper", permit.owner}, {"wait_ms", toMillis(permit.wait)}});
    this->attempt();
}

void Exchange::requestRetry(const std::function<void(bool)> &proceed)
{
    this->retryPending = true;
    const auto decided = [weak = this->weak_from_this(), proceed](bool granted) {
        const auto self = weak.lock();
        if (!self || self->finished)
            return;
        self->retryPending = false;
        if (!granted)
            self->logDecision("retry_denied", {{"service", std::string_view(self->serviceName)}});
        proceed(granted);
    };
    this->context.retries.take(this->serviceName, decided);
}

bool Exchange::isAllowed(const TargetEntry &target) const
{
    const auto targets = this->allowedTargets();
    return std::any_of(targets.begin(), targets.end(),
                       [&target](const TargetEntry *entry) { return entry->id == target.id; });
}

std::chrono::milliseconds Exchange::timeLeft() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(this->deadline -
                                                                 this->context.clock.now());
}

const RequestIdentity &Exchange::identity() const
{
    if (!this->ownIdentity)
        this->ownIdentity = identityOf(this->admitted);
    return *this->ownIdentity;
}

TargetRequest Exchange::makeRequest(const TargetEntry &target, ForwardOptions orders,
                                    const asio::ip::tcp::endpoint &endpoint) const
{
    const MessageHead &head = this->request().head;
    orders.timeLeft = std::max(this->timeLeft(), std::chrono::milliseconds(1));
    orders.targetName = target.name;
    if (this->admitted.admission.holder != nullptr)
        orders.customer = this->admitted.admission.holder->customer;
    TargetRequest outgoing;
    outgoing.endpoint = endpoint;
    outgoing.method = head.method;
    outgoing.target = head.target;
    outgoing.headers = this->context.dialect.forwardHeaders(withoutHopByHop(head.headers), orders);
    outgoing.body = this->request().body;
    return outgoing;
}

std::chrono::milliseconds Exchange::retryDelay(ResultCode code) const
{
    if (code == ResultCode::RequestBarred)
        return std::chrono::duration_cast<std::chrono::milliseconds>(
                this->context.crashes.barredFor(this->identity()));
    const auto usual =
            retryAfterDelay(code, this->admitted.admission.route,
                            this->context.streams.maxRetryDelayFraction, this->context.random);
    // If all targets are paused, no request is served before the first pause ends.
    const Duration pause = this->usableTargets().empty()
                                   ? this->shortestPause().value_or(Duration(0))
                                   : Duration(0);
    return usual + std::chrono::duration_cast<std::chrono::milliseconds>(pause);
}

void Exchange::reportLostUnanswered(const TargetEntry &target, TimePoint sentAt) const
{
    // A target that shuts down as planned closes its waiting connections; some targets leave by
    // being removed from the list. A target that has just crashed is still listed.
    const TargetEntry *listed = this->context.directory.find(target.id);
    if (listed == nullptr || listed->leaving)
        return;
    this->context.crashes.recordUnansweredLoss(
            {target.id, target.address, softwareOf(target), this->identity(), sentAt});
}

// The digest of the whole request is needed only while some request is suspected.
void Exchange::reportSafeRun(const TargetEntry &target, TimePoint beganAt) const
{
    const RequestIdentity withoutDigest{{}, this->parts()};
    const RequestIdentity &ran = this->context.crashes.isIdle() ? withoutDigest : this->identity();
    this->context.crashes.recordSafeRun({ran, softwareOf(target), beganAt});
}

bool Exchange::isBarredAt(const TargetEntry &target) const
{
    return !this->context.crashes.isIdle() &&
           this->context.crashes.barredAt(this->identity(), softwareOf(target)) > Duration(0);
}

bool Exchange::finishIfBarred()
{
    if (this->context.crashes.isIdle() ||
        this->context.crashes.barredFor(this->identity()) <= Duration(0))
        return false;
    this->answerWithResult(this->mayHaveRun() ? ResultCode::TargetLost : ResultCode::RequestBarred,
                           "barred");
    return true;
}

bool Exchange::mayCrashOthers(const TargetEntry &lost) const
{
    return this->context.crashes.hasUnknownPart({{}, this->parts()}, softwareOf(lost));
}

Duration Exchange::suspectedFor() const
{
    if (this->parts().empty() || !this->context.crashes.awaitsVerdict())
        return Duration(0);
    Duration longest{0};
    for (const std::string &version : this->context.directory.versionsOf(this->serviceName)) {
        const std::string software = softwareOf(this->serviceName, version);
        longest = std::max(longest, this->context.crashes.suspectedFor(this->identity(), software));
    }
    return longest;
}

void Exchange::onRequestBarred(std::string_view barredDigest)
{
    if (this->finished || this->hasBegunAnswer())
        return;
    const bool concerned = this->digest() == barredDigest ||
                           std::find(this->parts().begin(), this->parts().end(), barredDigest) !=
                                   this->parts().end();
    if (!concerned)
        return;
    const TargetEntry *target = this->currentTarget();
    if (target == nullptr || this->isBarredAt(*target))
        this->finishIfBarred();
}

AnswerJudgement Exchange::judge(const MessageHead &answer) const
{
    return judgeAnswer(answer.status,
                       this->context.dialect.describeAnswer(answer.status, answer.headers),
                       this->facts().attemptId);
}

void Exchange::answerWithResult(ResultCode code, std::string_view detail)
{
    if (this->finished)
        return;
    if (this->hasBegunAnswer()) {
        this->caller->abort(this->timeLeft().count() > 0 ? abortTimeout : lateAbortTimeout);
        return this->finish(code, 0, detail);
    }
    const ResultCodeInfo &info = describe(code);
    std::vector<HttpHeader> headers;
    headers.push_back({"Jaytrack-Outcome", std::string(outcomeName(info.outcome))});
    if (info.outcome == Outcome::NotRun) {
        headers.push_back(this->context.dialect.retryAfterHeader(this->retryDelay(code)));
    }
    this->caller->respond(info.httpStatus, headers, {});
    this->finish(code, info.httpStatus, detail);
}

void Exchange::forwardAnswer(const MessageHead &head, std::string_view body,
                             std::string_view target)
{
    if (this->finished)
        return;
    this->caller->respond(head.status, answerHeaders(head.headers), body);
    this->finish(ResultCode::Ok, head.status, target);
}

void Exchange::finish(ResultCode code, int status, std::string_view detail)
{
    if (this->finished)
        return;
    this->finished = true;
    this->deadlineTimer.cancel();
    this->cancelCalls();
    const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(
            this->context.clock.now() - this->request().arrived);
    const ResultCodeInfo &info = describe(code);
    std::vector<LogField> fields = {{"code", static_cast<std::int64_t>(info.code)},
                                    {"result", info.name},
                                    {"status", status},
                                    {"detail", detail},
                                    {"sends", this->sends},
                                    {"took_ms", static_cast<std::int64_t>(took.count())}};
    this->describeEnd(fields);
    this->logDecision("request_ended", fields);
    const std::string kind(kindName(this->route().kind));
    this->context.metrics.count("jaytrack_requests_total{kind=\"" + kind + "\",result=\"" +
                                std::string(info.name) + "\"}");
    this->context.metrics.observe("jaytrack_request_seconds{kind=\"" + kind + "\"}",
                                  static_cast<double>(took.count()) / 1000.0);
    this->context.open.erase(this->shared_from_this());
}

void Exchange::describeEnd(std::vector<LogField> &) const {}

void Exchange::logDecision(std::string_view event, std::initializer_list<LogField> fields) const
{
    this->logDecision(event, std::span<const LogField>(fields.begin(), fields.size()));
}

void Exchange::logDecision(std::string_view event, std::span<const LogField> fields) const
{
    std::vector<LogField> all;
    all.reserve(fields.size() + 3);
    all.emplace_back("id", std::string_view(this->facts().attemptId));
    all.emplace_back("route", std::string_view(this->route().name));
    all.emplace_back("config", static_cast<std::int64_t>(this->admitted.table->version));
    all.insert(all.end(), fields.begin(), fields.end());
    logEvent(Severity::Info, event, all);
}

void Exchange::onInstanceEnding()
{
    this->answerWithResult(this->mayHaveRun() ? ResultCode::InstanceEnded : ResultCode::Draining,
                           "grace_over");
}

void Exchange::onCallerGone()
{
    this->finish(ResultCode::CallerLeft, 0, "caller_closed");
}

void Exchange::onDeadline()
{
    this->answerWithResult(this->mayHaveRun() ? ResultCode::TargetTimeout : ResultCode::WaitExpired,
                           "time_limit");
}

} // namespace jaytrack
