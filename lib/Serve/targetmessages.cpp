#include "jaytrack/Serve/targetmessages.h"

#include "jaytrack/Net/hostaddress.h"

#include <nlohmann/json.hpp>

#include <limits>

namespace jaytrack {

namespace {

using nlohmann::json;

json parse(std::string_view text)
{
    return json::parse(text, nullptr, false);
}

// Returns a text field; empty if it is missing or null. Throws if it has another type, or if there
// is no object.
std::string textField(const json &document, const char *name)
{
    const auto &object = document.get_ref<const json::object_t &>();
    const auto found = object.find(name);
    if (found == object.end() || found->second.is_null())
        return {};
    return found->second.get_ref<const std::string &>();
}

GeneratedPiece pieceOf(const json &choice, bool chat)
{
    GeneratedPiece piece;
    if (!chat)
        piece.text = textField(choice, "text");
    else if (choice.contains("delta"))
        piece.text = textField(choice.at("delta"), "content");
    piece.finishReason = textField(choice, "finish_reason");
    return piece;
}

// Sums of the counts of all engines must not overflow, and a double holds each of them exactly.
constexpr double maxReportedCount = 1e15;

// Returns a count of a load report; 0 if it is missing. Engines may report fractions, which are cut
// off. Returns nothing for a value of another type, or one that is not within 0 to `most`.
std::optional<std::uint64_t> countField(const json &document, const char *name, double most)
{
    const auto &object = document.get_ref<const json::object_t &>();
    const auto found = object.find(name);
    if (found == object.end())
        return 0;
    if (!found->second.is_number())
        return std::nullopt;
    const auto value = found->second.get<double>();
    if (!(value >= 0 && value <= most))
        return std::nullopt;
    return static_cast<std::uint64_t>(value);
}

std::optional<ListedInstance> decodeInstance(const json &entry)
{
    try {
        return ListedInstance{entry.value("name", ""), entry.value("peer", ""),
                              entry.value("leaving", false)};
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

} // namespace

std::optional<GeneratedPiece> decodePiece(std::string_view data, bool chat)
{
    try {
        return pieceOf(parse(data).at("choices").at(0), chat);
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

std::optional<EngineReport> decodeLoadReport(std::string_view body)
{
    try {
        const json document = parse(body);
        static constexpr double maxRuns = std::numeric_limits<std::uint32_t>::max();
        const auto memoryUsed = countField(document, "memory_used", maxReportedCount);
        const auto running = countField(document, "running", maxRuns);
        const auto waiting = countField(document, "waiting", maxRuns);
        if (!memoryUsed || !running || !waiting)
            return std::nullopt;
        EngineReport report;
        report.memoryUsed = *memoryUsed;
        report.running = static_cast<std::uint32_t>(*running);
        report.waiting = static_cast<std::uint32_t>(*waiting);
        report.leaving = document.value("leaving", false);
        return report;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

std::optional<std::vector<ListedInstance>> decodeInstances(std::string_view body)
{
    const json list = parse(body);
    if (!list.is_array())
        return std::nullopt;
    std::vector<ListedInstance> instances;
    for (const json &entry : list) {
        if (auto instance = decodeInstance(entry))
            instances.push_back(std::move(*instance));
    }
    return instances;
}

std::vector<std::string> peerAddresses(std::span<const ListedInstance> instances)
{
    std::vector<std::string> addresses;
    for (const ListedInstance &instance : instances) {
        if (!instance.leaving && isHostAddress(instance.peerAddress))
            addresses.push_back(instance.peerAddress);
    }
    return addresses;
}

} // namespace jaytrack
