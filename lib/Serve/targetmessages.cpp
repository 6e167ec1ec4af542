#include "jaytrack/Serve/targetmessages.h"

#include <nlohmann/json.hpp>

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
        EngineReport report;
        report.memoryUsed = document.value("memory_used", report.memoryUsed);
        report.running = document.value("running", report.running);
        report.waiting = document.value("waiting", report.waiting);
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

} // namespace jaytrack
