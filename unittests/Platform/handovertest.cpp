// Generations whose engines leave: the stream goes on elsewhere, each event once and in order.
#include "engineruns.h"
#include "entryfixture.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace jaytrack;
using namespace jaytrack::testing;

namespace {

// A listener that takes no connections: its queue is full, so whoever connects waits in vain.
class DeafListener
{
public:
    DeafListener()
        : acceptor(this->context, {asio::ip::make_address("127.0.0.1"), 0})
    {
        this->acceptor.listen(0);
        for (int i = 0; i < 4; ++i) {
            this->fillers.emplace_back(this->context);
            this->fillers.back().async_connect(this->acceptor.local_endpoint(),
                                               [](const asio::error_code &) {});
        }
        this->context.run_for(std::chrono::milliseconds(50));
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port());
    }

private:
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor;
    std::vector<asio::ip::tcp::socket> fillers;
};

} // namespace

// Guards against a run that is placed at two engines, because another engine leaves while the run
// waits for room.
Test(handOver, waitingRunIsPlacedOnce)
{
    static const std::string full =
            R"({"Waiting":20,"Running":24,"KvInUse":34000,"KvSize":34232,"Next":0})";
    ScriptedServer first([](const SeenRequest &request) -> Answer {
        if (!isRun(request))
            return wholeAnswer(200, "", "{}");
        Answer answer = events(1, 2, std::chrono::milliseconds(5), false);
        answer.back() = {AnswerStep::Kind::Reset, "", std::chrono::milliseconds(1500)};
        return answer;
    });
    ScriptedServer busy([](const SeenRequest &request) -> Answer {
        if (isReport(request))
            return wholeAnswer(200, "Content-Type: application/json\r\n", full);
        return wholeAnswer(503, ownHeaders + "X-Not-Executed: 1\r\n", "");
    });
    const auto free = [](const SeenRequest &request) -> Answer {
        if (!isRun(request))
            return wholeAnswer(200, "", "{}");
        return events(3, 30, std::chrono::milliseconds(10), true);
    };
    ScriptedServer third(free);
    ScriptedServer fourth(free);
    RouteSpec route;
    route.resumable = true;
    route.attempts = 3;
    route.objectiveMs = 4000;
    route.timeoutMs = 8000;
    EntryFixture entry({route});
    entry.list("e1", first);
    std::thread announcer([&] {
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        entry.store.put("servers/e2", targetJson(busy.address()));
        // The changes after this one are read together when the reader's pause is over.
        std::this_thread::sleep_for(std::chrono::milliseconds(1700));
        entry.store.put("servers/e2", targetJson(busy.address(), "ready", "svc", "dc-2"));
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        entry.store.put("servers/e3", targetJson(third.address()));
        entry.store.put("servers/e4", targetJson(fourth.address()));
        entry.store.put("servers/e2", targetJson(busy.address(), "draining"));
    });
    RequestSpec request;
    request.deadlineMs = 8000;
    const CallerView view = callOnce(entry.port(), requestText(request), std::chrono::seconds(8));
    announcer.join();
    assertWhole(view.bytes, 30);
    cr_assert_eq(runsOf(third).size() + runsOf(fourth).size(), 1, "%zu and %zu runs",
                 runsOf(third).size(), runsOf(fourth).size());
}

// Guards against a process that ends when the engine leaves that runs a request whose id is not
// UTF-8.
Test(handOver, runThatNoOrderCanNameStaysWhereItIs)
{
    for (const std::string id : {"a\xff", "\xc3(", "\xed\xa0\x80", "\xf8\x88\x80\x80\x80"}) {
        ScriptedServer first([&id](const SeenRequest &request) -> Answer {
            Answer answer = leavingEngine(200)(request);
            if (isRun(request))
                answer.front().bytes =
                        streamHead("X-Attempt-Id: " + id + "\r\nX-Server-Stamp: s\r\n");
            return answer;
        });
        ScriptedServer refuge([](const SeenRequest &) { return wholeAnswer(200, "", "{}"); });
        EntryFixture entry({RouteSpec()});
        entry.list("e1", first);
        std::thread announcer([&] {
            std::this_thread::sleep_for(std::chrono::milliseconds(150));
            entry.store.put("servers/e2", targetJson(refuge.address()));
            entry.store.put("servers/e1", targetJson(first.address(), "draining"));
        });
        RequestSpec spec;
        spec.id = id;
        const std::string bytes = callOnce(entry.port(), requestText(spec)).bytes;
        announcer.join();
        cr_expect(bytes.find("token40") != std::string::npos, "%s", bytes.c_str());
        cr_expect(runsOf(refuge).empty());
        cr_expect(entry.becomesReady());
    }
}

// Symptom: a draft breaks off in the middle.
// Events: its engine announces that it leaves; the run is copied to another engine and goes on
// there after the last event that the caller has.
Test(handOver, streamGoesOnAtTheRefuge)
{
    ScriptedServer first(leavingEngine(200));
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
    assertWhole(view.bytes, 40);
    const auto resumed = runsOf(refuge);
    cr_assert_eq(resumed.size(), 1);
    cr_assert_eq(resumed[0].head.header("Kv-From"), std::string_view(first.address() + "/h7"));
    cr_assert_eq(resumed[0].head.header("X-Expect-Instance"), std::string_view("e2"));
    cr_assert_eq(first.closedByPeer(), 1, "the old engine is told to stop");
}

// Guards against a run that flees into a data centre which is put out of use while its copy is on
// its way there.
Test(handOver, copyUnderWayToADataCentreOutOfUseIsGivenUp)
{
    static constexpr std::chrono::milliseconds copyTime(600);
    ScriptedServer first([](const SeenRequest &request) -> Answer {
        if (isRun(request))
            return events(1, 80, std::chrono::milliseconds(25), true);
        if (request.head.path() != "/jaytrack/kv-move")
            return wholeAnswer(200, "", "{}");
        Answer answer = moveAnswer(200);
        answer.front().after = copyTime;
        return answer;
    });
    ScriptedServer out([](const SeenRequest &) { return wholeAnswer(200, "", "{}"); });
    EntryFixture entry({RouteSpec()});
    entry.list("e1", first);
    std::thread announcer([&] {
        std::this_thread::sleep_for(std::chrono::milliseconds(150));
        entry.store.put("servers/e2", targetJson(out.address(), "ready", "svc", "dc-out"));
        entry.store.put("servers/e1", targetJson(first.address(), "draining"));
        std::this_thread::sleep_for(copyTime / 2);
        entry.store.put("op/evacuate/dc-out", "{}");
    });
    const CallerView view = callOnce(entry.port(), requestText({}), std::chrono::seconds(5));
    announcer.join();
    assertWhole(view.bytes, 80);
    cr_assert(runsOf(out).empty());
}

// Guards against a run that goes on at an engine which began to leave while the copy was on its
// way.
Test(handOver, copyUnderWayToALeavingEngineIsGivenUp)
{
    static constexpr std::chrono::milliseconds copyTime(600);
    ScriptedServer first([](const SeenRequest &request) -> Answer {
        if (isRun(request))
            return events(1, 80, std::chrono::milliseconds(25), true);
        if (request.head.path() != "/jaytrack/kv-move")
            return wholeAnswer(200, "", "{}");
        Answer answer = moveAnswer(200);
        answer.front().after = copyTime;
        return answer;
    });
    ScriptedServer second([](const SeenRequest &) { return wholeAnswer(200, "", "{}"); });
    EntryFixture entry({RouteSpec()});
    entry.list("e1", first);
    std::thread announcer([&] {
        std::this_thread::sleep_for(std::chrono::milliseconds(150));
        entry.store.put("servers/e2", targetJson(second.address()));
        entry.store.put("servers/e1", targetJson(first.address(), "draining"));
        std::this_thread::sleep_for(copyTime / 2);
        entry.store.put("servers/e2", targetJson(second.address(), "draining"));
    });
    const CallerView view = callOnce(entry.port(), requestText({}), std::chrono::seconds(5));
    announcer.join();
    assertWhole(view.bytes, 80);
    cr_assert(runsOf(second).empty());
}

// Symptom: a run breaks off although its engine would have finished it.
// Events: the engine announces that it leaves; no other engine has room; the engine works on.
Test(handOver, refusedCopiesLeaveTheRunWhereItIs)
{
    ScriptedServer first(leavingEngine(503));
    ScriptedServer full([](const SeenRequest &) { return wholeAnswer(200, "", "{}"); });
    EntryFixture entry({RouteSpec()});
    entry.list("e1", first);
    std::thread announcer([&] {
        std::this_thread::sleep_for(std::chrono::milliseconds(150));
        entry.store.put("servers/e2", targetJson(full.address()));
        entry.store.put("servers/e1", targetJson(first.address(), "draining"));
    });
    const CallerView view = callOnce(entry.port(), requestText({}));
    announcer.join();
    assertWhole(view.bytes, 40);
    cr_assert(runsOf(full).empty());
}

// Symptom: a stream that may run once is begun a second time.
// Events: the copy is refused at the refuge ("no such copy"), and the old engine is lost right
// after. The caller must see a stream that broke off, and no engine may get the request without the
// copy.
Test(handOver, refusedResumeIsNeverBegunAnew)
{
    ScriptedServer first([](const SeenRequest &request) -> Answer {
        if (isRun(request)) {
            Answer answer = events(1, 20, std::chrono::milliseconds(20), false);
            answer.back() = {AnswerStep::Kind::Reset, "", {}};
            return answer;
        }
        return request.head.path() == "/jaytrack/kv-move" ? moveAnswer(200)
                                                          : wholeAnswer(200, "", "{}");
    });
    ScriptedServer refuge([](const SeenRequest &request) -> Answer {
        return isRun(request) ? wholeAnswer(503, ownHeaders + "X-Not-Executed: 1\r\n", "")
                              : wholeAnswer(200, "", "{}");
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
    cr_assert(view.bytes.find("token20") != std::string::npos);
    cr_assert(view.bytes.find("0\r\n\r\n") == std::string::npos,
              "a broken stream must not look whole");
    for (const SeenRequest &request : runsOf(refuge))
        cr_assert_not(request.head.header("Kv-From").empty());
    cr_assert_eq(runsOf(first).size(), 1);
}

// Symptom: events are missing, or come twice, where two runs meet.
// Events: a stream that may be resumed loses its engine; the next one begins at, before or past the
// event that is due.
Test(handOver, onlyTheNextEventIsTaken)
{
    for (const int begins : {3, 2, 5}) {
        ScriptedServer first([](const SeenRequest &request) -> Answer {
            if (!isRun(request))
                return wholeAnswer(200, "", "{}");
            if (!request.head.header("Last-Event-Id").empty())
                return wholeAnswer(503, ownHeaders + "X-Not-Executed: 1\r\n", "");
            Answer answer = events(1, 2, std::chrono::milliseconds(5), false);
            answer.back() = {AnswerStep::Kind::Reset, "", std::chrono::milliseconds(700)};
            return answer;
        });
        ScriptedServer second([begins](const SeenRequest &request) -> Answer {
            if (!isRun(request))
                return wholeAnswer(200, "", "{}");
            return events(begins, 6, std::chrono::milliseconds(5), true);
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
        cr_assert_eq(runsOf(second).size(), 1, "begins %d", begins);
        if (begins <= 3)
            assertWhole(view.bytes, 6);
        else
            cr_assert(view.bytes.find("0\r\n\r\n") == std::string::npos, "%s", view.bytes.c_str());
    }
}

// Symptom: a draft that may run once runs a second time, and its stream joins both runs.
// Events: its engine announces that it leaves; the copy is made; the engine that holds it has gone
// dark since, so the connection to it is never made; another engine has room.
// Cause: after a quarter of a second the run counted as taken over by the dark engine, and one that
// was "never sent" to its current engine was placed anew.
Test(handOver, darkRefugeNeverBeginsTheRunAnew)
{
    for (const bool firstDies : {false, true}) {
        ScriptedServer first([firstDies](const SeenRequest &request) -> Answer {
            if (!isRun(request))
                return leavingEngine(200)(request);
            if (!firstDies)
                return events(1, 30, std::chrono::milliseconds(20), true);
            Answer answer = events(1, 18, std::chrono::milliseconds(20), false);
            answer.back() = {AnswerStep::Kind::Reset, "", {}};
            return answer;
        });
        const DeafListener dark;
        ScriptedServer third([](const SeenRequest &request) -> Answer {
            return isRun(request) ? events(1, 30, std::chrono::milliseconds(5), true)
                                  : wholeAnswer(503, "", "");
        });
        EntryFixture entry({RouteSpec()});
        entry.list("e1", first);
        std::thread announcer([&] {
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
            entry.store.put("servers/e2", targetJson(dark.address()));
            entry.store.put("servers/e1", targetJson(first.address(), "draining"));
            std::this_thread::sleep_for(std::chrono::milliseconds(200));
            entry.store.put("servers/e3", targetJson(third.address()));
        });
        const CallerView view = callOnce(entry.port(), requestText({}));
        announcer.join();
        // A second copy may still save the run of an engine that dies; else the stream breaks off.
        if (!firstDies || view.bytes.ends_with("0\r\n\r\n"))
            assertWhole(view.bytes, 30);
        for (const SeenRequest &request : runsOf(third))
            cr_assert_not(request.head.header("Kv-From").empty(), "begun anew");
    }
}
