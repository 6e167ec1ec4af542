#include "jaytrack/Stream/sse.h"
#include "jaytrack/Stream/handle.h"
#include "jaytrack/Support/keyring.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <vector>

using namespace jaytrack;

namespace {

// Feeds the text in pieces of the given size and returns the events, joined.
std::string split(std::string_view text, std::size_t piece)
{
    SseSplitter splitter;
    std::string found;
    while (!text.empty()) {
        const std::string_view part = text.substr(0, piece);
        text.remove_prefix(part.size());
        splitter.feed(part, [&found](const SseEvent &event) {
            found += std::string(event.id) + "|" + std::string(event.name) + "|" +
                     std::string(event.data) + ";";
            return true;
        });
    }
    return found;
}

} // namespace

struct SseCase
{
    char text[96];
    char expected[64];
};

ParameterizedTestParameters(sse, splitsStreamInPiecesOfAnySize)
{
    static SseCase cases[] = {
            {"data: a\n\n", "||a;"},
            {"id: 4\ndata: a\n\ndata: b\n\n", "4||a;||b;"},
            {"id:4\r\nevent: error\r\ndata:x\r\n\r\n", "4|error|x;"},
            {": comment\n\ndata: a\n\n", "||a;"},
            {"data: a\ndata: b\n\n", "||a\nb;"},
            {"data: unfinished\n", ""},
            {"\n\n\ndata: a\n\n", "||a;"},
            {"datax: a\n\n", ""},
    };
    return cr_make_param_array(SseCase, cases, std::size(cases));
}

ParameterizedTest(SseCase *param, sse, splitsStreamInPiecesOfAnySize)
{
    for (std::size_t piece = 1; piece < 100; ++piece)
        cr_assert_eq(split(param->text, piece), std::string(param->expected), "piece %zu", piece);
}

// Guards against unbounded memory use when a target sends an event that never ends.
Test(sse, limitsEventSize)
{
    SseSplitter splitter;
    const std::string large(SseSplitter::maxEventBytes / 2 + 1, 'x');
    const auto ignore = [](const SseEvent &) { return true; };
    cr_assert(splitter.feed("data: " + large, ignore));
    cr_assert(!splitter.feed(large, ignore));
}

struct EndlessStreamCase
{
    char name[24];
    char start[16];
    char repeated[32];
    std::size_t piece; // bytes fed at once
    bool accepted;     // whether any length of it is accepted
};

// Guards against a stream that goes on for good without an event, or whose cost grows with the
// square of its size: then one event of the maximum size would occupy the event loop for minutes.
ParameterizedTestParameters(sse, limitsBytesWithoutEvent)
{
    static EndlessStreamCase cases[] = {
            {"line", "data: ", "xxxxxxxx", 4096, false},
            {"line in single bytes", "data: ", "x", 1, false},
            {"lines in small pieces", "", "data:\n", 6, false},
            {"comments", "", ": comment\n", 4096, false},
            {"comments as events", "", ": comment\n\n", 4096, false},
            {"blank lines", "", "\n", 4096, false},
            {"unknown fields", "", "other: a\n\n", 4096, false},
            {"events", "", "data: a\n\n", 4096, true},
            {"comments and events", "", ": comment\n\ndata: a\n\n", 4096, true},
    };
    return cr_make_param_array(EndlessStreamCase, cases, std::size(cases));
}

ParameterizedTest(EndlessStreamCase *param, sse, limitsBytesWithoutEvent, .timeout = 20)
{
    std::string bytes;
    while (bytes.size() < param->piece)
        bytes += param->repeated;
    SseSplitter splitter;
    bool good = splitter.feed(param->start, [](const SseEvent &) { return true; });
    for (std::size_t fed = 0; good && fed < 4 * SseSplitter::maxEventBytes; fed += bytes.size())
        good = splitter.feed(bytes, [](const SseEvent &) { return true; });
    cr_assert_eq(good, param->accepted, "%s", param->name);
}

Test(sse, formattedEventCanBeSplit)
{
    const std::string text = formatSseEvent({"7", "error", "a\nb"});
    cr_assert_eq(split(text, 3), std::string("7|error|a\nb;"));
}

struct CursorCase
{
    char text[32];
    bool valid;
};

ParameterizedTestParameters(cursor, parses)
{
    static CursorCase cases[] = {
            {"abc.0", true},   {"abc.41", true},
            {"abc", false},    {".4", false},
            {"abc.", false},   {"abc.x", false},
            {"abc.-1", false}, {"abc.99999999999999999999", false},
    };
    return cr_make_param_array(CursorCase, cases, std::size(cases));
}

ParameterizedTest(CursorCase *param, cursor, parses)
{
    cr_assert(Cursor::parse(param->text).has_value() == param->valid);
}

// Guards against a customer reading another customer's text by modifying its own handle, which is
// possible if handles are not authenticated.
Test(handle, rejectsModifiedText)
{
    const KeyRing keys({"0123456789abcdef"});
    const StreamHandle handle{"engine", "generation", "customer", "model"};
    const std::string sealed = handle.seal(keys);
    cr_assert(StreamHandle::unseal(keys, sealed)->customer == "customer");
    for (std::size_t i = 0; i < sealed.size(); ++i) {
        std::string changed = sealed;
        changed[i] = changed[i] == 'A' ? 'B' : 'A';
        const auto opened = StreamHandle::unseal(keys, changed);
        cr_assert(!opened || opened->customer == "customer");
    }
}
