// The HTTP messages with which an instance gets a snapshot of the store from another one.
//
// A snapshot of a large fleet has hundreds of kilobytes, too many for datagrams of which each may
// be lost. Request and answer are signed, and the answer belongs to one request, so that neither a
// stranger nor an older answer can make an instance believe anything.
#ifndef JAYTRACK_STORE_SNAPSHOTMESSAGE_H
#define JAYTRACK_STORE_SNAPSHOTMESSAGE_H

#include "jaytrack/Net/httpparser.h"
#include "jaytrack/Support/clock.h"
#include "jaytrack/Support/keyring.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jaytrack {

inline constexpr std::string_view snapshotPath = "/jaytrack-fleet/store-snapshot";

// Returns the headers of a request. The nonce distinguishes it from all others.
std::vector<HttpHeader> encodeSnapshotRequest(std::string_view nonce, const KeyRing &keys);

// Returns the nonce of a request; empty if no member of the fleet signed it.
std::optional<std::string> decodeSnapshotRequest(const MessageHead &head, const KeyRing &keys);

// Returns the headers of the answer with this body. The age is that of the data when it is sent.
std::vector<HttpHeader> encodeSnapshotAnswer(std::string_view nonce, Duration age,
                                             std::string_view body, const KeyRing &keys);

// Returns the age in an answer; empty if it is not a signed answer to the request.
std::optional<Duration> decodeSnapshotAnswer(const MessageHead &head, std::string_view nonce,
                                             std::string_view body, const KeyRing &keys);

} // namespace jaytrack

#endif
