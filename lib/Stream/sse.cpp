#include "jaytrack/Stream/sse.h"

namespace jaytrack {

namespace {

std::string_view stripCarriageReturn(std::string_view line)
{
    if (!line.empty() && line.back() == '\r')
        line.remove_suffix(1);
    return line;
}

// Stores the value of the field and returns true if the line contains that field.
bool parseField(std::string_view line, std::string_view field, std::string_view &value)
{
    if (line.substr(0, field.size()) != field || line.size() <= field.size() ||
        line[field.size()] != ':')
        return false;
    value = line.substr(field.size() + 1);
    if (!value.empty() && value.front() == ' ')
        value.remove_prefix(1);
    return true;
}

// Returns the length of the first complete event in the text, including its blank line, or zero if
// there is none.
std::size_t completeEventLength(std::string_view text)
{
    std::size_t start = 0;
    while (start < text.size()) {
        const std::size_t end = text.find('\n', start);
        if (end == std::string_view::npos)
            return 0;
        if (stripCarriageReturn(text.substr(start, end - start)).empty())
            return end + 1;
        start = end + 1;
    }
    return 0;
}

// Parses one event. Data over several lines is joined with line feeds, as the format requires; the
// result is stored in the buffer `joined`, to which the event refers.
SseEvent parseEvent(std::string_view block, std::string &joined)
{
    SseEvent event;
    bool hasData = false;
    while (!block.empty()) {
        const std::size_t end = block.find('\n');
        const std::string_view line = stripCarriageReturn(block.substr(0, end));
        block.remove_prefix(end == std::string_view::npos ? block.size() : end + 1);
        std::string_view value;
        if (parseField(line, "id", value)) {
            event.id = value;
        } else if (parseField(line, "event", value)) {
            event.name = value;
        } else if (parseField(line, "data", value)) {
            if (hasData) {
                joined = std::string(event.data) + "\n" + std::string(value);
                event.data = joined;
            } else {
                event.data = value;
            }
            hasData = true;
        }
    }
    return event;
}

} // namespace

bool SseSplitter::feed(std::string_view bytes, const std::function<bool(const SseEvent &)> &onEvent)
{
    std::string_view text = bytes;
    if (!this->pending.empty()) {
        this->pending += bytes;
        text = this->pending;
    }
    std::string joined;
    bool shouldContinue = true;
    while (shouldContinue) {
        const std::size_t length = completeEventLength(text);
        if (length == 0)
            break;
        SseEvent event = parseEvent(text.substr(0, length), joined);
        event.text = text.substr(0, length);
        text.remove_prefix(length);
        if (!event.data.empty() || !event.id.empty() || !event.name.empty())
            shouldContinue = onEvent(event);
    }
    std::string rest(text);
    this->pending = std::move(rest);
    return shouldContinue && this->pending.size() <= maxEventBytes;
}

std::string formatSseEvent(const SseEvent &event)
{
    std::string text;
    text.reserve(event.id.size() + event.name.size() + event.data.size() + 32);
    if (!event.id.empty()) {
        text += "id: ";
        text += event.id;
        text += '\n';
    }
    if (!event.name.empty()) {
        text += "event: ";
        text += event.name;
        text += '\n';
    }
    text += "data: ";
    for (const char c : event.data) {
        if (c == '\n')
            text += "\ndata: ";
        else
            text += c;
    }
    text += "\n\n";
    return text;
}

} // namespace jaytrack
