#include "jaytrack/Support/tomlreader.h"

// No file of ours nests values more than a few levels deep.
#define TOML_MAX_NESTED_VALUES 16
#include <toml++/toml.h>

#include <algorithm>
#include <cassert>
#include <fstream>
#include <iterator>
#include <set>

namespace jaytrack {

namespace {

// The library bounds the nesting of values, but not the number of names in a dotted key, each of
// which is a nested table. Tables are freed recursively, so the stack limits their depth. A line
// holds a whole key; lists of addresses also have dots.
constexpr std::ptrdiff_t maxDotsInLine = 4096;

std::optional<std::string> readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return std::nullopt;
    try {
        return std::string{std::istreambuf_iterator<char>(file), {}};
    } catch (const std::ios_base::failure &) {
        return std::nullopt; // a directory
    }
}

// Returns the number of the first line with too many dots; 0 if there is none.
unsigned lineWithTooManyDots(std::string_view text)
{
    unsigned number = 0;
    while (!text.empty()) {
        ++number;
        const std::size_t end = std::min(text.find('\n'), text.size());
        const std::string_view line = text.substr(0, end);
        if (std::count(line.begin(), line.end(), '.') > maxDotsInLine)
            return number;
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return 0;
}

} // namespace

// State shared by all tables of one file.
struct TomlTable::Shared
{
    std::string file;
    toml::table root;
    Problems *problems = nullptr;
};

struct TomlTable::Node
{
    const toml::table *table = nullptr; // null for a table that is absent from the file
    std::string path;
    std::set<std::string, std::less<>> known;

    const toml::node *find(std::string_view key)
    {
        this->known.emplace(key);
        return this->table == nullptr ? nullptr : this->table->get(key);
    }

    std::string pathOf(std::string_view key) const
    {
        return this->path.empty() ? std::string(key) : this->path + "." + std::string(key);
    }
};

std::string Problem::text() const
{
    return this->file + ":" + std::to_string(this->line) + ": " +
           std::to_string(static_cast<int>(this->code)) + " " +
           std::string(describe(this->code).name) + ": " + this->key + ": " + this->detail;
}

TomlTable::TomlTable(std::shared_ptr<Shared> fileState, std::shared_ptr<Node> tableState)
    : shared(std::move(fileState))
    , node(std::move(tableState))
{
}

std::optional<TomlTable> TomlTable::open(const std::string &file, Problems &problems)
{
    auto shared = std::make_shared<Shared>();
    shared->file = file;
    shared->problems = &problems;
    const std::optional<std::string> text = readFile(file);
    if (!text) {
        problems.push_back({ResultCode::SettingsUnreadable, file, 0, "", "cannot be read"});
        return std::nullopt;
    }
    if (const unsigned line = lineWithTooManyDots(*text); line != 0) {
        problems.push_back({ResultCode::SettingsUnreadable, file, line, "",
                            "the line has more than " + std::to_string(maxDotsInLine) + " dots"});
        return std::nullopt;
    }
    try {
        shared->root = toml::parse(*text, file);
    } catch (const toml::parse_error &e) {
        problems.push_back({ResultCode::SettingsUnreadable, file, e.source().begin.line, "",
                            std::string(e.description())});
        return std::nullopt;
    }
    auto node = std::make_shared<Node>();
    node->table = &shared->root;
    return TomlTable(std::move(shared), std::move(node));
}

void TomlTable::report(ResultCode code, std::string_view key, std::string detail)
{
    unsigned line = 0;
    if (this->node->table != nullptr) {
        const toml::node *at = this->node->table->get(key);
        line = at == nullptr ? this->node->table->source().begin.line : at->source().begin.line;
    }
    this->shared->problems->push_back(
            {code, this->shared->file, line, this->node->pathOf(key), std::move(detail)});
}

void TomlTable::missing(std::string_view key)
{
    this->report(ResultCode::SettingsMissing, key, "must be given");
}

void TomlTable::wrongType(std::string_view key, std::string_view wanted)
{
    this->report(ResultCode::SettingsWrongType, key, "must be " + std::string(wanted));
}

bool TomlTable::has(std::string_view key) const
{
    return this->node->table != nullptr && this->node->table->contains(key);
}

std::string TomlTable::text(std::string_view key)
{
    if (!this->has(key)) {
        this->node->find(key);
        this->missing(key);
        return {};
    }
    return this->text(key, "");
}

std::string TomlTable::text(std::string_view key, std::string_view fallback)
{
    const toml::node *found = this->node->find(key);
    if (found == nullptr)
        return std::string(fallback);
    if (!found->is_string()) {
        this->wrongType(key, "a string");
        return std::string(fallback);
    }
    return found->value_or(std::string());
}

std::int64_t TomlTable::integer(std::string_view key, IntegerRange range)
{
    if (!this->has(key)) {
        this->node->find(key);
        this->missing(key);
        return range.least;
    }
    return this->integer(key, range, range.least);
}

std::int64_t TomlTable::integer(std::string_view key, IntegerRange range, std::int64_t fallback)
{
    const toml::node *found = this->node->find(key);
    if (found == nullptr)
        return fallback;
    if (!found->is_integer()) {
        this->wrongType(key, "an integer");
        return fallback;
    }
    const std::int64_t value = found->value_or(fallback);
    if (value < range.least || value > range.most) {
        this->report(ResultCode::SettingsOutOfRange, key,
                     std::to_string(value) + " is not within " + std::to_string(range.least) +
                             " to " + std::to_string(range.most));
        return fallback;
    }
    return value;
}

double TomlTable::number(std::string_view key, double least, double most, double fallback)
{
    const toml::node *found = this->node->find(key);
    if (found == nullptr)
        return fallback;
    if (!found->is_number()) {
        this->wrongType(key, "a number");
        return fallback;
    }
    const double value = found->value_or(fallback);
    // This form of the condition also rejects NaN, which compares false with everything.
    if (!(value >= least && value <= most)) {
        this->report(ResultCode::SettingsOutOfRange, key,
                     std::to_string(value) + " is not within " + std::to_string(least) + " to " +
                             std::to_string(most));
        return fallback;
    }
    return value;
}

bool TomlTable::flag(std::string_view key, bool fallback)
{
    const toml::node *found = this->node->find(key);
    if (found == nullptr)
        return fallback;
    if (!found->is_boolean()) {
        this->wrongType(key, "true or false");
        return fallback;
    }
    return found->value_or(fallback);
}

std::vector<std::string> TomlTable::texts(std::string_view key)
{
    const toml::node *found = this->node->find(key);
    if (found == nullptr)
        return {};
    std::vector<std::string> values;
    const toml::array *array = found->as_array();
    if (array == nullptr) {
        this->wrongType(key, "an array of strings");
        return {};
    }
    for (const toml::node &element : *array) {
        if (!element.is_string()) {
            this->wrongType(key, "an array of strings");
            return {};
        }
        values.push_back(element.value_or(std::string()));
    }
    return values;
}

TomlTable TomlTable::table(std::string_view key)
{
    const toml::node *found = this->node->find(key);
    auto child = std::make_shared<Node>();
    child->path = this->node->pathOf(key);
    if (found != nullptr && !found->is_table())
        this->wrongType(key, "a table");
    else if (found != nullptr)
        child->table = found->as_table();
    return {this->shared, std::move(child)};
}

std::vector<TomlTable> TomlTable::tables(std::string_view key)
{
    const toml::node *found = this->node->find(key);
    std::vector<TomlTable> children;
    if (found == nullptr)
        return children;
    const toml::array *array = found->as_array();
    if (array == nullptr) {
        this->wrongType(key, "an array of tables");
        return children;
    }
    std::size_t index = 0;
    for (const toml::node &element : *array) {
        if (!element.is_table()) {
            this->wrongType(key, "an array of tables");
            return children;
        }
        auto child = std::make_shared<Node>();
        child->table = element.as_table();
        child->path = this->node->pathOf(key) + "[" + std::to_string(index++) + "]";
        children.push_back(TomlTable(this->shared, std::move(child)));
    }
    return children;
}

void TomlTable::finish()
{
    if (this->node->table == nullptr)
        return;
    for (const auto &[key, value] : *this->node->table) {
        if (this->node->known.find(key.str()) == this->node->known.end())
            this->report(ResultCode::SettingsUnknownKey, key.str(), "is not a known key");
    }
}

} // namespace jaytrack
