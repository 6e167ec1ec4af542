#include "jaytrack/Support/result.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace jaytrack {

namespace {

using RC = ResultCode;

constexpr std::array codeTable = {
        ResultCodeInfo{RC::Ok, Outcome::Complete, 200, "ok", "the whole answer was given"},
        ResultCodeInfo{RC::BadRequest, Outcome::NotRun, 400, "bad_request",
                       "the request is not well formed"},
        ResultCodeInfo{RC::BodyTooLarge, Outcome::NotRun, 413, "body_too_large",
                       "the body exceeds the limit"},
        ResultCodeInfo{RC::UnknownModel, Outcome::NotRun, 404, "unknown_model",
                       "no such model in the configuration in force"},
        ResultCodeInfo{RC::UnknownService, Outcome::NotRun, 404, "unknown_service",
                       "no such service in the configuration in force"},
        ResultCodeInfo{RC::UnknownKey, Outcome::NotRun, 401, "unknown_key",
                       "the API key belongs to no customer"},
        ResultCodeInfo{RC::MalformedTicket, Outcome::NotRun, 400, "malformed_ticket",
                       "the ticket was not issued by this fleet or is for something else"},
        ResultCodeInfo{RC::TicketBodyDiffers, Outcome::NotRun, 422, "ticket_body_differs",
                       "the ticket was first used with another body; this one did not run"},
        ResultCodeInfo{RC::TicketRequired, Outcome::NotRun, 428, "ticket_required",
                       "the target cannot deduplicate, so an idempotency key needs a ticket"},
        ResultCodeInfo{RC::MalformedCursor, Outcome::NotRun, 400, "malformed_cursor",
                       "the Last-Event-ID is not a cursor of this stream"},
        ResultCodeInfo{RC::ForeignHandle, Outcome::NotRun, 404, "foreign_handle",
                       "no stream of this customer has that handle"},
        ResultCodeInfo{RC::NotFound, Outcome::NotRun, 404, "not_found", "no such path"},
        ResultCodeInfo{RC::NoTarget, Outcome::NotRun, 503, "no_target",
                       "no target takes new work of this kind now"},
        ResultCodeInfo{RC::Overloaded, Outcome::NotRun, 503, "overloaded",
                       "the request was refused early because of load"},
        ResultCodeInfo{RC::CustomerLimit, Outcome::NotRun, 429, "customer_limit",
                       "the customer is at its limit of concurrent requests"},
        ResultCodeInfo{RC::Draining, Outcome::NotRun, 503, "draining",
                       "this instance is shutting down gracefully"},
        ResultCodeInfo{RC::NotReady, Outcome::NotRun, 503, "not_ready",
                       "this instance has no configuration in force"},
        ResultCodeInfo{RC::WaitExpired, Outcome::NotRun, 503, "wait_expired",
                       "no room came free within the time that this class may wait"},
        ResultCodeInfo{RC::TargetUnreachable, Outcome::NotRun, 503, "target_unreachable",
                       "no connection to any target could be made, so nothing was sent"},
        ResultCodeInfo{RC::AsleepTooLong, Outcome::NotRun, 503, "asleep_too_long",
                       "this instance was paused and has not yet refreshed what it knows"},
        ResultCodeInfo{RC::ConfigurationStale, Outcome::NotRun, 503, "configuration_stale",
                       "the configuration was not confirmed lately enough to decide this request"},
        ResultCodeInfo{RC::TargetFull, Outcome::NotRun, 503, "target_full",
                       "every target that was asked refused the request without running it"},
        ResultCodeInfo{RC::HeadTooLarge, Outcome::NotRun, 431, "head_too_large",
                       "the request's line and headers exceed the limit"},
        ResultCodeInfo{RC::RequestTooSlow, Outcome::NotRun, 408, "request_too_slow",
                       "the request did not arrive whole in time"},
        ResultCodeInfo{RC::RequestBarred, Outcome::NotRun, 503, "request_barred",
                       "targets ended one after another as they ran the same request; it is kept "
                       "from all"},
        ResultCodeInfo{
                RC::VersionUnknown, Outcome::NotRun, 503, "version_unknown",
                "nobody knows which version of the engines began the stream, so it cannot go "
                "on"},
        ResultCodeInfo{RC::TargetLost, Outcome::Unknown, 502, "target_lost",
                       "the target failed after the request had been sent"},
        ResultCodeInfo{RC::TargetTimeout, Outcome::Unknown, 504, "target_timeout",
                       "the target sent nothing for too long"},
        ResultCodeInfo{RC::TargetRefused, Outcome::Unknown, 502, "target_refused",
                       "the target answered with an error of its own"},
        ResultCodeInfo{RC::TargetGarbled, Outcome::Unknown, 502, "target_garbled",
                       "the target's answer broke its protocol"},
        ResultCodeInfo{RC::IssuerGone, Outcome::Unknown, 502, "issuer_gone",
                       "the instance that issued the ticket is gone or cannot be reached"},
        ResultCodeInfo{RC::TicketForgotten, Outcome::Unknown, 410, "ticket_forgotten",
                       "the ticket is older than what its issuer remembers"},
        ResultCodeInfo{RC::GenerationGone, Outcome::Unknown, 410, "generation_gone",
                       "the engine no longer holds the generation"},
        ResultCodeInfo{RC::InvariantBroken, Outcome::Unknown, 500, "invariant_broken",
                       "an invariant failed inside the instance; the request was not continued"},
        ResultCodeInfo{RC::StillRunning, Outcome::Unknown, 409, "still_running",
                       "the ticketed request is running; ask again for its answer"},
        ResultCodeInfo{RC::CallerLeft, Outcome::Unknown, 499, "caller_left",
                       "the caller left and did not come back in time"},
        ResultCodeInfo{RC::ResumedElsewhere, Outcome::Unknown, 499, "resumed_elsewhere",
                       "the caller goes on with its stream at another connection"},
        ResultCodeInfo{RC::InstanceEnded, Outcome::Unknown, 502, "instance_ended",
                       "this instance had to end before the answer came"},
        ResultCodeInfo{RC::SettingsUnreadable, Outcome::NotRun, 500, "settings_unreadable",
                       "the file cannot be read or is not TOML"},
        ResultCodeInfo{RC::SettingsUnknownKey, Outcome::NotRun, 500, "settings_unknown_key",
                       "a key that jaytrack does not know"},
        ResultCodeInfo{RC::SettingsWrongType, Outcome::NotRun, 500, "settings_wrong_type",
                       "a value of another type than the key takes"},
        ResultCodeInfo{RC::SettingsOutOfRange, Outcome::NotRun, 500, "settings_out_of_range",
                       "a value outside the key's range"},
        ResultCodeInfo{RC::SettingsContradiction, Outcome::NotRun, 500, "settings_contradiction",
                       "two values that cannot hold together"},
        ResultCodeInfo{RC::SettingsMissing, Outcome::NotRun, 500, "settings_missing",
                       "a key that must be given is absent"},
        ResultCodeInfo{RC::DocumentMalformed, Outcome::NotRun, 500, "document_malformed",
                       "the configuration document breaks its format"},
        ResultCodeInfo{RC::DocumentDuplicateName, Outcome::NotRun, 500, "document_duplicate_name",
                       "two entries of one kind share a name"},
        ResultCodeInfo{RC::DocumentDanglingName, Outcome::NotRun, 500, "document_dangling_name",
                       "an entry refers to a name that does not exist"},
        ResultCodeInfo{RC::DocumentTooLarge, Outcome::NotRun, 500, "document_too_large",
                       "the document exceeds one megabyte"},
        ResultCodeInfo{RC::DocumentStale, Outcome::NotRun, 500, "document_stale",
                       "the document is older than the one in force"},
        ResultCodeInfo{RC::PlatformUnreachable, Outcome::NotRun, 500, "platform_unreachable",
                       "the configuration service or instance list did not answer"},
        ResultCodeInfo{RC::PeerMessageRejected, Outcome::NotRun, 500, "peer_message_rejected",
                       "a datagram was malformed or not signed by this fleet"},
};

} // namespace

std::span<const ResultCodeInfo> allResultCodes()
{
    return codeTable;
}

const ResultCodeInfo &describe(ResultCode code)
{
    const auto *found =
            std::find_if(codeTable.begin(), codeTable.end(),
                         [code](const ResultCodeInfo &row) { return row.code == code; });
    assert(found != codeTable.end() && "every result code has a row in the table");
    return *found;
}

std::string_view outcomeName(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Complete:
        return "complete";
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace jaytrack
