// Checked reading of TOML files: every problem in a file is found in one pass, each with its line,
// key and result code.
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

// One fault in a file that a person wrote.
struct Problem
{
    ResultCode code = ResultCode::Ok;
    std::string file;
    unsigned line = 0;
    std::string key;
    std::string detail;

    // One line for a terminal: file, line, number and name of the code, key and particulars.
    std::string text() const;
};

using Problems = std::vector<Problem>;

// An integer's bounds, both allowed.
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

    // A table below this one; empty if the key is absent.
    TomlTable table(std::string_view key);

    // An array of tables; empty if the key is absent.
    std::vector<TomlTable> tables(std::string_view key);

    // Adds a problem at a key of this table.
    void report(ResultCode code, std::string_view key, std::string detail);

    // Reports every key that no accessor asked for.
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
