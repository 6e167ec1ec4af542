// Decodes what engines and the platform's instance list send. Their bytes may be anything; no
// function here throws.
#ifndef JAYTRACK_SERVE_TARGETMESSAGES_H
#define JAYTRACK_SERVE_TARGETMESSAGES_H

#include "jaytrack/Policy/placement.h"
#include "jaytrack/Serve/platformreader.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jaytrack {

// A piece of a generation.
struct GeneratedPiece
{
    std::string text;
    std::string finishReason; // empty before the last piece
};

// Returns the piece in the data of an event; nothing if it is malformed. Chat pieces hold their
// text in another place than those of completions.
std::optional<GeneratedPiece> decodePiece(std::string_view data, bool chat);

// Returns an engine's load report; nothing if it is malformed.
std::optional<EngineReport> decodeLoadReport(std::string_view body);

// Returns the listed instances without malformed entries; nothing if the list is malformed.
std::optional<std::vector<ListedInstance>> decodeInstances(std::string_view body);

// Returns the addresses at which the listed instances can be reached, without those that are
// leaving.
std::vector<std::string> peerAddresses(std::span<const ListedInstance> instances);

} // namespace jaytrack

#endif
