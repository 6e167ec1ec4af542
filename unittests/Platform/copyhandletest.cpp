// Handles that engines give to copies of runs, with bytes that not every header carries.
#include "engineruns.h"
#include "entryfixture.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace jaytrack;
using namespace jaytrack::testing;

namespace {

struct HandleCase
{
    char name[32];
    char text[32];  // as JSON without quotes
    char bytes[32]; // as the engine that holds the copy must get it; empty if no header carries it
};

HandleCase handleCases[] = {
        {"plain", "h7", "h7"},
        {"percent and hash", "%23#", "%23#"},
        {"ampersand, plus, comma", "a&b=+,;", "a&b=+,;"},
        {"slash", "/h/7/", "/h/7/"},
        {"blank inside", "h 7", "h 7"},
        {"quotes", R"(\"h\")", "\"h\""},
        {"letter beyond ASCII", R"(\u00e9)", "\xc3\xa9"},
        {"line break", R"(h7\r\nX-Injected: 1)", ""},
        {"line feed", R"(h7\n)", ""},
        {"control byte", R"(h\u0001)", ""},
        {"null byte", R"(h\u0000)", ""},
        {"delete byte", R"(h\u007f)", ""},
        {"blank at its end", "h7 ", ""},
        {"tab at its end", R"(h7\t)", ""},
        {"blank", " ", ""},
        {"empty", "", ""},
};

// An engine that makes forty events slowly and copies its run under this handle.
ScriptedServer::Script engineWithHandle(const std::string &handle)
{
    return [handle](const SeenRequest &request) -> Answer {
        if (request.head.path() != "/jaytrack/kv-move")
            return leavingEngine(200)(request);
        return wholeAnswer(200, "Content-Type: application/json\r\n",
                           R"({"KvHandle":")" + handle + R"(","Created":2})");
    };
}

} // namespace

ParameterizedTestParameters(copyHandle, runGoesOnFromItsCopyOrStays)
{
    return cr_make_param_array(HandleCase, handleCases, std::size(handleCases));
}

// Guards against a run that begins a second time at another engine, since the request that should
// go on from the copy does not name it.
ParameterizedTest(HandleCase *handle, copyHandle, runGoesOnFromItsCopyOrStays)
{
    ScriptedServer first(engineWithHandle(handle->text));
    ScriptedServer refuge([](const SeenRequest &request) -> Answer {
        if (!isRun(request))
            return wholeAnswer(200, "", "{}");
        const int after = std::stoi(std::string(request.head.header("Last-Event-Id")));
        return events(after + 1, 40, std::chrono::milliseconds(5), true);
    });
    EntryFixture entry({RouteSpec()});
    entry.list("e1", first);
    std::thread announcer([&] {
        std::this_thread::sleep_for(std::chrono::milliseconds(150));
        entry.store.put("servers/e2", targetJson(refuge.address()));
        entry.store.put("servers/e1", targetJson(first.address(), "draining"));
    });
    const CallerView view = callOnce(entry.port(), requestText({}));
    announcer.join();
    const std::string bytes = handle->bytes;
    const std::string copy = bytes.empty() ? std::string() : first.address() + "/" + bytes;
    for (const SeenRequest &request : runsOf(refuge)) {
        cr_assert_eq(request.head.header("Kv-From"), std::string_view(copy), "%s: \"%s\"",
                     handle->name, std::string(request.head.header("Kv-From")).c_str());
        cr_assert(request.head.header("X-Injected").empty());
    }
    cr_assert_eq(runsOf(refuge).size(), bytes.empty() ? 0 : 1, "%s: %zu runs begun", handle->name,
                 runsOf(refuge).size());
    assertWhole(view.bytes, 40);
}
