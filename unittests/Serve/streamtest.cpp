#include "site.h"

#include <criterion/criterion.h>

using namespace jaytrack;
using namespace jaytrack::test;

namespace {

const std::string chat = "/v1/chat/completions";

std::string errorCode(const std::string &text)
{
    const std::size_t at = text.find("\"code\":");
    return at == std::string::npos ? "" : text.substr(at + 7, 3);
}

} // namespace

Test(stream, arrivesComplete)
{
    Site site;
    StreamReader reader(site, site.base() + chat, "", Site::prompt(30, true));
    cr_assert(eventually([&] { return reader.ended(); }));
    cr_assert(reader.whole());
    cr_assert_eq(reader.indexes(), upTo(30));
    cr_assert(!reader.header("Jaytrack-Stream").empty());
}

Test(stream, collectsForCallersWhoDoNotStream)
{
    Site site;
    const FetchedAnswer answer = site.request("POST", chat, Site::prompt(5, false));
    cr_assert(answer.end.status == 200);
    cr_assert_eq(findHeader(answer.headers, "Jaytrack-Outcome"), std::string_view("complete"));
    const auto body = nlohmann::json::parse(answer.body);
    cr_assert(body["usage"]["completion_tokens"] == 5);
    cr_assert(body["choices"][0]["finish_reason"] == "stop");
}

// Guards against losing a stream whose caller disconnects and resumes at another instance. This
// happens if only the first instance can serve the stream.
Test(stream, resumesAtAnotherInstance)
{
    SitePlan plan;
    plan.instances = 2;
    Site site(plan);
    StreamReader first(site, site.base(0) + chat, "", Site::prompt(200, true));
    cr_assert(eventually([&] { return first.indexes().size() > 30; }));
    first.hangUp();
    const std::string seen = first.indexes();
    const std::string url = site.base(1) + first.header("Jaytrack-Stream");
    StreamReader second(site, url, first.lastCursor());
    cr_assert(eventually([&] { return second.ended(); }));
    cr_assert(second.whole());
    cr_assert_eq(seen + second.indexes(), upTo(200));
}

Test(stream, resumesByRepeatingThePost)
{
    Site site;
    StreamReader first(site, site.base() + chat, "", Site::prompt(100, true));
    cr_assert(eventually([&] { return first.indexes().size() > 20; }));
    first.hangUp();
    StreamReader second(site, site.base() + chat, first.lastCursor(), Site::prompt(100, true));
    cr_assert(eventually([&] { return second.ended(); }));
    cr_assert_eq(first.indexes() + second.indexes(), upTo(100));
    const auto started =
            site.engineCounts(0)["started"].get<int>() + site.engineCounts(1)["started"].get<int>();
    cr_assert(started == 1, "a second generation has been started");
}

Test(stream, handlesBelongToOneCustomer)
{
    Site site;
    StreamReader mine(site, site.base() + chat, "", Site::prompt(3, true));
    cr_assert(eventually([&] { return mine.ended(); }));
    const std::string path = mine.header("Jaytrack-Stream");
    const FetchedAnswer theirs = site.request("GET", path, "", {}, dyerKey);
    cr_assert(theirs.end.status == 404);
    cr_assert_eq(findHeader(theirs.headers, "Jaytrack-Code"), std::string_view("110"));
    const FetchedAnswer again = site.request("GET", path);
    cr_assert(again.end.status == 200);
}

// Guards against a broken stream that looks complete after the engine ended while the caller was
// reading. This happens if every stream ends in the same way.
Test(stream, endsWithErrorWhenEngineEnds)
{
    SitePlan plan;
    plan.engines = 1;
    Site site(plan);
    StreamReader reader(site, site.base() + chat, "", Site::prompt(5000, true));
    cr_assert(eventually([&] { return reader.indexes().size() > 30; }));
    site.engines[0].reset();
    cr_assert(eventually([&] { return reader.ended(); }));
    cr_assert(!reader.whole());
    cr_assert(reader.text().find("event: error") != std::string::npos);
    cr_assert_eq(errorCode(reader.text()).substr(0, 1), std::string("3"),
                 "the result code does not stand for an unknown outcome");
}

// Guards against failing a generation whose engine ended before the first token. It can be
// restarted on another engine because the caller has received nothing.
Test(stream, restartsBeforeFirstToken)
{
    SitePlan plan;
    plan.engineFaults.stalled = true;
    Site site(plan);
    StreamReader reader(site, site.base() + chat, "", Site::prompt(10, true));
    const auto startedAt = [&](std::size_t i) { return site.engineCounts(i)["started"] == 1; };
    cr_assert(eventually([&] { return startedAt(0) || startedAt(1); }));
    const std::size_t endedEngine = startedAt(0) ? 0 : 1;
    site.control(site.engines[1 - endedEngine], {{"stalled", false}});
    site.engines[endedEngine].reset();
    cr_assert(eventually([&] { return reader.ended(); }));
    cr_assert(reader.whole());
    cr_assert_eq(reader.indexes(), upTo(10));
}

// Guards against running a generation twice on a model that is declared not repeatable. The engine
// ends before the first token, and the generation must not be restarted.
Test(stream, doesNotRestartNonRepeatableModel)
{
    SitePlan plan;
    plan.engineFaults.stalled = true;
    plan.repeatable = false;
    plan.engineResumes = false;
    Site site(plan);
    StreamReader reader(site, site.base() + chat, "", Site::prompt(10, true));
    const auto startedAt = [&](std::size_t i) { return site.engineCounts(i)["started"] == 1; };
    cr_assert(eventually([&] { return startedAt(0) || startedAt(1); }));
    const std::size_t endedEngine = startedAt(0) ? 0 : 1;
    site.engines[endedEngine].reset();
    cr_assert(eventually([&] { return reader.ended(); }));
    cr_assert(reader.status() == 502);
    cr_assert_eq(reader.header("Jaytrack-Outcome"), std::string("unknown"));
    cr_assert(site.engineCounts(1 - endedEngine)["started"] == 0);
}

// Guards against duplicate or missing tokens when connections to the engine end early and events
// are duplicated. This happens if events are not ordered by index or if the generation is
// restarted.
Test(stream, survivesLostConnectionsAndDuplicateEvents)
{
    SitePlan plan;
    plan.engineFaults.duplicates = true;
    plan.engineFaults.closeAfterTokens = 10;
    Site site(plan);
    StreamReader reader(site, site.base() + chat, "", Site::prompt(50, true));
    cr_assert(eventually([&] { return reader.ended(); }));
    cr_assert(reader.whole());
    cr_assert_eq(reader.indexes(), upTo(50));
}

// Guards against a slow caller that blocks other callers or loses tokens. It stops reading during a
// long stream for longer than the silence time-out of the engine, and then continues. The test
// fails without flow control, or if the paused stream counts as silence of the engine.
Test(stream, slowCallerBlocksNobodyAndLosesNoTokens)
{
    SitePlan plan;
    plan.engines = 1;
    plan.stepMs = 0.05;
    Site site(plan);
    static constexpr int length = 20'000; // about 8 MB, more than the socket buffers hold
    StreamReader slow(site, site.base() + chat, "", Site::prompt(length, true));
    cr_assert(eventually([&] { return slow.status() == 200; }));
    slow.pause();
    const FetchedAnswer other = site.request("POST", chat, Site::prompt(20, false));
    cr_assert(other.end.status == 200);
    std::this_thread::sleep_for(std::chrono::milliseconds(2500));
    cr_assert(!slow.ended());
    slow.unpause();
    cr_assert(eventually([&] { return slow.ended(); }));
    cr_assert(slow.whole());
    cr_assert_eq(slow.indexes(), upTo(length));
}

// Guards against a stream that lasts as long as its engine keeps sending bytes. The engine sends
// comments and never a token; each comment was taken for progress.
Test(stream, commentsDoNotKeepAStreamAlive)
{
    SitePlan plan;
    plan.engines = 1;
    plan.repeatable = false;
    plan.engineResumes = false;
    plan.engineFaults.comments = true;
    Site site(plan);
    StreamReader reader(site, site.base() + chat, "", Site::prompt(20'000, true));
    cr_assert(eventually([&] { return reader.ended(); }));
    cr_assert_not(reader.whole());
    cr_assert_eq(reader.header("Jaytrack-Outcome"), std::string("unknown"));
}

// Guards against engines that keep generating after the caller left and did not return. The
// generation must be cancelled, but not before the caller's time to resume has passed.
Test(stream, cancelsGenerationOfAbsentCaller)
{
    Site site;
    StreamReader reader(site, site.base() + chat, "", Site::prompt(20'000, true));
    cr_assert(eventually([&] { return reader.indexes().size() > 20; }));
    reader.hangUp();
    const auto cancelled = [&] {
        return site.engineCounts(0)["cancelled"].get<int>() +
               site.engineCounts(1)["cancelled"].get<int>();
    };
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    cr_assert(cancelled() == 0);
    cr_assert(eventually([&] { return cancelled() == 1; }));
}

// Guards against sending work to a leaving engine. The engine itself or the document says that it
// is leaving; routing by an outdated list would miss that.
Test(stream, sendsNothingToALeavingEngine)
{
    Site site;
    site.control(site.engines[0], {{"leaving", true}});
    std::this_thread::sleep_for(std::chrono::seconds(1));
    const auto before = site.engineCounts(0);
    for (int i = 0; i < 10; ++i)
        cr_assert(site.request("POST", chat, Site::prompt(2, false)).end.status == 200);
    cr_assert(site.engineCounts(0)["started"] == before["started"]);
    cr_assert(site.engineCounts(0)["refused"] == before["refused"],
              "the leaving engine received requests and refused them");

    Document document = site.document();
    document.engines[1].leaving = true;
    site.publish(document);
    cr_assert(eventually(
            [&] { return site.request("POST", chat, Site::prompt(2, false)).end.status == 503; }));
}

// Guards against cutting a stream when the instance begins a graceful shutdown while it serves the
// stream. This happens if the process ends before its requests do.
Test(stream, gracefulShutdownCompletesStreams)
{
    Site site;
    StreamReader reader(site, site.base() + chat, "", Site::prompt(300, true));
    cr_assert(eventually([&] { return !reader.indexes().empty(); }));
    site.instances[0]->drain();
    cr_assert(!site.instances[0]->isReady());
    const FetchedAnswer refused = site.request("POST", chat, Site::prompt(2, false));
    cr_assert_eq(findHeader(refused.headers, "Jaytrack-Outcome"), std::string_view("not-run"));
    cr_assert_eq(findHeader(refused.headers, "Jaytrack-Code"), std::string_view("204"));
    cr_assert(!findHeader(refused.headers, "Retry-After").empty());
    cr_assert(!site.instances[0]->drained());
    cr_assert(eventually([&] { return reader.ended(); }));
    cr_assert(reader.whole());
    cr_assert_eq(reader.indexes(), upTo(300));
    cr_assert(eventually([&] { return site.instances[0]->drained(); }));
}

// Guards against an instance that cannot start while the configuration service is down although a
// peer has the document. This happens if instances read the document from the service only.
Test(fleet, startsFromPeersWhileConfigServiceIsDown)
{
    Site site;
    Instance &second = site.addInstance("http://127.0.0.1:1/v1/document");
    cr_assert(second.isReady());
    cr_assert(site.request("POST", chat, Site::prompt(2, false), {}, weaverKey, 1).end.status ==
              200);
    Document document = site.document();
    document.customers.erase(document.customers.begin());
    site.publish(document);
    cr_assert(eventually([&] {
        return site.request("GET", "/v1/models", "", {}, weaverKey, 1).end.status == 401;
    }));
}

Test(fleet, isNotReadyWithoutDocument)
{
    Site site;
    site.instances.clear();
    Settings settings;
    settings.name = "alone";
    settings.callers = {"127.0.0.1", 0};
    settings.peers = {"127.0.0.1", 0};
    settings.peerKeys = {fleetKeyOfTest()};
    settings.configUrl = "http://127.0.0.1:1/";
    site.instances.push_back(std::move(Instance::start(settings, site.clock).value()));
    std::this_thread::sleep_for(std::chrono::seconds(2));
    cr_assert(!site.instances[0]->isReady());
    const FetchedAnswer answer = site.request("GET", "/v1/models");
    cr_assert_eq(findHeader(answer.headers, "Jaytrack-Code"), std::string_view("205"));
}
