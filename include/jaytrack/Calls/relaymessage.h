// The headers with which one instance asks another one to call a target, and the headers of the
// answer that tell how that went.
#ifndef JAYTRACK_CALLS_RELAYMESSAGE_H
#define JAYTRACK_CALLS_RELAYMESSAGE_H

#include "jaytrack/Net/httpparser.h"
#include "jaytrack/Support/keyring.h"

#include <chrono>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jaytrack {

// What an instance asks of another one beside the request to pass on.
struct RelayOrder
{
    std::string target; // id
    bool isNewWork = true;
    std::chrono::milliseconds connectTimeout{0};
};

// Why an instance could not get a whole answer for another one.
struct RelayFailure
{
    std::string reason;
    bool sent = false;           // the target may have received the request
    bool lostConnection = false; // the target closed the connection before it answered
};

// Reasons that say something of the instance asked rather than of the target.
inline constexpr std::string_view relayHasNoLinks = "no_links";
inline constexpr std::string_view relayIsStopping = "stopping";

// Targets crash under a part of the request's prompt.
inline constexpr std::string_view relayIsBarred = "barred";

// The target did not accept a connection of the instance asked.
inline constexpr std::string_view relayMissedTarget = "unreachable";

// Returns the request's headers with those of the order, signed for the request.
std::vector<HttpHeader> encodeOrder(const RelayOrder &order, std::string_view method,
                                    std::string_view path, std::span<const HttpHeader> headers,
                                    const KeyRing &keys);

// Returns the order in a request; empty if it has none that a member of the fleet signed.
std::optional<RelayOrder> decodeOrder(const MessageHead &head, const KeyRing &keys);

std::vector<HttpHeader> encodeFailure(const RelayFailure &failure);

// Marks the headers of a target's answer, so that no refusal of the instance asked is taken for
// one.
std::vector<HttpHeader> markAnswered(std::span<const HttpHeader> headers);

// Returns the failure that an answer reports; empty if the answer is the target's.
std::optional<RelayFailure> decodeFailure(const MessageHead &head);

// Removes the headers that instances exchange.
std::vector<HttpHeader> withoutRelayHeaders(std::span<const HttpHeader> headers);

} // namespace jaytrack

#endif
