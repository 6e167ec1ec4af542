#include "jaytrack/Serve/operatorhandler.h"

#include "jaytrack/Cluster/pausedetector.h"
#include "jaytrack/Config/documentstore.h"
#include "jaytrack/Serve/gateway.h"
#include "jaytrack/Serve/peernode.h"
#include "jaytrack/Support/metrics.h"

#include <nlohmann/json.hpp>

namespace jaytrack {

namespace {

using nlohmann::json;

constexpr int notFound = 404;
constexpr int unavailable = 503;

std::string stateName(MemberState state)
{
    switch (state) {
    case MemberState::Joining:
        return "joining";
    case MemberState::Live:
        return "live";
    case MemberState::Suspect:
        return "suspect";
    case MemberState::Leaving:
        return "leaving";
    case MemberState::Gone:
        return "gone";
    }
    return "unknown";
}

double millisOf(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

void respondJson(ResponseWriter &writer, const std::string &body)
{
    const std::vector<HttpHeader> headers = {{"Content-Type", "application/json"}};
    writer.respond(200, headers, body);
}

} // namespace

void OperatorHandler::handle(HttpRequest request, std::shared_ptr<ResponseWriter> writer)
{
    const std::vector<HttpHeader> plain = {{"Content-Type", "text/plain"}};
    if (request.path == "/healthz") {
        writer->respond(200, plain, "ok\n");
    } else if (request.path == "/readyz") {
        const bool ready = this->view.gateway.isReady();
        writer->respond(ready ? 200 : unavailable, plain, ready ? "ok\n" : "not ready\n");
    } else if (request.path == "/metrics") {
        writer->respond(200, plain, this->metrics());
    } else if (request.path == "/status") {
        respondJson(*writer, this->status());
    } else if (request.path == "/explain") {
        this->explain(request, *writer);
    } else if (request.path == "/burn") {
        respondJson(*writer, this->burn());
    } else if (request.path == "/drain" && request.method == "POST") {
        this->view.drain();
        respondJson(*writer, "{}");
    } else {
        writer->respond(notFound, plain, "no such page\n");
    }
}

std::string OperatorHandler::metrics() const
{
    Metrics &metrics = this->view.metrics;
    const MembershipCounts counts = this->view.peers.counts();
    metrics.gauge("jaytrack_in_service", static_cast<double>(this->view.gateway.inService()));
    metrics.gauge("jaytrack_streams", static_cast<double>(this->view.gateway.streams()));
    metrics.gauge("jaytrack_config_revision", static_cast<double>(this->view.documents.revision()));
    metrics.gauge("jaytrack_config_age_seconds", millisOf(this->view.peers.configAge()) / 1000);
    metrics.gauge("jaytrack_members", static_cast<double>(this->view.peers.rows().size()));
    metrics.gauge("jaytrack_peer_sent_bytes_total", static_cast<double>(counts.sentBytes));
    metrics.gauge("jaytrack_peer_received_bytes_total", static_cast<double>(counts.receivedBytes));
    metrics.gauge("jaytrack_peer_rejected_total", static_cast<double>(counts.rejected));
    metrics.gauge("jaytrack_suspicions_total", static_cast<double>(counts.suspicions));
    metrics.gauge("jaytrack_late_wakings_total",
                  static_cast<double>(this->view.pauseDetector.detectedPauses()));
    metrics.gauge("jaytrack_ledger_tickets",
                  static_cast<double>(this->view.gateway.services().ledgerSize()));
    metrics.gauge("jaytrack_ledger_bytes",
                  static_cast<double>(this->view.gateway.services().ledgerBytes()));
    return metrics.render();
}

std::string OperatorHandler::status() const
{
    json members = json::array();
    for (const PeerRow &row : this->view.peers.rows()) {
        members.push_back({{"name", row.member.name},
                           {"data_centre", row.member.dataCentre},
                           {"state", stateName(row.member.state)},
                           {"incarnation", row.member.incarnation},
                           {"callers", row.member.callerAddress},
                           {"peers", row.member.peerAddress},
                           {"self", row.self}});
    }
    const json status = {{"name", this->view.name},
                         {"ready", this->view.gateway.isReady()},
                         {"draining", this->view.gateway.isDraining()},
                         {"may_act", this->view.pauseDetector.mayAct()},
                         {"revision", this->view.documents.revision()},
                         {"config_age_ms", millisOf(this->view.peers.configAge())},
                         {"in_service", this->view.gateway.inService()},
                         {"streams", this->view.gateway.streams()},
                         {"members", members}};
    return status.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string OperatorHandler::burn() const
{
    json rows = json::array();
    for (const BurnRow &row : this->view.gateway.requests().burn()) {
        rows.push_back({{"customer", row.customer},
                        {"subject", row.subject},
                        {"objective", row.objective},
                        {"share", row.share},
                        {"total", row.total},
                        {"bad", row.bad}});
    }
    return rows.dump(-1, ' ', false, json::error_handler_t::replace);
}

void OperatorHandler::explain(const HttpRequest &request, ResponseWriter &writer) const
{
    const auto record = this->view.gateway.requests().find(request.queryValue("id"));
    if (!record) {
        writer.respond(notFound, {}, "this instance has no record of the request\n");
        return;
    }
    const ResultCodeInfo &info = describe(record->code);
    const json body = {{"id", record->id},
                       {"customer", record->customer},
                       {"subject", record->subject},
                       {"target", record->target},
                       {"outcome", outcomeName(info.outcome)},
                       {"code", static_cast<int>(record->code)},
                       {"name", info.name},
                       {"reason", record->reason},
                       {"revision", record->revision},
                       {"tokens", record->tokens},
                       {"recoveries", record->recoveries},
                       {"first_byte_ms", millisOf(record->firstByte)},
                       {"longest_stall_ms", millisOf(record->longestStall)},
                       {"total_ms", millisOf(record->total)}};
    respondJson(writer, body.dump(-1, ' ', false, json::error_handler_t::replace));
}

} // namespace jaytrack
