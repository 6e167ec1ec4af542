#include "jaytrack/Load/answermessages.h"

#include "jaytrack/Support/jsonnumber.h"

#include <nlohmann/json.hpp>

namespace jaytrack {

namespace {

using nlohmann::json;

// Sums of the counts of all stand-ins must not overflow.
constexpr std::int64_t maxCount = 1'000'000'000'000'000;
constexpr std::int64_t maxCode = 999;

json parse(std::string_view text)
{
    return json::parse(text, nullptr, false);
}

std::map<std::string, std::uint64_t> readCounts(const json &document, const char *key)
{
    std::map<std::string, std::uint64_t> counts;
    if (!document.contains(key))
        return counts;
    for (const auto &[name, value] : document.at(key).get_ref<const json::object_t &>())
        counts[name] = static_cast<std::uint64_t>(wholeNumber(value, 0, maxCount).value());
    return counts;
}

} // namespace

std::optional<std::string> decodeContent(std::string_view text, const char *holder)
{
    try {
        const json document = parse(text);
        const auto &part =
                document.at("choices").at(0).at(holder).get_ref<const json::object_t &>();
        const auto content = part.find("content");
        if (content == part.end() || content->second.is_null())
            return std::string();
        return content->second.get_ref<const std::string &>();
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

StreamError decodeStreamError(std::string_view text)
{
    StreamError decoded;
    try {
        const json document = parse(text);
        const json &error = document.at("error");
        decoded.code =
                static_cast<int>(wholeNumber(error.at("code"), 0, maxCode).value_or(decoded.code));
        decoded.outcome = error.at("outcome").get_ref<const std::string &>();
    } catch (const json::exception &) {
        return decoded;
    }
    return decoded;
}

std::optional<std::string> decodeOrder(std::string_view text)
{
    try {
        const json document = parse(text);
        return document.at("order").get_ref<const std::string &>();
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

std::optional<StandinCounts> decodeCounts(std::string_view text)
{
    try {
        const json document = parse(text);
        if (!document.is_object())
            return std::nullopt;
        StandinCounts counts;
        counts.runs = readCounts(document, "runs");
        counts.starts = readCounts(document, "by_user");
        if (document.contains("preempted"))
            counts.preemptions = static_cast<std::uint64_t>(
                    wholeNumber(document.at("preempted"), 0, maxCount).value());
        return counts;
    } catch (const json::exception &) {
        return std::nullopt;
    } catch (const std::bad_optional_access &) {
        return std::nullopt;
    }
}

} // namespace jaytrack
