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

// Parses one event. Data over several lines is joined with line feeds, as the format requires; the
// result is stored in the buffer `joined`, to which the event refers.
SseEvent parseEvent(std::string_view block, std::string &joined)
{
    SseEvent event;
    bool hasData = false;
    bool isJoined = false;
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
                if (!isJoined)
                    joined = event.data;
                isJoined = true;
                joined += '\n';
                joined += value;
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

// Returns the length of the first complete event in the text, including its blank line, or zero if
// there is none. A search continues where the previous one of the same event ended, so that the
// cost of an event does not depend on the pieces in which it arrives.
std::size_t SseSplitter::completeEventLength(std::string_view text)
{
    for (;;) {
        const std::size_t end = text.find('\n', this->searched);
        if (end == std::string_view::npos) {
            this->searched = text.size();
            return 0;
        }
        const std::string_view line = text.substr(this->lineStart, end - this->lineStart);
        this->lineStart = end + 1;
        this->searched = end + 1;
        if (stripCarriageReturn(line).empty())
            return end + 1;
    }
}

bool SseSplitter::feed(std::string_view bytes, const std::function<bool(const SseEvent &)> &onEvent)
{
    std::string_view text = bytes;
    const bool continues = !this->pending.empty();
    if (continues) {
        this->pending += bytes;
        text = this->pending;
    }
    std::string joined;
    bool shouldContinue = true;
    bool hasEnded = false; // an event, or a block that is none
    while (shouldContinue) {
        const std::size_t length = this->completeEventLength(text);
        if (length == 0)
            break;
        hasEnded = true;
        this->lineStart = 0;
        this->searched = 0;
        SseEvent event = parseEvent(text.substr(0, length), joined);
        event.text = text.substr(0, length);
        text.remove_prefix(length);
        const bool isEvent = !event.data.empty() || !event.id.empty() || !event.name.empty();
        this->skippedBytes = isEvent ? 0 : this->skippedBytes + length;
        if (isEvent)
            shouldContinue = onEvent(event);
    }
    if (hasEnded || !continues) {
        std::string rest(text);
        this->pending = std::move(rest);
    }
    return shouldContinue && this->pending.size() <= maxEventBytes &&
           this->skippedBytes <= maxSkippedBytes;
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
