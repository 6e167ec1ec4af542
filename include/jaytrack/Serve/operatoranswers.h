// Calls of the operators' interface for jaytrackctl, and reading its answers. They may come from
// another version or from something else; no function here throws.
#ifndef JAYTRACK_SERVE_OPERATORANSWERS_H
#define JAYTRACK_SERVE_OPERATORANSWERS_H

#include "jaytrack/Policy/burnmeter.h"
#include "jaytrack/Support/result.h"

#include <string>
#include <string_view>
#include <vector>

namespace jaytrack {

// Returns the path and query of the call for the record of this request.
std::string explainTarget(std::string_view requestId);

// Returns the text with question marks for its control characters, which a terminal would obey.
std::string printableText(std::string_view text);

// Formats an object for a terminal: one line for each plain value and a table of its members, if
// it has any. Fails if the body is no JSON object.
Result<std::string> formatObjectTable(std::string_view body);

// Returns the rows of a burn report. Fails if one of them is malformed, since sums over the other
// rows would be too low.
Result<std::vector<BurnRow>> decodeBurnRows(std::string_view body);

} // namespace jaytrack

#endif
