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

Test(stream, arrivesWhole)
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

// Symptom: the draft is lost when its instance is. Events: the caller's connection breaks and it
// comes back to another instance. Cause: streams that only their first instance knows.
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
    cr_assert(started == 1, "a second generation was started");
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

// Symptom: a broken stream looks like a whole one. Events: the engine dies while the caller reads.
// Cause: ending every stream in the same way.
Test(stream, saysSoWhenItsEngineDies)
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
    cr_assert_eq(errorCode(reader.text()).substr(0, 1), std::string("3"), "an unknown outcome");
}

// Symptom: an engine's restart costs callers who have seen nothing. Events: engine dies before the
// first token. Cause: treating all that was sent as lost.
Test(stream, startsAgainIfNothingWasSeen)
{
    SitePlan plan;
    plan.engineFaults.stalled = true;
    Site site(plan);
    StreamReader reader(site, site.base() + chat, "", Site::prompt(10, true));
    const auto startedAt = [&](std::size_t i) { return site.engineCounts(i)["started"] == 1; };
    cr_assert(eventually([&] { return startedAt(0) || startedAt(1); }));
    const std::size_t victim = startedAt(0) ? 0 : 1;
    site.control(site.engines[1 - victim], {{"stalled", false}});
    site.engines[victim].reset();
    cr_assert(eventually([&] { return reader.ended(); }));
    cr_assert(reader.whole());
    cr_assert_eq(reader.indexes(), upTo(10));
}

// Symptom: a billed flow check runs twice. Events: as above, but the model may not be repeated.
// Cause: starting again whatever the operators said.
Test(stream, neverStartsAgainWhatMayRunOnce)
{
    SitePlan plan;
    plan.engineFaults.stalled = true;
    plan.repeatable = false;
    plan.engineResumes = false;
    Site site(plan);
    StreamReader reader(site, site.base() + chat, "", Site::prompt(10, true));
    const auto startedAt = [&](std::size_t i) { return site.engineCounts(i)["started"] == 1; };
    cr_assert(eventually([&] { return startedAt(0) || startedAt(1); }));
    const std::size_t victim = startedAt(0) ? 0 : 1;
    site.engines[victim].reset();
    cr_assert(eventually([&] { return reader.ended(); }));
    cr_assert(reader.status() == 502);
    cr_assert_eq(reader.header("Jaytrack-Outcome"), std::string("unknown"));
    cr_assert(site.engineCounts(1 - victim)["started"] == 0);
}

// Symptom: tokens come twice or are missing. Events: connections to the engine end early, frames
// come doubled. Cause: no order of frames, or starting anew.
Test(stream, survivesBrokenLinksAndDoubledFrames)
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

// Symptom: one caller that reads slowly holds up the others, or loses tokens. Events: it stops
// reading in the middle of a long draft, for longer than an engine may be silent, and then goes on.
// Cause: no flow control, or taking our own holding back for the engine's silence.
Test(stream, slowCallerHoldsUpNobodyAndLosesNothing)
{
    SitePlan plan;
    plan.engines = 1;
    plan.stepMs = 0.05;
    Site site(plan);
    static constexpr int length = 20'000; // some eight megabytes, which the sockets do not take
    StreamReader slow(site, site.base() + chat, "", Site::prompt(length, true));
    cr_assert(eventually([&] { return slow.status() == 200; }));
    slow.hold();
    const FetchedAnswer other = site.request("POST", chat, Site::prompt(20, false));
    cr_assert(other.end.status == 200);
    std::this_thread::sleep_for(std::chrono::milliseconds(2500));
    cr_assert(!slow.ended());
    slow.release();
    cr_assert(eventually([&] { return slow.ended(); }));
    cr_assert(slow.whole());
    cr_assert_eq(slow.indexes(), upTo(length));
}

// Symptom: engines decode for nobody. Events: a caller leaves and does not come back. Cause: no
// cancelling; but also no cancelling before its time to come back is over.
Test(stream, cancelsWhatNobodyComesBackFor)
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

// Symptom: a leaving engine receives work. Events: it says so itself, or the document does. Cause:
// routing by a list that lags.
Test(stream, sendsNothingToALeavingEngine)
{
    Site site;
    site.control(site.engines[0], {{"leaving", true}});
    std::this_thread::sleep_for(std::chrono::seconds(1));
    const auto before = site.engineCounts(0);
    for (int i = 0; i < 10; ++i)
        cr_assert(site.request("POST", chat, Site::prompt(2, false)).end.status == 200);
    cr_assert(site.engineCounts(0)["started"] == before["started"]);
    cr_assert(site.engineCounts(0)["refused"] == before["refused"], "nor is it even asked");

    Document document = site.document();
    document.engines[1].leaving = true;
    site.publish(document);
    cr_assert(eventually(
            [&] { return site.request("POST", chat, Site::prompt(2, false)).end.status == 503; }));
}

// Symptom: a planned stop cuts a draft. Events: the instance is told to stop while it serves a
// stream. Cause: ending with the process what has not ended.
Test(stream, plannedStopCutsNothing)
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

// Symptom: a new instance cannot start while the service is down. Events: the service is gone, a
// peer has the document. Cause: only one place to learn it from.
Test(fleet, startsFromPeersWhileTheServiceIsDown)
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

Test(fleet, isNotReadyWhenItKnowsNothing)
{
    Site site;
    site.instances.clear();
    Settings settings;
    settings.name = "alone";
    settings.callers = {"127.0.0.1", 0};
    settings.peers = {"127.0.0.1", 0};
    settings.peerKeys = {"the key of the test's fleet"};
    settings.configUrl = "http://127.0.0.1:1/";
    site.instances.push_back(std::move(Instance::start(settings, site.clock).value()));
    std::this_thread::sleep_for(std::chrono::seconds(2));
    cr_assert(!site.instances[0]->isReady());
    const FetchedAnswer answer = site.request("GET", "/v1/models");
    cr_assert_eq(findHeader(answer.headers, "Jaytrack-Code"), std::string_view("205"));
}
