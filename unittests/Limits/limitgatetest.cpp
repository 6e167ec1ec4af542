#include "jaytrack/Limits/limitgate.h"
#include "jaytrack/Support/metrics.h"

#include <criterion/criterion.h>

using namespace jaytrack;
using namespace std::chrono_literals;

namespace {

class SilentTransport final : public LimitTransport
{
public:
    void sendLimits(std::string_view, const LimitMessage &) override {}
    void broadcastLimits(const LimitMessage &) override {}
    void sendLimitsToSample(const LimitMessage &) override {}
};

} // namespace

// Guards against requests that are sent before their permits have accrued.
Test(limitGate, requestWaitsUntilItsPermitAccrues)
{
    constexpr double perSecond = 20;
    asio::io_context loop;
    ManualClock clock;
    SilentTransport transport;
    Metrics metrics;
    LimitGateOptions options;
    options.limits.maxReservation = 100ms;
    LimitGate gate(loop, clock, "own", 0, 1, transport, metrics, options);
    for (int i = 0; i < 100; ++i) {
        clock.advance(100ms);
        gate.tick();
    }
    gate.recordLimit("t", perSecond);
    std::optional<Permit> decision;
    const auto since = std::chrono::steady_clock::now();
    cr_assert_not(gate.request("t", [&decision](const Permit &permit) { decision = permit; }));
    loop.run();
    cr_assert(decision && decision->granted);
    cr_expect(std::chrono::steady_clock::now() - since >= 50ms);
}
