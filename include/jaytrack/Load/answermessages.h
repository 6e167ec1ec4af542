// Reads the answers that the load generator gets. They may be anything; no function here throws.
#ifndef JAYTRACK_LOAD_ANSWERMESSAGES_H
#define JAYTRACK_LOAD_ANSWERMESSAGES_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace jaytrack {

// The error that ends a stream.
struct StreamError
{
    std::string outcome = "unknown";
    int code = 0;
};

// What the stand-ins counted.
struct StandinCounts
{
    std::map<std::string, std::uint64_t> runs;   // by order
    std::map<std::string, std::uint64_t> starts; // by user
    std::uint64_t preemptions = 0;
};

// Returns the text of a chat completion, which an event has in its delta and a single answer in its
// message; empty if there is none, nothing if the JSON is malformed.
std::optional<std::string> decodeContent(std::string_view json, const char *holder);

// Returns the error of an error event; a field that is malformed has its default.
StreamError decodeStreamError(std::string_view json);

// Returns the order of a service's answer; nothing if it has none.
std::optional<std::string> decodeOrder(std::string_view json);

// Returns the counts of a stand-in; nothing if they are malformed.
std::optional<StandinCounts> decodeCounts(std::string_view json);

} // namespace jaytrack

#endif
