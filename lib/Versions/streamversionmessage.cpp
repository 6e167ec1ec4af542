#include "jaytrack/Versions/streamversionmessage.h"

#include "jaytrack/Support/digest.h"

#include "peer_types.h"

#include <algorithm>

namespace jaytrack {

namespace {

// Hexadecimal digits of a stream's name: 128 bits.
constexpr std::size_t nameDigits = 32;

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

StreamVersionMessage fromNotices(const wire::StreamVersionNotices &notices)
{
    StreamVersionMessage message;
    for (const wire::StreamVersionNotice &notice : notices.records)
        message.records.push_back({notice.stream, notice.version});
    for (const wire::StreamVersionAsk &ask : notices.asks)
        message.queries.push_back({ask.serial, ask.stream});
    for (const wire::StreamVersionReply &reply : notices.replies)
        message.answers.push_back(
                {reply.serial, reply.known ? std::optional(reply.version) : std::nullopt});
    message.asksForServices = notices.asksForServices;
    message.tellsServices = notices.tellsServices;
    for (const wire::ServedVersionNotice &notice : notices.services) {
        const std::int64_t ago = std::max<std::int64_t>(0, notice.agoMicros);
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
