// The platform serves a document or a list of instances that cannot be used.
#include "daemonprocess.h"
#include "site.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <array>

using namespace jaytrack;
using namespace jaytrack::test;

namespace {

constexpr std::chrono::seconds watchedTime{2};
// Back-off from 250 ms with jitter from a half allows five reads in two seconds.
constexpr std::uint64_t maxReads = 6;

struct BodyCase
{
    std::array<char, 80> body;
};

class PlatformSite
{
public:
    PlatformSite() { cr_assert(this->eventuallyLogged("event=instance_ready")); }

    void put(const std::string &path, const std::string &body)
    {
        HttpCall call;
        call.method = "PUT";
        call.url = this->configBase() + path;
        call.body = body;
        cr_assert(fetch(this->site.client, call).end.whole);
    }

    std::uint64_t reads()
    {
        HttpCall call;
        call.url = this->configBase() + "/counts";
        return nlohmann::json::parse(fetch(this->site.client, call).body)["reads"];
    }

    bool eventuallyLogged(const std::string &text)
    {
        return eventually([this, &text] { return this->program.logged(text); });
    }

    int statusOfRequest()
    {
        HttpCall call;
        call.url = "http://" + Site::addressOf(this->program.callersPort()) + "/v1/models";
        call.headers = {{"Authorization", "Bearer " + weaverKey}};
        return fetch(this->site.client, call).end.status;
    }

    std::string configBase() const
    {
        return "http://" + Site::addressOf(this->site.config->port());
    }

    Site site{withoutInstances()};
    DaemonProcess program{site.configUrl(), configBase() + "/v1/instances"};

private:
    static SitePlan withoutInstances()
    {
        SitePlan plan;
        plan.instances = 0;
        plan.engines = 0;
        plan.services = 0;
        return plan;
    }
};

} // namespace

ParameterizedTestParameters(platformReader, readsOnAfterAFaultyDocument)
{
    static std::array<BodyCase, 4> cases = {{
            {{"{"}},
            {{"\xff"}},
            {{R"({"models":[],"engines":[],"services":[],"customers":1e999})"}},
            {{R"({"models":[],"engines":[],"services":[],"customers":[{}]})"}},
    }};
    return cr_make_param_array(BodyCase, cases.data(), cases.size());
}

// Guards against a faulty document that is read without a pause, with a log line each time.
ParameterizedTest(BodyCase *param, platformReader, readsOnAfterAFaultyDocument)
{
    PlatformSite platform;
    const std::uint64_t readsBefore = platform.reads();
    platform.put("/v1/document", param->body.data());
    cr_assert(platform.eventuallyLogged("event=document_refused"));
    std::this_thread::sleep_for(watchedTime);
    const std::uint64_t reads = platform.reads() - readsBefore;
    cr_expect_leq(reads, maxReads, "%llu reads", static_cast<unsigned long long>(reads));
    const std::size_t lines = platform.program.countLogged("event=document_refused");
    cr_expect_eq(lines, 1U, "%zu lines", lines);
    cr_expect_eq(platform.statusOfRequest(), 200);
    platform.put("/v1/document", platform.site.document().serialise());
    cr_expect(platform.eventuallyLogged("event=document_in_force source=platform revision=3"));
}

ParameterizedTestParameters(platformReader, reportsAnUnreadableListOnce)
{
    static std::array<BodyCase, 4> cases = {{
            {{"{"}},
            {{"\xff"}},
            {{"{}"}},
            {{R"([{"name":"a","peer":"127.0.0.1:7","leaving":1e999}])"}},
    }};
    return cr_make_param_array(BodyCase, cases.data(), cases.size());
}

// Guards against a list of instances that is not followed any more without a line in the log, or
// with one for each attempt.
ParameterizedTest(BodyCase *param, platformReader, reportsAnUnreadableListOnce)
{
    const std::string failed = "event=platform_read_failed code=506 what=instances";
    PlatformSite platform;
    platform.put("/v1/instances", param->body.data());
    const DaemonProcess reader(platform.site.configUrl(), platform.configBase() + "/v1/instances");
    cr_assert(eventually([&] { return reader.logged(failed); }));
    std::this_thread::sleep_for(watchedTime);
    cr_expect_eq(reader.countLogged(failed), 1U, "%zu lines", reader.countLogged(failed));
    platform.put("/v1/instances", "[5]");
    cr_expect(eventually(
            [&] { return reader.logged("event=platform_read_recovered what=instances"); }));
}
