// Orders to engines to stop a run that has gone on elsewhere.
#include "engineruns.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <algorithm>
#include <array>
#include <atomic>

using namespace jaytrack;
using namespace jaytrack::testing;

namespace {

bool isLastOrder(const SeenRequest &request)
{
    return request.head.path() == "/jaytrack/kv-move" &&
           request.body.find("\"Last\":true") != std::string::npos;
}

std::size_t lastOrdersTo(const ScriptedServer &engine)
{
    const std::vector<SeenRequest> seen = engine.seen();
    return static_cast<std::size_t>(std::count_if(seen.begin(), seen.end(), isLastOrder));
}

std::size_t droppedCopiesAt(const ScriptedServer &engine)
{
    const std::vector<SeenRequest> seen = engine.seen();
    return static_cast<std::size_t>(
            std::count_if(seen.begin(), seen.end(), [](const SeenRequest &request) {
                return request.head.method == "DELETE" &&
                       request.head.path() == "/jaytrack/kv-handle/h8";
            }));
}

// Notes when something first happened.
class FirstMoment
{
public:
    void record()
    {
        const std::lock_guard lock(this->mutex);
        if (!this->moment)
            this->moment = std::chrono::steady_clock::now();
    }

    std::optional<std::chrono::steady_clock::time_point> at() const
    {
        const std::lock_guard lock(this->mutex);
        return this->moment;
    }

private:
    mutable std::mutex mutex;
    std::optional<std::chrono::steady_clock::time_point> moment;
};

} // namespace

// What an engine answers to the orders to stop a run, one after the other, and how often it is
// ordered to and to drop the copy that came of it.
struct StopCase
{
    std::array<char, 40> name;
    std::array<int, 3> statuses; // 0: closes the connection without an answer
    bool hasHandle;
    std::size_t orders;
    std::size_t drops;
};

ParameterizedTestParameters(handOver, engineLeftIsToldToStopItsRun)
{
    static std::array<StopCase, 6> cases = {{
            {{"stopped, rest copied"}, {200, 200, 200}, true, 1, 1},
            {{"ended with its connection"}, {404, 404, 404}, false, 1, 0},
            {{"stopped, no room for the rest"}, {503, 503, 503}, true, 1, 1},
            {{"refused"}, {503, 404, 404}, false, 2, 0},
            {{"copy in progress"}, {409, 409, 200}, true, 3, 1},
            {{"answer lost"}, {0, 200, 200}, true, 2, 1},
    }};
    return cr_make_param_array(StopCase, cases.data(), cases.size());
}

// Guards against an engine that works on a run which has gone on elsewhere, because it does not
// drop a run when its connection closes.
ParameterizedTest(StopCase *param, handOver, engineLeftIsToldToStopItsRun)
{
    // The bound on the time for which two engines may work on a run.
    static constexpr std::chrono::milliseconds maxDuplicateWork(400);
    std::atomic<std::size_t> orders = 0;
    FirstMoment resumedAt;
    FirstMoment stoppedAt;
    ScriptedServer first([&](const SeenRequest &request) -> Answer {
        if (!isLastOrder(request))
            return leavingEngine(200)(request);
        stoppedAt.record();
        const int status = param->statuses[std::min<std::size_t>(orders++, 2)];
        if (status == 0)
            return {{AnswerStep::Kind::Close, "", {}}};
        const bool hasHandle = param->hasHandle && status != 409;
        return wholeAnswer(status, "Content-Type: application/json\r\n",
                           hasHandle ? R"({"KvHandle":"h8","Created":9})" : "{}");
    });
    ScriptedServer refuge([&](const SeenRequest &request) -> Answer {
        if (!isRun(request))
            return wholeAnswer(200, "", "{}");
        resumedAt.record();
        const int after = std::stoi(std::string(request.head.header("Last-Event-Id")));
        return events(after + 1, 40, std::chrono::milliseconds(30), true);
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
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    assertWhole(view.bytes, 40);
    cr_assert(resumedAt.at() && stoppedAt.at(), "%s: no order to stop", param->name.data());
    cr_assert(*stoppedAt.at() - *resumedAt.at() < maxDuplicateWork, "%s", param->name.data());
    cr_assert_eq(lastOrdersTo(first), param->orders, "%s: %zu orders", param->name.data(),
                 lastOrdersTo(first));
    cr_assert_eq(droppedCopiesAt(first), param->drops, "%s", param->name.data());
    cr_assert_eq(lastOrdersTo(refuge), 0);
    for (const SeenRequest &request : first.seen()) {
        if (isLastOrder(request))
            cr_assert(request.body.find(refuge.address()) != std::string::npos);
    }
}

// Guards against an engine that works on a run which was begun anew elsewhere after the engine had
// broken its stream.
Test(handOver, engineThatBrokeTheStreamIsToldToStop)
{
    ScriptedServer first([](const SeenRequest &request) -> Answer {
        if (request.head.path() == "/jaytrack/kv-move")
            return wholeAnswer(404, "", "{}");
        if (!isRun(request))
            return wholeAnswer(200, "", "{}");
        Answer answer = events(1, 3, std::chrono::milliseconds(5), false);
        answer.back() = {AnswerStep::Kind::Send, "these bytes are no chunk\r\n",
                         std::chrono::milliseconds(600)};
        answer.push_back({AnswerStep::Kind::Hang, "", {}});
        return answer;
    });
    ScriptedServer second([](const SeenRequest &request) -> Answer {
        if (!isRun(request))
            return wholeAnswer(200, "", "{}");
        return events(4, 20, std::chrono::milliseconds(30), true);
    });
    RouteSpec route;
    route.resumable = true;
    route.attempts = 2;
    EntryFixture entry({route});
    entry.list("e1", first);
    std::thread announcer([&] {
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        entry.store.put("servers/e2", targetJson(second.address()));
    });
    const CallerView view = callOnce(entry.port(), requestText({}));
    announcer.join();
    assertWhole(view.bytes, 20);
    cr_assert_eq(runsOf(second).size(), 1);
    cr_assert_eq(lastOrdersTo(first), 1, "%zu orders", lastOrdersTo(first));
    cr_assert_eq(lastOrdersTo(second), 0);
}

// Guards against an engine that works on a run which stays where it was, because its answer to the
// resumption was broken.
Test(handOver, engineThatBrokeTheResumptionIsToldToStop)
{
    ScriptedServer first(leavingEngine(200));
    ScriptedServer refuge([](const SeenRequest &request) -> Answer {
        if (request.head.path() == "/jaytrack/kv-move")
            return wholeAnswer(404, "", "{}");
        if (!isRun(request))
            return wholeAnswer(200, "", "{}");
        return {{AnswerStep::Kind::Send, "these bytes are no answer\r\n\r\n", {}},
                {AnswerStep::Kind::Hang, "", {}}};
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
    assertWhole(view.bytes, 40);
    cr_assert_eq(runsOf(refuge).size(), 1);
    cr_assert_eq(lastOrdersTo(refuge), 1, "%zu orders", lastOrdersTo(refuge));
    cr_assert_eq(lastOrdersTo(first), 0);
}
