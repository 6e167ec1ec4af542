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

    // Processes the next bytes and calls onEvent for each complete event. If the callback returns
    // false, splitting ends. Returns false if the stream is garbled or the callback ended it.
    bool feed(std::string_view bytes, const std::function<bool(const SseEvent &)> &onEvent);

    // Returns true if an event has begun but is not complete.
    bool hasPartialEvent() const { return !this->pending.empty(); }

private:
    std::string pending;
};

// Returns the text of one event. Data with several lines gets one data field for each line.
std::string formatSseEvent(const SseEvent &event);

} // namespace jaytrack

#endif
