#include "jaytrack/Serve/operatoranswers.h"

#include "jaytrack/Net/percentencoding.h"
#include "jaytrack/Support/jsonnumber.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace jaytrack {

namespace {

using nlohmann::json;

// Sums of the counts of all instances must not overflow.
constexpr std::int64_t maxCount = 1'000'000'000'000'000;

constexpr int keyWidth = 18;
constexpr int nameWidth = 24;
constexpr int dataCentreWidth = 14;
constexpr int stateWidth = 10;

Error malformed(std::string_view what)
{
    return Error{ResultCode::TargetGarbled, std::string(what)};
}

// Formats a value for a table cell. A nested value is not written out, because that calls itself
// for each level.
std::string cell(const json &value)
{
    if (value.is_string())
        return printableText(value.get_ref<const std::string &>());
    return value.is_structured() ? "(nested)" : value.dump();
}

std::string cell(const json &object, const char *name)
{
    return object.is_object() && object.contains(name) ? cell(object.at(name)) : "-";
}

void appendMember(std::ostream &out, const json &member)
{
    const bool isAsked = cell(member, "self") == "true";
    out << std::setw(nameWidth) << cell(member, "name") << std::setw(dataCentreWidth)
        << cell(member, "data_centre") << std::setw(stateWidth) << cell(member, "state")
        << cell(member, "callers") << (isAsked ? "  (asked)" : "") << "\n";
}

std::optional<std::string> textField(const json &object, const char *name)
{
    if (!object.contains(name) || !object.at(name).is_string())
        return std::nullopt;
    return printableText(object.at(name).get_ref<const std::string &>());
}

bool readCounts(const json &object, const char *name,
                std::array<std::uint64_t, burnWindows.size()> &counts)
{
    if (!object.contains(name) || !object.at(name).is_array() ||
        object.at(name).size() != counts.size())
        return false;
    for (std::size_t i = 0; i < counts.size(); ++i) {
        const auto count = wholeNumber(object.at(name).at(i), 0, maxCount);
        if (!count)
            return false;
        counts[i] = static_cast<std::uint64_t>(*count);
    }
    return true;
}

std::optional<BurnRow> decodeBurnRow(const json &entry)
{
    if (!entry.is_object())
        return std::nullopt;
    const auto customer = textField(entry, "customer");
    const auto subject = textField(entry, "subject");
    const auto objective = textField(entry, "objective");
    BurnRow row;
    const bool isCounted =
            readCounts(entry, "total", row.total) && readCounts(entry, "bad", row.bad);
    const bool hasShare = entry.contains("share") && entry.at("share").is_number();
    if (!customer || !subject || !objective || !isCounted || !hasShare)
        return std::nullopt;
    row.customer = *customer;
    row.subject = *subject;
    row.objective = *objective;
    row.share = entry.at("share").get<double>();
    return row;
}

} // namespace

// The id holds the name of an instance, which is any text.
std::string explainTarget(std::string_view requestId)
{
    return "/explain?id=" + percentEncoded(requestId);
}

std::string printableText(std::string_view text)
{
    const auto isControl = [](char c) { return static_cast<unsigned char>(c) < ' ' || c == 127; };
    std::string printable(text);
    std::replace_if(printable.begin(), printable.end(), isControl, '?');
    return printable;
}

Result<std::string> formatObjectTable(std::string_view body)
{
    const json object = json::parse(body, nullptr, false);
    if (!object.is_object())
        return malformed("the answer is no JSON object");
    std::ostringstream out;
    out << std::left;
    for (const auto &[key, value] : object.items()) {
        if (!value.is_array())
            out << std::setw(keyWidth) << printableText(key) << cell(value) << "\n";
    }
    if (!object.contains("members"))
        return out.str();
    const json &members = object.at("members");
    if (!members.is_array())
        return malformed("members is no list");
    out << "\n"
        << std::setw(nameWidth) << "instance" << std::setw(dataCentreWidth) << "data centre"
        << std::setw(stateWidth) << "state"
        << "callers\n";
    for (const json &member : members)
        appendMember(out, member);
    return out.str();
}

Result<std::vector<BurnRow>> decodeBurnRows(std::string_view body)
{
    const json list = json::parse(body, nullptr, false);
    if (!list.is_array())
        return malformed("the answer is no JSON list");
    std::vector<BurnRow> rows;
    for (const json &entry : list) {
        auto row = decodeBurnRow(entry);
        if (!row)
            return malformed("row " + std::to_string(rows.size()) + " is malformed");
        rows.push_back(std::move(*row));
    }
    return rows;
}

} // namespace jaytrack
