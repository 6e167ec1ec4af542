#include "jaytrack/Calls/relaymessage.h"

#include "jaytrack/Support/digest.h"

#include <algorithm>
#include <charconv>

namespace jaytrack {

namespace {

constexpr std::string_view targetHeader = "Jaytrack-Relay-Target";
constexpr std::string_view workHeader = "Jaytrack-Relay-Work";
constexpr std::string_view timeoutHeader = "Jaytrack-Relay-Connect-Ms";
constexpr std::string_view proofHeader = "Jaytrack-Relay-Proof";
constexpr std::string_view failureHeader = "Jaytrack-Relay-Failure";
constexpr std::string_view stageHeader = "Jaytrack-Relay-Stage";
constexpr std::string_view commonPrefix = "Jaytrack-Relay-";

constexpr std::string_view proofPurpose = "relay";
constexpr std::string_view newWork = "new";
constexpr std::string_view noNewWork = "order";

// How far a failed call had got.
constexpr std::string_view notSent = "not_sent";
constexpr std::string_view wasSent = "sent";
constexpr std::string_view wasClosed = "closed";
constexpr std::string_view wasAnswered = "answered";

// An instance that cannot read a call, or has no memory for it, answers without these headers.
constexpr std::string_view refusedUnread = "refused_unread";

// Longest time that an instance tries to connect for another one.
constexpr std::chrono::milliseconds maxConnectTimeout{2000};

// What the signature covers.
std::string orderText(std::string_view target, std::string_view work, std::string_view method,
                      std::string_view path)
{
    std::string text(target);
    for (const std::string_view part : {work, method, path}) {
        text += '\n';
        text += part;
    }
    return text;
}

HttpHeader makeHeader(std::string_view name, std::string_view value)
{
    return {std::string(name), std::string(value)};
}

std::chrono::milliseconds parseTimeout(std::string_view text)
{
    std::int64_t millis = 0;
    std::from_chars(text.data(), text.data() + text.size(), millis);
    return std::clamp(std::chrono::milliseconds(millis), std::chrono::milliseconds(1),
                      maxConnectTimeout);
}

} // namespace

// The headers of the order come first, since a caller may have sent some of the same names.
std::vector<HttpHeader> encodeOrder(const RelayOrder &order, std::string_view method,
                                    std::string_view path, std::span<const HttpHeader> headers,
                                    const KeyRing &keys)
{
    const std::string_view work = order.isNewWork ? newWork : noNewWork;
    const std::string proof = keys.sign(proofPurpose, orderText(order.target, work, method, path));
    std::vector<HttpHeader> all;
    all.push_back(makeHeader(targetHeader, order.target));
    all.push_back(makeHeader(workHeader, work));
    all.push_back(makeHeader(timeoutHeader, std::to_string(order.connectTimeout.count())));
    all.push_back(makeHeader(proofHeader, encodeBase64Url(proof)));
    const std::vector<HttpHeader> own = withoutRelayHeaders(headers);
    all.insert(all.end(), own.begin(), own.end());
    return all;
}

std::optional<RelayOrder> decodeOrder(const MessageHead &head, const KeyRing &keys)
{
    const std::string_view work = head.header(workHeader);
    const auto proof = decodeBase64Url(head.header(proofHeader));
    RelayOrder order;
    order.target = head.header(targetHeader);
    order.isNewWork = work != noNewWork;
    order.connectTimeout = parseTimeout(head.header(timeoutHeader));
    const std::string text = orderText(order.target, work, head.method, head.target);
    if (!proof || !keys.verify(proofPurpose, text, *proof))
        return std::nullopt;
    return order;
}

std::vector<HttpHeader> encodeFailure(const RelayFailure &failure)
{
    const std::string_view stage = !failure.sent            ? notSent
                                   : failure.lostConnection ? wasClosed
                                                            : wasSent;
    return {makeHeader(failureHeader, failure.reason), makeHeader(stageHeader, stage)};
}

std::vector<HttpHeader> markAnswered(std::span<const HttpHeader> headers)
{
    std::vector<HttpHeader> marked = withoutRelayHeaders(headers);
    marked.push_back(makeHeader(stageHeader, wasAnswered));
    return marked;
}

std::optional<RelayFailure> decodeFailure(const MessageHead &head)
{
    const std::string_view stage = head.header(stageHeader);
    if (stage == wasAnswered)
        return std::nullopt;
    if (stage.empty())
        return RelayFailure{std::string(refusedUnread), false, false};
    return RelayFailure{std::string(head.header(failureHeader)), stage != notSent,
                        stage == wasClosed};
}

std::vector<HttpHeader> withoutRelayHeaders(std::span<const HttpHeader> headers)
{
    std::vector<HttpHeader> kept;
    kept.reserve(headers.size());
    for (const HttpHeader &header : headers) {
        const std::string_view start = std::string_view(header.name).substr(0, commonPrefix.size());
        if (!sameHeaderName(start, commonPrefix))
            kept.push_back(header);
    }
    return kept;
}

} // namespace jaytrack
