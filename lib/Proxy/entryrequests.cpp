// Handles requests of callers, readiness checks and metrics requests.
#include "entryparts.h"

#include "jaytrack/Quarantine/requestdigest.h"
#include "jaytrack/Support/log.h"

#include <algorithm>

namespace jaytrack {

namespace {

// Requests that are being read may together use the instance's memory limit divided by this.
constexpr std::size_t memoryShareDivisor = 4;

constexpr int okStatus = 200;
constexpr int unavailableStatus = 503;
constexpr int notFoundStatus = 404;

ResultCode unreadableResultCode(int status)
{
    switch (status) {
    case 408:
        return ResultCode::RequestTooSlow;
    case 413:
        return ResultCode::BodyTooLarge;
    case 431:
        return ResultCode::HeadTooLarge;
    case 503:
        return ResultCode::Overloaded;
    default:
        return ResultCode::BadRequest;
    }
}

} // namespace

void EntryInstance::Parts::ServiceEndpoint::onRequest(std::shared_ptr<CallerConnection> connection,
                                                      CallerRequest request)
{
    if (request.head.path() == this->parts.dialect.readinessPath()) {
        connection->respond(this->parts.isReady() ? okStatus : unavailableStatus, {}, {});
        return;
    }
    if (request.head.path() == "/metrics") {
        connection->respond(okStatus, {}, this->parts.metrics.render());
        return;
    }
    connection->respond(notFoundStatus, {}, {});
}

void EntryInstance::Parts::onRequest(std::shared_ptr<CallerConnection> connection,
                                     CallerRequest request)
{
    if (this->hasInitialData() || this->isStopping)
        return this->serve(std::move(connection), std::move(request));
    const auto callerTimeLimit = this->dialect.describe(request.head.headers).timeLeft;
    if (!this->startup.canWait(callerTimeLimit))
        return this->serve(std::move(connection), std::move(request));
    this->startup.add(std::move(connection), std::move(request), callerTimeLimit);
}

void EntryInstance::Parts::serve(std::shared_ptr<CallerConnection> connection,
                                 CallerRequest request)
{
    AdmittedRequest admitted;
    admitted.table = this->configuration.table();
    admitted.facts = this->dialect.describe(request.head.headers);
    admitted.parts = partDigests(admitted.facts.sharedParts);
    admitted.request = std::move(request);
    const MessageHead &head = admitted.request.head;
    AdmissionInputs inputs;
    inputs.table = admitted.table.get();
    inputs.age = this->configuration.age();
    if (this->isStopping)
        inputs.endsIn = this->forcedExitTime() - this->clock.now();
    inputs.host = head.header("Host");
    inputs.path = head.path();
    inputs.facts = &admitted.facts;
    admitted.admission = admit(inputs, this->bounds);
    if (admitted.admission.code == ResultCode::Ok && this->isBarred(admitted))
        admitted.admission.code = ResultCode::RequestBarred;
    if (admitted.admission.code != ResultCode::Ok)
        return this->refuse(*connection, admitted, inputs);
    const bool stream = isStream(admitted.admission.route->kind);
    const auto exchange =
            stream ? makeStreamExchange(this->context, std::move(connection), std::move(admitted))
                   : makePlainExchange(this->context, std::move(connection), std::move(admitted));
    exchange->start();
}

bool EntryInstance::Parts::isBarred(const AdmittedRequest &request) const
{
    return !this->crashes.isIdle() && this->crashes.barredFor(identityOf(request)) > Duration(0);
}

std::chrono::milliseconds EntryInstance::Parts::retryDelay(const AdmittedRequest &refused)
{
    const ResultCode code = refused.admission.code;
    if (code == ResultCode::RequestBarred)
        return std::chrono::duration_cast<std::chrono::milliseconds>(
                this->crashes.barredFor(identityOf(refused)));
    return retryAfterDelay(code, refused.admission.route,
                           this->settings.tuning.streams.maxRetryDelayFraction, this->random);
}

void EntryInstance::Parts::refuse(CallerConnection &connection, const AdmittedRequest &admitted,
                                  const AdmissionInputs &inputs)
{
    const ResultCode code = admitted.admission.code;
    const ResultCodeInfo &info = describe(code);
    std::vector<HttpHeader> headers;
    headers.push_back({"Jaytrack-Outcome", std::string(outcomeName(info.outcome))});
    if (info.httpStatus == unavailableStatus) {
        headers.push_back(this->dialect.retryAfterHeader(this->retryDelay(admitted)));
    }
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(inputs.age);
    logEvent(Severity::Info, "request_refused",
             {{"id", admitted.facts.attemptId},
              {"code", static_cast<std::int64_t>(info.code)},
              {"result", info.name},
              {"status", info.httpStatus},
              {"host", inputs.host},
              {"path", inputs.path},
              {"config", admitted.table ? static_cast<std::int64_t>(admitted.table->version) : 0},
              {"config_age_ms", static_cast<std::int64_t>(admitted.table ? age.count() : -1)}});
    this->metrics.count("jaytrack_refused_total{result=\"" + std::string(info.name) + "\"}");
    connection.respond(info.httpStatus, headers, {});
}

void EntryInstance::Parts::onRejectedRequest(int status, std::string_view reason)
{
    logEvent(Severity::Info, "request_unreadable",
             {{"code", static_cast<std::int64_t>(unreadableResultCode(status))},
              {"status", status},
              {"reason", reason}});
    this->metrics.count("jaytrack_unreadable_total{reason=\"" + std::string(reason) + "\"}");
}

ConnectionLimits EntryInstance::Parts::connectionLimits() const
{
    const auto table = this->configuration.table();
    if (!table)
        return {};
    const CallerLimits &limits = table->limits;
    return {limits.headerBytes, limits.bodyBytes, limits.headerTimeout, limits.idleTimeout};
}

// A stopping instance reads all connections that have reached it, so that none is lost.
bool EntryInstance::Parts::mayRead(std::size_t openConnections)
{
    if (this->isStopping)
        return true;
    std::uniform_real_distribution<double> draw(0, 1);
    const AcceptLoad load{openConnections, this->reserved,
                          this->settings.memoryBytes / memoryShareDivisor};
    const AcceptDecision decision = this->acceptGate.decide(load, draw(this->random));
    if (decision == AcceptDecision::Read)
        return true;
    const std::string_view reason = nameOf(decision);
    this->metrics.count("jaytrack_connections_closed_unread_total{reason=\"" + std::string(reason) +
                        "\"}");
    ++this->closedUnread[std::string(reason)];
    return false;
}

bool EntryInstance::Parts::reserveMemory(std::size_t bytes)
{
    if (this->reserved + bytes > this->settings.memoryBytes / memoryShareDivisor)
        return false;
    this->reserved += bytes;
    return true;
}

void EntryInstance::Parts::releaseMemory(std::size_t bytes)
{
    this->reserved -= std::min(bytes, this->reserved);
}

} // namespace jaytrack
