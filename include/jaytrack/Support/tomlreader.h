// Reads TOML files with validation. Finds every problem of a file in one pass and reports each with
// its line, key and result code.
#ifndef JAYTRACK_SUPPORT_TOMLREADER_H
#define JAYTRACK_SUPPORT_TOMLREADER_H

#include "jaytrack/Support/result.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jaytrack {

// A fault in a file written by an operator.
struct Problem
{
    ResultCode code = ResultCode::Ok;
    std::string file;
    unsigned line = 0;
    std::string key;
    std::string detail;

    // Formats the problem as one line for a terminal: file, line, number and name of the code, key
    // and details.
    std::string text() const;
};

using Problems = std::vector<Problem>;

// The inclusive bounds of an integer.
struct IntegerRange
{
    std::int64_t least;
    std::int64_t most;
};

// One table of a TOML file. Each accessor marks its key as known; finish() reports the rest.
class TomlTable
{
public:
    // Parses a file. Returns nothing, with a problem, if it cannot be read or is not TOML.
    static std::optional<TomlTable> open(const std::string &file, Problems &problems);

    std::string text(std::string_view key);
    std::string text(std::string_view key, std::string_view fallback);
    std::int64_t integer(std::string_view key, IntegerRange range);
    std::int64_t integer(std::string_view key, IntegerRange range, std::int64_t fallback);
    double number(std::string_view key, double least, double most, double fallback);
    bool flag(std::string_view key, bool fallback);
    std::vector<std::string> texts(std::string_view key);
    bool has(std::string_view key) const;

    // Returns a nested table; empty if the key is absent.
    TomlTable table(std::string_view key);

    // Returns an array of tables; empty if the key is absent.
    std::vector<TomlTable> tables(std::string_view key);

    // Adds a problem for a key of this table.
    void report(ResultCode code, std::string_view key, std::string detail);

    // Reports every key that no accessor has read.
    void finish();

private:
    struct Shared;
    struct Node;
    TomlTable(std::shared_ptr<Shared> shared, std::shared_ptr<Node> node);
    void missing(std::string_view key);
    void wrongType(std::string_view key, std::string_view wanted);

    std::shared_ptr<Shared> shared;
    std::shared_ptr<Node> node;
};

} // namespace jaytrack

#endif
