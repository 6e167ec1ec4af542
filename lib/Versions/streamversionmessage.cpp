#include "jaytrack/Versions/streamversionmessage.h"

#include "jaytrack/Routing/targetentrycheck.h"
#include "jaytrack/Support/digest.h"

#include "peer_types.h"

#include <algorithm>

namespace jaytrack {

namespace {

// Hexadecimal digits of a stream's name: 128 bits.
constexpr std::size_t nameDigits = 32;

// Longer than any stream. A larger number of microseconds would overflow when converted to
// nanoseconds.
constexpr std::chrono::microseconds maxAge = std::chrono::hours(24);

std::int64_t toMicros(Duration time)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(time).count();
}

} // namespace

wire::StreamVersionNotices toNotices(const StreamVersionMessage &message)
{
    wire::StreamVersionNotices notices;
    for (const StreamVersionRecord &record : message.records) {
        wire::StreamVersionNotice notice;
        notice.stream = record.stream;
        notice.version = record.version;
        notices.records.push_back(std::move(notice));
    }
    for (const StreamVersionQuery &query : message.queries) {
        wire::StreamVersionAsk ask;
        ask.serial = query.serial;
        ask.stream = query.stream;
        notices.asks.push_back(std::move(ask));
    }
    for (const StreamVersionAnswer &answer : message.answers) {
        wire::StreamVersionReply reply;
        reply.serial = answer.serial;
        reply.known = answer.version.has_value();
        reply.version = answer.version.value_or("");
        notices.replies.push_back(std::move(reply));
    }
    notices.asksForServices = message.asksForServices;
    notices.tellsServices = message.tellsServices;
    for (const ServedVersion &served : message.services) {
        wire::ServedVersionNotice notice;
        notice.serviceName = served.service;
        notice.version = served.version;
        notice.agoMicros = toMicros(served.ago);
        notices.services.push_back(std::move(notice));
    }
    return notices;
}

// Versions and services that no target can have are left out: an instance of an older version may
// have read them from entries of other writers.
StreamVersionMessage fromNotices(const wire::StreamVersionNotices &notices)
{
    StreamVersionMessage message;
    for (const wire::StreamVersionNotice &notice : notices.records) {
        if (isEntryText(notice.stream) && isEntryText(notice.version))
            message.records.push_back({notice.stream, notice.version});
    }
    for (const wire::StreamVersionAsk &ask : notices.asks) {
        if (isEntryText(ask.stream))
            message.queries.push_back({ask.serial, ask.stream});
    }
    for (const wire::StreamVersionReply &reply : notices.replies) {
        const bool isKnown = reply.known && isEntryText(reply.version);
        message.answers.push_back(
                {reply.serial, isKnown ? std::optional(reply.version) : std::nullopt});
    }
    message.asksForServices = notices.asksForServices;
    message.tellsServices = notices.tellsServices;
    for (const wire::ServedVersionNotice &notice : notices.services) {
        if (!isEntryText(notice.serviceName) || !isEntryText(notice.version))
            continue;
        const std::int64_t ago = std::clamp<std::int64_t>(notice.agoMicros, 0, maxAge.count());
        message.services.push_back(
                {notice.serviceName, notice.version, std::chrono::microseconds(ago)});
    }
    return message;
}

std::string streamName(std::string_view customer, std::string_view service,
                       std::string_view firstAttempt)
{
    std::string text;
    for (const std::string_view part : {customer, service, firstAttempt}) {
        text += std::to_string(part.size());
        text += ':';
        text += part;
    }
    return sha256Hex(text).substr(0, nameDigits);
}

} // namespace jaytrack
