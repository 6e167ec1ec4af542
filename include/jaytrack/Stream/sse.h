// Parses and formats server-sent events. No packaged library does this without its own transport,
// and the format consists of four line prefixes, so it is implemented here.
#ifndef JAYTRACK_STREAM_SSE_H
#define JAYTRACK_STREAM_SSE_H

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace jaytrack {

// One event. The views are only valid during the callback that receives it.
struct SseEvent
{
    std::string_view id;
    std::string_view name;
    std::string_view data;
    std::string_view text = {}; // all received bytes of the event, including the blank line
};

// Splits a byte stream that arrives in arbitrary pieces into events.
class SseSplitter
{
public:
    // Maximum size of an event. A stream with a larger one is treated as garbled.
    static constexpr std::size_t maxEventBytes = 1U << 20U;

    // Maximum size of the comments and other blocks without an event between two events. At one
    // comment a second, which keeps connections open, it lasts for a day.
    static constexpr std::size_t maxSkippedBytes = 1U << 20U;

    // Processes the next bytes and calls onEvent for each complete event. If the callback returns
    // false, splitting ends. Returns false if the stream is garbled or the callback ended it.
    bool feed(std::string_view bytes, const std::function<bool(const SseEvent &)> &onEvent);

    // Returns true if an event has begun but is not complete.
    bool hasPartialEvent() const { return !this->pending.empty(); }

    // Bytes kept of an event that is not complete.
    std::size_t pendingBytes() const { return this->pending.size(); }

private:
    std::size_t completeEventLength(std::string_view text);

    std::string pending;
    std::size_t lineStart = 0;    // of the line in pending that has not ended
    std::size_t searched = 0;     // bytes of pending that were searched for the end of that line
    std::size_t skippedBytes = 0; // since the last event
};

// Returns the text of one event. Data with several lines gets one data field for each line.
std::string formatSseEvent(const SseEvent &event);

} // namespace jaytrack

#endif
