// Server-sent events, split out of a byte stream. No packaged library does this without bringing
// its own transport, and the format is four line prefixes, so it is done here.
#ifndef JAYTRACK_STREAM_SSE_H
#define JAYTRACK_STREAM_SSE_H

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace jaytrack {

// One event. The views are valid during the call that delivers it.
struct SseEvent
{
    std::string_view id;
    std::string_view name;
    std::string_view data;
    std::string_view text = {}; // all bytes of the event as they came, blank line included
};

// Cuts a byte stream, arriving in any pieces, into events.
class SseSplitter
{
public:
    // An event larger than this is not taken; the stream counts as garbled.
    static constexpr std::size_t maxEventBytes = 1U << 20U;

    // Takes the next bytes and calls back for each whole event; a callback that returns false ends
    // the splitting. Returns false if the stream is garbled or was ended.
    bool feed(std::string_view bytes, const std::function<bool(const SseEvent &)> &onEvent);

    // Whether an event has begun but not ended.
    bool hasPartialEvent() const { return !this->pending.empty(); }

private:
    std::string pending;
};

// The text of one event with one line of data.
std::string formatSseEvent(const SseEvent &event);

} // namespace jaytrack

#endif
