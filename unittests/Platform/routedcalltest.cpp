// Single calls that may go to their target directly or through another instance.
#include "unreachableport.h"

#include "platformstandin.h"

#include "jaytrack/Calls/targetcalls.h"
#include "jaytrack/Net/socket.h"
#include "jaytrack/Support/metrics.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <atomic>
#include <functional>

using namespace jaytrack;
using namespace jaytrack::testing;
using namespace std::chrono_literals;

namespace {

// What became of a call.
class Collector final : public TargetCallListener
{
public:
    void onAnswerHead(MessageHead head) override { this->status = head.status; }
    void onAnswerBody(std::string_view bytes) override { this->body += bytes; }
    void onCallEnd(const TargetCallEnd &end) override { this->ends.push_back(end); }

    int status = 0;
    std::string body;
    std::vector<TargetCallEnd> ends;
};

// Another instance that does with each call what the test says.
struct PeerStandin
{
    PeerStandin()
        : server([this](const SeenRequest &) { return this->answer(); })
    {
    }

    Answer answer() const
    {
        if (this->unreadable)
            return wholeAnswer(413, "", "");
        if (this->helps)
            return wholeAnswer(200, "Jaytrack-Relay-Stage: answered\r\n", "passed on");
        return wholeAnswer(
                503, "Jaytrack-Relay-Failure: unreachable\r\nJaytrack-Relay-Stage: not_sent\r\n",
                "why");
    }

    std::atomic<bool> helps{true};
    std::atomic<bool> unreadable{false}; // refuses calls before it knows what they are
    ScriptedServer server;
};

// What targets say of themselves, and changes of their state, matter to nobody here.
class IgnoredEvents final : public TargetDirectoryListener, public TargetAnswerListener
{
public:
    void onTargetAnswer(std::string_view, std::string_view, const MessageHead &) override {}
    void onTargetLeaving(const TargetEntry &, std::string_view) override {}
    void onTargetListed(const TargetEntry &) override {}
    void onTargetRestarted(const TargetEntry &) override {}
    void onTargetCold(const TargetEntry &) override {}
    void onDataCentreUse(std::string_view, bool) override {}
};

struct CallSite
{
    CallSite()
    {
        TargetEntry entry;
        entry.id = entry.name = "t";
        entry.service = "s";
        entry.dataCentre = "dc";
        this->directory.put(entry);
        this->calls.setPeers({{"peer", "dc", this->peer.server.address()}});
    }

    // Starts a call, lets the change come about while it is being connected, and sees it through.
    std::shared_ptr<Collector> call(
            const std::string &address, const std::function<void()> &change = [] {})
    {
        TargetRequest request;
        request.endpoint = parseEndpoint(address).value();
        request.target = "/x";
        request.connectTimeout = 500ms;
        CallContext about;
        about.target = "t";
        about.service = "s";
        auto collector = std::make_shared<Collector>();
        const auto call = this->calls.start(std::move(request), std::move(about), collector);
        change();
        this->loop.restart();
        this->loop.run_for(1s);
        return collector;
    }

    asio::io_context loop;
    SystemClock clock;
    Metrics metrics;
    PeerStandin peer;
    IgnoredEvents events;
    TargetDirectory directory{this->events};
    SendGate gate{this->directory};
    TargetCalls calls{this->loop,   this->clock, this->metrics, this->gate,
                      this->events, "dc",        {"key"},       3};
};

} // namespace

// Guards against an answer without its body after another instance had failed to pass the call on.
Test(routedCall, directAnswerAfterAFailedRelayIsWhole)
{
    CallSite site;
    const UnreachablePort port(LinkLoss::Refused);
    const ScriptedServer target([](const SeenRequest &) { return wholeAnswer(200, "", "direct"); });
    cr_assert(site.call(port.address())->body == "passed on");
    site.peer.helps = false;
    const auto seen = site.call(target.address());
    cr_expect(seen->status == 200);
    cr_expect(seen->body == "direct", "body: %s", seen->body.c_str());
    cr_expect(seen->ends.size() == 1 && seen->ends.front().whole);
}

// Guards against the words of another instance that reach a caller as a target's answer.
Test(routedCall, failureOfAPeerIsNoAnswer)
{
    CallSite site;
    const UnreachablePort port(LinkLoss::Refused);
    site.peer.helps = false;
    const auto seen = site.call(port.address());
    cr_expect(seen->status == 0 && seen->body.empty());
    cr_assert(seen->ends.size() == 1);
    cr_expect(!seen->ends.front().whole && !seen->ends.front().bytesSent);
}

// Guards against a refusal of another instance's own that reaches a caller as a target's answer.
Test(routedCall, refusalOfAPeerIsNoAnswer)
{
    CallSite site;
    const UnreachablePort port(LinkLoss::Refused);
    site.peer.unreadable = true;
    const auto seen = site.call(port.address());
    cr_expect(seen->status == 0);
    cr_assert(seen->ends.size() == 1);
    cr_expect(!seen->ends.front().whole && !seen->ends.front().bytesSent);
}

namespace {

enum Change { Leaves, IsRemoved, GoesOutOfUse };

struct ChangeCase
{
    char name[24];
    Change change;
    bool throughPeer;
};

void apply(Change change, TargetDirectory &directory)
{
    switch (change) {
    case Leaves:
        directory.markLeaving("t", "test");
        return;
    case IsRemoved:
        return directory.remove("t", false);
    case GoesOutOfUse:
        return directory.updateDataCentre({"dc", 1, true});
    }
}

} // namespace

// Guards against requests that were decided before their target said that it leaves, and are sent
// when a connection is made at last.
ParameterizedTestParameters(routedCall, nothingIsSentToATargetThatClosedMeanwhile)
{
    static ChangeCase cases[] = {{"leaves", Leaves, false},
                                 {"removed", IsRemoved, false},
                                 {"out of use", GoesOutOfUse, false},
                                 {"leaves, through peer", Leaves, true}};
    return cr_make_param_array(ChangeCase, cases, std::size(cases));
}

ParameterizedTest(ChangeCase *one, routedCall, nothingIsSentToATargetThatClosedMeanwhile)
{
    CallSite site;
    const UnreachablePort port(LinkLoss::Refused);
    const ScriptedServer target([](const SeenRequest &) { return wholeAnswer(200, "", "sent"); });
    const std::string address = one->throughPeer ? port.address() : target.address();
    const auto seen = site.call(address, [&] { apply(one->change, site.directory); });
    cr_expect(target.seen().empty(), "%s", one->name);
    cr_expect(site.peer.server.seen().empty(), "%s", one->name);
    cr_assert(seen->ends.size() == 1, "%s", one->name);
    cr_expect(!seen->ends.front().whole && !seen->ends.front().bytesSent, "%s", one->name);
}
